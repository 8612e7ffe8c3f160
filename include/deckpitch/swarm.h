// Decides which chunks of one copy an agent requests, sends and reads from the
// origin.
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

/// Number of a connection to a peer, assigned by the caller of the swarm.
using PeerNumber = std::uint32_t;

struct SwarmOptions {
  std::uint32_t m_Uploads = 3;  ///< limit of grants and chunks being sent
  std::uint32_t m_Expected = 4; ///< limit of chunks requested from peers
  std::uint32_t m_Unstaged = 8; ///< limit of chunks in memory, not yet staged
  std::uint32_t m_OriginReads = 2; ///< limit of parallel reads by this instance
  std::uint32_t m_OriginWindow = 6; ///< limit of parallel reads by the pool
  /// Transfer time of a chunk over the origin's link. The window advances by
  /// one chunk per such interval even without announcements from peers. Zero:
  /// unknown.
  Duration m_OriginPace{};
  Preference m_Preference = Preference::OriginBytes;
  double m_HedgeShare = 0.05; ///< share of chunks that may be hedged
  /// Limit of redundant origin reads, in copies, of a pool that prefers time.
  double m_ExtraCopies = 3.0;
  Duration m_GrantLifetime = std::chrono::seconds(2);
  Duration m_DeclineBackOff = std::chrono::milliseconds(100);
  Duration m_StallTimeout = std::chrono::seconds(2); ///< without a byte
  /// Interval at which peers receive an announcement, if only an empty one.
  Duration m_KeepAlive = std::chrono::seconds(1);
  Duration m_SilenceTimeout = std::chrono::seconds(5); ///< without a message
  /// Minimum delay per rank before a chunk is read from the origin.
  Duration m_OriginStep = std::chrono::seconds(1);
  /// Delay per rank before an importer takes a chunk: several times the
  /// transfer time of a chunk over a link of some Mbit/s.
  Duration m_ImportWait = std::chrono::milliseconds(600);
  /// Back-off after a failed read. It doubles with each consecutive failure up
  /// to the maximum, so that an origin that loses single answers is retried
  /// soon and one that is down seldom.
  Duration m_OriginBackOff = std::chrono::milliseconds(100);
  Duration m_MaxOriginBackOff = std::chrono::seconds(1);
  /// A chunk that only one peer has held for this long is read from the origin
  /// again, by one instance after the other: all would otherwise wait for the
  /// holder, whose link may be slow. Zero: never.
  Duration m_SoleHolderWait{};
  /// A chunk that takes longer from request to arrival has queued on a slow
  /// link and delayed inference requests to the instance; fewer chunks are then
  /// requested in parallel. Zero: the limit is fixed.
  Duration m_TargetChunkTime{};
  /// Maximum back-off of a single chunk that the origin keeps returning
  /// corrupt.
  Duration m_MaxCorruptBackOff = std::chrono::minutes(1);
  Duration m_Quarantine = std::chrono::seconds(10);
  Duration m_LongQuarantine = std::chrono::minutes(10);

  friend bool operator==(const SwarmOptions &, const SwarmOptions &) = default;
};

/// How the instances of a pool share the reading from an origin.
struct OriginPacing {
  std::uint32_t m_Window = 1; ///< limit of parallel reads by the pool
  Duration m_Step{};  ///< delay per rank before an instance reads a chunk
  Duration m_Chunk{}; ///< transfer time of a chunk; 0: unknown

  friend bool operator==(const OriginPacing &, const OriginPacing &) = default;
};

/// Computes the pacing for an origin whose link has a bandwidth of Mbps (0:
/// unknown). All instances of a pool start to copy a version at the same
/// moment, and the link carries only a few chunks in the time that
/// announcements take. Chunks that are read in parallel share the link and all
/// arrive late; if that takes longer than the delay of the next reader, it
/// reads them again and slows all of them down further.
OriginPacing originPacing(double Mbps, std::uint32_t ChunkBytes);

/// Whether chunks queue on the link to an instance, and requests behind them.
enum class LinkQuality {
  Unknown, ///< too few chunks have arrived
  Sound,
  Slow ///< so slow that fewer chunks are requested
};

