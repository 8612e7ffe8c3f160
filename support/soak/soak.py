#!/usr/bin/env python3
"""A randomized fault soak over the real programs; docs/SOAK.md tells how to run
and read it. Everything it starts runs on loopback addresses of this machine."""

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import zlib
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent.parent / "platform" / "test")]

import addresses  # noqa: E402
import standins  # noqa: E402
from http_lite import call  # noqa: E402
from proxy import Proxy  # noqa: E402

CALLERS, READY, DIRECTORY, OPERATOR, LINK, APP, STORE = 8005, 8002, 8009, 7701, 7700, 8100, 7900
DRAIN_S, GRACE_S = 2.0, 8.0
DRAIN_SLACK_S = 1.5  # for a busy machine
CONTACT_S = 3.0  # until what one entry knows is known to all
REST_BEGINS_S = 1.5  # after the answer that asks for it, on a busy machine
LIMIT_WINDOW_S = 4.0
LIMIT_KNOWN_S = 1.0  # until an entry keeps what an answer said, on a busy machine
HARMFUL_SHARE = 0.02  # of the callers' requests, once any fault may come
PART = 2  # harmful by a part of its prompt, after two by the whole request
RECOVERY_S, SERVED_SHARE = 12.0, 0.25  # after a return, and of what is sent later
OBSERVED_S = 3.0  # after the time for recovery
UNTIMED_RECOVERY_S = 60.0  # on a very busy machine; only a run that fails waits so long
MOST_MEMORY_MB = 128
KEY = "k1"
HELD_PORT = 7899  # bound by a run for as long as it has its addresses


class Record:
    """What instances ran and callers saw, and what of it breaks a promise."""

    def __init__(self, sabotage):
        self.runs = Counter()
        self.refused = set()
        self.outcomes = Counter()
        self.served = []  # by request: when it was sent, and whether it was served
        self.violations = []
        self.is_planned_only = True
        self.is_timed = True
        self.sabotage = sabotage
        self.heed = Heed(self.violate)
        self.limits = Limits(self.violate, self.heed)

    def violate(self, what):
        self.violations.append(what)
        print(f"VIOLATION {what}", flush=True)

    def ran(self, attempt, path, instance):
        self.runs[attempt] += 2 if self.sabotage == "twice" else 1
        if path.startswith("/once/") and self.runs[attempt] > 1:
            self.violate(f"TWICE {attempt} at {instance.id}")
        if self._is_left(instance):
            self.violate(f"DRAIN {attempt} reaches {instance.id}, which leaves")
        if path.startswith("/once/") and attempt in self.refused:
            self.violate(f"REFUSED {attempt} runs at {instance.id} after a promise")

    def _is_left(self, instance):
        left = instance.leaving_since
        late = left and time.monotonic() - left > DRAIN_S + DRAIN_SLACK_S
        return late and self.is_planned_only and self.is_timed

    def loaded(self, instance, version, whole):
        if not whole or self.sabotage == "spoilt":
            self.violate(f"WHOLE {instance} loads version {version} with wrong chunks")

    def answered(self, kind, attempt, answer):
        word = "lost" if answer is None else str(answer.status) if answer.whole else "cut"
        self.outcomes[f"{kind} {word}"] += 1
        if answer is None or not answer.whole:
            if self.is_planned_only:
                self.violate(f"LOST {attempt} ({kind}) though only planned work was under way")
        elif answer.status in (408, 421, 429, 503):
            self._refusal(kind, attempt)
        elif answer.status == 200:
            self._success(kind, attempt, answer)
        elif answer.status < 200:
            self.violate(f"MIXED {attempt} ({kind}): an interim answer {answer.status}")
        elif answer.status in (401, 404):
            self.violate(f"DENIED {attempt} ({kind}) {answer.status}")

    def sound_answered(self, attempt, answer):
        if answer is not None and b"crashes its instances" in answer.body:
            self.violate(f"SOUND {attempt} is refused as harmful: {answer.body[:80]!r}")

    def _refusal(self, kind, attempt):
        self.refused.add(attempt)
        if kind == "once" and self.runs[attempt]:
            self.violate(f"REFUSED {attempt} had run")

    def _success(self, kind, attempt, answer):
        if kind == "stream":
            events = range(1, standins.STREAM_EVENTS + 1)
            wanted = b"".join(standins.event_of(attempt, i) for i in events)
        else:
            wanted = json.dumps({"attempt": attempt}).encode()
        if answer.body != wanted or self.sabotage == "mixed":
            self.violate(f"MIXED {attempt} ({kind}): {answer.body[:80]!r}")


