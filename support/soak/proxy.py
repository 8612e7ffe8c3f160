"""A loopback proxy for TCP that can be told to misbehave."""

import asyncio
import socket
import struct
from types import SimpleNamespace


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
    ones work); one_way (answers wait); slow (each block waits 50 ms). While the
    machine behind it is without power, connections that are open become silent for
    good, not even their end passes, and new ones wait."""

    block_bytes = 65536

    def __init__(self, to_host, to_port):
        self.mode = "good"
        self._to = (to_host, to_port)
        self._server = None
        self._writers = set()
        self._is_down = False
        self._losses = 0  # of power

    async def listen(self, host, port):
        self._server = await asyncio.start_server(self._accept, host, port)

    def reset_all(self):
        for writer in list(self._writers):
            reset(writer)

    def lose_power(self):
        self._is_down = True
        self._losses += 1

    def return_power(self):
        self._is_down = False

    async def _accept(self, reader, writer):
        if self.mode == "refuse":
            reset(writer)
            return
        while self._is_down:  # The system repeats its attempt to connect.
            await asyncio.sleep(0.02)
        try:
            up_reader, up_writer = await self._connect()
        except OSError:
            reset(writer)
            return
        born = SimpleNamespace(mode=self.mode, losses=self._losses, rates=None)
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

    async def _connect(self):
        return await asyncio.open_connection(*self._to)

    async def _carry(self, block, is_answer, born):
        """Takes the time that a block needs on its way."""

    async def _wait_if_lost(self, born):
        if born.losses != self._losses:
            await asyncio.sleep(3600)  # Longer than any run.

    def _holds(self, is_answer, born):
        if self.mode == "silent":
            return born.mode != "silent"
        return self.mode == "hold" or (self.mode == "one_way" and is_answer)

    async def _pump(self, reader, writer, is_answer, born):
        try:
            while block := await reader.read(self.block_bytes):
                while self._holds(is_answer, born):
                    await asyncio.sleep(0.05)
                if self.mode == "slow":
                    await asyncio.sleep(0.05)
                await self._carry(block, is_answer, born)
                await self._wait_if_lost(born)
                writer.write(block)
                await writer.drain()
            await self._wait_if_lost(born)
            writer.write_eof()
        except (ConnectionError, OSError, RuntimeError):
            await self._wait_if_lost(born)
            reset(writer)
