"""A request that isn't idempotent runs, its upstream answers 503 without X-Wigeonlift-Not-Executed, and the caller gets that 503."""

import asyncio
import collections
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from fleet import Upstream, World, CannotRun, play, trouble  # noqa: E402

# The largest dose of srv_grey in the site file: share 0.14, x 0.45, for 6.5 s.
FAILING_UPSTREAMS = 1
FAILING_SHARE = 0.45
FAILING_S = 6.5
PROMISES = (408, 421, 429, 503)


class Ledger(Upstream):
    failing = 0.0

    def reply(self, attempt, message):
        """Runs before this is called, so an answer that says otherwise would be wrong; a failure may have any status."""
        if random.random() < self.failing:
            self.world.record.line(f"{self.name} fails {attempt} after its run: 503, sealed, without X-Wigeonlift-Not-Executed")
            return self.sealed(503, attempt, b"the ledger could not confirm")
        return super().reply(attempt, message)


async def scenario(worlds):
    world = World(HERE, ["a", "b"] * 2)
    worlds.append(world)
    world.add_upstreams("ledger", ["a", "b"] * 4, Ledger)
    world.configure([{"name": "record", "prefix": "/record/", "route-kind": "unsafe", "service": "ledger"}])
    await world.start()
    await asyncio.sleep(3)
    orders = collections.defaultdict(list)

    async def order(number):
        """A client as in PROTOCOL.md: it tries once more after a promise, and only then."""
        body = f"order {number}".encode()
        for _ in range(2):
            attempt, answer = await world.request(random.choice(world.vms), "POST", "/record/new", body, 2.0)
            orders[number].append(attempt)
            if not answer or answer.status not in PROMISES:
                return
            await asyncio.sleep(min(0.5, float(answer.message.get("Retry-After", "0.02"))))

    async def client(index):
        count = 0
        while time.monotonic() < end:
            await order(f"{index}-{count}")
            count += 1
            await asyncio.sleep(0.1)

    if trouble():
        for it in world.upstreams[:FAILING_UPSTREAMS]:
            it.failing = FAILING_SHARE
    end = time.monotonic() + FAILING_S
    await asyncio.gather(*(client(index) for index in range(16)))
    if sum(1 for it in world.answers.values() if it.status == 200) < len(world.sent) / 2:
        raise CannotRun("too few orders were served")
    broken = [it for it, answer in world.answers.items() if answer.status in PROMISES and world.runs[it]]
    twice = [number for number, attempts in orders.items() if sum(len(world.runs[it]) for it in attempts) > 1]
    for it in broken:
        world.record.line(f"REFUSED: {it} was answered {world.answers[it].status} and has run")
    for number in twice:
        world.record.line(f"order {number} was applied by the attempts {' '.join(orders[number])}")
    world.record.say(f"{len(world.sent)} client attempts, {len(broken)} refused although they had run, "
                     f"{len(twice)} orders applied twice")
    return bool(broken)


play(scenario)
