// What a platform's adapter translates for the processes of a fleet: requests,
// declarations and lists. It decides nothing and keeps nothing.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/event-stream.h"
#include "deckpitch/fleet.h"
#include "deckpitch/instance-table.h"
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

/// What a caller says about its request beside method, path and body.
struct CallerTerms {
  std::string m_AttemptId; ///< of this one attempt of the caller
  std::string m_Key;       ///< names the organisation; never logged
  std::optional<std::chrono::milliseconds> m_Patience; ///< from its sending
  std::string m_LastEventId; ///< the caller has the events up to this one
  std::string m_Model;       ///< empty: none is asked for
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_AnswerTokens = 0; ///< at most
  std::uint32_t m_LikelyTokens = 0; ///< the caller's rough guess; 0: none

  friend bool operator==(const CallerTerms &, const CallerTerms &) = default;
};

/// What an entry adds to a request that it passes on.
struct UpstreamTerms {
  std::chrono::milliseconds m_TimeLeft{};
  InstanceId m_Instance;         ///< another one at that address must refuse
  OrganisationId m_Organisation; ///< empty: none
  std::string m_LastEventId;     ///< empty: as the caller sent it

  friend bool operator==(const UpstreamTerms &,
                         const UpstreamTerms &) = default;
};

/// What an upstream's answer says about the request that was sent.
enum class AnswerMeaning {
  Answer,        ///< the request ran; this is its answer
  NotRun,        ///< the instance says that it did not run it
  WrongInstance, ///< another instance has the address; it did not run it
  Foreign        ///< the answer belongs to another request
};

/// What an instance says of itself in an answer, whatever becomes of the
/// request.
struct InstanceNotice {
  bool m_IsLeaving = false;
  /// It wants nothing from this process for so long; zero: it does not say so.
  Duration m_Rest{};

  friend bool operator==(const InstanceNotice &,
                         const InstanceNotice &) = default;
};

struct DirectoryQuery {
  DataCentreId m_DataCentre; ///< the caller's; may be unknown

  friend bool operator==(const DirectoryQuery &,
                         const DirectoryQuery &) = default;
};

/// Names of the platform's kinds of objects.
struct ObjectKinds {
  std::string m_Declarations; ///< one object, the whole declaration
  std::string m_Instances;    ///< one object for each life of an instance
  std::string m_Weights;      ///< one object for each model
};

/// One implementation stands in platform/ and registers itself.
class FleetAdapter {
public:
  FleetAdapter() = default;
  virtual ~FleetAdapter() = default;
  FleetAdapter(const FleetAdapter &) = delete;
  FleetAdapter &operator=(const FleetAdapter &) = delete;

  virtual CallerTerms readTerms(const net::HttpRequest &Request) const = 0;
  /// The request as an instance is to get it.
  virtual net::HttpRequest toUpstream(const net::HttpRequest &Request,
                                      const UpstreamTerms &Terms) const = 0;
  virtual AnswerMeaning meaningOf(unsigned Status,
                                  const net::HttpHeaders &Headers,
                                  std::string_view AttemptId) const = 0;
  /// Not to be asked where the answer is another instance's, or foreign.
  virtual InstanceNotice noticeOf(unsigned Status,
                                  const net::HttpHeaders &Headers) const = 0;
  /// The headers of an instance's answer that are meant for the caller.
  virtual net::HttpHeaders toCaller(const net::HttpHeaders &Headers) const = 0;
  /// An answer of the entry's own. RetryAfter zero: none is named.
  virtual net::HttpResponse ownAnswer(unsigned Status, std::string_view Reason,
                                      std::string_view AttemptId,
                                      Duration RetryAfter) const = 0;

  /// Nothing when the call is no question for addresses.
  virtual std::optional<DirectoryQuery>
  readDirectoryQuery(const net::HttpRequest &Request) const = 0;
  virtual net::HttpResponse
  directoryAnswer(const std::vector<std::string> &Addresses,
                  std::chrono::milliseconds Lifetime) const = 0;
  virtual bool isReadyQuery(const net::HttpRequest &Request) const = 0;

  virtual ObjectKinds kinds() const = 0;
  /// Errors of all: InvalidInput naming what is missing.
  virtual Result<FleetDeclaration>
  parseDeclaration(std::string_view Json) const = 0;
  virtual Result<FleetInstance> parseInstance(std::string_view Name,
                                              std::string_view Json) const = 0;
  virtual Result<DeclaredWeights> parseWeights(std::string_view Json) const = 0;
  /// What an instance tells of itself. Errors: Unavailable, Timeout,
  /// InvalidInput.
  virtual net::asio::awaitable<Outcome<InstanceReport>>
  readReport(net::HttpClient &Http, std::string Address) const = 0;
};

/// The adapter that is linked in, or null.
FleetAdapter *fleetAdapter();

/// Stands at namespace scope of the adapter's own .cc file.
struct FleetAdapterRegistration {
  explicit FleetAdapterRegistration(std::unique_ptr<FleetAdapter> Adapter);
};

} // namespace deckpitch::direct
