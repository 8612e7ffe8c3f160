#!/usr/bin/env python3
"""A loss of power of everything and its return, as real processes: entries and
agents in three regions, instances, store and origin stand in here. Counts which
of the requests are served that callers send later than 12 s after the return;
docs/SOAK.md tells the cases."""

import argparse
import asyncio
import itertools
import random
import re
import signal
import sys
import tempfile
import time
import zlib
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent.parent / "platform" / "test")]

import addresses  # noqa: E402
import soak  # noqa: E402
import standins  # noqa: E402
from http_lite import Answer, call  # noqa: E402
from proxy import Proxy  # noqa: E402
from regions import DELAY_S, Rate, RegionProxy, Regions, join_datagrams  # noqa: E402

standins.CHUNKS, standins.CHUNK_BYTES = 48, 49_152
standins.STREAM_EVENTS = 20  # a stream takes 0.6 s and more
standins.is_framed = lambda attempt: True  # The other kind is the soak's.
REGIONS = ["lahore", "karachi", "multan"]
STORE_REGION, ORIGIN_REGION = "lahore", "multan"
ORIGIN_MBPS, INSTANCE_MBPS, LOCAL_MBPS = 15.0, 9.4, 1000.0
OWN_BULK = 7702
SEEN_BULK = 7710  # and the place of the region that asks: proxies stand there
SEEN_LINK = 7720  # and the number of the entry that sends: proxies stand there
OBSERVED_S = 5.0  # after the time for recovery
LISTED_WITHIN_S = 2.0  # after the return of the store
KINDS = {"stream": 187.1, "once": 16.0, "often": 6.4}  # a second
DESK_COUNT = 3
CALLS_PER_S = {True: 400.0, False: 2000.0}  # by whether they write
ALL = ["instances", "desk", "agents", "entries", "store"]

# order: groups that end one after the other; within: s from the first to the
# last, 0: at once; again: s until the second loss, or until a share of the
# instances, half unless served says otherwise, has served a stream; store: s from
# the return of the machines to that of the store; alike: all streams are equal, and
# all other requests of a route; warm: s of traffic before; silent: connections to
# what ends stay open and never pass a byte again.
ALIKE = {"alike": True, "warm": 0.5, "within": 0.4, "again": "served", "served": 0.25}
CASES = {
    "at-once": {},
    "instances-first": {"order": ALL, "within": 1.0},
    "instances-first-2s": {"order": ALL, "within": 2.0},
    "instances-first-fast": {"order": ALL, "within": 0.3},
    "agents-first": {"order": ["agents", "instances", "desk", "entries", "store"], "within": 1.0},
    "entries-last": {"order": ["store", "agents", "instances", "desk", "entries"], "within": 1.0},
    "store-first": {"order": ["store", "entries", "agents", "instances", "desk"], "within": 2.0},
    "mixed": {"order": None, "within": 1.0},
    "store-late": {"store": 4.0},
    "store-much-later": {"store": 20.0},
    "entries-later": {"entries": 20.0},
    "store-early": {"store": -3.0, "down": 5.0},
    "twice": {"order": ALL, "within": 0.5, "again": 3.0},
    "twice-soon": {"order": ALL, "within": 0.5, "again": 1.5},
    "twice-served": {"order": ALL, "within": 0.4, "again": "served"},
    "instances-only": {"order": ["instances"], "within": 1.0},
    "instances-twice": {"order": ["instances"], "within": 0.4, "again": "served"},
    "entries-only": {"order": ["entries"]},
    "agents-only": {"order": ["agents"]},
    "one-zone": {"zone": "lahore"},
    "declaring": {"extra": "declare"},
    "new-weights": {"extra": "weights"},
    "stopping": {"extra": "stop"},
    "odd-object": {"extra": "odd"},
    "refused-before": {"refused": True},
    "origin-late": {"origin": 6.0},
    "killed": {"order": ["entries", "agents"]},
    "staged-kept": {"keeps": True},
    "slow-store": {"mode": "slow"},
    "limited-store": {"limited": True},
    "alike": ALIKE | {"order": ALL},
    "alike-instances": ALIKE | {"order": ["instances"]},
    "instances-silent": {"silent": True, "order": ["instances", "desk", "agents"]},
    "zone-silent": {"silent": True, "zone": "lahore"},
    "zone-instances-silent": {"silent": True, "zone": "lahore", "down": 6.0,
                              "order": ["instances", "desk", "agents"]},
    "store-silent": {"silent": True, "order": ["store"]},
}


