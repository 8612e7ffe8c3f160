// Decides which chunk of one copy moves where: the agent's part of a swarm.
#pragma once

#include "deckpitch/chunk-set.h"
#include "deckpitch/declaration.h"
#include "deckpitch/id.h"
#include "deckpitch/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace deckpitch {

/// Number of a connection to a peer, given by whoever drives the swarm.
using PeerNumber = std::uint32_t;

struct SwarmOptions {
  std::uint32_t m_Uploads = 3;      ///< chunks promised or being sent at once
  std::uint32_t m_Expected = 4;     ///< chunks asked of peers at once
  std::uint32_t m_Unstaged = 8;     ///< chunks in memory, not yet staged
  std::uint32_t m_OriginReads = 2;  ///< by this instance at once
  std::uint32_t m_OriginWindow = 6; ///< by the whole pool at once
  /// What the origin's link takes for a chunk: the window moves on by as much,
  /// though no news of what has come be heard. Zero: not known.
  Duration m_OriginPace{};
  Preference m_Preference = Preference::OriginBytes;
  double m_HedgeShare = 0.05; ///< of the chunks may be asked for twice
  double m_ExtraCopies = 3.0; ///< that a pool preferring time may read
  Duration m_GrantLifetime = std::chrono::seconds(2);
  Duration m_DeclineRest = std::chrono::milliseconds(100);
  Duration m_StallAfter = std::chrono::seconds(2); ///< without a byte
  /// Something is told to all peers at least that often.
  Duration m_KeepAlive = std::chrono::seconds(1);
  Duration m_SilentAfter = std::chrono::seconds(5); ///< without a message
  Duration m_OriginStep = std::chrono::seconds(1);  ///< least, for each rank
  /// How long each further importer waits for those before it: several times
  /// what one chunk takes over a link of some Mbit/s.
  Duration m_ImportWait = std::chrono::milliseconds(600);
  /// After a read that failed; it doubles with each further one in a row up to
  /// the longest. An origin that loses some answers is asked again soon, and
  /// one that is away seldom.
  Duration m_OriginRest = std::chrono::milliseconds(100);
  Duration m_OriginRestMost = std::chrono::seconds(1);
  /// A chunk that one peer alone has for so long is read from the origin again
  /// by one instance after the other: its holder's link may be narrow, and all
  /// would wait for it. Zero: never.
  Duration m_SoleHolderWait{};
  /// A chunk that takes longer from the asking to its arrival has queued on a
  /// narrow link, and requests for the instance with it: fewer are then asked
  /// for at once. Zero: always as many.
  Duration m_ChunkPatience{};
  /// The rest of one chunk doubles up to this while it arrives corrupted.
  Duration m_CorruptRestMost = std::chrono::minutes(1);
  Duration m_SetAside = std::chrono::seconds(10);
  Duration m_SetAsideLong = std::chrono::minutes(10);

  friend bool operator==(const SwarmOptions &, const SwarmOptions &) = default;
};

/// How a pool shares the reading of an origin.
struct OriginPacing {
  std::uint32_t m_Window = 1; ///< chunks read by the whole pool at once
  Duration m_Step{};  ///< until the next in a chunk's order reads it as well
  Duration m_Chunk{}; ///< that the origin's link takes for one; 0: not known

  friend bool operator==(const OriginPacing &, const OriginPacing &) = default;
};

/// The load pattern it answers: all instances of a pool begin to copy a version
/// in one moment, and the origin's link carries a few chunks in the time in
/// which they hear of each other's. Chunks that are read at once come late
/// together; where that takes longer than the next reader waits, it reads them
/// again, which makes all of them later still. Mbps: of the origin's link; 0:
/// not known.
OriginPacing originPacing(double Mbps, std::uint32_t ChunkBytes);

/// Whether chunks queue on the way to an instance, and requests behind them.
enum class LinkVerdict {
  Unknown, ///< too few chunks have come to tell
  Sound,
  Narrow ///< chunks take so long that fewer are asked for
};

/// Offers a peer one chunk of its choice.
struct SendGrant {
  PeerNumber m_Peer;
  friend bool operator==(const SendGrant &, const SendGrant &) = default;
};

/// Asks for a chunk, in answer to a grant.
struct SendRequest {
  PeerNumber m_Peer;
  std::uint32_t m_Chunk;
  friend bool operator==(const SendRequest &, const SendRequest &) = default;
};

