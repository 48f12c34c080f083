"""All machines lose power; three return while the seeds stay off. Each of the three uses the whole common allowance of repeats."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from fleet import CannotRun, Upstream, World, play, trouble  # noqa: E402
from Meta.soak import wire  # noqa: E402

RATIO, EXTRA, WINDOW_S = 0.2, 56, 10.0
# As in the site files: srv_grey "shed all", x 0.55, for 8.5 s.
SHED_SHARE, SHED_S = 0.55, 8.5
CLIENTS, PAUSE_S = 8, 0.2


class Shedding(Upstream):
    shedding = False

    def reject(self, attempt):
        if not self.shedding or random.random() >= SHED_SHARE:
            return None
        self.world.record.line(f"{self.name} rejects {attempt}")
        return wire.response(503, b"", {"X-Wigeonlift-Attempt-Id": attempt, "X-Wigeonlift-Not-Executed": "full", **self.load()})


async def scenario(worlds):
    world = World(HERE, ["a", "b", "c"] * 2)
    worlds.append(world)
    world.add_upstreams("view", ["a", "b", "c"] * 4, Shedding)
    world.configure([{"name": "look", "prefix": "/look/", "route-kind": "safe", "service": "view"}])
    await world.start()
    await asyncio.sleep(5)
    if trouble():
        await asyncio.gather(*(vm.kill() for vm in world.vms))
        await asyncio.sleep(1)
        for vm in world.vms:
            if not world.is_seed(vm):
                await vm.start()
    await asyncio.sleep(1)
    used = [vm for vm in world.vms if vm.is_running()]
    began = time.monotonic()
    end = began + 30

    async def client():
        while time.monotonic() < end:
            asyncio.ensure_future(world.request(random.choice(used), "GET", "/look/1", b"", 1.5))
            await asyncio.sleep(PAUSE_S)

    async def shed():
        await asyncio.sleep(17)
        for it in world.upstreams:
            it.shedding = True
        await asyncio.sleep(SHED_S)
        for it in world.upstreams:
            it.shedding = False

    await asyncio.gather(shed(), *(client() for _ in range(CLIENTS)))
    await asyncio.sleep(2)
    if sum(1 for it in world.answers.values() if it.status == 200) < 200:
        raise CannotRun("too few requests were served")
    sent = [at for at, _ in world.sent.values()]
    repeats = sorted(at for it in world.arrived.values() for at, _ in sorted(it, key=lambda arrival: arrival[0])[1:])

    def requests_in(first):
        return sum(1 for at in sent if first <= at < first + WINDOW_S)

    worst = (float("-inf"), 0, RATIO * len(sent) + EXTRA)
    for first in repeats:
        count = sum(1 for at in repeats if first <= at < first + WINDOW_S)
        allowed = RATIO * max(requests_in(first), requests_in(first - WINDOW_S / 2), requests_in(first - WINDOW_S)) + EXTRA
        worst = max(worst, (count - allowed, count, allowed))
    world.record.say(f"{len(used)} machines run; {worst[1]} repeats in {WINDOW_S:.0f} s, allowed are {worst[2]:.1f}")
    return worst[0] > 0


play(scenario)
