"""HTTP/1.1 on asyncio for the stand-ins and callers of the cases."""

import asyncio
import json
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit


@dataclass
class Request:
    method: str
    path: str
    query: dict
    headers: dict  # names in lower case
    body: bytes

    def json(self):
        return json.loads(self.body or b"null")


@dataclass
class Answer:
    status: int
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    whole: bool = True

    def encode(self):
        lines = "".join(f"{name}: {value}\r\n" for name, value in
                        {"Content-Length": str(len(self.body)), **self.headers}.items())
        return f"HTTP/1.1 {self.status} X\r\n{lines}\r\n".encode() + self.body


def json_answer(status, value):
    return Answer(status, {"Content-Type": "application/json"}, json.dumps(value).encode())


async def read_head(reader):
    """First line and headers; None if the peer closed before them."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.lower(): value.strip() for name, value in pairs}


async def read_body(reader, headers):
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int(await reader.readline(), 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body


class Server:
    """Calls handle(request, channel) for each request, one at a time on a channel.
    The handler returns an Answer, or None if it wrote to the channel itself."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()

    async def listen(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)

    def close(self):
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                parts = urlsplit(target)
                body = await read_body(reader, head[1])
                request = Request(method, parts.path, dict(parse_qsl(parts.query)), head[1], body)
                answer = await self._handle(request, writer)
                if answer is not None:
                    writer.write(answer.encode())
                await writer.drain()
                if writer.is_closing():
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(host, port, method, target, headers=None, body=b"", limit=10.0):
    """One request on a channel of its own; None if no answer began in time."""
    try:
        return await asyncio.wait_for(_call(host, port, method, target, headers or {}, body), limit)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None


async def _call(host, port, method, target, headers, body):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = {"Host": "h.example", "Content-Length": str(len(body)), **headers}
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(f"{method} {target} HTTP/1.1\r\n{text}\r\n".encode() + body)
        head = await read_head(reader)
        if head is None:
            return None
        answer = Answer(int(head[0].split(" ")[1]), head[1])
        try:
            answer.body = await read_body(reader, head[1])
        except (asyncio.IncompleteReadError, ValueError, ConnectionError):
            answer.whole = False
        return answer
    finally:
        writer.close()


class KeptChannel:
    """A channel that is used for one request after the other."""

    def __init__(self):
        self._reader = self._writer = None
        self.used = 0  # requests answered on it

    @property
    def is_open(self):
        return self._writer is not None

    async def open(self, host, port):
        self._reader, self._writer = await asyncio.open_connection(host, port)
        self.used = 0

    def close(self):
        if self._writer:
            self._writer.close()
        self._writer = None

    async def call(self, method, target, headers, body):
        """Returns the answer; None if the channel ends without a complete one."""
        text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self._writer.write(f"{method} {target} HTTP/1.1\r\n{text}Content-Length: {len(body)}\r\n\r\n".encode()
                           + body)
        head = await read_head(self._reader)
        if head is None:
            self.close()
            return None
        answer = Answer(int(head[0].split(" ")[1]), head[1])
        try:
            answer.body = await read_body(self._reader, head[1])
        except (asyncio.IncompleteReadError, ValueError, ConnectionError):
            self.close()
            return None
        self.used += 1
        if head[1].get("connection", "").lower() == "close":
            self.close()
        return answer