/// Answers a grant that is of no use now.
struct SendDecline {
  PeerNumber m_Peer;
  friend bool operator==(const SendDecline &, const SendDecline &) = default;
};

struct SendChunk {
  PeerNumber m_Peer;
  std::uint32_t m_Chunk;
  friend bool operator==(const SendChunk &, const SendChunk &) = default;
};

/// Tells the asker that its chunk will not come.
struct SendRefusal {
  PeerNumber m_Peer;
  std::uint32_t m_Chunk;
  friend bool operator==(const SendRefusal &, const SendRefusal &) = default;
};

/// Tells all peers of chunks that are now here, or known to be somewhere.
struct SendHave {
  std::vector<std::uint32_t> m_Here;
  std::vector<std::uint32_t> m_Seen;
  friend bool operator==(const SendHave &, const SendHave &) = default;
};

struct ReadOrigin {
  std::uint32_t m_Chunk;
  friend bool operator==(const ReadOrigin &, const ReadOrigin &) = default;
};

/// Ends the connection; the peer is not to be used before that time.
struct DropPeer {
  PeerNumber m_Peer;
  TimePoint m_Until;
  friend bool operator==(const DropPeer &, const DropPeer &) = default;
};

/// The known peers do not suffice.
struct AskForPeers {
  friend bool operator==(const AskForPeers &, const AskForPeers &) = default;
};

using SwarmAction =
    std::variant<SendGrant, SendRequest, SendDecline, SendChunk, SendRefusal,
                 SendHave, ReadOrigin, DropPeer, AskForPeers>;
using SwarmActions = std::vector<SwarmAction>;

struct SwarmCounters {
  std::uint64_t m_FromPeers = 0;
  std::uint64_t m_FromOrigin = 0;
  std::uint64_t m_Duplicates = 0;
  std::uint64_t m_Corrupt = 0;
  std::uint64_t m_Hedges = 0;
  std::uint64_t m_Stalls = 0;
  std::uint64_t m_Crossings = 0; ///< chunks taken from other data centres

  friend bool operator==(const SwarmCounters &,
                         const SwarmCounters &) = default;
};

/// What a copy that gains nothing waits for, as its log tells it.
struct CopyWait {
  std::uint32_t m_Missing = 0;
  std::uint32_t m_Chunk = 0;       ///< the first of them
  std::uint32_t m_Near = 0;        ///< peers in the same data centre
  std::uint32_t m_Far = 0;         ///< peers elsewhere
  std::uint32_t m_NearHolders = 0; ///< of that chunk, as far as is known here
  std::uint32_t m_FarHolders = 0;
  std::uint32_t m_Asked = 0;   ///< chunks asked of peers
  Duration m_AskedFor{};       ///< how long the oldest of these
  InstanceId m_AskedOf;        ///< and of whom
  std::uint32_t m_Reading = 0; ///< chunks asked of the origin
  Duration m_OriginRest{};     ///< until it is asked again
  Duration m_SinceGain{};      ///< a chunk from anywhere

  friend bool operator==(const CopyWait &, const CopyWait &) = default;
};

/// One copy's state at one agent: events in, actions out, no clock, no socket.
///
/// A sender with room offers a chunk to the neighbour that misses most
/// (grant); the receiver chooses the chunk that is rarest among its peers
/// (request). Each chunk is read from the origin by one instance, the first
/// in the chunk's rendezvous order; the next ones step in when it does not
/// show up in time.
class Swarm {
public:
  Swarm(InstanceId Self, DataCentreId DataCentre, std::uint32_t Chunks,
        SwarmOptions Options, std::uint64_t Seed);

  /// Everyone that is to hold these weights, this instance included; orders
  /// who reads which chunk from the origin.
  void setInstances(const std::vector<InstanceId> &Instances);
  /// Every instance by its data centre. For each chunk one instance of each
  /// data centre, the importer, takes it from far peers, so that it crosses
  /// between data centres once. Some others in their order take it when it
  /// does not come; all of them at once would fill the link between the data
  /// centres with the same chunk. Without this call every instance takes far
  /// chunks that no near peer has.
  void setDataCentres(
      const std::map<DataCentreId, std::vector<InstanceId>> &Instances);
  /// Those of other data centres that are to read what this instance imports.
  std::set<InstanceId> importSources() const;
  void setPreference(Preference Value) { m_Options.m_Preference = Value; }

