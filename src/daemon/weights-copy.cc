#include "daemon/weights-copy.h"

#include "net/address.h"
#include "net/log.h"
#include "net/socket-deadline.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace deckpitch::daemon {

namespace {

using asio::ip::tcp;
constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr Duration TickWhileCopying = std::chrono::milliseconds(20);
constexpr Duration TickWhenComplete = std::chrono::milliseconds(200);
/// Longer than the delay between the agents that learn of a rollout first and
/// last.
constexpr Duration OriginStep = std::chrono::seconds(2);
constexpr Duration PeerRetryInterval = std::chrono::seconds(1);
/// Limits the connection attempt and then, separately, the wait for the peer's
/// hello; equals the silence allowed on an established connection. Without it a
/// vanished peer would occupy a connection forever.
constexpr std::chrono::milliseconds HandshakeTimeout{5'000};
constexpr Duration StagingRetryDelay = std::chrono::milliseconds(200);
/// Connections accepted per peer sought.
constexpr std::uint32_t MaxPeersFactor = 3;
/// Peers whose incarnation is remembered; they name themselves as they like.
constexpr std::size_t MaxIncarnations = 10'000;
constexpr std::uint32_t MaxExpected = 4;
constexpr std::uint32_t MaxUnstaged = 8;
/// Consecutive unanswered reads of staging before recovery stops: each one
/// delays the copy by seconds, and peers or the origin have the chunks too.
constexpr std::uint32_t MaxUnansweredReads = 3;

std::span<const std::uint8_t> bytesOf(const std::string &Text) {
  return {reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()};
}

std::string_view textOf(const Digest &Value) {
  return {reinterpret_cast<const char *>(Value.m_Bytes.data()),
          Value.m_Bytes.size()};
}

asio::awaitable<bool> connectSocket(tcp::socket &Socket, tcp::endpoint To) {
  net::SocketDeadline Limit(Socket);
  Limit.expiresAfter(HandshakeTimeout);
  auto [Ec] = co_await Socket.async_connect(To, UseAwaitable);
  co_return !Ec;
}

std::uint64_t seedOf(const InstanceId &Id) {
  return std::hash<std::string>{}(Id.m_Text);
}

} // namespace

SwarmOptions swarmOptionsFor(const WeightsSettings &Settings,
                             std::uint32_t ChunkBytes) {
  SwarmOptions Options;
  Options.m_OriginStep = OriginStep;
  // Shared by uploads, expected chunks, origin reads and chunks to be staged.
  const auto MaxChunksInMemory =
      static_cast<std::uint32_t>(std::clamp<std::uint64_t>(
          Settings.m_MemoryBytes / std::max(1U, ChunkBytes), 1, 1024));
  Options.m_Expected = std::clamp(MaxChunksInMemory / 5, 1U, MaxExpected);
  Options.m_Unstaged = std::clamp(MaxChunksInMemory / 5, 1U, MaxUnstaged);
  Options.m_OriginReads =
      std::clamp(MaxChunksInMemory / 8, 1U, Options.m_OriginReads);
  return Options;
}

WeightsCopy::WeightsCopy(TransferContext &Context, Manifest Of,
                         SwarmOptions Options)
    : m_Context(Context), m_Manifest(std::move(Of)),
      m_Swarm(Context.m_Settings.m_Instance, Context.m_Settings.m_DataCentre,
              m_Manifest.chunkCount(), Options,
              seedOf(Context.m_Settings.m_Instance)) {}

template <typename Step> void WeightsCopy::spawn(Step Run) {
  // Keeps the copy alive while Run, a coroutine of a member, is under way.
  auto KeepAlive = [](std::shared_ptr<WeightsCopy> Self,
                      Step Body) -> asio::awaitable<void> {
    co_await Body();
    Self.reset();
  };
  asio::co_spawn(m_Context.m_Io, KeepAlive(shared_from_this(), std::move(Run)),
                 asio::detached);
}

CopyState WeightsCopy::state() const {
  return {m_Manifest.m_Weights, m_Manifest.m_Base, m_Manifest.m_Whole,
          m_Swarm.complete()};
}

bool WeightsCopy::matches(std::uint32_t Chunk, const std::string &Bytes) const {
  return Chunk < m_Manifest.chunkCount() &&
         Bytes.size() == m_Manifest.chunkLength(Chunk) &&
         digestOf(bytesOf(Bytes)) == m_Manifest.m_Chunks[Chunk];
}

asio::awaitable<void> WeightsCopy::recover(EngineStatus Engine,
                                           std::vector<Manifest> Others) {
  for (const StagedWeights &Staged : Engine.m_Staging) {
    if (Staged.m_Weights != m_Manifest.m_Weights)
      continue;
    for (std::uint32_t Index : Staged.m_Chunks)
      if (Index < m_Manifest.chunkCount())
        co_await recoverChunk(Staged.m_Weights, Index, Index);
  }
  std::map<Digest, std::uint32_t> Missing;
  for (std::uint32_t Chunk = 0; Chunk < m_Manifest.chunkCount(); ++Chunk)
    if (m_Swarm.wants(Chunk))
      Missing.emplace(m_Manifest.m_Chunks[Chunk], Chunk);
  for (const Manifest &Other : Others)
    for (std::uint32_t Index = 0; Index < Other.chunkCount(); ++Index) {
      const auto Found = Missing.find(Other.m_Chunks[Index]);
      if (Found != Missing.end() && m_Swarm.wants(Found->second))
        co_await recoverChunk(Other.m_Weights, Index, Found->second);
    }
}

/// Adds a staged chunk to this copy if its digest matches.
asio::awaitable<void> WeightsCopy::recoverChunk(WeightsId From,
                                                std::uint32_t Index,
                                                std::uint32_t Chunk) {
  if (m_UnansweredReads >= MaxUnansweredReads)
    co_return;
  auto Bytes = co_await m_Context.m_Engine->staged(From, Index);
  const bool HasAnswered = Bytes || Bytes.error().m_Code == ErrorCode::NotFound;
  m_UnansweredReads = HasAnswered ? 0 : m_UnansweredReads + 1;
  if (!Bytes || !matches(Chunk, *Bytes))
    co_return;
  if (From != m_Manifest.m_Weights) {
    const auto Stored = co_await m_Context.m_Engine->stage(
        m_Manifest.m_Weights, Chunk, std::move(*Bytes));
    if (!Stored)
      co_return;
  }
  perform(m_Swarm.addStaged(Chunk, now()));
}

void WeightsCopy::start() {
  spawn([this] { return tick(); });
}

void WeightsCopy::stop() {
  m_Stopped = true;
  for (auto &[Number, Each] : m_Peers)
    Each.m_Connection->close();
}

void WeightsCopy::setInstances(std::vector<InstanceId> Instances) {
  m_Swarm.setInstances(Instances);
}

void WeightsCopy::setPeers(std::vector<PeerAddress> Peers) {
  m_KnownPeers = std::move(Peers);
  connectMore();
}

asio::awaitable<void> WeightsCopy::tick() {
  while (!m_Stopped) {
    perform(m_Swarm.onTick(now()));
    if (!m_Swarm.complete())
      connectMore();
    const Duration Interval =
        m_Swarm.complete() ? TickWhenComplete : TickWhileCopying;
    co_await sleepFor(Interval);
  }
}

bool WeightsCopy::isConnected(const InstanceId &Id) const {
  return std::any_of(m_Peers.begin(), m_Peers.end(),
                     [&](const auto &Each) { return Each.second.m_Id == Id; });
}

/// Closes connections to an earlier incarnation of the peer. A machine that
/// loses power does not close them; they would count as connected until they
/// are found silent, and the peer's new ones would be refused until then.
void WeightsCopy::noteIncarnation(const wire::BulkHello &Hello) {
  if (m_Incarnations.size() >= MaxIncarnations)
    m_Incarnations.clear();
  const InstanceId Id{Hello.instance()};
  const auto [Known, IsFirst] =
      m_Incarnations.try_emplace(Id, Hello.incarnation());
  if (IsFirst || Known->second == Hello.incarnation())
    return;
  Known->second = Hello.incarnation();
  std::vector<PeerNumber> Former;
  for (const auto &[Number, Each] : m_Peers)
    if (Each.m_Id == Id)
      Former.push_back(Number);
  for (const PeerNumber Number : Former) {
    const auto Peer = m_Peers.extract(Number);
    if (Peer.empty())
      continue;
    Peer.mapped().m_Connection->close();
    perform(m_Swarm.onPeerGone(Number, now()));
  }
  m_Swarm.onPeerRestarted(Id);
}

void WeightsCopy::connectMore() {
  const TimePoint Now = now();
  for (const PeerAddress &Each : m_KnownPeers) {
    const std::size_t Links = m_Peers.size() + m_Connecting.size();
    if (m_Stopped || Links >= m_Context.m_Settings.m_Weights.m_Peers)
      return;
    const bool Usable = Each.m_Id != m_Context.m_Settings.m_Instance &&
                        !isConnected(Each.m_Id) &&
                        !m_Connecting.contains(Each.m_Id);
    if (!Usable || m_Swarm.isQuarantined(Each.m_Id, Now) ||
        Now < m_RetryAt[Each.m_Id])
      continue;
    m_Connecting.insert(Each.m_Id);
    spawn([this, Each] { return connect(Each); });
  }
}

asio::awaitable<void> WeightsCopy::connect(PeerAddress To) {
  const InstanceId Id = To.m_Id;
  m_RetryAt[Id] = now() + PeerRetryInterval;
  co_await handshake(std::move(To));
  m_Connecting.erase(Id);
}

asio::awaitable<void> WeightsCopy::handshake(PeerAddress To) {
  const auto Endpoint =
      outcomeOf([&] { return net::parseEndpoint(To.m_Bulk); });
  if (!Endpoint)
    co_return;
  tcp::socket Socket(m_Context.m_Io);
  const bool IsConnected = co_await connectSocket(Socket, *Endpoint);
  if (!IsConnected || m_Stopped)
    co_return;
  net::tuneBulkSocket(Socket);
  auto Connection = std::make_shared<BulkConnection>(std::move(Socket));
  Connection->start();
  const wire::BulkHello SentHello = hello();
  wire::BulkFrame Message;
  *Message.mutable_hello() = SentHello;
  Connection->send(std::move(Message));
  net::SocketDeadline Limit(Connection->socket());
  Limit.expiresAfter(HandshakeTimeout);
  auto Answer = co_await net::readBulk(Connection->socket());
  Limit.stop();
  const bool IsUsable = Answer && Answer->m_Header.has_hello() &&
                        isCompatible(Answer->m_Header.hello()) && !m_Stopped;
  if (IsUsable)
    noteIncarnation(Answer->m_Header.hello());
  if (!IsUsable || isConnected(To.m_Id)) {
    Connection->close();
    co_return;
  }
  wire::BulkHello Hello = Answer->m_Header.hello();
  spawn([this, Connection, Hello, SentHello] {
    return serve(Connection, Hello, SentHello);
  });
}

wire::BulkHello WeightsCopy::hello() const {
  wire::BulkHello Out;
  Out.set_instance(m_Context.m_Settings.m_Instance.m_Text);
  Out.set_data_centre(m_Context.m_Settings.m_DataCentre.m_Text);
  Out.set_incarnation(m_Context.m_Incarnation.m_Value);
  Out.set_weights(m_Manifest.m_Weights.m_Text);
  Out.set_whole(std::string(textOf(m_Manifest.m_Whole)));
  Out.set_chunks(m_Manifest.chunkCount());
  Out.set_here(m_Swarm.here().toBytes());
  Out.set_seen(m_Swarm.seen().toBytes());
  return Out;
}

bool WeightsCopy::isCompatible(const wire::BulkHello &Hello) const {
  return Hello.whole() == textOf(m_Manifest.m_Whole) &&
         Hello.chunks() == m_Manifest.chunkCount() && !Hello.instance().empty();
}

asio::awaitable<void>
WeightsCopy::accept(std::shared_ptr<BulkConnection> Connection,
                    wire::BulkHello Hello) {
  const InstanceId Id{Hello.instance()};
  const std::size_t MaxPeers =
      std::size_t{MaxPeersFactor} * m_Context.m_Settings.m_Weights.m_Peers;
  // If both sides connect at once, the connection opened by the lower id wins.
  const bool PrefersOwnConnection =
      m_Connecting.contains(Id) && m_Context.m_Settings.m_Instance < Id;
  const bool IsUsable = !m_Stopped && isCompatible(Hello);
  if (IsUsable)
    noteIncarnation(Hello);
  if (!IsUsable || isConnected(Id) || PrefersOwnConnection ||
      m_Peers.size() >= MaxPeers) {
    Connection->close();
    co_return;
  }
  wire::BulkHello SentHello = hello();
  wire::BulkFrame Message;
  *Message.mutable_hello() = SentHello;
  Connection->send(std::move(Message));
  co_await serve(std::move(Connection), std::move(Hello), std::move(SentHello));
}

/// Announces chunks that arrived since the hello was sent. Chunks are announced
/// only to peers already connected, and a peer that does not know of a chunk
/// declines every offer of it: it would wait forever if this is the only holder
/// nearby.
void WeightsCopy::sendMissedUpdates(const wire::BulkHello &SentHello,
                                    BulkConnection &To) {
  const std::uint32_t Chunks = m_Manifest.chunkCount();
  const ChunkSet None(Chunks);
  wire::BulkFrame Message;
  m_Swarm.here().forEachNotIn(
      ChunkSet::fromBytes(Chunks, SentHello.here()), None,
      [&](std::uint32_t Chunk) { Message.mutable_have()->add_here(Chunk); });
  m_Swarm.seen().forEachNotIn(
      ChunkSet::fromBytes(Chunks, SentHello.seen()), None,
      [&](std::uint32_t Chunk) { Message.mutable_have()->add_seen(Chunk); });
  if (Message.has_have())
    To.send(std::move(Message));
}

asio::awaitable<void>
WeightsCopy::serve(std::shared_ptr<BulkConnection> Connection,
                   wire::BulkHello Hello, wire::BulkHello SentHello) {
  const PeerNumber Number = m_NextPeer++;
  const std::uint32_t Chunks = m_Manifest.chunkCount();
  m_Peers[Number] = {InstanceId{Hello.instance()}, Connection, {}};
  sendMissedUpdates(SentHello, *Connection);
  Connection->onPieceDone([this] { m_Context.m_Uplink->wake(); });
  perform(m_Swarm.onPeerJoined(
      Number, InstanceId{Hello.instance()}, DataCentreId{Hello.data_centre()},
      ChunkSet::fromBytes(Chunks, Hello.here()),
      ChunkSet::fromBytes(Chunks, Hello.seen()), now()));
  bool Good = true;
  while (Good && !Connection->closed()) {
    auto Message = co_await net::readBulk(Connection->socket());
    Good = Message.has_value() && !m_Stopped;
    if (Good)
      Good = co_await receive(Number, std::move(*Message));
  }
  Connection->close();
  m_Peers.erase(Number);
  perform(m_Swarm.onPeerGone(Number, now()));
}

asio::awaitable<bool> WeightsCopy::receive(PeerNumber Number,
                                           net::BulkMessage Message) {
  const wire::BulkFrame &Frame = Message.m_Header;
  const TimePoint Now = now();
  switch (Frame.kind_case()) {
  case wire::BulkFrame::kHave:
    perform(m_Swarm.onHave(
        Number, {Frame.have().here().begin(), Frame.have().here().end()},
        {Frame.have().seen().begin(), Frame.have().seen().end()}, Now));
    co_return true;
  case wire::BulkFrame::kGrant:
    perform(m_Swarm.onGrant(Number, Now));
    co_return true;
  case wire::BulkFrame::kDecline:
    perform(m_Swarm.onDecline(Number, Now));
    co_return true;
  case wire::BulkFrame::kRequest:
    perform(m_Swarm.onRequest(Number, Frame.request().chunk(), Now));
    co_return true;
  case wire::BulkFrame::kRefusal:
    perform(m_Swarm.onRefusal(Number, Frame.refusal().chunk(), Now));
    co_return true;
  case wire::BulkFrame::kPiece:
    co_return co_await receivePiece(Number, std::move(Message));
  default:
    co_return false;
  }
}

asio::awaitable<bool> WeightsCopy::receivePiece(PeerNumber Number,
                                                net::BulkMessage Message) {
  const wire::BulkPiece &Piece = Message.m_Header.piece();
  const std::uint32_t Chunk = Piece.chunk();
  const Duration Wait =
      m_Context.m_Link.m_Down->take(Message.m_Bytes.size(), now());
  if (Wait > Duration::zero())
    co_await sleepFor(Wait);
  const auto From = m_Peers.find(Number);
  if (From == m_Peers.end())
    co_return false;
  if (!m_Swarm.expects(Number, Chunk)) {
    From->second.m_Partial.erase(Chunk);
    co_return true;
  }
  std::string &Partial = From->second.m_Partial[Chunk];
  const std::size_t Length = m_Manifest.chunkLength(Chunk);
  if (Piece.offset() != Partial.size() ||
      Partial.size() + Message.m_Bytes.size() > Length)
    co_return false;
  Partial += Message.m_Bytes;
  m_Swarm.onProgress(Number, Chunk, now());
  if (Partial.size() < Length)
    co_return true;
  std::string Complete = std::move(Partial);
  From->second.m_Partial.erase(Chunk);
  receiveChunk(Number, Chunk, std::move(Complete));
  co_return true;
}

void WeightsCopy::receiveChunk(PeerNumber Number, std::uint32_t Chunk,
                               std::string Bytes) {
  const bool Verified = matches(Chunk, Bytes);
  const bool Wanted = m_Swarm.wants(Chunk);
  if (!Verified)
    net::log(Event::ChunkCorrupt, {{"weights", m_Manifest.m_Weights.m_Text},
                                   {"chunk", std::uint64_t{Chunk}},
                                   {"from", m_Peers.at(Number).m_Id.m_Text}});
  perform(m_Swarm.onArrived(Number, Chunk, Verified, now()));
  if (!Verified || !Wanted)
    return;
  auto Held = std::make_shared<std::string>(std::move(Bytes));
  spawn([this, Chunk, Held] { return stage(Chunk, std::move(*Held)); });
}

asio::awaitable<void> WeightsCopy::stage(std::uint32_t Chunk,
                                         std::string Bytes) {
  const auto Stored = co_await m_Context.m_Engine->stage(
      m_Manifest.m_Weights, Chunk, std::move(Bytes));
  if (!Stored)
    co_await sleepFor(StagingRetryDelay);
  if (m_Stopped)
    co_return;
  perform(m_Swarm.onStaged(Chunk, Stored.has_value(), now()));
  if (m_OnChunkStaged)
    m_OnChunkStaged();
}

asio::awaitable<void> WeightsCopy::sendChunk(PeerNumber Number,
                                             std::uint32_t Chunk) {
  auto Bytes = co_await m_Context.m_Engine->staged(m_Manifest.m_Weights, Chunk);
  const auto To = m_Peers.find(Number);
  const bool Usable = Bytes && To != m_Peers.end() && !m_Stopped;
  if (!Usable) {
    perform(SendRefusal{Number, Chunk});
    perform(m_Swarm.onSent(Number, Chunk, now()));
    co_return;
  }
  auto OnDone = [Self = shared_from_this(), Number, Chunk] {
    Self->perform(Self->m_Swarm.onSent(Number, Chunk, now()));
  };
  m_Context.m_Uplink->send(
      To->second.m_Connection, Chunk,
      std::make_shared<const std::string>(std::move(*Bytes)), OnDone);
}

asio::awaitable<Outcome<net::OriginChunk>>
WeightsCopy::readOnce(net::Origin &From, std::uint32_t Chunk) {
  auto Pace = [this](std::size_t Bytes) -> asio::awaitable<void> {
    const Duration Wait = m_Context.m_Link.m_Down->take(Bytes, now());
    if (Wait > Duration::zero())
      co_await sleepFor(Wait);
  };
  co_return co_await From.chunk(m_Manifest, Chunk, Pace);
}

Swarm::OriginOutcome
WeightsCopy::classifyOriginRead(std::uint32_t Chunk,
                                const Outcome<net::OriginChunk> &Read) {
  if (!Read)
    return Read.error().m_Code == ErrorCode::Timeout
               ? Swarm::OriginOutcome::Failed
               : Swarm::OriginOutcome::Refused;
  if (matches(Chunk, Read->m_Bytes))
    return Swarm::OriginOutcome::Good;
  const bool OtherContent =
      !Read->m_Tag.empty() &&
      Read->m_Tag.find(toHex(m_Manifest.m_Whole)) == std::string::npos;
  m_OriginChanged = m_OriginChanged || OtherContent;
  net::log(Event::ChunkCorrupt, {{"weights", m_Manifest.m_Weights.m_Text},
                                 {"chunk", std::uint64_t{Chunk}},
                                 {"from", "origin"}});
  return Swarm::OriginOutcome::Corrupt;
}

asio::awaitable<void> WeightsCopy::readOrigin(std::uint32_t Chunk) {
  auto Read = co_await readOnce(*m_Context.m_Origin, Chunk);
  if (!Read && m_Context.m_Store && !m_Stopped)
    Read = co_await readOnce(*m_Context.m_Store, Chunk);
  if (m_Stopped)
    co_return;
  const Swarm::OriginOutcome How = classifyOriginRead(Chunk, Read);
  const bool Wanted = m_Swarm.wants(Chunk);
  perform(m_Swarm.onOriginReply(Chunk, How, now()));
  if (How == Swarm::OriginOutcome::Good && Wanted)
    co_await stage(Chunk, std::move(Read->m_Bytes));
}

void WeightsCopy::perform(const SwarmActions &Actions) {
  if (m_Stopped)
    return;
  for (const SwarmAction &Each : Actions)
    std::visit([this](const auto &Action) { perform(Action); }, Each);
}

void WeightsCopy::sendTo(PeerNumber Number, wire::BulkFrame Message) {
  const auto To = m_Peers.find(Number);
  if (To != m_Peers.end())
    To->second.m_Connection->send(std::move(Message));
}

void WeightsCopy::perform(const SendGrant &Action) {
  wire::BulkFrame Message;
  Message.mutable_grant();
  sendTo(Action.m_Peer, std::move(Message));
}

void WeightsCopy::perform(const SendRequest &Action) {
  wire::BulkFrame Message;
  Message.mutable_request()->set_chunk(Action.m_Chunk);
  sendTo(Action.m_Peer, std::move(Message));
}

void WeightsCopy::perform(const SendDecline &Action) {
  wire::BulkFrame Message;
  Message.mutable_decline();
  sendTo(Action.m_Peer, std::move(Message));
}

void WeightsCopy::perform(const SendRefusal &Action) {
  wire::BulkFrame Message;
  Message.mutable_refusal()->set_chunk(Action.m_Chunk);
  sendTo(Action.m_Peer, std::move(Message));
}

void WeightsCopy::perform(const SendHave &Action) {
  wire::BulkFrame Message;
  Message.mutable_have()->mutable_here()->Assign(Action.m_Here.begin(),
                                                 Action.m_Here.end());
  Message.mutable_have()->mutable_seen()->Assign(Action.m_Seen.begin(),
                                                 Action.m_Seen.end());
  for (auto &[Number, Each] : m_Peers)
    Each.m_Connection->send(Message);
}

void WeightsCopy::perform(const SendChunk &Action) {
  spawn([this, Action] { return sendChunk(Action.m_Peer, Action.m_Chunk); });
}

void WeightsCopy::perform(const ReadOrigin &Action) {
  spawn([this, Action] { return readOrigin(Action.m_Chunk); });
}

void WeightsCopy::perform(const DropPeer &Action) {
  const auto To = m_Peers.find(Action.m_Peer);
  if (To == m_Peers.end())
    return;
  net::log(Event::PeerQuarantined, {{"weights", m_Manifest.m_Weights.m_Text},
                                    {"peer", To->second.m_Id.m_Text}});
  To->second.m_Connection->close();
}

void WeightsCopy::perform(const AskForPeers &) {
  if (m_AskForPeers)
    m_AskForPeers();
}

} // namespace deckpitch::daemon