class LimitedStore(standins.Store):
    """Refuses calls above its limits when it is told to."""

    def __init__(self):
        super().__init__()
        self.is_limited = False
        self.refused = 0
        self.shown = {}  # by reader: addresses in the store, and as it knows them
        self._left = dict(CALLS_PER_S)
        self._at = time.monotonic()

    async def _answer(self, request, writer):
        is_write = request.method != "GET"
        now = time.monotonic()
        for each, rate in CALLS_PER_S.items():
            # A tenth of them: most of what the other users of the store leave.
            self._left[each] = min(rate / 10, self._left[each] + (now - self._at) * rate / 100)
        self._at = now
        if self.is_limited and self._left[is_write] < 1:
            self.refused += 1
            return Answer(429, {"Retry-After": "1"})
        self._left[is_write] -= 1
        answer = await super()._answer(request, writer)
        for own, seen in self.shown.get(writer.get_extra_info("peername")[0], {}).items():
            answer.body = answer.body.replace(own, seen)
        return answer


class Origin(standins.Origin):
    def __init__(self, regions):
        super().__init__()
        self._rate = Rate(ORIGIN_MBPS)
        # Who asks is not known here: each region gets a third.
        self._ways = itertools.cycle([regions.rate(ORIGIN_REGION, each) for each in REGIONS])

    async def _answer(self, request, writer):
        answer = await super()._answer(request, writer)
        await self._rate.carry(len(answer.body), "origin")
        way = next(self._ways)
        if way is not None:
            await way.carry(len(answer.body), "origin")
        return answer


class Desk(standins.Instance):
    """An instance of the plain service."""

    def spec(self, port, zone):
        return {"service": "desk", "addr": f"{self.host}:{port}", "zone": zone, "slots": 6,
                "version": "v1", "coldLeftMs": 0, "seq": 1, "state": "ready"}


