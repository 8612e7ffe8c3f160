#!/usr/bin/env python3
"""Overload of a plain service whose requests may run once, while some of its
instances send second copies of their answers late: where the answer to the next
request of the connection is due. These may also answer 503 after a run, or
without an end. Real entries; everything else stands in here. Counts the requests
that ran twice, and those that ran though their callers were told that they had
not, and shows what the entries used; docs/SOAK.md."""

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent.parent / "platform" / "test")]

import addresses  # noqa: E402
import faulty_answers  # noqa: E402
import soak  # noqa: E402
import standins  # noqa: E402
from http_lite import Answer, Server, call, format_answer  # noqa: E402

SLOTS, QUEUE = 6, 24
DEADLINE_MS, ROUTE_TIMEOUT_MS = 1500, 800
CALL_TIMEOUT_S = 3.0  # longer than each deadline
COPY_PERIOD_S = 5.0  # copies are sent in every other period
PROMISES = (408, 421, 429, 503)
READY_TIMEOUT_S = 30.0


class Service:
    """What all instances ran, and the status that each caller got."""

    def __init__(self):
        self.runs = Counter()
        self.answers = {}
        self.counts = Counter()
        self.seconds = []  # until each complete answer
        self.is_timed = False  # for faulty answers

    def violate(self, what):
        self.counts[what] += 1

    def ran_twice(self):
        return sorted(each for each, count in self.runs.items() if count > 1)

    def ran_though_refused(self):
        return sorted(each for each, status in self.answers.items()
                      if status in PROMISES and self.runs[each])


class Instance:
    """Runs SLOTS requests at once, keeps QUEUE waiting, and rejects the others."""

    def __init__(self, number, service, options):
        self.number = number
        self.id = f"i-{number}"
        self.host = addresses.instance(number)
        self._service = service
        self._options = options
        self._random = random.Random(f"{options.seed} {number}")
        self._slots = asyncio.Semaphore(SLOTS)
        self._inside = 0
        is_slow = number <= options.copying
        self._work_s = options.work_ms / 1000 * (options.slower if is_slow else 1)
        self._copies = {}  # by connection: the copy that is still to come
        self.server = Server(self._answer)

    def spec(self, zone):
        return {"service": "desk", "addr": f"{self.host}:{soak.APP}", "zone": zone, "slots": SLOTS,
                "version": "v1", "coldLeftMs": 0, "seq": 1, "state": "ready"}

    def _sends_copies(self):
        is_copy_period = time.monotonic() % (2 * COPY_PERIOD_S) < COPY_PERIOD_S
        return is_copy_period and self.number <= self._options.copying

    async def _answer(self, request, writer):
        copy = self._copies.pop(writer, None)
        if copy:
            self._service.counts["copies sent"] += 1
            writer.write(format_answer(copy))
        answer = await self._work(request, writer)
        if self._sends_copies() and self._random.random() < self._options.copies:
            self._copies[writer] = answer
        return answer

    async def _work(self, request, writer):
        attempt = request.headers.get("attempt-id", "")
        headers = {"Attempt-Id": attempt}
        if request.headers.get("target-instance") not in (None, self.id):
            return Answer(421, {**headers, "Not-Executed": "1"})
        if self._inside >= SLOTS + QUEUE:
            self._service.counts["rejections"] += 1
            return Answer(503, {**headers, "Not-Executed": "1"})
        self._inside += 1
        try:
            async with self._slots:
                self._service.runs[attempt] += 1
                await asyncio.sleep(self._work_s * self._random.uniform(0.5, 1.5))
        finally:
            self._inside -= 1
        headers["Response-Seal"] = f"seal.{attempt}"
        if self.number <= self._options.copying and self._random.random() < self._options.endless:
            self._service.counts["endless"] += 1
            name, begin, repeated = self._random.choice(faulty_answers.endless(headers))
            await faulty_answers.send_endlessly(name, begin, repeated, writer, self._service)
            raise ConnectionError
        if self._random.random() < self._options.unmarked:
            self._service.counts["unmarked 503"] += 1
            return Answer(503, headers)
        return Answer(200, headers, f"done {attempt}".encode())


def config():
    route = {"name": "verdict", "host": "h.example", "pathPrefix": "/once/",
             "kind": "non_idempotent", "timeoutMs": ROUTE_TIMEOUT_MS, "sloMs": 200, "attempts": 1,
             "priority": 2, "service": "desk"}
    return {"version": 1, "routes": [route], "services": [{"name": "desk", "maxConns": 580}],
            "tenants": [{"name": "shops", "apiKeys": [soak.KEY]}]}


def settings_of(number, zone):
    host = addresses.entry(number)
    listen = {"callers": f"{host}:{soak.CALLERS}", "ready": f"{host}:{soak.READY}",
              "directory": f"{host}:{soak.DIRECTORY}", "operator": f"{host}:{soak.OPERATOR}",
              "link": f"{host}:{soak.LINK}"}
    return {"mode": "direct", "role": "entry", "instance": f"entry-{number}", "dataCentre": zone,
            "listen": listen, "agents": {"linkPort": soak.LINK, "bulkPort": soak.LINK},
            "store": f"objects://{addresses.store()}:{soak.STORE}", "linkMbps": 200,
            "bounds": {"drainMs": 3000, "graceMs": 8000, "applyMs": 3000, "versionMs": 10300,
                       "retryShare": 0.2, "retrySlack": 250, "retryWindowMs": 10000}}


