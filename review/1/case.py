"""Late second answers of faulty replicas, and which requests run more than once."""

import asyncio
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from deployment import Deployment, fail_to_run  # noqa: E402
from store import Store  # noqa: E402
from web import Answer, Server, call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES, REPLICAS, FAULTY = 3, 4, 2  # half of the replicas (garble: share 0.5)
SPOILT_SHARE = 0.03  # of their answers get a second one (garble extra late: x 0.03)
SPOILT_S, SOUND_S = 5.0, 5.0  # by turns; the site's garble extra late lasts 5.0 s
SLOTS, QUEUE, WORK_S = 4, 3, 0.1
CALLERS, PLAY_S = 50, 80.0
KEY, HOST = "k1", "h.example"
SETTLE_S = 15.0


class Record:
    def __init__(self):
        self._file = open(HERE / "record.txt", "w")
        self._begin = time.monotonic()
        self.runs = Counter()
        self.first_run = {}
        self.answers = {}
        self.counts = Counter()

    def note(self, what, attempt, **more):
        rest = " ".join(f"{key}={value}" for key, value in more.items())
        at = time.monotonic() - self._begin
        self._file.write(f"{at:8.3f} {what:12} {attempt} {rest}\n")

    def line(self, text):
        self._file.write(text + "\n")
        print(text, flush=True)

    def close(self):
        self._file.close()


def is_spoilt_now():
    """Whether one of the spans of trouble is under way."""
    return TROUBLE and time.monotonic() % (SPOILT_S + SOUND_S) < SPOILT_S


class Replica:
    """A replica of a plain service as the pages tell it: `slots` requests at once,
    a short queue, 503 with Not-Executed when that is full. A faulty one sends a
    second copy of some of its answers late: where the answer to the channel's next
    request is due. Each copy bears the Attempt-Id of the request it answered."""

    def __init__(self, number, host, record, is_faulty):
        self.id = f"i-{number}"
        self.host = host
        self.is_faulty = is_faulty
        self._record = record
        self._slots = asyncio.Semaphore(SLOTS)
        self._inside = 0
        self._late = {}  # by channel: the second answer that is still to come
        self._random = random.Random(f"{number}")
        self.server = Server(self._answer)

    def spec(self, zone, port):
        return {"service": "desk", "addr": f"{self.host}:{port}", "zone": zone, "slots": SLOTS,
                "version": "v1", "coldLeftMs": 0, "seq": 1, "state": "ready"}

    async def _answer(self, request, channel):
        attempt = request.headers.get("attempt-id", "")
        late = self._late.pop(channel, None)
        if late:
            self._record.note("second", late[0], before=attempt, status=late[1].status,
                              replica=self.id)
            self._record.counts["second answers"] += 1
            channel.write(late[1].encode())
        answer = await self._work(request, attempt)
        if self.is_faulty and is_spoilt_now() and self._random.random() < SPOILT_SHARE:
            self._late[channel] = (attempt, answer)
        return answer

    async def _work(self, request, attempt):
        if request.headers.get("target-instance") not in (None, self.id):
            return Answer(421, {"Attempt-Id": attempt, "Not-Executed": "1"})
        if self._inside >= SLOTS + QUEUE:
            self._record.note("rejected", attempt, replica=self.id)
            self._record.counts["rejected as full"] += 1
            return Answer(503, {"Attempt-Id": attempt, "Not-Executed": "1"})
        self._inside += 1
        try:
            async with self._slots:
                self._record.runs[attempt] += 1
                self._record.note("run", attempt, replica=self.id, tenant=request.headers.get("tenant"))
                await asyncio.sleep(WORK_S)
        finally:
            self._inside -= 1
        return Answer(200, {"Attempt-Id": attempt, "Response-Seal": f"seal.{attempt}"},
                      f"done {attempt}".encode())


def config():
    route = {"name": "order", "host": HOST, "pathPrefix": "/order/", "kind": "non_idempotent",
             "timeoutMs": 1500, "sloMs": 150, "attempts": 1, "priority": 2, "service": "desk"}
    return {"version": 1, "routes": [route], "services": [{"name": "desk", "maxConns": 96}],
            "tenants": [{"name": "shops", "apiKeys": [KEY]}]}


async def is_ready(deployment, entry):
    answer = await call(entry.host, deployment.addresses.ready, "GET", "/v1/ready", limit=1.0)
    return answer is not None and answer.status == 200


async def settle(deployment):
    end = time.monotonic() + SETTLE_S
    while time.monotonic() < end:
        ready = [await is_ready(deployment, each) for each in deployment.daemons]
        if all(ready):
            await asyncio.sleep(1.0)
            return
        await asyncio.sleep(0.1)
    fail_to_run("the entries are not ready")


async def caller(number, deployment, record, end):
    """Sends one request after the other, each with an id of its own, never again."""
    choose = random.Random(f"caller {number}")
    count = 0
    while time.monotonic() < end:
        count += 1
        attempt = f"c{number:02}-{count:05}"
        entry = choose.choice(deployment.daemons)
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "1500",
                   "Authorization": f"Token {KEY}"}
        record.note("sent", attempt, to=entry.name)
        answer = await call(entry.host, deployment.addresses.callers, "POST", "/order/x",
                            headers, b"one basket", 3.0)
        status = answer.status if answer and answer.whole else "none"
        record.answers[attempt] = status
        record.note("answered", attempt, status=status)
        await asyncio.sleep(choose.uniform(0.0, 0.3))


async def play(record):
    deployment, store, replicas = Deployment(), Store(), []
    try:
        at = deployment.addresses
        await store.server.listen(at.host(1), at.store)
        store.put("config", "main", config())
        for number in range(1, REPLICAS + 1):
            replica = Replica(number, at.host(100 + number), record, number <= FAULTY)
            await replica.server.listen(replica.host, at.app)
            store.put("servers", replica.id, replica.spec("zone-a", at.app))
            replicas.append(replica)
        for number in range(1, ENTRIES + 1):
            await deployment.entry(number, "zone-a").start()
        await settle(deployment)
        end = time.monotonic() + PLAY_S
        await asyncio.gather(*(caller(i, deployment, record, end) for i in range(CALLERS)))
        await asyncio.sleep(2.0)  # for what still runs
        if not all(each.is_running() for each in deployment.daemons):
            record.line(f"exit codes {[each.exit_code for each in deployment.daemons]}")
    finally:
        await deployment.end()
        for each in [store, *replicas]:
            each.server.close()


def judge(record):
    twice = sorted(each for each, count in record.runs.items() if count > 1)
    promised = sorted(each for each, status in record.answers.items()
                      if status in (408, 421, 429, 503) and record.runs[each])
    record.line(f"statuses {dict(sorted(Counter(map(str, record.answers.values())).items()))}")
    record.line(f"counts {dict(sorted(record.counts.items()))}")
    record.line(f"TWICE broken by {len(twice)} requests: {twice[:10]}")
    record.line(f"REFUSED broken by {len(promised)} requests: {promised[:10]}")
    if record.counts["rejected as full"] == 0 or Counter(record.answers.values())[200] < 1000:
        record.line("the load was not reached")
        return 2
    return 1 if twice or promised else 0


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
