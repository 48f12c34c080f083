"""Another writer who fills the store beside all faults: long entries, thousands of short ones, unreadable ones, other keys. VMs keep to
their memory, and a service that a later configuration names has its upstreams at once."""

import asyncio
import json
import time

from . import wire
from .callers import exchange_once
from .judge import CONFIG_S, SLACK_S

SERVICE = "late-service"
PREFIX = "/slow/"
UPSTREAMS = 3
LONG_BYTES = 300_000
MOST_LONG, MOST_SHORT, BURST = 40, 12_000, 400
SAMPLE_S = 0.1
METRICS_PORT = 9464


class Flood:
    def __init__(self, soak, plan, rng):
        self.soak, self.plan, self.rng = soak, plan, rng
        self.long, self.short, self.written = [], 0, 0

    @staticmethod
    async def add_upstreams(soak):
        for n in range(UPSTREAMS):
            await soak.add_upstream(SERVICE, "abc"[n % 3])

    async def run(self, until):
        name = asyncio.ensure_future(self.name_service(until))
        memory = asyncio.ensure_future(self.watch_memory(until))
        kinds = (self.write_long, self.write_short, self.write_short, self.write_odd, self.change)
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
            self.rng.choice(kinds)()
        await asyncio.gather(name, memory)

    def entry(self, service, notes=""):
        self.written += 1
        return {"service": service, "address": f"127.200.{self.written // 250 % 250}.{self.written % 250 + 1}:9000", "zone": "a",
                "version": "v1", "capacity-slots": 3, "state": "ready", "warmup-remaining": "0ms", "sequence": 1,
                "born": 1_780_000_000_000, "notes": notes}

    def write_long(self):
        key = f"servers/long-{self.written}"
        self.soak.store.put(key, self.entry("elsewhere", "x" * LONG_BYTES))
        self.long.append(key)
        if len(self.long) > MOST_LONG:
            self.soak.store.remove(self.long.pop(0))

    def write_short(self):
        service = self.rng.choice(("elsewhere", f"other-{self.written}", "more"))
        for _ in range(BURST if self.short < MOST_SHORT else 0):
            self.short += 1
            self.soak.store.put(f"servers/short-{self.short}", self.entry(service))

    def write_odd(self):
        for n in range(20):
            self.soak.store.put(f"servers/odd-{n}", self.rng.choice((b"{", b"\xff", json.dumps([1]).encode(), b"")))
            self.soak.store.put(f"notes/{n}", b"n" * 10_000)

    def change(self):
        """Entries become those of another service, or unreadable, or are removed."""
        if not self.short:
            return
        key = f"servers/short-{self.rng.randint(1, self.short)}"
        self.rng.choice((lambda: self.soak.store.put(key, self.entry("more")), lambda: self.soak.store.put(key, b"{"),
                         lambda: self.soak.store.remove(key)))()

    async def watch_memory(self, until):
        while time.monotonic() < until:
            for vm in self.soak.fleet.vms:
                self.soak.judge.did_use_memory(vm.name, vm.resident_mb())
            await asyncio.sleep(SAMPLE_S)

    async def name_service(self, until):
        await asyncio.sleep((until - time.monotonic()) / 2)
        self.soak.services = (*self.soak.services, SERVICE)
        at, _ = self.plan.write_configuration()
        await asyncio.sleep(at + CONFIG_S + SLACK_S - time.monotonic())
        if self.soak.store.is_stable(at, 3):
            await asyncio.gather(*(self.ask(vm, at) for vm in self.soak.fleet.vms))

    async def ask(self, vm, at):
        asked = time.monotonic()
        if not vm.is_running() or vm.stop_began or self.soak.judge.is_concerned((vm.name,), asked - SLACK_S, asked):
            return
        # The route's requests are expected to take long, so one with little time would be refused.
        status = await self.soak.ask(vm, PREFIX, 12_000)
        # A 503 may be due to what the upstreams have said, so the VM is asked whether it knows any.
        if status == "404" or (status == "503" and await self.upstreams_at(vm) == 0):
            self.soak.judge.broke("configuration", f"{vm.name} answers {status} for the service that was named "
                                                   f"{asked - at:.2f} s before")

    async def upstreams_at(self, vm):
        """How many upstreams of the service a VM knows."""
        answer = await exchange_once(f"{vm.ip}:{METRICS_PORT}", wire.request("GET", "/metrics", vm.ip, {}))
        lines = answer.body.decode().splitlines()
        return sum(float(it.split()[-1]) for it in lines if it.startswith(f'wigeonlift_upstreams{{service="{SERVICE}"}}'))
