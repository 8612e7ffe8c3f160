// Signals that must not end a process.
#pragma once

namespace deckpitch::net {

/// Keeps SIGHUP pending until deliverReloadSignal(). Threads that start
/// meanwhile never receive it.
void holdReloadSignal();
/// Delivers SIGHUP, also one that arrived while it was held, to the handler
/// that was set. Call it in the thread that held it.
void deliverReloadSignal();
/// Makes writes to a pipe without a reader fail instead of ending the process.
void ignoreBrokenPipes();

} // namespace deckpitch::net
