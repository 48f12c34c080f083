"""The faults of a soak. One seed gives one plan."""

import asyncio
import signal
import time

from .callers import HOST

from .judge import ALL, SETTLE_S

# How many of the latest versions have a route of their own in a configuration.
MARKED_VERSIONS = 8


def mark(version):
    """Prefix of the route that tells whether a version, or a later one, is in force."""
    return f"/mark-{version}/"


def configuration(versions, services, moved):
    """Routes of all kinds; odd versions have one more route. The last of `versions` is the newest."""
    version = versions[-1]

    def route(name, prefix, kind, service, timeout, target, priority):
        return {"name": name, "host": HOST, "prefix": prefix, "route-kind": kind, "timeout": timeout,
                "target-latency": target, "priority": priority, "service": service, "max-attempts": 2}
    routes = [route("look", "/look/", "safe", services[0], "1200ms", "400ms", 2),
              route("record", "/record/", "unsafe", services[1], "1500ms", "600ms", 1),
              route("bulk", "/bulk/", "download", services[1 if moved else 0], "1500ms", "600ms", 2)]
    # Services beyond these two are slow.
    for it in services[2:]:
        routes.append(route(it, "/slow/", "unsafe", it, "12s", "10s", 3))
    if version % 2:
        routes.append(route("odd", "/odd/", "safe", services[0], "1200ms", "400ms", 2))
    for it in versions[-MARKED_VERSIONS:]:
        routes.append(route(f"mark-{it}", mark(it), "safe", services[0], "1200ms", "400ms", 2))
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health-check-path": "/health", "max-connections": 200} for s in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms",
                       "idle-timeout": "15000ms"}}


