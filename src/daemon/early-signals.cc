// Holds SIGHUP back before the static initialisers of the shared libraries
// run, which take longer than the rest of a start. Linked into the daemon only:
// a test program must not pass a blocked signal on to its children.
#include <sys/syscall.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>

namespace {

/// Calls the kernel itself: a sanitizer's version of the library function may
/// not be initialised yet.
void holdReloadSignalEarly() {
  const std::uint64_t Reload = std::uint64_t{1} << (SIGHUP - 1);
  syscall(SYS_rt_sigprocmask, SIG_BLOCK, &Reload, nullptr, sizeof(Reload));
}

/// The loader calls this before any other initialiser of the process.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const HoldEarly)() = holdReloadSignalEarly;

} // namespace
