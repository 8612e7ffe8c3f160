"""An entry of kind `servers` by another writer holds bytes that can't be read;
later one replica leaves. Does anything reach that replica after drainMs?"""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))
import scene as s  # noqa: E402

ROUTE = {"name": "status", "host": s.HOST, "pathPrefix": "/status/", "kind": "idempotent", "timeoutMs": 800,
         "sloMs": 150, "attempts": 2, "priority": 2, "service": "order-desk"}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 2000, "idleTimeoutMs": 15000}
CONFIG = {"version": 3, "routes": [ROUTE], "services": [{"name": "order-desk", "slots": 6, "maxConns": 96}],
          "tenants": [{"name": "shops", "apiKeys": [s.KEY]}], "limits": LIMITS}
DRAIN_S = s.BOUNDS["drainMs"] / 1000
CONTACT_S = s.BOUNDS["contactMs"] / 1000


async def ask(scene, entry, outcomes):
    attempt = scene.next_attempt()
    scene.record.sent(attempt, entry.name, "GET /status/x")
    got = await s.call_once(entry.host, s.PORTS["front"], "GET", "/status/x",
                            {"Attempt-Id": attempt, "Deadline-Ms": "1500", "Authorization": f"Token {s.KEY}"})
    scene.record.answered(attempt, got[0] if got else "no whole answer")
    outcomes.append((time.monotonic(), got[0] if got else 0))


async def ask_on(scene, outcomes):
    """Ten requests a second at each entry."""
    tasks = set()
    while True:
        for entry in scene.entries:
            tasks.add(asyncio.create_task(ask(scene, entry, outcomes)))
        tasks = {each for each in tasks if not each.done()}
        await asyncio.sleep(0.1)


def share(outcomes, since, until):
    of = [status for at, status in outcomes if since <= at < until]
    return f"{sum(each == 200 for each in of)} of {len(of)} answered with 200"


async def play(scene):
    record, outcomes = scene.record, []
    await scene.start_store()
    scene.store.put("config", "main", CONFIG)
    for zone in ("zone-a", "zone-a", "zone-b"):
        await scene.add_replica("order-desk", zone)
    for zone in ("zone-a", "zone-b", "zone-b"):
        await scene.add_entry(zone).start()
    await scene.wait_ready()
    asking = asyncio.create_task(ask_on(scene, outcomes))
    try:
        await asyncio.sleep(3)
        if s.TROUBLE:
            # Latin-1 bytes of a name, as a JSON writer passes on what it can't decode.
            owner = b"M\xfcller".decode("utf-8", "surrogateescape")
            scene.store.put("servers", "inventory-note", {"owner": owner, "purpose": "inventory"})
            record.say(f"another writer's entry is in the store: {json.dumps({'owner': owner})}")
        # Well beyond contactMs: nothing else happens to the store or a machine.
        await asyncio.sleep(2 * CONTACT_S)
        await scene.add_replica("order-desk", "zone-a")
        record.say(f"new replica {scene.replicas[3].id} is in the store")
        await asyncio.sleep(1.5)
        leaving = scene.replicas[0]
        left = leaving.drain()
        record.say(f"the store has accepted that {leaving.id} is draining")
        # It goes on serving for drainMs and, as it may, some seconds longer.
        await asyncio.sleep(DRAIN_S + 6)
        late = [at for at in leaving.arrivals if at > left + DRAIN_S]
        record.say(f"{leaving.id} ran {len(late)} requests later than drainMs after the ack, "
                   f"{len([at for at in leaving.arrivals if at <= left])} before it")
        record.say(f"meanwhile {share(outcomes, left, time.monotonic())}")
        leaving.end()
        # For the report: what is left once all first replicas are replaced.
        for each in scene.replicas[1:3]:
            each.drain()
        await asyncio.sleep(DRAIN_S + 1)
        for each in scene.replicas[1:3]:
            each.end()
        end = time.monotonic()
        await asyncio.sleep(3)
        record.say(f"with the first three gone and {scene.replicas[3].id} ready, "
                   f"{share(outcomes, end, time.monotonic())} (not judged)")
    finally:
        asking.cancel()
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reached {leaving.id} up to {max(late) - left:.1f} s after the store "
            f"had accepted that it is draining, where drainMs is {DRAIN_S:g} s"]


s.main(__file__, play)