  /// A chunk found here at the start. Already verified.
  SwarmActions addStaged(std::uint32_t Chunk, TimePoint Now);

  SwarmActions onPeerJoined(PeerNumber Peer, InstanceId Id,
                            DataCentreId DataCentre, ChunkSet Has,
                            const ChunkSet &Seen, TimePoint Now);
  SwarmActions onPeerGone(PeerNumber Peer, TimePoint Now);
  SwarmActions onHave(PeerNumber Peer, const std::vector<std::uint32_t> &Here,
                      const std::vector<std::uint32_t> &Seen, TimePoint Now);
  SwarmActions onGrant(PeerNumber Peer, TimePoint Now);
  SwarmActions onDecline(PeerNumber Peer, TimePoint Now);
  SwarmActions onRequest(PeerNumber Peer, std::uint32_t Chunk, TimePoint Now);
  SwarmActions onRefusal(PeerNumber Peer, std::uint32_t Chunk, TimePoint Now);
  /// A chunk was sent, or cannot be: the upload's place is free again.
  SwarmActions onSent(PeerNumber Peer, std::uint32_t Chunk, TimePoint Now);
  /// Some bytes of an expected chunk came.
  void onProgress(PeerNumber Peer, std::uint32_t Chunk, TimePoint Now);
  /// All bytes of a chunk came and were checked against its digest. Only
  /// verified chunks for which wants() holds are to be staged.
  SwarmActions onArrived(PeerNumber Peer, std::uint32_t Chunk, bool Verified,
                         TimePoint Now);
  enum class OriginOutcome { Good, Corrupt, Failed, Refused };
  SwarmActions onOriginReply(std::uint32_t Chunk, OriginOutcome How,
                             TimePoint Now);
  SwarmActions onStaged(std::uint32_t Chunk, bool Stored, TimePoint Now);
  SwarmActions onTick(TimePoint Now);

  bool complete() const { return m_Here.full(); }
  bool wants(std::uint32_t Chunk) const {
    return Chunk < m_Here.size() && !m_Here.contains(Chunk) &&
           !m_Unstaged.contains(Chunk);
  }
  bool expects(PeerNumber Peer, std::uint32_t Chunk) const;
  const ChunkSet &here() const { return m_Here; }
  const ChunkSet &seen() const { return m_Seen; }
  const SwarmCounters &counters() const { return m_Counters; }
  /// What this copy's chunks have shown of the machine's link.
  LinkVerdict linkVerdict() const;
  std::size_t peerCount() const { return m_Peers.size(); }
  bool setAside(const InstanceId &Id, TimePoint Now) const;
  /// Without a meaning once the copy is complete.
  CopyWait waitsFor(TimePoint Now) const;

private:
  struct Transfer {
    std::uint32_t m_Chunk;
    TimePoint m_Asked;
    TimePoint m_Progress;
  };

  struct Peer {
    InstanceId m_Id;
    DataCentreId m_DataCentre;
    bool m_IsNear = true; ///< in this instance's data centre
    ChunkSet m_Has;
    std::uint32_t m_Useful = 0; ///< chunks here that it misses
    std::optional<TimePoint> m_Granted;
    TimePoint m_RestUntil{}; ///< after it declined
    TimePoint m_Heard{};
    std::vector<std::uint32_t> m_Sending;
    std::vector<Transfer> m_Expected;
  };

  struct Failure {
    std::uint32_t m_Count = 0;
    TimePoint m_Until{};
  };

  /// A chunk that the origin gave with a wrong digest.
  struct CorruptRead {
    Duration m_Rest{};
    TimePoint m_Until{};
  };