class Heed:
    """What instances tell entries, by answers and by crashing, and what these
    send on nevertheless. An entry that was ended, stopped or cut off since then
    is excused."""

    def __init__(self, violate):
        self.is_timed = True
        self._violate = violate
        self._entries = {}  # by attempt: the entry that it was sent to
        self._disturbed = {}  # by entry: when last
        self._all_disturbed = 0.0
        self._left = {}  # by instance and entry: the first answer that said so
        self._rests = {}  # by instance and entry: [asked at, arrivals since]
        self._crashes = {}  # by harmful request: when
        self._late = Counter()  # by harmful request: long after its third crash

    def sent(self, attempt, entry):
        self._entries[attempt] = entry

    def disturbed(self, entry):
        self._disturbed[entry] = time.monotonic()

    def all_disturbed(self):
        self._all_disturbed = time.monotonic()

    def entry_of(self, attempt):
        return self._entries.get(attempt)

    def is_calm(self, entry, since):
        last = max(self._disturbed.get(entry, 0.0), self._all_disturbed)
        return entry is not None and self.is_timed and last < since

    def said_leaving(self, attempt, instance):
        self._left.setdefault((instance.id, self._entries.get(attempt)), time.monotonic())

    def asked_for_rest(self, attempt, instance):
        key = instance.id, self._entries.get(attempt)
        asked = self._rests.get(key)
        if asked is None or time.monotonic() > asked[0] + standins.REST_S:
            self._rests[key] = [time.monotonic(), 0]

    def crashed(self, request):
        self._crashes.setdefault(self._name_of(request), []).append(time.monotonic())

    @staticmethod
    def _name_of(request):
        if request.body != standins.HARMFUL_BODY:
            return standins.HARMFUL_PART
        return request.path.split("~")[0]

    def reached(self, attempt, request, instance):
        now, entry = time.monotonic(), self._entries.get(attempt)
        said = self._left.get((instance.id, entry))
        if said and now - said > DRAIN_S + DRAIN_SLACK_S and self.is_calm(entry, said):
            self._violate(f"HEED {attempt} reaches {instance.id}, which told {entry} that it leaves")
        rest = self._rests.get((instance.id, entry))
        if rest and REST_BEGINS_S < now - rest[0] < standins.REST_S:
            rest[1] += 1
            if rest[1] > 2 and self.is_calm(entry, rest[0]):
                self._violate(f"HEED {attempt} reaches {instance.id}, which told {entry} to wait")
        if standins.is_harmful(request):
            self._harmful_reached(attempt, request, entry, now)

    def _harmful_reached(self, attempt, request, entry, now):
        name = self._name_of(request)
        crashes = self._crashes.get(name, [])
        since = now - CONTACT_S - DRAIN_SLACK_S
        if len(crashes) < 3 or crashes[2] > since or not self.is_calm(entry, since):
            return
        self._late[name] += 1
        if self._late[name] > 3:
            self._violate(f"HARMFUL {attempt} ({name}) after {len(crashes)} crashes")