class Fleet(soak.System):
    bulk_port = OWN_BULK

    def __init__(self, options, folder):
        super().__init__(options, folder)
        self.options = options
        self.regions = Regions()
        self.store, self.origin = LimitedStore(), Origin(self.regions)
        self.is_alike = "alike" in CASES[options.case]
        self._ends = []  # of connections: the proxy and what it connects
        self.served_at = {}  # by instance: the first request that it ran since the return
        ran = self.record.ran
        def note(attempt, path, instance):
            self.served_at.setdefault(instance.id, time.monotonic())
            ran(attempt, path, instance)
        self.record.ran = note

    def zone(self, number):
        return REGIONS[number % len(REGIONS)]

    async def start(self):
        await self._join_entries()
        await super().start()
        for number in range(self.options.instances + 1, self.options.instances + DESK_COUNT + 1):
            desk = Desk(number, self.record)
            self.instances.append(desk)
            await desk.start(1, soak.APP)
            await self._proxy(number, desk.host, soak.APP, desk.own_host, soak.APP, self.instance_proxies)
            self.list_instance(desk)

    async def _proxy(self, name, host, port, to_host, to_port, into):
        if into is self.store_proxies:
            number = int(name.split("-")[1])
            ways = self.regions.pair(self.zone(number), STORE_REGION)
            local = {each: Rate(LOCAL_MBPS, DELAY_S) for each in ways}
            rates = ways if ways[False] else local
            into[name] = RegionProxy(to_host, to_port, "store", lambda _: rates, host)
            self._ends.append((into[name], {name, "store"}))
        else:
            into[name] = RegionProxy(to_host, to_port, "requests",
                                     lambda block: self._rates_to(name, block))
            self._ends.append((into[name], {f"instance-{name}"}))
        await into[name].listen(host, port)

    def _rates_to(self, instance, block):
        """Only entries send the ids of attempts; other calls come from the agent."""
        attempt = re.search(rb"Attempt-Id: ([^\r]+)", block, re.IGNORECASE)
        entry = self.record.heed.entry_of(attempt[1].decode()) if attempt else None
        here = self.zone(int(entry.split(".")[-1])) if entry else self.zone(instance)
        return self.regions.pair(here, self.zone(instance))

    async def _relay(self, host, port, to, ends, rates, kind="relay"):
        proxy = RegionProxy(*to, kind, lambda _: rates)
        self._ends.append((proxy, ends))
        await proxy.listen(host, port)

    async def _join_entries(self):
        """Entries of different regions know each other by addresses of proxies."""
        count = self.options.entries
        for one, two in itertools.combinations(range(1, count + 1), 2):
            if self.zone(one) == self.zone(two):
                continue
            rates = self.regions.pair(self.zone(one), self.zone(two))
            seen = {number: (addresses.entry_at_entry(number, by), soak.LINK)
                    for number, by in ((one, two), (two, one))}
            real = {number: (addresses.entry(number), soak.LINK) for number in (one, two)}
            await join_datagrams(real[one], real[two], seen[one], seen[two], rates)
            for number, by in ((one, two), (two, one)):
                await self._relay(*seen[number], real[number], {f"entry-{one}", f"entry-{two}"},
                                  self.regions.pair(self.zone(by), self.zone(number)))
                shown = self.store.shown.setdefault(addresses.entry_store(by), {})
                text = [f'"{host}:{port}"'.encode() for host, port in (real[number], seen[number])]
                shown[text[0]] = text[1]

    async def _add_instance(self, number):
        await super()._add_instance(number)
        host, agent = addresses.instance(number), f"agent-{number}"
        for place, region in enumerate(REGIONS):
            await self._relay(host, SEEN_BULK + place, (host, OWN_BULK), {agent},
                              self.regions.pair(region, self.zone(number)), "weights")
        for entry in range(1, self.options.entries + 1):
            seen = (addresses.entry_at_agent(entry, number), soak.LINK)
            real = (addresses.entry(entry), soak.LINK)
            await join_datagrams(real, (host, soak.LINK), seen, (host, SEEN_LINK + entry),
                                 self.regions.pair(self.zone(entry), self.zone(number)))
            await self._relay(*seen, real, {agent, f"entry-{entry}"},
                              self.regions.pair(self.zone(number), self.zone(entry)))

    def _settings(self, role, name, number, store):
        settings = super()._settings(role, name, number, store)
        settings["agents"] = {"linkPort": SEEN_LINK + number,
                              "bulkPort": SEEN_BULK + REGIONS.index(self.zone(number))}
        if role == "agent":
            settings["linkMbps"] = INSTANCE_MBPS
        return settings

    def proxies_of(self, members):
        names = {"store" if each is self.store else each.name if isinstance(each, soak.Daemon)
                 else f"instance-{each.number}" for each in members}
        return [proxy for proxy, ends in self._ends if ends & names]

    def declare(self):
        super().declare()
        config = self.store._objects["config"]["main"]["spec"]
        for route in config["routes"]:
            if route["name"] in ("once", "often"):
                route |= {"service": "desk", "timeoutMs": 800, "sloMs": 150}
        config["services"].append({"name": "desk", "maxConns": 96})
        config["services"][0]["engine"] |= {"slots": 16, "step_ms": 7.4, "stride": 6, "layers": 16}
        self.store.put("config", "main", config)

    async def request(self, host, kind, attempt, harmful=None):
        """All streams share the first part; no two requests are equal, unless the
        case says so."""
        own = "equal" if self.is_alike else attempt
        headers = {"Attempt-Id": attempt, "Deadline-Ms": "6000", "Authorization": f"Token {soak.KEY}"}
        if kind == "stream":
            headers |= {"Model": standins.MODEL, "Token-Counts": "240,120",
                        "Prompt-Prefix": f"a1:40,{zlib.crc32(own.encode()):x}:200"}
        self.record.heed.sent(attempt, host)
        return await call(host, soak.CALLERS, "POST", f"/{kind}/x", headers, own.encode(), 8.0)

    def store_refusal(self):
        """Entries have found the part that all streams share to be harmful."""
        refused = {"fingerprint": f"{0xa1:032x}", "instances": [f"{i + 1:016x}" for i in range(3)],
                   "lostMs": int(time.time() * 1000)}
        for name, entry in list(self.store._objects["deckpitch-entries"].items()):
            self.store.put("deckpitch-entries", name, entry["spec"] | {"refused": [refused]})

    def models_served(self):
        return sum(each.id in self.served_at for each in self.instances[:self.options.instances])

    def group(self, name):
        zone = CASES[self.options.case].get("zone")
        models = [each for each in self.instances if not isinstance(each, Desk)]
        all_of = {"instances": models, "desk": self.instances[len(models):], "agents": self.agents,
                  "entries": self.entries, "store": [self.store]}[name]
        if zone is None:
            return list(all_of)
        return [] if name == "store" else [each for i, each in enumerate(all_of) if self.zone(i + 1) == zone]

    async def end(self, member):
        if isinstance(member, soak.Daemon):
            await member.kill()
        else:
            await member.server.close()

    async def bring_back(self, member, store_back):
        if isinstance(member, soak.Daemon):
            return await member.start()
        if member is self.store:
            return await member.server.listen(addresses.store(), soak.STORE)
        self.store.remove("servers", member.id)
        if not CASES[self.options.case].get("keeps"):
            member.staged.clear()
        await member.start(0, soak.APP)
        await store_back.wait()
        await asyncio.sleep(self.random.uniform(0.0, LISTED_WITHIN_S))
        self.list_instance(member)


