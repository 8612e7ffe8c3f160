"""A loopback proxy for TCP that can be told to misbehave."""

import asyncio
import socket
import struct


def reset(writer):
    """Ends a connection with a reset: a plain close looks like the end of an
    answer that has neither a length nor chunks."""
    own = writer.get_extra_info("socket")
    if own is not None and own.fileno() >= 0:
        own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Proxy:
    """Modes: good; refuse (new connections are reset); hold (bytes of all
    connections wait); silent (those that are open never pass a byte again, new
    ones work); one_way (answers wait); slow (each block waits 50 ms)."""

    def __init__(self, to_host, to_port):
        self.mode = "good"
        self._to = (to_host, to_port)
        self._server = None
        self._writers = set()

    async def listen(self, host, port):
        self._server = await asyncio.start_server(self._accept, host, port)

    def reset_all(self):
        for writer in list(self._writers):
            reset(writer)

    async def _accept(self, reader, writer):
        if self.mode == "refuse":
            reset(writer)
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self._to)
        except OSError:
            reset(writer)
            return
        born = self.mode
        pair = {writer, up_writer}
        self._writers |= pair
        try:
            await asyncio.gather(self._pump(reader, up_writer, False, born),
                                 self._pump(up_reader, writer, True, born))
        except asyncio.CancelledError:
            pass  # The run ends.
        finally:
            self._writers -= pair
            for each in pair:
                each.close()

    def _holds(self, is_answer, born):
        if self.mode == "silent":
            return born != "silent"
        return self.mode == "hold" or (self.mode == "one_way" and is_answer)

    async def _pump(self, reader, writer, is_answer, born):
        try:
            while block := await reader.read(65536):
                while self._holds(is_answer, born):
                    await asyncio.sleep(0.05)
                if self.mode == "slow":
                    await asyncio.sleep(0.05)
                writer.write(block)
                await writer.drain()
            writer.write_eof()
        except (ConnectionError, OSError, RuntimeError):
            reset(writer)