class Limits:
    """What instances get that name a limit of requests a second, from all entries
    that had passed on such an answer a while before. An entry that was ended,
    stopped or cut off since then is excused."""

    def __init__(self, violate, heed):
        self._violate, self._heed = violate, heed
        self._since = {}  # by instance: when it named the limit that it has
        self._told = {}  # by instance and entry: the first such answer
        self._arrivals = {}  # by instance: times and entries

    def changed(self, instance):
        for key in [each for each in self._told if each[0] == instance.id]:
            del self._told[key]
        self._since[instance.id] = time.monotonic()
        self._arrivals[instance.id] = []

    def told(self, attempt, instance):
        entry = self._heed.entry_of(attempt)
        self._told.setdefault((instance.id, entry), time.monotonic())

    def reached(self, attempt, instance):
        now, entry = time.monotonic(), self._heed.entry_of(attempt)
        told = self._told.get((instance.id, entry))
        if instance.limit is None or told is None or now - told < LIMIT_KNOWN_S:
            return
        if now - self._since[instance.id] < CONTACT_S + DRAIN_SLACK_S:
            return
        arrivals = self._arrivals[instance.id]
        arrivals.append((now, entry, told))
        arrivals[:] = [each for each in arrivals if now - each[0] < LIMIT_WINDOW_S]
        counted = sum(self._heed.is_calm(by, since) for _, by, since in arrivals)
        allowed = 1.5 * LIMIT_WINDOW_S * instance.limit + 5
        if counted > allowed:
            self._violate(f"LIMIT {attempt}: {instance.id}, which takes {instance.limit:g} a second, "
                          f"got {counted} in {LIMIT_WINDOW_S:g} s, {allowed:g} allowed")