/// Offers a peer one chunk of its choice.
struct SendGrant {
  PeerNumber m_Peer;
  friend bool operator==(const SendGrant &, const SendGrant &) = default;
};

/// Requests a chunk in answer to a grant.
struct SendRequest {
  PeerNumber m_Peer;
  std::uint32_t m_Chunk;
  friend bool operator==(const SendRequest &, const SendRequest &) = default;
};

/// Declines a grant.
struct SendDecline {
  PeerNumber m_Peer;
  friend bool operator==(const SendDecline &, const SendDecline &) = default;
};

struct SendChunk {
  PeerNumber m_Peer;
  std::uint32_t m_Chunk;
  friend bool operator==(const SendChunk &, const SendChunk &) = default;
};

/// Tells a peer that the chunk it requested will not be sent.
struct SendRefusal {
  PeerNumber m_Peer;
  std::uint32_t m_Chunk;
  friend bool operator==(const SendRefusal &, const SendRefusal &) = default;
};

/// Announces to all peers the chunks that were staged here, and those that are
/// known to be held by any instance.
struct SendHave {
  std::vector<std::uint32_t> m_Here;
  std::vector<std::uint32_t> m_Seen;
  friend bool operator==(const SendHave &, const SendHave &) = default;
};

struct ReadOrigin {
  std::uint32_t m_Chunk;
  friend bool operator==(const ReadOrigin &, const ReadOrigin &) = default;
};

/// Closes the connection; the peer must not be used before m_Until.
struct DropPeer {
  PeerNumber m_Peer;
  TimePoint m_Until;
  friend bool operator==(const DropPeer &, const DropPeer &) = default;
};

/// Asks the caller for more peers: the known ones do not suffice.
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
  std::uint64_t m_Crossings = 0; ///< chunks received from other data centres

  friend bool operator==(const SwarmCounters &,
                         const SwarmCounters &) = default;
};

/// What a copy that makes no progress waits for, for the log.
struct CopyWait {
  std::uint32_t m_Missing = 0;
  std::uint32_t m_Chunk = 0;        ///< the first missing one
  std::uint32_t m_LocalPeers = 0;   ///< peers in the same data centre
  std::uint32_t m_RemotePeers = 0;  ///< peers in other data centres
  std::uint32_t m_LocalHolders = 0; ///< peers known to hold m_Chunk
  std::uint32_t m_RemoteHolders = 0;
  std::uint32_t m_Asked = 0;      ///< chunks requested from peers
  Duration m_OldestRequestAge{};  ///< age of the oldest of these requests
  InstanceId m_OldestRequestPeer; ///< the peer it was sent to
  std::uint32_t m_Reading = 0;    ///< chunks being read from the origin
  Duration m_OriginBackOff{};     ///< until the origin is read again
  Duration m_SinceLastChunk{};    ///< since the last chunk from any source

  friend bool operator==(const CopyWait &, const CopyWait &) = default;
};

/// The state of one copy at one agent. Takes events and returns actions; has no
/// clock and no socket.
///
/// A sender with a free upload slot offers a chunk to the peer that has the
/// fewest (grant); the receiver chooses the chunk that is rarest among its
/// peers (request). Each chunk is read from the origin by one instance, the
/// first in the chunk's rendezvous order; the next ones read it when it is not
/// announced in time.
class Swarm {
public:
  Swarm(InstanceId Self, DataCentreId DataCentre, std::uint32_t Chunks,
        SwarmOptions Options, std::uint64_t Seed);

  /// Sets the instances that are to hold these weights, this one included. They
  /// determine which instance reads which chunk from the origin.
  void setInstances(const std::vector<InstanceId> &Instances);
  /// Sets all instances by data centre. For each chunk one instance of each
  /// data centre, the importer, takes it from remote peers, so that it is
  /// transferred between data centres once. A few others take it in rank order
  /// if it does not arrive; all of them in parallel would fill the link between
  /// the data centres with the same chunk. Without this call every instance
  /// takes remote chunks that no local peer has.
  void setDataCentres(
      const std::map<DataCentreId, std::vector<InstanceId>> &Instances);
  /// Instances of other data centres that are to read the chunks from the
  /// origin which this instance imports.
  std::set<InstanceId> importSources() const;
  void setPreference(Preference Value) { m_Options.m_Preference = Value; }

