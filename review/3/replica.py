"""One replica of a plain service, as a process of its own that can be killed.
Usage: replica.py ID HOST PORT SLOTS UNFRAMED_SHARE

Answers a request in pieces, as it works on it. By turns of five seconds, a share of
the answers has no length and ends with its channel. Prints a line when it listens, and one for each
request that it begins to run."""

import asyncio
import hashlib
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))

from web import Answer, Server  # noqa: E402

PIECES, PIECE_S = 10, 0.012
QUEUE = 24
UNFRAMED_S, FRAMED_S = 5.0, 5.0  # by turns; the clock is the same in all processes


def is_unframed_now():
    return time.monotonic() % (UNFRAMED_S + FRAMED_S) < UNFRAMED_S


def body_of(attempt):
    """The whole answer: 800 bytes that depend on the request's id alone."""
    return (hashlib.sha256(attempt.encode()).hexdigest().encode() * 13)[:800]


class Replica:
    def __init__(self, name, slots, unframed_share):
        self._name = name
        self._queue = asyncio.Semaphore(slots)
        self._most = slots + QUEUE
        self._inside = 0
        self._unframed_share = unframed_share
        self.server = Server(self._answer)

    async def _answer(self, request, channel):
        attempt = request.headers.get("attempt-id", "")
        if request.headers.get("target-instance") not in (None, self._name):
            return Answer(421, {"Attempt-Id": attempt, "Not-Executed": "1"})
        if self._inside >= self._most:
            return Answer(503, {"Attempt-Id": attempt, "Not-Executed": "1"})
        self._inside += 1
        try:
            async with self._queue:
                await self._run(attempt, channel)
        finally:
            self._inside -= 1
        return None

    async def _run(self, attempt, channel):
        framed = not is_unframed_now() or random.random() >= self._unframed_share
        print("run", attempt, "framed" if framed else "unframed", flush=True)
        body = body_of(attempt)
        framing = f"Content-Length: {len(body)}\r\n" if framed else "Connection: close\r\n"
        channel.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal.{attempt}\r\n"
                       f"{framing}\r\n").encode())
        step = len(body) // PIECES
        for at in range(0, len(body), step):
            await asyncio.sleep(PIECE_S)
            channel.write(body[at:at + step])
            await channel.drain()
        if not framed:
            channel.close()


async def main():
    name, host, port, slots, unframed = sys.argv[1:]
    replica = Replica(name, int(slots), float(unframed))
    await replica.server.listen(host, int(port))
    print("listens", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
