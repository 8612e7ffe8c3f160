"""Faults from outside the processes, in series and overlapping, and the checks
that need all to be quiet again."""

import asyncio
import signal
import time

import addresses
import standins
from soak import (APP, CALLERS, DRAIN_S, GRACE_S, KEY, MOST_MEMORY_MB, OBSERVED_S, OPERATOR,
                  RECOVERY_S, SERVED_SHARE, STORE, UNTIMED_RECOVERY_S)
from http_lite import call


async def stop_process(system, daemon):
    """A planned stop: it must end by itself within its grace."""
    async with daemon.lock:
        daemon.signal(signal.SIGTERM)
        if await daemon.wait(GRACE_S + 2.0) is None:
            if system.record.is_timed:
                system.record.violate(f"GRACE {daemon.name} still runs after its grace")
            await daemon.kill()
        await daemon.start()


async def stop_entry(system):
    await stop_process(system, system.random.choice(system.entries))


async def stop_agent(system):
    await stop_process(system, system.random.choice(system.agents))


async def drain_instance(system):
    """Leaves as planned and comes back empty, as a new life."""
    instance = system.random.choice(system.instances)
    if instance.is_leaving:
        return
    gone = instance.id
    instance.leave()
    system.list_instance(instance)
    await asyncio.sleep(DRAIN_S + 2.0)
    system.store.remove("servers", gone)
    await asyncio.sleep(1.0)
    await restart_instance(system, instance)


async def restart_instance(system, instance):
    async with instance.lock:
        await instance.server.close()
        instance.staged.clear()
        await instance.start(0, APP)
        system.list_instance(instance)


async def declare(system):
    system.declare()


async def name_weights(system):
    system.weights += 1
    system.store.put("versions", standins.MODEL,
                     {"model": standins.MODEL, "version": system.weights})
    await asyncio.sleep(system.random.uniform(0.5, 4.0))


async def kill_process(system):
    daemon = system.random.choice(system.entries + system.agents)
    pause = system.random.uniform(0.0, 1.0)
    async with daemon.lock:
        await daemon.kill()
        await asyncio.sleep(pause)
        await daemon.start()


async def kill_entries(system):
    async def kill_and_start(daemon):
        async with daemon.lock:
            await daemon.kill()
            await daemon.start()

    await asyncio.gather(*(kill_and_start(each) for each in system.entries))


async def freeze_process(system):
    daemon = system.random.choice(system.entries + system.agents)
    pause = system.random.uniform(0.3, 4.0)
    async with daemon.lock:
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(pause)
        daemon.signal(signal.SIGCONT)


async def crash_instance(system):
    await crash(system, system.random.choice(system.instances), system.random)


async def crash(system, instance, random):
    gone = instance.id
    await instance.server.close()
    await asyncio.sleep(random.uniform(0.2, 2.0))
    system.store.remove("servers", gone)
    if instance.id == gone:  # No other fault has brought it back meanwhile.
        await restart_instance(system, instance)


async def rest_instance(system):
    """Turns all away, and asks each entry for rest."""
    instance = system.side_random.choice(system.instances)
    instance.rests = True
    await asyncio.sleep(system.side_random.uniform(0.5, 4.0))
    instance.rests = False


async def rest_now_and_then(system):
    """Beside the faults that the seed draws, which stay the same."""
    while True:
        await asyncio.sleep(system.side_random.uniform(1.0, 4.0))
        await play_one(system, rest_instance)


async def limit_instance(system):
    """Names how many requests it takes a second, then others, then none."""
    instance = system.limit_random.choice(system.instances)
    for _ in range(2):
        instance.set_limit(system.limit_random.choice([0, 0.4, 1, 2.5, 8]))
        await asyncio.sleep(system.limit_random.uniform(4.0, 14.0))
    instance.set_limit(None)


async def limit_now_and_then(system):
    """Beside the faults that the seed draws, which stay the same."""
    while True:
        await asyncio.sleep(system.limit_random.uniform(0.5, 2.0))
        await play_one(system, limit_instance)


async def hang_instance(system):
    instance = system.random.choice(system.instances)
    instance.hangs = True
    await asyncio.sleep(system.random.uniform(0.5, 3.0))
    instance.hangs = False


async def spoil_staging(system):
    instance = system.random.choice(system.instances)
    if instance.staged:
        instance.staged[system.random.choice(sorted(instance.staged))] = b"rotten"


async def store_away(system):
    system.store.mode = system.random.choice(["busy", "silent", "slow"])
    await asyncio.sleep(system.random.uniform(0.5, 4.0))
    system.store.mode = "good"


async def store_forgets(system):
    system.store.forget_history()


async def origin_loses(system):
    system.origin.lose_every = system.random.choice([2, 3, 5])
    await asyncio.sleep(3.0)
    system.origin.lose_every = 0


