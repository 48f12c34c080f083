"""Planned stops beside callers that have more time than a stopping VM. Each request that a VM has read must be answered before its
process ends, wherever it waits."""

import asyncio
import time

from .callers import Caller
from .upstream import new_random

SERVICE = "slow-service"
PREFIX = "/slow/"
# Longer than the grace time, as is the time of the route.
DEADLINE_S = 12.0
WORK_S = 0.8
UPSTREAMS = 3
# Kind, prefix of the route, deadline, share of the requests (unused here), bytes of the answer.
KIND = ("unsafe", PREFIX, DEADLINE_S, 1.0, 500)
LEAST_BURST, MOST_BURST = 10, 60


class Patient:
    """Sends bursts that upstreams can't take at once. The plan has no other faults than stops, changes and settings."""

    def __init__(self, soak, plan):
        self.soak, self.rng = soak, new_random(soak.options.seed, "patient")
        plan.pause_s = (0.5, 2.5)
        plan.faults = (plan.stop_vm, plan.stop_vm, plan.configure, plan.change_settings)

    @staticmethod
    async def add_upstreams(soak):
        for n in range(UPSTREAMS):
            await soak.add_upstream(SERVICE, "abc"[n % 3], WORK_S)

    async def run(self, until):
        callers = [Caller(self.soak.fleet, zone, self.soak.judge, new_random(self.soak.options.seed, f"patient {zone}"))
                   for zone in "abc"]
        running = []
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.5, 2))
            caller = self.rng.choice(callers)
            running += [asyncio.ensure_future(caller.request(KIND)) for _ in range(self.rng.randint(LEAST_BURST, MOST_BURST))]
        await asyncio.gather(*running)
