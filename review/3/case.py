"""Replicas that crash while they send answers, and answers that look whole."""

import asyncio
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent / "common"), str(HERE)]

from deployment import Deployment, fail_to_run  # noqa: E402
from replica import body_of, is_unframed_now  # noqa: E402
from store import Store  # noqa: E402
from web import call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES, REPLICAS = 3, 6
UNFRAMED_REPLICAS = 3  # half of them (garble: share 0.5)
SLOTS, UNFRAMED_SHARE = 6, 0.05
DOWN_S, PAUSE_S = 1.5, 0.5  # one replica of six is down at a time (srv_crash: 0.17)
CALLERS, PLAY_S = 60, 90.0
KEY, HOST = "k1", "h.example"
SETTLE_S, HEARTBEAT_S = 15.0, 1.2


class Record:
    def __init__(self):
        self._file = open(HERE / "record.txt", "w")
        self._begin = time.monotonic()
        self.statuses = Counter()
        self.wrong = []
        self.crashes = 0

    def note(self, what, name, **more):
        rest = " ".join(f"{key}={value}" for key, value in more.items())
        self._file.write(f"{time.monotonic() - self._begin:8.3f} {what:9} {name} {rest}\n")

    def line(self, text):
        self._file.write(text + "\n")
        print(text, flush=True)

    def answered(self, attempt, kind, answer):
        status = answer.status if answer and answer.whole else "none"
        self.statuses[status] += 1
        got = len(answer.body) if answer else 0
        self.note("answered", attempt, status=status, kind=kind, bytes=got)
        if status == 200 and answer.body != body_of(attempt):
            self.wrong.append(attempt)

    def close(self):
        self._file.close()


class Place:
    """One place of a replica; each start is a process and an id of its own."""

    def __init__(self, number, host, port, store, record):
        self._number, self._host, self._port = number, host, port
        self._store, self._record = store, record
        self._life = 0
        self._process = None
        self._reader = None

    async def start(self):
        self._life += 1
        name = f"i-{self._number}-{self._life}"
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, str(HERE / "replica.py"), name, self._host, str(self._port),
            str(SLOTS), str(self._unframed_share()), stdout=asyncio.subprocess.PIPE)
        if await self._process.stdout.readline() != b"listens\n":
            fail_to_run("a replica does not start")
        self._reader = asyncio.create_task(self._read(name))
        self._store.put("servers", name, {
            "service": "desk", "addr": f"{self._host}:{self._port}", "zone": "zone-a",
            "slots": SLOTS, "version": "v1", "coldLeftMs": 0, "seq": 1, "state": "ready"})
        return name

    def _unframed_share(self):
        return UNFRAMED_SHARE if self._number <= UNFRAMED_REPLICAS else 0.0

    async def _read(self, name):
        while line := await self._process.stdout.readline():
            _, attempt, framing = line.decode().split()
            self._record.note("run", attempt, replica=name, framing=framing)

    async def kill(self):
        if self._process and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._reader:
            await self._reader

    async def crash(self):
        """SIGKILL; the entry expires after three check-in intervals."""
        name = f"i-{self._number}-{self._life}"
        self._record.note("crash", name)
        self._record.crashes += 1
        await self.kill()
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self._store.remove, "servers", name)
        await asyncio.sleep(DOWN_S)
        await self.start()
        await asyncio.sleep(PAUSE_S)


def config():
    def route(name, kind, attempts):
        return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind,
                "timeoutMs": 3000, "sloMs": 300, "attempts": attempts, "priority": 2, "service": "desk"}
    return {"version": 1, "routes": [route("once", "non_idempotent", 1), route("often", "idempotent", 2)],
            "services": [{"name": "desk", "maxConns": 96}],
            "tenants": [{"name": "shops", "apiKeys": [KEY]}]}


async def settle(deployment):
    end = time.monotonic() + SETTLE_S
    while time.monotonic() < end:
        answers = [await call(each.host, deployment.addresses.ready, "GET", "/v1/ready", limit=1.0)
                   for each in deployment.daemons]
        if all(each and each.status == 200 for each in answers):
            return await asyncio.sleep(1.0)
        await asyncio.sleep(0.1)
    fail_to_run("the entries are not ready")


async def caller(number, deployment, record, end):
    choose = random.Random(f"caller {number}")
    count = 0
    while time.monotonic() < end:
        count += 1
        attempt = f"c{number:02}-{count:05}"
        kind = choose.choice(["once", "often"])
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "3000",
                   "Authorization": f"Token {KEY}"}
        entry = choose.choice(deployment.daemons)
        record.note("sent", attempt, to=entry.name, kind=kind)
        method = "POST" if kind == "once" else "GET"
        answer = await call(entry.host, deployment.addresses.callers, method, f"/{kind}/x", headers,
                            b"asked" if kind == "once" else b"", 5.0)
        record.answered(attempt, kind, answer)
        await asyncio.sleep(choose.uniform(0.0, 0.1))


async def play(record):
    deployment, store, places = Deployment(), Store(), []
    try:
        at = deployment.addresses
        await store.server.listen(at.host(1), at.store)
        store.put("config", "main", config())
        for number in range(1, REPLICAS + 1):
            place = Place(number, at.host(100 + number), at.app, store, record)
            places.append(place)
            await place.start()
        for number in range(1, ENTRIES + 1):
            await deployment.entry(number, "zone-a").start()
        await settle(deployment)
        end = time.monotonic() + PLAY_S
        callers = [asyncio.create_task(caller(i, deployment, record, end)) for i in range(CALLERS)]
        choose = random.Random(17)
        while TROUBLE and time.monotonic() < end - 3 * HEARTBEAT_S:
            if is_unframed_now():
                await choose.choice(places[:UNFRAMED_REPLICAS]).crash()
            else:
                await asyncio.sleep(0.1)
        await asyncio.gather(*callers)
    finally:
        await deployment.end()
        for each in places:
            await each.kill()
        store.server.close()


def judge(record):
    record.line(f"statuses {dict(sorted(record.statuses.items(), key=str))}, crashes {record.crashes}")
    record.line(f"MIXED broken by {len(record.wrong)} answers: {record.wrong[:10]}")
    if record.statuses[200] < 1000:
        record.line("the load was not reached")
        return 2
    return 1 if record.wrong else 0


def main():
    record = Record()
    try:
        asyncio.run(asyncio.wait_for(play(record), 115))
        code = judge(record)
    finally:
        record.close()
    sys.exit(code)


if __name__ == "__main__":
    try:
        main()
    except Exception as error:  # Not a finding.
        fail_to_run(repr(error))