class Daemon:
    """One deckpitchd, started and ended by its own process id only."""

    def __init__(self, program, folder, name, settings, on_disturbed=lambda: None):
        self.name = name
        self._on_disturbed = on_disturbed
        self.lock = asyncio.Lock()  # held by the fault that stops and starts it
        self._program = program
        self._path = folder / f"{name}.json"
        self._path.write_text(json.dumps(settings))
        self._log = open(folder / f"{name}.log", "ab")
        self._process = None

    async def start(self):
        self._on_disturbed()
        self._process = await asyncio.create_subprocess_exec(
            self._program, f"--settings={self._path}", stdout=self._log, stderr=self._log)

    def signal(self, number):
        self._on_disturbed()
        if self._process and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self, limit):
        """The exit code, or None after the limit."""
        try:
            return await asyncio.wait_for(self._process.wait(), limit)
        except asyncio.TimeoutError:
            return None

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self._process:
            await self._process.wait()

    def is_running(self):
        return self._process is not None and self._process.returncode is None

    def processor_s(self):
        fields = Path(f"/proc/{self._process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self):
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(each for each in text.splitlines() if each.startswith("VmHWM"))
        return int(line.split()[1]) / 1024


class System:
    """Stand-ins, proxies and daemons of one run."""

    bulk_port = LINK  # that agents listen on

    def __init__(self, options, folder):
        self.random = random.Random(options.seed)
        # For what happens beside the faults that the seed draws.
        self.side_random = random.Random(f"beside {options.seed}")
        self.limit_random = random.Random(f"limits {options.seed}")
        self.record = Record(options.sabotage)
        self.record.is_timed = self.record.heed.is_timed = not options.untimed
        self.store = standins.Store()
        self.origin = standins.Origin()
        self.entries, self.agents, self.instances = [], [], []
        self.store_proxies, self.instance_proxies = {}, {}
        self.version, self.weights = 0, 1
        self._crashes = set()  # tasks of instances that come back
        self._program = options.program
        self._folder = folder
        self._counts = options.entries, options.instances

    async def start(self):
        await self.store.server.listen(addresses.store(), STORE)
        await self.origin.server.listen(addresses.origin(), APP)
        self.declare()
        self.store.put("versions", standins.MODEL, {"model": standins.MODEL, "version": 1})
        for number in range(1, self._counts[1] + 1):
            await self._add_instance(number)
        for number in range(1, self._counts[0] + 1):
            await self._add_entry(number)
        await asyncio.gather(*(each.start() for each in self.entries + self.agents))

    def zone(self, number):
        return "ab"[number % 2]

    async def _proxy(self, name, host, port, to_host, to_port, into):
        into[name] = Proxy(to_host, to_port)
        await into[name].listen(host, port)

    async def _add_instance(self, number):
        instance = standins.Instance(number, self.record)
        self.instances.append(instance)
        instance.on_change = self.list_instance
        instance.on_crash = self.crash
        await instance.start(1, APP)
        await self._proxy(number, instance.host, APP, instance.own_host, APP, self.instance_proxies)
        self.list_instance(instance)
        name = f"agent-{number}"
        await self._proxy(name, addresses.agent_store(number), STORE, addresses.store(), STORE, self.store_proxies)
        settings = self._settings("agent", name, number, addresses.agent_store(number))
        settings["listen"] = {"operator": f"{instance.host}:{OPERATOR}",
                              "link": f"{instance.host}:{LINK}", "bulk": f"{instance.host}:{self.bulk_port}"}
        settings |= {"upstream": f"instance://{instance.host}:{APP}", "service": "pool"}
        self.agents.append(Daemon(self._program, self._folder, name, settings))

    async def _add_entry(self, number):
        name, host = f"entry-{number}", addresses.entry(number)
        await self._proxy(name, addresses.entry_store(number), STORE, addresses.store(), STORE, self.store_proxies)
        settings = self._settings("entry", name, number, addresses.entry_store(number))
        settings["listen"] = {"callers": f"{host}:{CALLERS}", "ready": f"{host}:{READY}",
                              "directory": f"{host}:{DIRECTORY}", "operator": f"{host}:{OPERATOR}",
                              "link": f"{host}:{LINK}"}
        self.entries.append(Daemon(self._program, self._folder, name, settings,
                                   lambda: self.record.heed.disturbed(host)))

    def _settings(self, role, name, number, store):
        return {"mode": "direct", "role": role, "instance": name, "dataCentre": self.zone(number),
                "agents": {"linkPort": LINK, "bulkPort": LINK},
                "store": f"objects://{store}:{STORE}", "linkMbps": 100,
                "bounds": {"drainMs": int(DRAIN_S * 1000), "graceMs": int(GRACE_S * 1000),
                           "applyMs": 2000, "versionMs": 8000}}

    def list_instance(self, instance):
        self.store.put("servers", instance.id, instance.spec(APP, self.zone(instance.number)))

    def declare(self):
        """A newer declaration: the same routes, and one that only it has."""
        self.version += 1
        routes = [self._route("stream", "stream"), self._route("once", "non_idempotent"),
                  self._route("often", "idempotent"), self._route(f"v{self.version}", "idempotent")]
        engine = {"slots": 8, "step_ms": 5, "read_per_s": 30000, "stride": 1, "layers": 4,
                  "chunks": standins.CHUNKS, "chunkBytes": standins.CHUNK_BYTES,
                  "usual": {"prompt": 10, "answer": 6}, "models": [{"name": standins.MODEL}]}
        services = [{"name": "pool", "maxConns": 200, "engine": engine},
                    {"name": "origin", "origin": f"{addresses.origin()}:{APP}"}]
        self.store.put("config", "main", {"version": self.version, "routes": routes,
                                          "services": services,
                                          "tenants": [{"name": "shops", "apiKeys": [KEY]}]})

    @staticmethod
    def _route(name, kind):
        return {"name": name, "host": "h.example", "pathPrefix": f"/{name}/", "kind": kind,
                "timeoutMs": 8000, "sloMs": 2000, "attempts": 2, "resumable": True,
                "service": "pool"}

    def crash(self, instance):
        """A request has crashed it: all that it had ends, and it comes back."""
        import faults  # Needs this module's constants.
        self._crashes.add(asyncio.create_task(faults.crash(self, instance, self.side_random)))

    async def request(self, host, kind, attempt, harmful=None):
        headers = {"Attempt-Id": attempt, "Deadline-Ms": "6000", "Authorization": f"Token {KEY}"}
        if kind == "stream":
            headers |= {"Model": standins.MODEL, "Token-Counts": "10,12"}
            middle = standins.HARMFUL_PART if harmful == PART else "b2:3"
            headers["Prompt-Prefix"] = f"a1:5,{middle},{zlib.crc32(attempt.encode()):x}:2"
        self.record.heed.sent(attempt, host)
        path, body = f"/{kind}/x", b"asked"
        if harmful == PART:
            body = attempt.encode()  # No two of them are alike.
        elif harmful is not None:
            path, body = f"/{kind}/harmful-{harmful}", standins.HARMFUL_BODY
            if self.record.sabotage == "deaf":  # Looks like another one each time.
                path += f"~{attempt}"
        return await call(host, CALLERS, "POST", path, headers, body, 12.0)

    async def is_ready(self, number):
        answer = await call(addresses.entry(number), READY, "GET", "/v1/ready", limit=2.0)
        return answer is not None and answer.status == 200

    async def addresses(self):
        """What the directory of some entry says, as callers ask it."""
        order = list(range(1, len(self.entries) + 1))
        self.random.shuffle(order)
        for number in order[:3]:
            answer = await call(addresses.entry(number), DIRECTORY, "GET",
                                "/v1/resolve?name=h.example&zone=a&region=r", limit=1.0)
            if answer and answer.status == 200:
                return [each.split(":")[0] for each in json.loads(answer.body)["addrs"]]
        return []


async def run_caller(system, number, stopped):
    """Asks for addresses now and then and calls one of them after another."""
    addresses, known_at, count = [], 0.0, 0
    choose = random.Random(f"{system.random.random()}")
    while not stopped.is_set():
        if not addresses or time.monotonic() - known_at > 2.0:
            addresses, known_at = await system.addresses(), time.monotonic()
        if not addresses:
            await asyncio.sleep(0.1)
            continue
        kind = choose.choices(["stream", "once", "often"], [3, 1, 1])[0]
        count += 1
        attempt = f"c{number}-{count}"
        is_harmful = not system.record.is_planned_only and choose.random() < HARMFUL_SHARE
        kind, harmful = ("stream", choose.randrange(PART + 1)) if is_harmful else (kind, None)
        sent = time.monotonic()
        answer = await system.request(choose.choice(addresses), kind, attempt, harmful)
        system.record.answered(kind, attempt, answer)
        if harmful is None:
            system.record.sound_answered(attempt, answer)
            is_served = answer is not None and answer.whole and answer.status == 200
            system.record.served.append((sent, is_served))
        if answer is None:
            addresses = []
        await asyncio.sleep(0.02)


async def main_run(options, folder):
    import faults  # Needs this module's constants.
    system = System(options, folder)
    await system.start()
    stopped = asyncio.Event()
    callers = []
    try:
        await faults.settle(system, "at the start")
        callers = [asyncio.create_task(run_caller(system, i, stopped))
                   for i in range(options.callers)]
        await faults.play(system, options)
        await faults.settle(system, "at the end")
    finally:
        stopped.set()
        await asyncio.gather(*callers, return_exceptions=True)
        faults.check_memory(system)
        for each in system.entries + system.agents:
            each.signal(signal.SIGCONT)
            await each.kill()
    return system.record


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="build/deckpitchd")
    parser.add_argument("--seed", type=int, default=int(time.time()) % 1_000_000)
    parser.add_argument("--faults", type=int, default=12, help="faults of each phase")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--instances", type=int, default=5)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--net", type=int, choices=range(0, 100, 10),
                        help="part of the loopback addresses; default: one that is free")
    parser.add_argument("--untimed", action="store_true",
                        help="leaves out the checks that a very busy machine could fail")
    parser.add_argument("--sabotage", choices=["twice", "mixed", "truth", "spoilt", "deaf"],
                        help="shows that a check can fail")
    parser.add_argument("--keep", help="folder for the logs of the processes")
    return parser.parse_args()


def take_net(wanted):
    """The wanted net, or the first that no other run has: it has it as long as
    the socket that this gives is open."""
    for addresses.base in range(0, 100, 10) if wanted is None else [wanted]:
        held = socket.socket()
        try:
            held.bind((addresses.store(), HELD_PORT))
            return held
        except OSError:
            held.close()
    sys.exit("no loopback addresses are free")


def main():
    options = parse_options()
    net = take_net(options.net)
    folder = Path(options.keep or tempfile.mkdtemp(prefix="deckpitch-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    print(f"seed {options.seed}, logs in {folder}", flush=True)
    # Told to stop, it ends what it started as after a whole run.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = asyncio.run(main_run(options, folder))
    net.close()
    print("outcomes:", dict(sorted(record.outcomes.items())))
    print(f"seed {options.seed}: {len(record.violations)} violations, "
          f"{sum(record.outcomes.values())} requests")
    return 1 if record.violations else 0


if __name__ == "__main__":
    os.environ.pop("ASYNCIO_DEBUG", None)
    sys.modules["soak"] = sys.modules["__main__"]
    sys.exit(main())
