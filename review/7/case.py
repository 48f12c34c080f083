"""All machines lose power; three return while the seeds stay off. Each of the three acts as the only holder of every rate limit."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from fleet import CannotRun, Upstream, World, play, trouble  # noqa: E402

LIMIT_PER_S = 5.0
SETTLE_S = 3.0
WINDOW_S = 4.0
FACTOR, EXTRA = 1.5, 5
KNOWN_FOR_S = 0.5
CLIENTS, PAUSE_S = 8, 0.1


class Needy(Upstream):
    limit = None

    def notices(self):
        return {"Server-Limit": f"{self.limit:.1f}"} if self.limit is not None else {}


async def scenario(worlds):
    world = World(HERE, ["a", "b", "c"] * 2)
    worlds.append(world)
    world.add_upstreams("view", ["a", "b", "c"] * 2, Needy)
    world.configure([{"name": "look", "prefix": "/look/", "route-kind": "safe", "service": "view"}])
    await world.start()
    await asyncio.sleep(5)
    if trouble():
        await asyncio.gather(*(vm.kill() for vm in world.vms))
        await asyncio.sleep(1)
        for vm in world.vms:
            if not world.is_seed(vm):
                await vm.start()
    # Over `settle-window` after the return of the machines.
    await asyncio.sleep(8)
    used = [vm for vm in world.vms if vm.is_running()]
    # When a machine first passed on an answer that names the limit, by machine and upstream.
    passed_on = {}
    arrivals = []

    async def look():
        vm = random.choice(used)
        attempt, answer = await world.request(vm, "GET", "/look/1", b"", 1.5)
        arrivals.extend((at, vm, upstream) for at, upstream in world.arrived[attempt])
        if answer and answer.message.get("Server-Limit"):
            passed_on.setdefault((vm, world.runs[attempt][-1][1]), time.monotonic())

    async def client():
        while time.monotonic() < end:
            asyncio.ensure_future(look())
            await asyncio.sleep(PAUSE_S)

    began = time.monotonic()
    end = began + 16
    named_at = began + 2

    async def name_limits():
        await asyncio.sleep(2)
        for it in world.upstreams:
            it.limit = LIMIT_PER_S
        world.record.line(f"all upstreams name Server-Limit: {LIMIT_PER_S}")

    await asyncio.gather(name_limits(), *(client() for _ in range(CLIENTS)))
    await asyncio.sleep(2)
    if sum(1 for it in world.answers.values() if it.status == 200) < 100:
        raise CannotRun("too few requests were served")
    allowed = FACTOR * LIMIT_PER_S * WINDOW_S + EXTRA
    most = 0
    for upstream in world.upstreams:
        counted = sorted(at for at, vm, it in arrivals
                         if it is upstream and at >= named_at + SETTLE_S
                         and passed_on.get((vm, upstream), at) <= at - KNOWN_FOR_S)
        count = max((sum(1 for at in counted if first <= at < first + WINDOW_S) for first in counted), default=0)
        most = max(most, count)
        world.record.line(f"{upstream.name} got {count} requests in some {WINDOW_S:.0f} s; allowed are {allowed:.0f}")
    world.record.say(f"{len(used)} machines run; an upstream got up to {most} requests in {WINDOW_S:.0f} s, allowed are {allowed:.0f}")
    return most > allowed


play(scenario)
