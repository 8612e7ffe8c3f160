// The port through which a platform's adapter translates requests, declarations
// and lists for the processes of a fleet. It is stateless and holds no policy.
#pragma once

#include "deckpitch/answer-meaning.h"
#include "deckpitch/error.h"
#include "deckpitch/event-stream.h"
#include "deckpitch/fleet.h"
#include "deckpitch/instance-table.h"
#include "deckpitch/request-fingerprint.h"
#include "deckpitch/send-record.h"
#include "deckpitch/time.h"
#include "net/http.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch::direct {

/// Parts of a prompt that are kept track of; further ones are passed over.
inline constexpr std::size_t MaxSharedParts = 16;

/// What a caller states about its request besides method, path and body.
struct CallerTerms {
  std::string m_AttemptId; ///< identifies this attempt of the caller
  std::string m_Key;       ///< API key of the organisation; never logged
  std::optional<std::chrono::milliseconds>
      m_CallerTimeout;       ///< the caller's timeout, from its sending
  std::string m_LastEventId; ///< the caller has the events up to this one
  std::string m_Model;       ///< empty: no model is named
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_AnswerTokens = 0; ///< maximum
  std::uint32_t m_LikelyTokens = 0; ///< the caller's estimate; 0: none
  /// The parts of the prompt that other requests may share, each once: all but
  /// the last. At most MaxSharedParts.
  std::vector<PromptPart> m_SharedParts;

  friend bool operator==(const CallerTerms &, const CallerTerms &) = default;
};

/// What an entry adds to a request that it forwards.
struct UpstreamTerms {
  std::chrono::milliseconds m_TimeLeft{};
  InstanceId m_Instance;         ///< any other at that address must refuse
  OrganisationId m_Organisation; ///< empty: none
  std::string m_LastEventId;     ///< empty: as the caller sent it

  friend bool operator==(const UpstreamTerms &,
                         const UpstreamTerms &) = default;
};

/// A request that was sent to an instance, for the reading of its answer.
struct SentRequest {
  std::string m_AttemptId;
  InstanceId m_Instance;             ///< that it was sent to
  bool m_IsFirstOnConnection = true; ///< nothing was sent there before

  friend bool operator==(const SentRequest &, const SentRequest &) = default;
};

/// HTTP statuses of an entry's own failures. None of them promises the caller
/// that its request has not run and will not.
enum class FailureStatus : unsigned {
  Unauthorized = 401,
  NotFound = 404,
  BadGateway = 502,
  GatewayTimeout = 504
};

/// What an instance reports about itself in an answer, independently of the
/// request.
struct InstanceNotice {
  bool m_IsLeaving = false;
  /// How long this process is to send it nothing; zero: no such demand.
  Duration m_BackOff{};
  /// Requests per second that it accepts from all entries together; nothing: it
  /// names no limit.
  std::optional<double> m_RateLimit;
  /// What it names as its limit if that is not a number; it then says nothing
  /// about a limit.
  std::string m_UnreadableRateLimit;

  friend bool operator==(const InstanceNotice &,
                         const InstanceNotice &) = default;
};

struct DirectoryQuery {
  std::string m_Host;        ///< that the caller wants to reach
  RegionId m_Region;         ///< the caller's; may be unknown
  DataCentreId m_DataCentre; ///< the caller's; may be unknown

  friend bool operator==(const DirectoryQuery &,
                         const DirectoryQuery &) = default;
};

/// Names of the platform's kinds of objects.
struct ObjectKinds {
  std::string m_Declarations; ///< one object, the whole declaration
  std::string m_Instances;    ///< one object for each instance incarnation
  std::string m_Weights;      ///< one object for each model
  /// One object, named after it, for each data centre that is evacuated.
  std::string m_Evacuations;
};

/// Implemented in platform/, where the implementation registers itself.
class FleetAdapter {
public:
  FleetAdapter() = default;
  virtual ~FleetAdapter() = default;
  FleetAdapter(const FleetAdapter &) = delete;
  FleetAdapter &operator=(const FleetAdapter &) = delete;

  virtual CallerTerms readTerms(const net::HttpRequest &Request) const = 0;
  /// The request in the form that an instance expects.
  virtual net::HttpRequest toUpstream(const net::HttpRequest &Request,
                                      const UpstreamTerms &Terms) const = 0;
  /// Reads what the head of an answer to that request says. Never fails: what
  /// cannot be read is absent.
  virtual AnswerHead readHead(unsigned Status, const net::HttpHeaders &Headers,
                              const SentRequest &Sent) const = 0;
  /// Must not be called for an answer that is WrongInstance, Foreign or
  /// Unnamed.
  virtual InstanceNotice noticeOf(unsigned Status,
                                  const net::HttpHeaders &Headers) const = 0;
  /// The headers of an instance's answer that are forwarded to the caller.
  virtual net::HttpHeaders toCaller(const net::HttpHeaders &Headers) const = 0;
  /// The entry's own answer to a request that has not run and will not. A
  /// RetryAfter of zero: none is sent.
  virtual net::HttpResponse refusal(const NotRunProof &Proof,
                                    std::string_view Reason,
                                    std::string_view AttemptId,
                                    Duration RetryAfter) const = 0;
  /// The entry's own answer that promises nothing.
  virtual net::HttpResponse failure(FailureStatus Status,
                                    std::string_view Reason,
                                    std::string_view AttemptId) const = 0;

  /// Nothing when the request is no query for addresses.
  virtual std::optional<DirectoryQuery>
  readDirectoryQuery(const net::HttpRequest &Request) const = 0;
  virtual net::HttpResponse
  directoryAnswer(const std::vector<std::string> &Addresses,
                  std::chrono::milliseconds Lifetime) const = 0;
  virtual bool isReadyQuery(const net::HttpRequest &Request) const = 0;

  virtual ObjectKinds kinds() const = 0;
  /// Errors of all three: InvalidInput naming what is missing.
  virtual Result<FleetDeclaration>
  parseDeclaration(std::string_view Json) const = 0;
  virtual Result<FleetInstance> parseInstance(std::string_view Name,
                                              std::string_view Json) const = 0;
  virtual Result<DeclaredWeights> parseWeights(std::string_view Json) const = 0;
  /// Reads the report of an instance. Errors: Unavailable, Timeout,
  /// InvalidInput.
  virtual net::asio::awaitable<Outcome<InstanceReport>>
  readReport(net::HttpClient &Http, std::string Address) const = 0;
};

/// The adapter that is linked in, or null.
FleetAdapter *fleetAdapter();

/// Registers an adapter; define one at namespace scope of the adapter's .cc
/// file.
struct FleetAdapterRegistration {
  explicit FleetAdapterRegistration(std::unique_ptr<FleetAdapter> Adapter);
};

} // namespace deckpitch::direct