def members_in_order(fleet, case):
    order = case.get("order", ALL)
    members = []
    for name in order or ALL:
        found = fleet.group(name)
        fleet.random.shuffle(found)
        members += found
    if order is None:
        fleet.random.shuffle(members)
    return members


async def lose_and_return(fleet, case):
    """All that the case names ends and is back; the time of the return."""
    members = members_in_order(fleet, case)
    silent = fleet.proxies_of(members) if case.get("silent") else []
    for each in silent:
        each.lose_power()
    gap = case.get("within", 0.0) / max(1, len(members) - 1)
    begin = time.monotonic()
    ending = []
    for number, member in enumerate(members):
        ending.append(asyncio.create_task(fleet.end(member)))
        if gap:
            await asyncio.sleep(max(0.0, begin + (number + 1) * gap - time.monotonic()))
    await asyncio.gather(*ending)
    if case.get("origin"):
        await fleet.origin.server.close()
    if case.get("refused"):
        fleet.store_refusal()
    fleet.served_at.clear()
    early = max(0.0, -case.get("store", 0.0))
    await asyncio.sleep(case.get("down", fleet.options.down) - early)
    store_back = asyncio.Event()
    fleet.store.mode = case.get("mode", "good")
    fleet.store.is_limited = case.get("limited", False)
    if fleet.store not in members:
        store_back.set()
    elif early:
        await fleet.bring_back(fleet.store, store_back)
        store_back.set()
        await asyncio.sleep(early)
    for each in silent:
        each.return_power()
    back = time.monotonic()
    fleet.regions.clear()
    entries = fleet.entries if case.get("entries") else []
    tasks = [asyncio.create_task(fleet.bring_back(each, store_back))
             for each in members if each is not fleet.store and each not in entries]
    if not store_back.is_set():
        await asyncio.sleep(case.get("store", 0.0))
        await fleet.bring_back(fleet.store, store_back)
        store_back.set()
    if entries:
        await asyncio.sleep(case["entries"])
        await asyncio.gather(*(fleet.bring_back(each, store_back) for each in entries))
    if entries or case.get("store", 0.0) > 0:
        back = time.monotonic()
    if case.get("origin"):
        tasks.append(asyncio.create_task(bring_back_origin(fleet, case["origin"])))
    fleet.returning = tasks
    return back


async def bring_back_origin(fleet, after):
    await asyncio.sleep(after)
    await fleet.origin.server.listen(addresses.origin(), soak.APP)


async def play_case(fleet, case):
    extra = case.get("extra")
    if extra == "declare":
        fleet.declare()
    elif extra == "weights":
        fleet.weights += 1
        fleet.store.put("versions", standins.MODEL, {"model": standins.MODEL, "version": fleet.weights})
        await asyncio.sleep(1.0)
    elif extra == "stop":
        fleet.entries[0].signal(signal.SIGTERM)
    elif extra == "odd":
        fleet.store.put("servers", "odd", {"service": "pool", "addr": 7, "zone": "\ud800"})
    back = await lose_and_return(fleet, case)
    if case.get("again") == "served":
        wanted = int(case.get("served", 0.5) * fleet.options.instances)
        await wait_until(lambda: fleet.models_served() >= wanted, 20.0)
    elif case.get("again"):
        await asyncio.sleep(case["again"])
    if case.get("again"):
        await asyncio.gather(*fleet.returning)
        back = await lose_and_return(fleet, case)
    return back


async def wait_until(holds, limit):
    end = time.monotonic() + limit
    while not holds() and time.monotonic() < end:
        await asyncio.sleep(0.02)


