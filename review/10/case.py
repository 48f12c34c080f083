"""An upstream asks machines to stay away for 20 s. An evacuation of its zone that ends meanwhile makes them forget that."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from fleet import CannotRun, Upstream, World, play, trouble  # noqa: E402
from Meta.soak import wire  # noqa: E402

RETRY_AFTER_S = 20
# The shortest evacuation of the site file daybook-sapporo-grown takes 8 s, the longest 60 s.
EVACUATION_S = 8.0
SLACK_S = 0.5
ALLOWED = 2


class Busy(Upstream):
    asks = False

    def reject(self, attempt):
        """Turns away the first request of each machine, and wants nothing from it for the time that it names."""
        vm = self.world.sent[attempt][1]
        if not self.asks or vm in self.world.told:
            return None
        self.world.told[vm] = time.monotonic()
        self.world.record.line(f"{self.name} answers {attempt} of {vm.name}: 503, Retry-After: {RETRY_AFTER_S}")
        return wire.response(503, b"", {"X-Wigeonlift-Attempt-Id": attempt, "Retry-After": str(RETRY_AFTER_S),
                                        "X-Wigeonlift-Not-Executed": "busy", **self.load()})


async def scenario(worlds):
    world = World(HERE, ["a", "b"] * 2)
    worlds.append(world)
    world.told = {}
    world.bounds["evacuation"] = "5000ms"
    world.contracts.append("places")
    world.add_upstreams("view", ["a", "b"] * 3, Busy)
    world.configure([{"name": "look", "prefix": "/look/", "route-kind": "safe", "service": "view"}])
    await world.start()
    await asyncio.sleep(4)
    upstream = world.upstreams[0]
    end = time.monotonic() + 26

    async def client():
        while time.monotonic() < end:
            await world.request(random.choice(world.vms), "GET", "/look/1", b"", 1.5)
            await asyncio.sleep(0.05)

    async def play_trouble():
        await asyncio.sleep(1)
        upstream.asks = True
        await asyncio.sleep(2)
        if trouble():
            world.store.put(f"op/evacuate/{upstream.zone}", {})
            world.record.line(f"zone {upstream.zone} is evacuated")
            await asyncio.sleep(EVACUATION_S)
            world.store.remove(f"op/evacuate/{upstream.zone}")
            world.record.line(f"zone {upstream.zone} is taken back")

    await asyncio.gather(play_trouble(), *(client() for _ in range(10)))
    if not world.told:
        raise CannotRun("the upstream got no request that it could turn away")
    most = 0
    for vm, told_at in world.told.items():
        count = sum(1 for attempt, arrivals in world.arrived.items() for at, it in arrivals
                    if it is upstream and world.sent[attempt][1] is vm
                    and told_at + SLACK_S <= at < told_at + RETRY_AFTER_S)
        most = max(most, count)
        world.record.line(f"{count} requests of {vm.name} reached {upstream.name} in the time for which it wanted nothing")
    world.record.say(f"up to {most} requests of a machine reached the upstream in that time, allowed are {ALLOWED}")
    return most > ALLOWED


play(scenario)
