#include "net/signals.h"

#include <csignal>

namespace deckpitch::net {

namespace {

void changeReloadMask(int How) {
  sigset_t Reload;
  sigemptyset(&Reload);
  sigaddset(&Reload, SIGHUP);
  pthread_sigmask(How, &Reload, nullptr);
}

} // namespace

void holdReloadSignal() { changeReloadMask(SIG_BLOCK); }

void deliverReloadSignal() { changeReloadMask(SIG_UNBLOCK); }

void ignoreBrokenPipes() { std::signal(SIGPIPE, SIG_IGN); }

} // namespace deckpitch::net