  Peer *find(PeerNumber Number);
  std::uint32_t uploads() const;
  bool hasRoom() const;
  void adaptRoom(Duration ChunkTook);
  void grant(SwarmActions &Out, TimePoint Now);
  Peer *neediest(TimePoint Now, PeerNumber &Number);
  std::optional<std::uint32_t> choose(const Peer &From, TimePoint Now);
  bool mayImport(const InstanceId &Who, const DataCentreId &In,
                 std::uint32_t Chunk, TimePoint Now) const;
  bool isUsefulTo(const Peer &To, TimePoint Now) const;
  std::uint32_t copiesIn(const DataCentreId &DataCentre,
                         std::uint32_t Chunk) const;
  std::optional<std::uint32_t> chooseHedge(const Peer &From,
                                           TimePoint Now) const;
  void markHas(Peer &Of, std::uint32_t Chunk, TimePoint Now);
  void markSeen(std::uint32_t Chunk, TimePoint Now);
  void insertHere(std::uint32_t Chunk, TimePoint Now);
  void release(std::uint32_t Chunk);
  void expireGrants(TimePoint Now);
  void readOrigin(SwarmActions &Out, TimePoint Now);
  bool mayRead(std::uint32_t Chunk, TimePoint Now);
  bool waitsForSoleHolder(std::uint32_t Chunk, TimePoint Now) const;
  bool unheldFor(std::uint32_t Chunk, Duration Length, TimePoint Now);
  void readForTime(SwarmActions &Out, TimePoint Now);
  void startRead(std::uint32_t Chunk, SwarmActions &Out);
  bool rests(std::uint32_t Chunk, TimePoint Now) const;
  void restChunk(std::uint32_t Chunk, TimePoint Now);
  bool starved(TimePoint Now) const;
  std::uint32_t goneFromOrigin(TimePoint Now) const;
  void openWindow(TimePoint Now);
  Duration originStep() const;
  bool stalled(const Peer &Each, TimePoint Now) const;
  void dropStalled(SwarmActions &Out, TimePoint Now);
  void tellPeers(SwarmActions &Out, TimePoint Now);
  Peer *hear(PeerNumber Number, TimePoint Now);
  void drop(PeerNumber Number, TimePoint Until, SwarmActions &Out);
  void forget(PeerNumber Number);
  TimePoint punish(const InstanceId &Id, TimePoint Now);

  InstanceId m_Self;
  DataCentreId m_DataCentre;
  SwarmOptions m_Options;
  std::minstd_rand m_Random;

  ChunkSet m_Here;     ///< verified and staged
  ChunkSet m_Unstaged; ///< verified, on the way to staging
  ChunkSet m_Taken;    ///< on the way from a peer or the origin, or unstaged
  ChunkSet m_Seen;     ///< known to be out of the origin, anywhere
  std::vector<std::uint32_t> m_Copies; ///< of each chunk, among the peers
  /// The same for the peers of each data centre.
  std::map<DataCentreId, std::vector<std::uint32_t>> m_CopiesIn;
  std::map<PeerNumber, Peer> m_Peers;
  std::map<InstanceId, Failure> m_Failures;
  std::vector<std::uint32_t> m_FreshSeen; ///< not yet told to the peers
  TimePoint m_Told{};                     ///< when the peers were last told

  std::vector<std::uint16_t> m_Rank; ///< of this instance, for each chunk
  /// By data centre: the importers of each chunk in their order. Empty: no one
  /// waits.
  std::map<DataCentreId, std::vector<std::vector<InstanceId>>> m_Importers;
  std::vector<TimePoint> m_SeenSince; ///< it was first known
  std::uint32_t m_Instances = 1;
  std::vector<TimePoint> m_Open;   ///< when a chunk's reading became due
  std::vector<TimePoint> m_Unheld; ///< since when seen, but with no known peer
  std::uint32_t m_Opened = 0;      ///< chunks below this are due
  std::set<std::uint32_t> m_Reading;
  TimePoint m_OriginRestUntil{};
  Duration m_OriginRests{}; ///< how long, after the last failure
  std::map<std::uint32_t, CorruptRead> m_CorruptReads;
  Duration m_SeenDelay{}; ///< moving mean from due to seen
  TimePoint m_LastGain{};
  TimePoint m_BeganAt{};     ///< to look at what the origin is asked for
  TimePoint m_PeersGaveAt{}; ///< the last bytes from any, or the start
  TimePoint m_AskedPeers{};
  TimePoint m_LonelySince{}; ///< the last time with a peer
  std::uint32_t m_ExtraReads = 0;
  Duration m_ChunkTime{}; ///< moving mean from asked to arrived
  double m_Room = 0;      ///< chunks that may be expected from peers at once
  SwarmCounters m_Counters;
};

} // namespace deckpitch
