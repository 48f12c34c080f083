"""Long entries of another writer, whose service isn't named, take the gateways over `memory-mb`, again after each start."""

import asyncio
import os
import random
import sys
import time

# The stand-ins of the first review, which play the store page by page and the platform's limit on memory.
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from stage import Stage, configuration, play, route, send  # noqa: E402

ENTRIES = 60
# Both with the rest of the entry are less than `value-bytes`, 1048576.
LARGE_BYTES = 1_000_000
SMALL_BYTES = 300
WATCHED_S = 30
GATEWAYS = 4


def entry(number, size):
    """All fields of an upstream's entry, well-formed, of a service that the configuration doesn't name, and one field more."""
    return {"service": "elsewhere", "address": f"127.200.0.{number + 1}:9000", "zone": "z-a", "version": "v1",
            "capacity-slots": 3, "state": "ready", "warmup-remaining": "0ms", "sequence": 1, "born": 1_780_000_000_000,
            "notes": "x" * size}


async def call(stage, end, outcomes):
    while time.monotonic() < end[0]:
        await asyncio.sleep(random.expovariate(4))
        gateway = random.choice(stage.gateways)
        attempt, outcome = await send(gateway, stage.record, "POST", "/order/1", 2000, b"o" * 300)
        outcomes[attempt] = (time.monotonic(), outcome)


async def main(folder, record, has_trouble):
    stage = Stage(folder, record, gateways=GATEWAYS)
    store = stage.store
    await store.start()
    store.put("op/config", configuration(2, [route("r-order", "/order/", "unsafe", "orders")], ["orders"]))
    for _ in range(6):
        await stage.add_upstream("orders")
    try:
        if not await stage.start_gateways():
            record.say("a gateway is not ready")
            return 2
        await asyncio.sleep(3)
        end, outcomes = [time.monotonic() + 100], {}
        clients = [asyncio.ensure_future(call(stage, end, outcomes)) for _ in range(8)]
        await asyncio.sleep(2)
        for n in range(ENTRIES):
            size = LARGE_BYTES if has_trouble else SMALL_BYTES
            store.put(f"servers/other-{n:04d}", entry(n, size))
            record.say(f"another writer puts servers/other-{n:04d}, of the service 'elsewhere', with {size} bytes of notes")
            await asyncio.sleep(0.1)
        written = time.monotonic()
        await asyncio.sleep(WATCHED_S)
        end[0] = 0
        await asyncio.gather(*clients)
        ran = {attempt for it in stage.upstreams for attempt, _ in it.runs}
        lost = [a for a, (_, outcome) in outcomes.items() if outcome == "closed" and a in ran]
        after = [outcome for at, outcome in outcomes.values() if at > written]
        record.say(len(outcomes), "requests;", len(lost), "had run and got a closed connection; of the", len(after),
                   "after the last entry", after.count("200"), "got 200")
        if not has_trouble and after.count("200") < 100:
            return 2
        for it in stage.gateways:
            record.say(it.name, "peak", f"{it.peak_mb:.0f} MiB,", it.memory_ends, "ends by memory")
        hit = [it for it in stage.gateways if it.memory_ends >= 3]
        record.say(len(hit), "of", len(stage.gateways), "machines ended three times over their memory (broken: two or more)")
        return 1 if len(hit) >= 2 else 0
    finally:
        await stage.stop()


play(main)
