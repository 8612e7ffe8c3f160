"""Links between regions: one rate for each direction between two of them, which
all connections and datagrams share."""

import asyncio
import time
from collections import Counter

from proxy import Proxy

REGION_MBPS = 26.0
DELAY_S = 0.0028
IP_UDP_BYTES = 28


class Rate:
    """What one direction carries, common to all that use it."""

    def __init__(self, mbps, delay_s=0.0):
        self.bytes = Counter()  # by kind of traffic
        self.longest_s = 0.0  # the longest wait since clear()
        self._per_byte = 8 / (mbps * 1e6)
        self._delay_s = delay_s
        self._free_at = 0.0

    def clear(self):
        self.bytes, self.longest_s = Counter(), 0.0

    def due_in(self, count, kind):
        """The time until so many bytes have arrived."""
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + count * self._per_byte
        self.bytes[kind] += count
        self.longest_s = max(self.longest_s, self._free_at - now)
        return self._free_at - now + self._delay_s

    async def carry(self, count, kind):
        await asyncio.sleep(self.due_in(count, kind))


class Regions:
    """The rates between all regions."""

    def __init__(self):
        self._rates = {}

    def rate(self, here, there):
        """None within a region."""
        if here == there:
            return None
        return self._rates.setdefault((here, there), Rate(REGION_MBPS, DELAY_S))

    def pair(self, here, there):
        return {False: self.rate(here, there), True: self.rate(there, here)}

    def clear(self):
        for each in self._rates.values():
            each.clear()

    def usage(self):
        """By direction: the longest wait and the kB carried of each kind."""
        return [f"{here}>{there} {1000 * rate.longest_s:.0f} ms {rate.bytes.total() // 1000} kB ("
                + ", ".join(f"{kind} {count // 1000}" for kind, count in rate.bytes.most_common()) + ")"
                for (here, there), rate in sorted(self._rates.items())]


class RegionProxy(Proxy):
    """Carries connections at the rates that rates_of gives for the first block of
    a connection; by whether it is an answer."""

    block_bytes = 16384

    def __init__(self, to_host, to_port, kind, rates_of, own_host=None):
        super().__init__(to_host, to_port)
        self._kind, self._rates_of = kind, rates_of
        self._own_host = own_host

    async def _connect(self):
        own = (self._own_host, 0) if self._own_host else None
        return await asyncio.open_connection(*self._to, local_addr=own)

    async def _carry(self, block, is_answer, born):
        if born.rates is None:
            born.rates = self._rates_of(block)
        rate = born.rates[is_answer]
        if rate is not None:
            await rate.carry(len(block), self._kind)


class _DatagramEnd(asyncio.DatagramProtocol):
    def __init__(self, rate, to):
        self._rate, self._to = rate, to
        self.other = None  # the transport that sends on what arrives here

    def datagram_received(self, data, addr):
        wait = self._rate.due_in(len(data) + IP_UDP_BYTES, "datagrams") if self._rate else 0.0
        asyncio.get_running_loop().call_later(wait, self.other.sendto, data, self._to)


async def join_datagrams(one, two, one_at_two, two_at_one, rates):
    """Carries datagrams between one and two, who know each other by the addresses
    one_at_two and two_at_one."""
    loop = asyncio.get_running_loop()
    from_one, near = (await loop.create_datagram_endpoint(
        lambda: _DatagramEnd(rates[False], two), local_addr=two_at_one))
    from_two, far = (await loop.create_datagram_endpoint(
        lambda: _DatagramEnd(rates[True], one), local_addr=one_at_two))
    near.other, far.other = from_two, from_one