  /// Adds a chunk that was found in staging at the start. It must be verified.
  SwarmActions addStaged(std::uint32_t Chunk, TimePoint Now);

  SwarmActions onPeerJoined(PeerNumber Peer, InstanceId Id,
                            DataCentreId DataCentre, ChunkSet Has,
                            const ChunkSet &Seen, TimePoint Now);
  SwarmActions onPeerGone(PeerNumber Peer, TimePoint Now);
  /// Ends a quarantine for silence or a stall: those were of the process that
  /// ended. One for corrupt chunks stays, since the cause may be the machine.
  void onPeerRestarted(const InstanceId &Id);
  SwarmActions onHave(PeerNumber Peer, const std::vector<std::uint32_t> &Here,
                      const std::vector<std::uint32_t> &Seen, TimePoint Now);
  SwarmActions onGrant(PeerNumber Peer, TimePoint Now);
  SwarmActions onDecline(PeerNumber Peer, TimePoint Now);
  SwarmActions onRequest(PeerNumber Peer, std::uint32_t Chunk, TimePoint Now);
  SwarmActions onRefusal(PeerNumber Peer, std::uint32_t Chunk, TimePoint Now);
  /// A chunk was sent or cannot be sent; either frees the upload slot.
  SwarmActions onSent(PeerNumber Peer, std::uint32_t Chunk, TimePoint Now);
  /// Some bytes of an expected chunk arrived.
  void onProgress(PeerNumber Peer, std::uint32_t Chunk, TimePoint Now);
  /// All bytes of a chunk arrived and were checked against its digest. Only
  /// verified chunks for which wants() was true before must be staged.
  SwarmActions onArrived(PeerNumber Peer, std::uint32_t Chunk, bool Verified,
                         TimePoint Now);
  enum class OriginOutcome { Good, Corrupt, Failed, Refused };
  SwarmActions onOriginReply(std::uint32_t Chunk, OriginOutcome Outcome,
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
  /// The state of the instance's link, judged by this copy's chunk times.
  LinkQuality linkQuality() const;
  std::size_t peerCount() const { return m_Peers.size(); }
  bool isQuarantined(const InstanceId &Id, TimePoint Now) const;
  /// Must not be called once the copy is complete.
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
    bool m_IsLocal = true; ///< in this instance's data centre
    ChunkSet m_Has;
    std::uint32_t m_Useful = 0; ///< chunks held here that the peer lacks
    std::optional<TimePoint> m_Granted;
    TimePoint m_NoGrantUntil{}; ///< after it declined
    TimePoint m_LastActivity{};
    std::vector<std::uint32_t> m_Sending;
    std::vector<Transfer> m_Expected;
  };

  struct Failure {
    std::uint32_t m_Count = 0;
    TimePoint m_Until{};
  };

  /// Back-off of a chunk that the origin returned with a wrong digest.
  struct CorruptRead {
    Duration m_BackOff{};
    TimePoint m_Until{};
  };

