"""Runs gateway processes on loopback against stand-ins of the platform, injects faults from outside and judges the
promises. `python3 -m soak --seed N --seconds S` in Meta/; see docs/OPERATIONS.md."""

import argparse
import asyncio
import json
import logging
import os
import sys
import tempfile
import time

from .callers import HOST, Caller, exchange_once
from .fleet import Fleet, Vm
from .flood import Flood
from . import patient
from .judge import CONFIG_S, EVACUATION_S, SLACK_S, Judge
from .plan import Plan, configuration
from .relay import Relay
from .restores import Restores
from .silence import Silence
from .store import Store
from .upstream import Upstream, new_random
from . import wire

ZONES = ("a", "b", "c")
SERVICES = ("look-service", "record-service")
UPSTREAM_PORT = 9000
RECOVERY_S = 6.0


class Soak:
    def __init__(self, options, folder):
        self.options = options
        self.judge = Judge()
        self.rng = new_random(options.seed, "plan")
        self.services = (*SERVICES, patient.SERVICE) if options.patient else SERVICES
        self.net = f"127.{20 + options.seed % 100}.{os.getpid() % 200}"
        self.store = Store(f"{self.net}.250:8541")
        self.log = open(options.log or os.path.join(folder, "vms.log"), "wb")
        seeds = [f"{self.net}.1", f"{self.net}.2"]
        self.fleet = Fleet([Vm(options.program, folder, f"{self.net}.{n + 1}", ZONES[n % 3], self.store.address_for(n), seeds,
                               self.log) for n in range(options.vms)])
        if options.evacuate:
            for vm in self.fleet.vms:
                vm.bounds = (f"evacuation={EVACUATION_S}s",)
        self.upstreams, self.relays = [], {}
        self.started = 0
        self.began = time.monotonic()

    async def add_upstream(self, service, zone, work_s=0.04):
        self.started += 1
        host, name = f"{self.net}.{100 + self.started % 140}", f"i-{self.started:04d}"
        port = UPSTREAM_PORT + 2 * self.started
        upstream = Upstream(name, service, f"{host}:{port}", zone, work_s, self.judge, new_random(self.options.seed, name))
        await upstream.start(host, port + 1)
        self.relays[name] = Relay(f"{host}:{port}", f"{host}:{port + 1}")
        await self.relays[name].start()
        self.upstreams.append(upstream)
        self.store.put(f"servers/{name}", upstream.entry())

    async def replace(self, upstream):
        if upstream in self.upstreams:
            self.upstreams.remove(upstream)
            relay = self.relays.pop(upstream.name)
            relay.server.close()
            relay.reset_all()
            await self.add_upstream(upstream.service, upstream.zone)

    async def run(self):
        if self.options.restores:
            self.store.era = 0
        await self.store.start(self.fleet.vms)
        self.store.put("op/config", configuration([1], self.services, False))
        self.store.put("servers/other-writer", b"\xff not an entry")
        for n in range(self.options.upstreams):
            await self.add_upstream(SERVICES[n % 2], ZONES[n % 3])
        if self.options.patient:
            await patient.Patient.add_upstreams(self)
        if self.options.flood:
            await Flood.add_upstreams(self)
        await asyncio.gather(*(vm.start() for vm in self.fleet.vms))
        await asyncio.sleep(2)
        until = time.monotonic() + self.options.seconds
        plan = Plan(self, self.rng)
        callers = [Caller(self.fleet, ZONES[n % 3], self.judge, new_random(self.options.seed, f"caller {n}"))
                   for n in range(self.options.callers)]
        loop_until = asyncio.get_running_loop().time() + self.options.seconds + RECOVERY_S
        notices = Plan.of_notices(self, new_random(self.options.seed, "notices"))
        if self.options.patient:
            faults = (patient.Patient(self, plan).run(until), plan.run(until))
        else:
            misleading = Plan.of_misleading_failures(self, new_random(self.options.seed, "misleading"))
            faults = () if self.options.calm else (plan.run(until), notices.run(until), misleading.run(until))
        if self.options.silence:
            faults += (Silence(self, plan, new_random(self.options.seed, "silence")).run(until),)
        if self.options.evacuate:
            faults += (Plan.of_evacuations(self, new_random(self.options.seed, "evacuations")).run(until),)
        if self.options.restores:
            faults += (Restores(self, plan, new_random(self.options.seed, "restores")).run(until),)
        if self.options.flood:
            faults += (Flood(self, plan, new_random(self.options.seed, "flood")).run(until),)
        await asyncio.gather(*faults, self.watch_configuration(until, plan),
                             *(caller.run(loop_until, 0.2) for caller in callers))
        await self.check_recovery()
        self.judge.check_budget()
        self.judge.check_limits()
        self.judge.check_stay_away()
        return plan

    async def watch_configuration(self, until, plan):
        """Asks each VM for a route that only odd versions have."""
        while time.monotonic() < until:
            version, at = plan.version, time.monotonic()
            await asyncio.sleep(CONFIG_S + SLACK_S)
            if plan.version != version or not self.store.is_stable(at, 3):
                continue
            for vm in self.fleet.vms:
                now = time.monotonic()
                if vm.is_running() and not vm.stop_began and not self.judge.is_concerned((vm.name,), now - SLACK_S, now):
                    await self.ask_odd_route(vm, version, plan)

    async def ask_odd_route(self, vm, version, plan):
        status = await self.ask(vm, "/odd/")
        # The configuration may have changed while the VMs were asked one after the other.
        allowed = plan.versions[plan.versions.index(version):]
        if status and (status == "404") not in [it % 2 == 0 for it in allowed]:
            self.judge.broke("configuration", f"{vm.name} answers {status} under version {version}")

    async def ask(self, vm, prefix, deadline_ms=1500):
        """Sends a request of no importance on a route. Returns the status, or None without an answer."""
        attempt = f"{self.rng.getrandbits(64):016x}"
        target = f"{prefix}{attempt}?bytes=10"
        self.judge.did_send(attempt, "safe", target, b"", vm.name)
        fields = {"X-Wigeonlift-Attempt-Id": attempt, "X-Wigeonlift-Deadline-Remaining": f"{deadline_ms}", "Connection": "close"}
        try:
            answer = await asyncio.wait_for(exchange_once(vm.address, wire.request("GET", target, HOST, fields)), 2)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None
        return answer.first[1] if answer else None

    async def check_recovery(self):
        before = self.judge.outcomes[200]
        caller = Caller(self.fleet, "a", self.judge, new_random(self.options.seed, "last"))
        await caller.run(asyncio.get_running_loop().time() + 2, 0.02)
        if self.judge.outcomes[200] - before < 20:
            self.judge.broke("recovery", f"{self.judge.outcomes[200] - before} requests served in 2 s after all faults")

    async def stop(self):
        await asyncio.gather(*(vm.kill() for vm in self.fleet.vms))


