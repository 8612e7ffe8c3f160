// Engine adapter over HTTP; docs/INTERFACES.md.
#include "net/adapters.h"
#include "net/engine.h"

#include <boost/json.hpp>

namespace deckpitch::net {

namespace {

constexpr const char *StagingRoot = "/v1/engine/staging/";
/// An engine that does not return its status within this time cannot serve
/// requests either.
constexpr std::chrono::milliseconds StatusTimeout{2'000};
/// Bound on the body of a status, and of the answer to an order.
constexpr std::size_t MaxStatusBytes = std::size_t{1024} * 1024;
constexpr CallLimits StatusLimits{.m_ConnectTimeout =
                                      std::chrono::milliseconds(1'000),
                                  .m_FirstByte = StatusTimeout,
                                  .m_ReadTimeout = StatusTimeout,
                                  .m_BodyTimeout = StatusTimeout,
                                  .m_BodyBytes = MaxStatusBytes};
constexpr CallLimits OrderLimits{.m_BodyBytes = MaxStatusBytes};

Error errorOf(const std::string &Call, const HttpResponse &Answer) {
  const std::string Text =
      Call + ": " + std::to_string(Answer.m_Status) + " " + Answer.m_Body;
  switch (Answer.m_Status) {
  case 404:
    return {ErrorCode::NotFound, Text};
  case 409:
    return {ErrorCode::StaleFence, Text};
  case 422:
    return {ErrorCode::CorruptData, Text};
  case 400:
    return {ErrorCode::InvalidInput, Text};
  default:
    return {ErrorCode::Unavailable, Text};
  }
}

bool isSuccess(const HttpResponse &Answer) {
  return Answer.m_Status >= 200 && Answer.m_Status < 300;
}

std::string orderBody(const char *Order, const WeightsId &Weights,
                      FencingNumber Fence) {
  return boost::json::serialize(boost::json::object{
      {"order", Order}, {"fence", Fence.m_Value}, {"weights", Weights.m_Text}});
}

class HttpEngine final : public Engine {
public:
  HttpEngine(HttpClient &Http, std::string Address)
      : m_Http(Http), m_Address(std::move(Address)) {}

  asio::awaitable<Outcome<EngineStatus>> status() override;
  asio::awaitable<Outcome<bool>> stage(WeightsId Weights, std::uint32_t Index,
                                       std::string Bytes) override;
  asio::awaitable<Outcome<std::string>> staged(WeightsId Weights,
                                               std::uint32_t Index) override;
  asio::awaitable<Outcome<bool>> dropStaging(WeightsId Weights) override;
  asio::awaitable<Outcome<bool>> load(Manifest Wanted,
                                      FencingNumber Fence) override;
  asio::awaitable<Outcome<bool>> activate(WeightsId Weights,
                                          FencingNumber Fence) override;
  asio::awaitable<Outcome<bool>> unload(WeightsId Weights,
                                        FencingNumber Fence) override;

private:
  asio::awaitable<Outcome<bool>> order(std::string Body);

  HttpClient &m_Http;
  std::string m_Address;
};

std::string stagingPath(const WeightsId &Weights, std::uint32_t Index) {
  return StagingRoot + Weights.m_Text + "/chunks/" + std::to_string(Index);
}

asio::awaitable<Outcome<EngineStatus>> HttpEngine::status() {
  HttpRequest Request{"GET", "/v1/engine/status"};
  auto Answer =
      co_await m_Http.call(m_Address, std::move(Request), StatusLimits);
  if (!Answer)
    co_return Answer.error();
  if (!isSuccess(*Answer))
    co_return errorOf("status", *Answer);
  co_return outcomeOf([&] { return parseEngineStatus(Answer->m_Body); });
}

asio::awaitable<Outcome<bool>>
HttpEngine::stage(WeightsId Weights, std::uint32_t Index, std::string Bytes) {
  HttpRequest Request{"PUT", stagingPath(Weights, Index), {}, std::move(Bytes)};
  auto Answer =
      co_await m_Http.call(m_Address, std::move(Request), OrderLimits);
  if (!Answer)
    co_return Answer.error();
  if (!isSuccess(*Answer))
    co_return errorOf("stage", *Answer);
  co_return true;
}

asio::awaitable<Outcome<std::string>> HttpEngine::staged(WeightsId Weights,
                                                         std::uint32_t Index) {
  HttpRequest Request{"GET", stagingPath(Weights, Index)};
  CallLimits Limits;
  Limits.m_BodyBytes = std::size_t{512} * 1024 * 1024;
  auto Answer = co_await m_Http.call(m_Address, std::move(Request), Limits);
  if (!Answer)
    co_return Answer.error();
  if (!isSuccess(*Answer))
    co_return errorOf("staged", *Answer);
  co_return std::move(Answer->m_Body);
}

asio::awaitable<Outcome<bool>> HttpEngine::dropStaging(WeightsId Weights) {
  HttpRequest Request{"DELETE", StagingRoot + Weights.m_Text};
  auto Answer =
      co_await m_Http.call(m_Address, std::move(Request), OrderLimits);
  if (!Answer)
    co_return Answer.error();
  if (!isSuccess(*Answer))
    co_return errorOf("drop", *Answer);
  co_return true;
}

asio::awaitable<Outcome<bool>> HttpEngine::order(std::string Body) {
  HttpRequest Request{"POST", "/v1/engine/orders", {}, std::move(Body)};
  Request.m_Headers.add("Content-Type", "application/json");
  auto Answer =
      co_await m_Http.call(m_Address, std::move(Request), OrderLimits);
  if (!Answer)
    co_return Answer.error();
  if (!isSuccess(*Answer))
    co_return errorOf("order", *Answer);
  co_return true;
}

asio::awaitable<Outcome<bool>> HttpEngine::load(Manifest Wanted,
                                                FencingNumber Fence) {
  boost::json::object Body{{"order", "load"},
                           {"fence", Fence.m_Value},
                           {"weights", Wanted.m_Weights.m_Text}};
  Body["manifest"] = boost::json::parse(formatManifest(Wanted));
  return order(boost::json::serialize(Body));
}

asio::awaitable<Outcome<bool>> HttpEngine::activate(WeightsId Weights,
                                                    FencingNumber Fence) {
  return order(orderBody("activate", Weights, Fence));
}

asio::awaitable<Outcome<bool>> HttpEngine::unload(WeightsId Weights,
                                                  FencingNumber Fence) {
  return order(orderBody("unload", Weights, Fence));
}

static_assert(EnginePort<HttpEngine>);

const AdapterRegistration<Engine, HttpEngine> Registered("http");

} // namespace

} // namespace deckpitch::net