async def wait_until_ready(count):
    for number in range(1, count + 1):
        end = time.monotonic() + READY_TIMEOUT_S
        while True:
            answer = await call(addresses.entry(number), soak.READY, "GET", "/v1/ready", limit=2.0)
            if answer is not None and answer.status == 200:
                break
            if time.monotonic() > end:
                sys.exit(f"entry {number} is not ready")
            await asyncio.sleep(0.1)


async def run_caller(number, service, options, end):
    """Sends one request after the other, each with an id of its own. Repeats a
    refused one once, under another id."""
    choose = random.Random(f"{options.seed} caller {number}")
    count = 0
    while time.monotonic() < end:
        for attempt in (f"c{number}-{count}", f"c{number}-{count}-again"):
            host = addresses.entry(choose.randrange(options.entries) + 1)
            headers = {"Attempt-Id": attempt, "Deadline-Ms": str(DEADLINE_MS),
                       "Authorization": f"Token {soak.KEY}"}
            begin = time.monotonic()
            answer = await call(host, soak.CALLERS, "POST", "/once/x", headers, b"lot",
                                CALL_TIMEOUT_S)
            if answer and answer.status == 200:
                service.seconds.append(time.monotonic() - begin)
            service.answers[attempt] = answer.status if answer and answer.whole else 0
            if service.answers[attempt] not in PROMISES:
                break
            await asyncio.sleep(choose.uniform(0.05, 0.15))
        count += 1
        await asyncio.sleep(choose.uniform(0.0, options.pause_ms / 1000))


async def play(options, folder):
    service, store, daemons = Service(), standins.Store(), []
    instances = [Instance(i + 1, service, options) for i in range(options.instances)]
    await store.server.listen(addresses.store(), soak.STORE)
    store.put("config", "main", config())
    for each in instances:
        await each.server.listen(each.host, soak.APP)
        store.put("servers", each.id, each.spec("abc"[each.number % 3]))
    try:
        for number in range(1, options.entries + 1):
            settings = settings_of(number, "abc"[number % 3])
            daemons.append(soak.Daemon(options.program, folder, f"entry-{number}", settings))
            await daemons[-1].start()
        await wait_until_ready(options.entries)
        end = time.monotonic() + options.seconds
        await asyncio.gather(*(run_caller(i, service, options, end)
                               for i in range(options.callers)))
        await asyncio.sleep(2.0)  # longer than the deadline of requests that still run
        service.counts["entries that ended"] = sum(not each.is_running() for each in daemons)
        running = [each for each in daemons if each.is_running()]
        print("memory of the largest entry, MB:", round(max(each.memory_mb() for each in running)))
        print("processor time of an entry, s:",
              round(sum(each.processor_s() for each in running) / len(running), 2))
    finally:
        for each in daemons:
            await each.kill()
    return service


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="build/deckpitchd")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--entries", type=int, default=44)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--callers", type=int, default=400)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--work-ms", type=float, default=60)
    parser.add_argument("--pause-ms", type=float, default=200, help="of a caller between requests, at most")
    parser.add_argument("--copying", type=int, default=2, help="instances that send copies")
    parser.add_argument("--slower", type=float, default=1.0, help="how much slower these instances are")
    parser.add_argument("--copies", type=float, default=0.03, help="share of their answers")
    parser.add_argument("--unmarked", type=float, default=0.0,
                        help="share of the requests that run and are answered 503 all the same")
    parser.add_argument("--endless", type=float, default=0.0,
                        help="share of the requests that these run and answer without an end")
    parser.add_argument("--keep", help="folder for the logs of the processes")
    return parser.parse_args()


def main():
    options = parse_options()
    net = soak.take_net(None)
    folder = Path(options.keep or tempfile.mkdtemp(prefix="deckpitch-overload-"))
    folder.mkdir(parents=True, exist_ok=True)
    service = asyncio.run(play(options, folder))
    net.close()
    twice, refused = service.ran_twice(), service.ran_though_refused()
    if service.seconds:
        at = sorted(service.seconds)
        print(f"answered after, ms: p50 {1000 * at[len(at) // 2]:.0f}, p95 {1000 * at[len(at) * 19 // 20]:.0f}")
    print("answers", json.dumps(dict(sorted(Counter(service.answers.values()).items()))))
    print("counts", json.dumps(dict(sorted(service.counts.items()))))
    print(f"ran twice: {len(twice)} {twice[:5]}")
    print(f"ran though refused: {len(refused)} {refused[:5]}")
    return 1 if twice or refused or service.counts["entries that ended"] else 0


if __name__ == "__main__":
    sys.exit(main())
