// Cost of one streamed piece, for client and server together, over loopback.
#include "net/http.h"

#include <benchmark/benchmark.h>
#include <boost/asio.hpp>

using namespace deckpitch;
using namespace deckpitch::net;

namespace {

constexpr int Pieces = 2000;
constexpr std::size_t PieceBytes = 200;

asio::awaitable<void> stream(HttpRequest, HttpResponder &Answer) {
  const std::string Piece(PieceBytes, 'x');
  HttpHeaders None;
  co_await Answer.begin(200, std::move(None));
  for (int I = 0; I < Pieces; ++I)
    co_await Answer.write(Piece);
  co_await Answer.end();
}

asio::awaitable<void> readAll(HttpClient &Client, std::string Address,
                              std::size_t &Bytes) {
  HttpRequest Request;
  auto Opened = co_await Client.open(std::move(Address), std::move(Request));
  while (Opened) {
    auto Piece = co_await (*Opened)->read();
    if (!Piece || Piece->empty())
      break;
    Bytes += Piece->size();
  }
}

void streamPieces(benchmark::State &State) {
  IoThreads Threads(1);
  HttpServer Server(Threads, stream);
  const auto Bound = outcomeOf([&] { return Server.listen("127.0.0.1:0"); });
  Threads.start();
  asio::io_context Io;
  HttpClient Client;
  std::size_t Bytes = 0;
  for (auto _ : State) {
    asio::co_spawn(Io, readAll(Client, *Bound, Bytes), asio::detached);
    Io.run();
    Io.restart();
  }
  if (Bytes != State.iterations() * Pieces * PieceBytes)
    State.SkipWithError(
        "the client did not receive exactly the bytes that were sent");
  State.SetItemsProcessed(State.iterations() * Pieces);
  Threads.stop();
}
BENCHMARK(streamPieces)->MeasureProcessCPUTime()->UseRealTime();

} // namespace