async def soak(options):
    with tempfile.TemporaryDirectory() as folder:
        run = Soak(options, folder)
        try:
            plan = await run.run()
        finally:
            await run.stop()
    outcomes = {str(key): n for key, n in sorted(run.judge.outcomes.items(), key=str)}
    print(json.dumps({"seed": options.seed, "seconds": options.seconds, "vms": options.vms, "faults": len(plan.log),
                      "requests": len(run.judge.requests), "repeats": len(run.judge.arrivals), "outcomes": outcomes,
                      "store_calls": run.store.calls, "evacuations": sum(map(len, run.judge.evacuations.values())), "broken": len(run.judge.found)}), flush=True)
    for promise, what in run.judge.found[:10]:
        print(f"seed {options.seed}: {promise}: {what}", flush=True)
    return not run.judge.found


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="../build/Services/Gateway/wigeonlift-gateway")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--upstreams", type=int, default=12)
    parser.add_argument("--callers", type=int, default=30)
    parser.add_argument("--calm", action="store_true", help="without faults")
    parser.add_argument("--silence", action="store_true", help="with VMs that fall silent within a second of changes")
    parser.add_argument("--restores", action="store_true", help="with a store that is restored from older copies")
    parser.add_argument("--patient", action="store_true", help="planned stops only, with callers that have much time")
    parser.add_argument("--evacuate", action="store_true", help="with evacuations of data centres")
    parser.add_argument("--flood", action="store_true", help="with another writer who fills the store")
    parser.add_argument("--log", help="file for what the processes write")
    options = parser.parse_args()
    # Handlers of open connections end with the loop, which is no news.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    sys.exit(0 if asyncio.run(soak(options)) else 1)


if __name__ == "__main__":
    main()