class Plan:
    """Runs faults in series that overlap. Each fault undoes itself."""

    def __init__(self, soak, rng):
        self.soak, self.rng, self.judge = soak, rng, soak.judge
        self.versions = [1]
        # The configuration that was written last.
        self.written = configuration(self.versions, soak.services, False)
        self.log = []
        # Seconds between the beginnings of two faults.
        self.pause_s = (0.3, 1.5)
        self.faults = (self.kill_vm, self.pause_vm, self.stop_vm, self.stop_vm, self.store_fault, self.store_for_some,
                       self.forget, self.reset_links, self.silence_links, self.cut_link, self.delay_links,
                       self.spoil_answers, self.lose_answers, self.shed, self.crash_upstream, self.drain_upstream,
                       self.drain_upstream, self.configure, self.configure, self.change_settings, self.kill_many)

    @classmethod
    def of_notices(cls, soak, rng):
        """What upstreams say in their answers. A plan of its own, so that seeds keep their other faults."""
        plan = cls(soak, rng)
        plan.pause_s = (2, 6)
        plan.faults = (plan.name_limits, plan.name_limits, plan.ask_for_time, plan.leave_upstream)
        return plan

    @classmethod
    def of_misleading_failures(cls, soak, rng):
        """Runs that fail with a status that callers take for a promise. A plan of its own, so that seeds keep their other faults."""
        plan = cls(soak, rng)
        plan.pause_s = (1, 4)
        plan.faults = (plan.mislead,)
        return plan

    @classmethod
    def of_evacuations(cls, soak, rng):
        """Evacuations of data centres. A plan of its own, so that seeds keep their other faults."""
        plan = cls(soak, rng)
        plan.pause_s = (1, 5)
        plan.faults = (plan.evacuate,)
        return plan

    @property
    def version(self):
        return self.versions[-1]

    def marked_versions(self):
        """Those that have a route of their own in the latest configuration."""
        return self.versions[-MARKED_VERSIONS:]

    async def run(self, until):
        running = []
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(*self.pause_s))
            fault = self.rng.choice(self.faults)
            self.log.append((round(time.monotonic() - self.soak.began, 2), fault.__name__))
            running.append(asyncio.ensure_future(fault()))
        await asyncio.gather(*running)

    async def during(self, concerned, begin_fault, end_fault, least_s, most_s):
        """A fault that excuses what it concerns from promises with a bound while it lasts and shortly after."""
        fault = self.judge.begin_fault(*concerned)
        begin_fault()
        await asyncio.sleep(self.rng.uniform(least_s, most_s))
        end_fault()
        self.judge.end_fault(fault)

    async def kill_vm(self, vm=None, off_s=None):
        vm = vm or self.rng.choice(self.soak.fleet.vms)
        if not vm.is_running() or vm.stop_began:
            return
        fault = self.judge.begin_fault(vm.name)
        await vm.kill()
        await asyncio.sleep(off_s or self.rng.uniform(0.1, 1.0))
        await vm.start()
        self.judge.end_fault(fault)

    async def kill_many(self):
        await asyncio.gather(*(self.kill_vm(vm) for vm in self.soak.fleet.vms if self.rng.random() < 0.6))

    async def pause_vm(self):
        vm = self.rng.choice(self.soak.fleet.vms)
        await self.during((vm.name,), lambda: vm.signal(signal.SIGSTOP), lambda: vm.signal(signal.SIGCONT), 0.5, 4)

    async def stop_vm(self):
        vm = self.rng.choice(self.soak.fleet.vms)
        if not vm.is_running() or vm.stop_began:
            return
        # A planned stop is no fault for the promises round it, but a VM that stops or starts may not know all changes.
        starting = [time.monotonic(), float("inf")]
        self.judge.restarts[vm.name].append(starting)
        await vm.stop_gracefully()
        await vm.start()
        self.judge.end_fault(starting)

    async def store_fault(self):
        fault = self.rng.choice(("busy", "many", "reset", "silent", "slow"))
        await self.during((ALL,), lambda: self.soak.store.set_fault(fault), lambda: self.soak.store.set_fault(None), 1, 5)

    async def store_for_some(self):
        """The store serves most VMs; promises with a bound hold for all."""
        some = {vm.name for vm in self.soak.fleet.vms[1:] if self.rng.random() < 0.3}
        self.soak.store.set_fault(self.rng.choice(("busy", "many", "reset")), some)
        await asyncio.sleep(self.rng.uniform(2, 6))
        self.soak.store.set_fault(None)

    async def forget(self):
        self.soak.store.forget_history()

    async def reset_links(self):
        self.touch_links(lambda relay: relay.reset_all())

    async def silence_links(self):
        self.touch_links(lambda relay: relay.silence_all())

    def touch_links(self, action):
        names = self.some_links()
        for it in names:
            action(self.soak.relays[it])
        self.judge.end_fault(self.judge.begin_fault(*names))

    async def cut_link(self):
        names, relays = self.some_links_and_relays()
        way = self.rng.choice((("forth",), ("back",), ("forth", "back")))
        await self.during(names, lambda: [r.stalled.update(way) for r in relays],
                          lambda: [r.stalled.clear() for r in relays], 0.5, 3)

    async def delay_links(self):
        names, relays = self.some_links_and_relays()
        delay_s = self.rng.uniform(0.005, 0.1)
        await self.during(names, lambda: [setattr(r, "delay_s", delay_s) for r in relays],
                          lambda: [setattr(r, "delay_s", 0.0) for r in relays], 1, 4)

    async def spoil_answers(self):
        await self.share("broken", 0.1)
        await self.share("extra", 0.2)

    async def lose_answers(self):
        await self.share("lost", 0.2)

    async def shed(self):
        await self.share("shed", 0.5)

    async def mislead(self):
        await self.share("misleading", 0.2)

    async def share(self, fault, most):
        some = [u for u in self.soak.upstreams if self.rng.random() < 0.5]
        for upstream in some:
            setattr(upstream, fault, self.rng.uniform(0, most))
        await asyncio.sleep(self.rng.uniform(1, 4))
        for upstream in some:
            setattr(upstream, fault, 0.0)

    async def name_limits(self):
        some = [u for u in self.soak.upstreams if u.limit is None and self.rng.random() < 0.6]
        for upstream in some:
            upstream.limit = self.rng.choice((0.3, 1.0, 3.0, 10.0))
            self.judge.begin_limit(upstream, upstream.limit)
        await asyncio.sleep(self.rng.uniform(3, 12))
        for upstream in some:
            upstream.limit = None
            self.judge.end_limit(upstream)

    async def ask_for_time(self):
        some = [u for u in self.soak.upstreams if self.rng.random() < 0.5]
        for upstream in some:
            upstream.shed, upstream.retry_after_s = self.rng.uniform(0, 0.5), self.rng.uniform(0.3, 4)
        await asyncio.sleep(self.rng.uniform(1, 4))
        for upstream in some:
            upstream.shed = upstream.retry_after_s = 0.0

    async def leave_upstream(self):
        """An upstream leaves and says so in its answers, but not in the store."""
        upstream = self.rng.choice(self.soak.upstreams)
        upstream.leaving = True
        await asyncio.sleep(self.rng.uniform(3, 7))
        self.soak.store.remove(f"servers/{upstream.name}")
        upstream.crash()
        await self.soak.replace(upstream)

    async def evacuate(self):
        zone = self.rng.choice(sorted({vm.zone for vm in self.soak.fleet.vms}))
        key = f"op/evacuate/{zone}"
        if key in self.soak.store.items:
            return
        at = self.soak.store.put(key, {})
        evacuation = self.judge.begin_evacuation(zone, at, self.soak.store.is_stable(at, SETTLE_S))
        await asyncio.sleep(self.rng.uniform(3, 12))
        self.judge.end_evacuation(evacuation)
        self.soak.store.remove(key)

    async def crash_upstream(self):
        upstream = self.rng.choice(self.soak.upstreams)
        upstream.crash()
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        self.soak.store.remove(f"servers/{upstream.name}")
        await self.soak.replace(upstream)

    async def drain_upstream(self):
        upstream = self.rng.choice(self.soak.upstreams)
        if upstream.name in self.soak.judge.left_at:
            return
        at = self.soak.store.put(f"servers/{upstream.name}", upstream.entry("draining"))
        if self.soak.store.is_stable(at, SETTLE_S):
            self.soak.judge.left_at[upstream.name] = at
        await asyncio.sleep(4)
        self.soak.store.remove(f"servers/{upstream.name}")
        upstream.crash()
        await self.soak.replace(upstream)

    async def configure(self):
        for _ in range(self.rng.choice((1, 1, 3))):
            self.write_configuration()
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))

    def write_configuration(self):
        """Returns when the store acknowledged the new version, and the version."""
        self.versions.append(self.version + self.rng.choice((1, 2, 3)))
        self.written = configuration(self.versions, self.soak.services, self.rng.random() < 0.5)
        return self.soak.store.put("op/config", self.written), self.version

    async def change_settings(self):
        vm = self.rng.choice(self.soak.fleet.vms)
        vm.extra += 1
        vm.write_settings()
        if self.rng.random() < 0.5:
            vm.signal(signal.SIGHUP)

    def some_links(self):
        """Names of the upstreams at the end of some links."""
        return [name for name in self.soak.relays if self.rng.random() < 0.4]

    def some_links_and_relays(self):
        names = self.some_links()
        return names, [self.soak.relays[name] for name in names]
