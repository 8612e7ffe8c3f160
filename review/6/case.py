"""A new version of the config raises maxBodyBytes. Requesters with kept channels
then send a body that only it allows. Is any of them handled by the old one?"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))
import scene as s  # noqa: E402

CHANNELS = 12  # at each entry
OLD_MAX, NEW_MAX = 2_048, 4_194_304
SENT_BYTES = 3_600  # the largest that the sheet gives order-status
IDLE_MS = 15_000
APPLY_S = s.BOUNDS["applyMs"] / 1000


def config(version, max_body):
    route = {"name": "upload", "host": s.HOST, "pathPrefix": "/upload/", "kind": "non_idempotent", "timeoutMs": 4000,
             "sloMs": 500, "attempts": 1, "priority": 2, "service": "order-desk"}
    return {"version": version, "routes": [route],
            "services": [{"name": "order-desk", "slots": 6, "maxConns": 96}],
            "tenants": [{"name": "shops", "apiKeys": [s.KEY]}],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": max_body, "headerTimeoutMs": 2_000,
                       "idleTimeoutMs": IDLE_MS}}


async def send(scene, channel, size, note):
    """One request; the status, or 0 where no whole answer came."""
    attempt = scene.next_attempt()
    scene.record.sent(attempt, channel.host, f"POST /upload/x with {size} bytes, {note}")
    headers = {"Attempt-Id": attempt, "Deadline-Ms": "4000", "Authorization": f"Token {s.KEY}"}
    try:
        got = await asyncio.wait_for(channel.call("POST", "/upload/x", headers, b"b" * size), 6)
    except (OSError, EOFError, asyncio.TimeoutError) as fault:
        scene.record.answered(attempt, repr(fault))
        return 0
    scene.record.answered(attempt, f"{got[0]} {got[2][:80]!r}")
    return got[0]


async def play(scene):
    record = scene.record
    await scene.start_store()
    # With TROUBLE=0 the first version allows the body already.
    scene.store.put("config", "main", config(3, OLD_MAX if s.TROUBLE else NEW_MAX))
    for zone in ("zone-a", "zone-b"):
        await scene.add_replica("order-desk", zone, slots=6)
    for zone in ("zone-a", "zone-b"):
        await scene.add_entry(zone).start()
    await scene.wait_ready()
    await asyncio.sleep(4)
    channels = [s.Channel(each.host, s.PORTS["front"]) for each in scene.entries for _ in range(CHANNELS)]
    first = [await send(scene, each, 600, "first on its channel") for each in channels]
    if any(status != 200 for status in first):
        raise s.CannotRun(f"small requests were answered {first}")
    await asyncio.sleep(1)
    acked = scene.store.put("config", "main", config(9, NEW_MAX))
    record.say(f"version 9 of the config, with maxBodyBytes {NEW_MAX}, is acknowledged")
    await asyncio.sleep(APPLY_S + 1)
    record.say(f"bodies of {SENT_BYTES} bytes are sent {time.monotonic() - acked:.1f} s after the ack, on channels "
               f"that were idle for {APPLY_S + 2:.0f} s of {IDLE_MS / 1000:g} s")
    kept = [await send(scene, each, SENT_BYTES, "second on its channel") for each in channels]
    for each in channels:
        each.close()
    fresh = []
    for entry in scene.entries:
        channel = s.Channel(entry.host, s.PORTS["front"])
        fresh.append(await send(scene, channel, SENT_BYTES, "on a new channel"))
        channel.close()
    total = len(first) + len(kept) + len(fresh)
    denied = [status for status in kept + fresh if 300 <= status < 500 and status not in (408, 421, 429)]
    record.say(f"on kept channels: {sorted(kept)}; on new ones: {fresh}")
    broken = []
    if len(denied) > 5 + total / 500:
        broken.append(f"DENIED: {len(denied)} of {total} requests, all proper, were ended with {sorted(set(denied))}")
    if denied:
        broken.append(f"CONFIG: {len(denied)} requests sent later than applyMs after the ack of version 9 were handled "
                      "as only version 3 allows")
    return broken


s.main(__file__, play)