class Callers:
    """Requests at a fixed rate, each repeated at once when it is refused."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.results = []  # sent at, kind, status, reason
        self._choose = random.Random(f"callers {fleet.options.seed}")
        self._tasks = set()

    async def run(self):
        share = self.fleet.options.rate / sum(KINDS.values())
        number, begin = 0, time.monotonic()
        while True:
            number += 1
            kind = self._choose.choices(list(KINDS), KINDS.values())[0]
            task = asyncio.create_task(self._request(kind, number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due = begin + number / (share * sum(KINDS.values()))
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def _request(self, kind, number):
        for attempt in range(1 + self.fleet.options.repeats):
            host = addresses.entry(self._choose.randrange(self.fleet.options.entries) + 1)
            sent = time.monotonic()
            answer = await self.fleet.request(host, kind, f"c{number}-{attempt}")
            is_served = answer is not None and answer.whole and answer.status == 200
            status = 0 if answer is None else answer.status if answer.whole else -answer.status
            reason = answer.body[:60].decode("latin-1") if answer and not is_served else ""
            self.results.append((sent, kind, status, reason))
            if is_served or status not in (0, 429, 503):
                return
            await asyncio.sleep(0.05)


async def note_ready(fleet, back, ready):
    while len(ready) < fleet.options.entries:
        for number in range(1, fleet.options.entries + 1):
            if number not in ready and await fleet.is_ready(number):
                ready[number] = time.monotonic() - back
        await asyncio.sleep(0.1)


def report(fleet, callers, back, ready):
    """Prints what was seen; whether a quarter was served after the time allowed."""
    counted = [each for each in callers.results if each[0] >= back + fleet.options.recovery]
    served = sum(each[2] == 200 for each in counted)
    share = served / len(counted) if counted else 0.0
    streams = [each[2] == 200 for each in counted if each[1] == "stream"]
    at = sorted(round(seen - back, 1) for seen in fleet.served_at.values())
    first = min((each[0] - back for each in callers.results
                 if each[0] > back and each[1] == "stream" and each[2] == 200), default=None)
    print(f"{fleet.options.case}, seed {fleet.options.seed}: {served} of {len(counted)} served "
          f"({share:.2f}), streams {sum(streams)} of {len(streams)}; first stream served was sent at "
          f"{'never' if first is None else f'{first:.1f} s'}; entries ready "
          f"{[round(ready[i], 1) for i in sorted(ready)]}; instances served {at}", flush=True)
    if share < 0.9:
        print("  not served:", Counter((each[1], each[2], each[3]) for each in counted
                                       if each[2] != 200).most_common(4))
    return share >= soak.SERVED_SHARE


async def run_case(options, folder):
    fleet = Fleet(options, folder)
    case = CASES[options.case]
    await fleet.start()
    callers, tasks, ready = Callers(fleet), [], {}
    try:
        await note_ready(fleet, 0.0, {})
        tasks.append(asyncio.create_task(callers.run()))
        await asyncio.sleep(case.get("warm", options.warm))
        back = await play_case(fleet, case)
        tasks.append(asyncio.create_task(note_ready(fleet, back, ready)))
        await asyncio.sleep(max(0.0, back + options.recovery - time.monotonic()))
        print("  between regions since the return, with the longest wait:",
              *fleet.regions.usage(), sep="\n    ")
        await asyncio.sleep(max(0.0, back + options.recovery + OBSERVED_S - time.monotonic()))
        tasks[0].cancel()
        await asyncio.sleep(1.0)
        return report(fleet, callers, back, ready)
    finally:
        for task in tasks:
            task.cancel()
        for each in fleet.entries + fleet.agents:
            await each.kill()


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="build/deckpitchd")
    parser.add_argument("--case", choices=CASES, default="at-once")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--agents", dest="instances", type=int, default=12)
    parser.add_argument("--rate", type=float, default=60.0, help="requests a second")
    parser.add_argument("--repeats", type=int, default=1, help="of each refused request")
    parser.add_argument("--warm", type=float, default=4.0, help="s of traffic before the loss")
    parser.add_argument("--down", type=float, default=1.0, help="s until the machines are back")
    parser.add_argument("--recovery", type=float, default=soak.RECOVERY_S,
                        help="s after the return from which requests are counted")
    parser.add_argument("--keep", help="folder for the logs of the processes")
    options = parser.parse_args()
    options.sabotage, options.untimed = None, True
    return options


def main():
    options = parse_options()
    net = soak.take_net(None)
    folder = Path(options.keep or tempfile.mkdtemp(prefix="deckpitch-power-"))
    folder.mkdir(parents=True, exist_ok=True)
    has_recovered = asyncio.run(run_case(options, folder))
    net.close()
    print(f"{'recovered' if has_recovered else 'RECOVER'}, logs in {folder}")
    return 0 if has_recovered else 1


if __name__ == "__main__":
    sys.exit(main())
