"""The store is restored from older copies of itself. What was lost is written again; what VMs knew stays in force."""

import asyncio
import time

from .judge import CONFIG_S, SLACK_S
from .plan import mark

# Age of the copy, time for which the store is away, and time until what it has lost is written again.
LEAST_AGE_S, MOST_AGE_S = 0.3, 6.0
LEAST_DOWN_S, MOST_DOWN_S = 0.05, 0.8
REWRITE_S = 2.0
# Leases of upstreams that are gone run out again after this time.
LEASE_S = (1.0, 4.0)


class Restores:
    """Runs beside the other faults of a soak, with draws of its own."""

    def __init__(self, soak, plan, rng):
        self.soak, self.plan, self.rng, self.judge, self.store = soak, plan, rng, soak.judge, soak.store

    async def run(self, until):
        running = []
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(3, 7))
            for _ in range(self.rng.choice((1, 1, 2))):
                self.plan.log.append((round(time.monotonic() - self.soak.began, 2), "restore"))
                running.append(asyncio.ensure_future(self.restore()))
                await asyncio.sleep(self.rng.uniform(1, 2.5))
        await asyncio.gather(*running)

    async def restore(self):
        version = self.plan.version
        # A VM that serves a version must not go back behind it.
        serving = [vm for vm in self.soak.fleet.vms if vm.is_running() and not vm.stop_began]
        statuses = await asyncio.gather(*(self.soak.ask(vm, mark(version)) for vm in serving))
        known = [(vm, vm.process) for vm, status in zip(serving, statuses) if status and status != "404"]
        fault = self.judge.begin_restore()
        self.store.set_fault("reset")
        await asyncio.sleep(self.rng.uniform(LEAST_DOWN_S, MOST_DOWN_S))
        lost = self.store.restore(time.monotonic() - self.rng.uniform(LEAST_AGE_S, MOST_AGE_S))
        self.store.set_fault(None)
        self.judge.end_fault(fault)
        await asyncio.gather(*(self.write_again(key) for key in lost), self.check_version(known, version))

    async def write_again(self, key):
        """What lost a write or a removal of a key does about it."""
        upstream = next((it for it in self.soak.upstreams if key == f"servers/{it.name}"), None)
        if upstream is None and key.startswith("servers/"):
            await asyncio.sleep(self.rng.uniform(*LEASE_S))
            return self.store.remove(key)
        fault = self.judge.begin_restore(upstream.name) if upstream else None
        await asyncio.sleep(self.rng.uniform(0, REWRITE_S))
        if key == "op/config":
            self.store.put(key, self.plan.written)
        elif upstream in self.soak.upstreams and upstream.server.is_serving():
            self.store.put(key, upstream.entry(upstream.state))
        if fault:
            self.judge.end_fault(fault)
        return None

    async def check_version(self, known, version):
        await asyncio.sleep(CONFIG_S + SLACK_S)
        for vm, process in known:
            if version not in self.plan.marked_versions() or vm.process is not process or not vm.is_running() or vm.stop_began:
                continue
            if await self.soak.ask(vm, mark(version)) == "404" and vm.process is process and version in self.plan.marked_versions():
                self.judge.broke("configuration", f"{vm.name} no longer serves version {version} after a restore of the store")
