"""Stand-in of an upstream: slots, a short queue, silence when that is full, load reports, and faults."""

import asyncio
import hashlib
import random
import time

from . import wire

SLOTS = 3
QUEUE = 6
NOISE_S = 0.3
NOISE_SHARE = 0.25
NOISE_FACTOR = 4.0


def seal(attempt, body):
    """Proof that a body belongs to an attempt."""
    return hashlib.sha256(attempt.encode() + body).hexdigest()[:24]


class Upstream:
    def __init__(self, name, service, listed_address, zone, work_s, judge, rng):
        self.name, self.service, self.listed_address, self.zone = name, service, listed_address, zone
        self.work_s, self.judge, self.rng = work_s, judge, rng
        self.running = 0
        self.waiting = []
        self.server = None
        self.slow = 1.0
        self.connections = set()
        # Shares of answers that are lost after the run, broken off, or followed by another one, and of runs that fail with
        # a status that callers take for a promise.
        self.lost = self.broken = self.extra = self.shed = self.misleading = 0.0
        # What all answers say: requests a second from all VMs, and that the upstream is leaving.
        self.limit = None
        self.leaving = False
        # What its entry says, and how often it has written it.
        self.state, self.sequence = "ready", 0
        # Seconds that rejections name.
        self.retry_after_s = 0.0

    def entry(self, state="ready"):
        """The next entry that it writes."""
        self.state, self.sequence = state, self.sequence + 1
        return {"service": self.service, "address": self.listed_address, "zone": self.zone, "version": "v1",
                "capacity-slots": SLOTS, "state": state, "warmup-remaining": "0ms", "sequence": self.sequence, "born": 1}

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)
        asyncio.ensure_future(self.noise())

    def crash(self):
        self.server.close()
        for writer in list(self.connections):
            wire.reset(writer)

    async def noise(self):
        while self.server.is_serving():
            self.slow = NOISE_FACTOR if self.rng.random() < NOISE_SHARE else 1.0
            await asyncio.sleep(NOISE_S)

    def load(self):
        return f"{self.running},{len(self.waiting)},{SLOTS},{int(100 * self.slow)}"

    def notices(self):
        fields = {"Server-Limit": f"{self.limit:.2f}"} if self.limit is not None else {}
        return {**fields, "Server-Leaving": "1"} if self.leaving else fields

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (message := await wire.read_message(reader)) is not None:
                if not await self.answer(message, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, message, reader, writer):
        """Whether the connection may go on."""
        if message.first[1] == "/health":
            writer.write(wire.response(200, b"ok", {"X-Wigeonlift-Instance-Id": self.name,
                                                    "X-Wigeonlift-Upstream-Load": self.load(),
                                                    **self.notices()}))
            return True
        attempt = message.get("X-Wigeonlift-Attempt-Id")
        echo = {"X-Wigeonlift-Attempt-Id": attempt, "X-Wigeonlift-Upstream-Load": self.load(), **self.notices()}
        if message.get("X-Wigeonlift-Expected-Instance", self.name) != self.name:
            writer.write(wire.response(421, b"", {"X-Wigeonlift-Instance-Id": self.name}))
            return True
        self.judge.did_arrive(attempt, self)
        if self.rng.random() < self.shed:
            wait = {"Retry-After": f"{self.retry_after_s:.2f}"} if self.retry_after_s else {}
            self.judge.did_reject(attempt, self)
            writer.write(wire.response(503, b"", {**echo, **wait, "X-Wigeonlift-Not-Executed": "1"}))
            return True
        if self.running >= SLOTS and len(self.waiting) >= QUEUE:
            await asyncio.sleep(30)
            return False
        await self.take_slot()
        self.judge.did_run(attempt, self, message)
        try:
            await asyncio.sleep(self.work_s * self.rng.uniform(0.7, 1.3) * self.slow)
        finally:
            self.free_slot()
        return await self.reply(attempt, message, writer)

    async def reply(self, attempt, message, writer):
        size = int(message.first[1].rpartition("bytes=")[2] or 200)
        body = (f"{attempt} {message.first[1]} ".encode() * (size // 20 + 1))[:size]
        draw = self.rng.random()
        if draw < self.lost:
            wire.reset(writer)
            return False
        fields = {"X-Wigeonlift-Attempt-Id": attempt, "X-Wigeonlift-Response-Seal": seal(attempt, body),
                  "X-Wigeonlift-Upstream-Load": self.load(), "Keep-Alive": "timeout=10", **self.notices()}
        is_misleading = self.misleading and self.rng.random() < self.misleading
        status = self.rng.choice((408, 421, 429, 503)) if is_misleading else 200
        answer = wire.response(status, body, fields)
        if draw < self.lost + self.broken:
            writer.write(answer[:len(answer) // 2])
            await writer.drain()
            return False
        writer.write(answer)
        if self.leaving:
            self.judge.did_tell_leaving(attempt, self)
        if draw < self.lost + self.broken + self.extra:
            await asyncio.sleep(self.rng.uniform(0, 0.2))
            writer.write(answer)
        await writer.drain()
        return True

    async def take_slot(self):
        if self.running < SLOTS:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn

    def free_slot(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


def new_random(seed, name):
    return random.Random(f"{seed} {name}")


def now():
    return time.monotonic()