  Peer *find(PeerNumber Number);
  std::uint32_t uploads() const;
  bool mayRequest() const;
  void adaptRequestLimit(Duration ChunkTook);
  void grant(SwarmActions &Out, TimePoint Now);
  Peer *selectGrantee(TimePoint Now, PeerNumber &Number);
  std::optional<std::uint32_t> choose(const Peer &From, TimePoint Now);
  bool mayImport(const InstanceId &Who, const DataCentreId &DataCentre,
                 std::uint32_t Chunk, TimePoint Now) const;
  bool isUsefulTo(const Peer &To, TimePoint Now) const;
  std::uint32_t copiesIn(const DataCentreId &DataCentre,
                         std::uint32_t Chunk) const;
  std::optional<std::uint32_t> chooseHedge(const Peer &From,
                                           TimePoint Now) const;
  void markHas(Peer &Holder, std::uint32_t Chunk, TimePoint Now);
  void markSeen(std::uint32_t Chunk, TimePoint Now);
  void insertHere(std::uint32_t Chunk, TimePoint Now);
  void release(std::uint32_t Chunk);
  void expireGrants(TimePoint Now);
  void readOrigin(SwarmActions &Out, TimePoint Now);
  bool mayRead(std::uint32_t Chunk, TimePoint Now);
  bool waitsForSoleHolder(std::uint32_t Chunk, TimePoint Now) const;
  bool unheldFor(std::uint32_t Chunk, Duration Length, TimePoint Now);
  void readExtraCopy(SwarmActions &Out, TimePoint Now);
  void startRead(std::uint32_t Chunk, SwarmActions &Out);
  bool isBackingOff(std::uint32_t Chunk, TimePoint Now) const;
  void backOffChunk(std::uint32_t Chunk, TimePoint Now);
  bool starved(TimePoint Now) const;
  std::uint32_t countReadFromOrigin(TimePoint Now) const;
  void advanceWindow(TimePoint Now);
  Duration originStep() const;
  bool stalled(const Peer &Each, TimePoint Now) const;
  void dropStalled(SwarmActions &Out, TimePoint Now);
  void announceToPeers(SwarmActions &Out, TimePoint Now);
  Peer *findAndTouch(PeerNumber Number, TimePoint Now);
  void drop(PeerNumber Number, TimePoint Until, SwarmActions &Out);
  void forget(PeerNumber Number);
  TimePoint quarantine(const InstanceId &Id, TimePoint Now);

  InstanceId m_Self;
  DataCentreId m_DataCentre;
  SwarmOptions m_Options;
  std::minstd_rand m_Random;

  ChunkSet m_Here;     ///< verified and staged
  ChunkSet m_Unstaged; ///< verified, being staged
  ChunkSet m_Taken;    ///< requested from a peer or the origin, or unstaged
  ChunkSet m_Seen;     ///< known to be held by any instance
  std::vector<std::uint32_t> m_Copies; ///< of each chunk, among the peers
  /// Copies of each chunk among the peers of each data centre.
  std::map<DataCentreId, std::vector<std::uint32_t>> m_CopiesIn;
  std::map<PeerNumber, Peer> m_Peers;
  std::map<InstanceId, Failure> m_Failures;
  std::vector<std::uint32_t> m_UnannouncedSeen; ///< seen, not yet announced
  TimePoint m_LastAnnounced{}; ///< last announcement to the peers

  std::vector<std::uint16_t> m_Rank; ///< of this instance, for each chunk
  /// The importers of each chunk by data centre, in rank order. Empty: every
  /// instance imports without delay.
  std::map<DataCentreId, std::vector<std::vector<InstanceId>>> m_Importers;
  std::vector<TimePoint> m_SeenSince; ///< when each chunk was first seen
  std::uint32_t m_Instances = 1;
  std::vector<TimePoint> m_DueAt;  ///< when each chunk became due for reading
  std::vector<TimePoint> m_Unheld; ///< since when no known peer holds it
  std::uint32_t m_DueCount = 0;    ///< chunks below this number are due
  std::set<std::uint32_t> m_Reading;
  TimePoint m_OriginBackOffUntil{};
  Duration m_CurrentOriginBackOff{}; ///< length after the last failure
  std::map<std::uint32_t, CorruptRead> m_CorruptReads;
  Duration m_SeenDelay{}; ///< moving average from due to seen
  TimePoint m_LastChunkAt{};
  TimePoint m_StartedAt{};        ///< first check for chunks to read
  TimePoint m_LastPeerProgress{}; ///< last bytes from any peer, or the start
  TimePoint m_AskedPeers{};
  TimePoint m_LastPeerAt{}; ///< last tick with a connected peer, or the first
  std::uint32_t m_ExtraReads = 0;
  Duration m_ChunkTime{};    ///< moving average from request to arrival
  double m_RequestLimit = 0; ///< chunks that may be requested from peers
  SwarmCounters m_Counters;
};

} // namespace deckpitch