async def harm_links(system):
    """Some links to the store, or to an instance, misbehave for a while."""
    proxies = system.random.choice([system.store_proxies, system.instance_proxies])
    names = system.random.sample(sorted(proxies), 1 + len(proxies) // 4)
    mode = system.random.choice(["refuse", "hold", "silent", "one_way", "slow", "reset"])
    system.record.heed.all_disturbed()
    for name in names:
        if mode == "reset":
            proxies[name].reset_all()
        else:
            proxies[name].mode = mode
    await asyncio.sleep(system.random.uniform(0.3, 4.0))
    for name in names:
        proxies[name].mode = "good"
    system.record.heed.all_disturbed()


PLANNED = [stop_entry, stop_agent, drain_instance, declare, name_weights]
FAULTS = PLANNED + [kill_process, kill_entries, freeze_process, crash_instance, hang_instance,
                    spoil_staging, store_away, store_forgets, origin_loses, harm_links]


async def play(system, options):
    """Planned work alone, one after the other; then anything, overlapping."""
    limiting = [asyncio.create_task(limit_now_and_then(system)) for _ in range(2)]
    for _ in range(options.faults // 2):
        await play_one(system, system.random.choice(PLANNED))
    system.record.is_planned_only = False
    running = set()
    resting = asyncio.create_task(rest_now_and_then(system))
    for _ in range(options.faults):
        fault = system.random.choice(FAULTS)
        running.add(asyncio.create_task(play_one(system, fault)))
        await asyncio.sleep(system.random.uniform(0.0, 1.5))
        if len(running) > 3:
            _, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
    if running:
        await asyncio.gather(*running)
    for task in [resting, *limiting]:
        task.cancel()
    for instance in system.instances:
        instance.rests = False
        instance.set_limit(None)
    await play_one(system, lose_power)
    await judge_served(system, time.monotonic())


async def play_one(system, fault):
    print(f"fault {fault.__name__}", flush=True)
    await fault(system)


async def lose_power(system):
    """Everything ends at about the same moment and is back together; staged
    weights are lost. Instances are listed again within two seconds."""
    daemons = system.entries + system.agents
    locks = [each.lock for each in daemons + system.instances]
    for each in locks:
        await each.acquire()
    try:
        system.record.heed.all_disturbed()
        ending = [each.kill() for each in daemons]
        ending += [each.server.close() for each in [*system.instances, system.store]]
        system.random.shuffle(ending)
        gap = system.random.choice([0.0, 0.3, 2.0]) / len(ending)
        for each in ending:
            await each
            await asyncio.sleep(gap)
        await asyncio.sleep(system.random.uniform(0.8, 5.0))
        await system.store.server.listen(addresses.store(), STORE)
        for each in system.instances:
            system.store.remove("servers", each.id)
            each.staged.clear()
            await each.start(0, APP)
        await asyncio.gather(*(each.start() for each in daemons))
        system.record.heed.all_disturbed()
        await asyncio.gather(*(list_later(system, each) for each in system.instances))
    finally:
        for each in locks:
            each.release()


async def list_later(system, instance):
    await asyncio.sleep(system.random.uniform(0.0, 2.0))
    system.list_instance(instance)


async def judge_served(system, back):
    """Of the requests that are sent later than the time for recovery, enough are
    served."""
    begin = back + (RECOVERY_S if system.record.is_timed else UNTIMED_RECOVERY_S)
    await asyncio.sleep(max(0.0, begin + OBSERVED_S - time.monotonic()))
    counted = [is_served for sent, is_served in system.record.served if sent >= begin]
    if counted and sum(counted) < SERVED_SHARE * len(counted):
        system.record.violate(f"RECOVER {sum(counted)} of {len(counted)} requests are served that "
                              f"were sent {begin - back:.0f} s after the return or later")


async def settle(system, when):
    """All heals: every entry serves again, by the newest declaration, and every
    instance holds the newest weights."""
    for what, holds in [("every entry is ready", entries_ready),
                        ("the newest declaration is in force", newest_declared),
                        ("every instance holds the newest weights", newest_weights),
                        ("every entry serves again", entries_serve)]:
        limit = RECOVERY_S if system.record.is_timed else UNTIMED_RECOVERY_S
        end = time.monotonic() + limit
        while not await holds(system):
            if time.monotonic() > end:
                system.record.violate(f"RECOVER {when}, not within {limit:.0f} s: {what}")
                await print_dumps(system)
                return
            await asyncio.sleep(0.1)


async def print_dumps(system):
    """The state of each process, as operators see it."""
    hosts = [addresses.entry(i + 1) for i in range(len(system.entries))]
    hosts += [each.host for each in system.instances]
    for host in hosts:
        answer = await call(host, OPERATOR, "GET", "/v1/dump", limit=3.0)
        print(f"dump {host}: {answer.body.decode() if answer else 'no answer'}")


async def entries_ready(system):
    numbers = range(1, len(system.entries) + 1)
    return all([await system.is_ready(number) for number in numbers])


async def newest_declared(system):
    headers = {"Attempt-Id": f"probe-{time.monotonic_ns()}", "Deadline-Ms": "2000",
               "Authorization": f"Token {KEY}"}
    for number in range(1, len(system.entries) + 1):
        answer = await call(addresses.entry(number), CALLERS, "POST",
                            f"/v{system.version}/x", headers, b"asked", 4.0)
        if answer is None or answer.status != 200:
            return False
    return True


async def newest_weights(system):
    return all(each.version == system.weights for each in system.instances)


async def entries_serve(system):
    for number in range(1, len(system.entries) + 1):
        attempt = f"settled-{number}-{time.monotonic_ns()}"
        answer = await system.request(addresses.entry(number), "stream", attempt)
        if answer is None or not answer.whole or answer.status != 200:
            return False
    return True


def check_memory(system):
    for each in system.entries + system.agents:
        if not each.is_running():
            system.record.violate(f"EXIT {each.name} ended by itself")
        elif each.memory_mb() > MOST_MEMORY_MB:
            system.record.violate(f"MEMORY {each.name}: {each.memory_mb():.0f} MB")
