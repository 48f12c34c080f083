"""VMs that fall silent within a second of changes. Each VM in touch must know each change in time, whichever others are silent."""

import asyncio
import signal
import time

from .judge import CONFIG_S, SLACK_S
from .plan import mark

SHARES = (0.2, 0.5, 0.8)
LEAST_S, MOST_S = 1.0, 4.0


class Silence:
    """Runs beside the other faults of a soak, with draws of its own."""

    def __init__(self, soak, plan, rng):
        self.soak, self.plan, self.rng = soak, plan, rng
        self.kinds = (self.lose_power, self.pause, self.cut_from_store)

    async def run(self, until):
        running = []
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(1.5, 4))
            kind, share = self.rng.choice(self.kinds), self.rng.choice(SHARES)
            vms = [vm for vm in self.soak.fleet.vms if self.rng.random() < share]
            self.plan.log.append((round(time.monotonic() - self.soak.began, 2), kind.__name__))
            running.append(asyncio.ensure_future(asyncio.gather(*(kind(vm) for vm in vms))))
            await asyncio.sleep(self.rng.uniform(0, 1))
            running.append(asyncio.ensure_future(self.change()))
            running.append(asyncio.ensure_future(self.plan.drain_upstream()))
        await asyncio.gather(*running)

    async def lose_power(self, vm):
        await self.plan.kill_vm(vm, self.rng.uniform(LEAST_S, MOST_S))

    async def pause(self, vm):
        await self.plan.during((vm.name,), lambda: vm.signal(signal.SIGSTOP), lambda: vm.signal(signal.SIGCONT), LEAST_S, MOST_S)

    async def cut_from_store(self, vm):
        cut = self.soak.store.cut
        await self.plan.during((vm.name,), lambda: cut.add(vm.name), lambda: cut.discard(vm.name), LEAST_S, MOST_S)

    async def change(self):
        """Changes the configuration and asks all VMs in touch for its new route when it must be in force."""
        at, version = self.plan.write_configuration()
        await asyncio.sleep(at + CONFIG_S + SLACK_S - time.monotonic())
        if self.soak.store.is_stable(at, 3):
            await asyncio.gather(*(self.ask(vm, version, at) for vm in self.soak.fleet.vms))

    async def ask(self, vm, version, at):
        asked = time.monotonic()
        if not vm.is_running() or vm.stop_began or self.soak.judge.is_concerned((vm.name,), asked - SLACK_S, asked):
            return
        status = await self.soak.ask(vm, mark(version))
        if status == "404":
            self.soak.judge.broke("configuration", f"{vm.name} does not serve the route of version {version} "
                                                   f"{asked - at:.2f} s after its acknowledgement")
