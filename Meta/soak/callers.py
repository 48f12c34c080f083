"""Callers that ask the VMs where to connect, send requests of all kinds, and tell the judge what came back."""

import asyncio
import json
import random
import uuid

from . import wire
from .judge import LOSS_SLACK_S
from .upstream import seal

CONNECT_TIMEOUT_S = 1.0
DIRECTORY_TIMEOUT_S = 1.0
# Requests that are sent before the answers to earlier ones, as a share of the idempotent ones.
PIPELINED_SHARE = 0.3
MAX_DEPTH = 5
HOST = "shop.example"
# Kind, prefix of the route, deadline, share of the requests, bytes of the answer.
KINDS = (("safe", "/look/", 1.5, 0.6, 1500), ("unsafe", "/record/", 2.0, 0.3, 3000), ("download", "/bulk/", 1.5, 0.1, 90000))


class Caller:
    def __init__(self, fleet, zone, judge, rng):
        self.fleet, self.zone, self.judge, self.rng = fleet, zone, judge, rng
        self.addresses, self.valid_until = [], 0.0
        # Draws of its own, so that the other draws of a seed stay the same.
        self.pipelining = random.Random(f"pipelining {zone}")
        # Open connections by address; a caller goes on using them until they end.
        self.open = {}

    async def run(self, until, pause_s):
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(1 / pause_s))
            kind = self.rng.choices(KINDS, [k[3] for k in KINDS])[0]
            await self.request(kind)
        for _, writer in self.open.values():
            writer.close()

    async def resolve(self):
        loop = asyncio.get_running_loop()
        if self.addresses and loop.time() < self.valid_until:
            return
        vms = self.fleet.vms[:]
        self.rng.shuffle(vms)
        for vm in sorted(vms, key=lambda vm: vm.zone != self.zone)[:3]:
            try:
                answer = await asyncio.wait_for(
                    exchange_once(vm.directory, wire.request(
                        "GET", f"/v1/resolve?name={HOST}&region=r&zone={self.zone}", HOST)), DIRECTORY_TIMEOUT_S)
                found = json.loads(answer.body) if answer and answer.first[1] == "200" else {}
                if found.get("addresses"):
                    self.addresses = found["addresses"]
                    patience = 3 if self.rng.random() < 0.3 else 1
                    self.valid_until = loop.time() + patience * float(found["ttl"].removesuffix("ms")) / 1000
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                continue

    async def request(self, kind):
        """Sends a request, or several at once where they may run more than once, and judges the answers."""
        await self.resolve()
        if not self.addresses:
            return
        address = self.rng.choice(self.addresses)
        try:
            reader, writer = await self.connection(address)
        except (OSError, asyncio.TimeoutError):
            self.judge.outcomes["no connection"] += 1
            return
        is_pipelined = kind[0] == "safe" and self.pipelining.random() < PIPELINED_SHARE
        vm = self.fleet.by_address(address)
        attempts = [self.send(kind, writer, vm) for _ in range(self.pipelining.randint(2, MAX_DEPTH) if is_pipelined else 1)]
        while attempts:
            answer = await self.answer_to(attempts[0], kind, reader, vm)
            if answer is None:
                return writer.close()
            del attempts[0]
            if answer.get("connection").lower() == "close":
                # What was sent behind it counts as not read, so it must not have been passed on.
                for attempt in attempts:
                    self.judge.did_drop(attempt, vm.is_stopping_gracefully())
                return writer.close()
        if self.rng.random() < 0.5:
            self.open[address] = (reader, writer)
        else:
            writer.close()

    def send(self, kind, writer, vm):
        name, prefix, deadline_s, _, size = kind
        attempt = uuid.UUID(int=self.rng.getrandbits(128)).hex[:16]
        body = f"order {attempt}".encode() if name == "unsafe" else b""
        target = f"{prefix}{attempt}?bytes={size}"
        self.judge.did_send(attempt, name, target, body, vm.name)
        writer.write(wire.request("POST" if name == "unsafe" else "GET", target, HOST,
                                  {"X-Wigeonlift-Attempt-Id": attempt,
                                   "X-Wigeonlift-Deadline-Remaining": str(int(deadline_s * 1000))}, body))
        return attempt

    async def answer_to(self, attempt, kind, reader, vm):
        """The answer that is due next; None when the connection can't be used any more."""
        sent = asyncio.get_running_loop().time()
        try:
            answer = await asyncio.wait_for(wire.read_message(reader), kind[2])
        except asyncio.TimeoutError:
            self.judge.outcomes["deadline"] += 1
            return None
        except (OSError, asyncio.IncompleteReadError):
            self.judge.did_break(attempt, vm.is_stopping_gracefully())
            return None
        if answer is None:
            # A close that crosses the request is allowed for a moment only.
            if asyncio.get_running_loop().time() - sent > LOSS_SLACK_S:
                self.judge.did_break(attempt, vm.is_stopping_gracefully())
            self.judge.outcomes["closed"] += 1
            return None
        self.did_answer(attempt, answer, kind[4])
        return answer

    def did_answer(self, attempt, answer, size):
        status = int(answer.first[1])
        length = answer.get("content-length")
        is_whole = status != 200 or len(answer.body) == size
        self.judge.did_answer(attempt, status, answer.get("X-Wigeonlift-Response-Seal"), seal(attempt, answer.body),
                              is_whole and (not length or int(length) == len(answer.body)), answer.body)

    async def connection(self, address):
        kept = self.open.pop(address, None)
        if kept and not kept[0].at_eof() and not kept[1].is_closing():
            return kept
        host, port = address.split(":")
        return await asyncio.wait_for(asyncio.open_connection(host, int(port)), CONNECT_TIMEOUT_S)


async def exchange_once(address, message):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(message)
        return await wire.read_message(reader)
    finally:
        writer.close()
