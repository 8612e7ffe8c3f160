#include "daemon/cancel-request.h"

namespace deckpitch::daemon {

namespace {

constexpr std::chrono::milliseconds CancelTimeout{1'000};
constexpr std::size_t MaxAnswerBytes = std::size_t{64} * 1024;

} // namespace

boost::asio::awaitable<void> cancelRequest(Process &In, std::string Address,
                                           std::string RequestId) {
  net::HttpRequest Cancel;
  Cancel.m_Method = "DELETE";
  Cancel.m_Target = "/v1/requests/" + RequestId;
  const net::CallLimits Limits{.m_ConnectTimeout = CancelTimeout,
                               .m_FirstByte = CancelTimeout,
                               .m_ReadTimeout = CancelTimeout,
                               .m_BodyTimeout = CancelTimeout,
                               .m_BodyBytes = MaxAnswerBytes};
  co_await In.m_Http.call(std::move(Address), std::move(Cancel), Limits);
}

} // namespace deckpitch::daemon
