"""Case 2: after an outage of the store, machines go on sending to upstreams whose entries were removed."""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from stage import Stage, configuration, play, route, send  # noqa: E402

DRAIN_S = 2.0  # drain-timeout
SETTLE_S = 3.0  # settle-window
OUTAGE_S = 2.32  # the site file's `platform_down` lasts 4.5 s
ROUNDS = 8
UPSTREAMS = 6
LEAVE_AT_ONCE = 2
# An upstream serves for the drain timeout after its entry was removed "and a little longer".
SERVES_S = DRAIN_S + 0.25
# What the stand-ins' own scheduling may add to an arrival.
SLACK_S = 0.02


async def call(stage, until, outcomes):
    while time.monotonic() < until():
        await asyncio.sleep(random.expovariate(10))
        attempt, outcome = await send(random.choice(stage.gateways), stage.record, "POST", "/order/1", 2000, b"o" * 300)
        outcomes[attempt] = outcome


async def leave(stage, upstream, removed):
    """The entry is removed without a report of `draining`; the upstream goes on serving and then ends."""
    stage.store.remove(f"servers/{upstream.name}")
    removed[upstream.name] = time.monotonic()
    stage.record.say("removed", upstream.name, "acknowledged by the store")
    await asyncio.sleep(SERVES_S)
    stage.record.say("ends", upstream.name)
    upstream.end()


async def main(folder, record, has_trouble):
    stage = Stage(folder, record, gateways=4)
    store = stage.store
    await store.start()
    version = [2]

    def publish():
        store.put("op/config", configuration(version[0], [route("r-order", "/order/", "unsafe", "orders")], ["orders"]))
        version[0] += 3

    publish()
    for _ in range(UPSTREAMS):
        await stage.add_upstream("orders")
    try:
        if not await stage.start_gateways():
            record.say("a gateway is not ready")
            return 2
        await asyncio.sleep(4)
        end, outcomes, removed = [time.monotonic() + 105], {}, {}
        callers = [asyncio.ensure_future(call(stage, lambda: end[0], outcomes)) for _ in range(8)]
        leaving = []
        for _ in range(ROUNDS):
            # Changes that alter no route. They bring the gateways' calls to the store into step.
            publish()
            await asyncio.sleep(0.6)
            publish()
            await asyncio.sleep(0.3)
            if has_trouble:
                record.say("the store is down")
                store.go_down()
            await asyncio.sleep(OUTAGE_S)
            if has_trouble:
                store.come_back()
                record.say("the store is back")
            await asyncio.sleep(SETTLE_S + 0.03)
            present = [it for it in stage.upstreams if it.name not in removed]
            for upstream in random.sample(present, LEAVE_AT_ONCE):
                leaving.append(asyncio.ensure_future(leave(stage, upstream, removed)))
            await asyncio.sleep(SERVES_S + 0.5)
            for _ in range(LEAVE_AT_ONCE):
                await stage.add_upstream("orders")
            await asyncio.sleep(1.5)
        end[0] = 0
        await asyncio.gather(*callers, *leaving)
        late = [(attempt, it.name, at - removed[it.name]) for it in stage.upstreams if it.name in removed
                for attempt, at in it.runs if at - removed[it.name] > DRAIN_S + SLACK_S]
        for attempt, name, after in late:
            record.say(f"late: {attempt} was run by {name} {after:.3f} s after its removal, its client got", outcomes.get(attempt))
        record.say(len(outcomes), "requests,", sum(it == "200" for it in outcomes.values()), "answered 200;", len(late),
                   "reached an upstream later than the drain timeout after its removal,",
                   sum(outcomes.get(a) != "200" for a, _, _ in late), "of them were lost")
        return 1 if late else 0
    finally:
        await stage.stop()


play(main)
