"""Clients of the cases about memory: uploads at an even pace to one machine, beside ordinary requests to all machines."""
import asyncio
import random
import time

from stage import new_attempt, read_message, request, seal, send

LARGE_BYTES = 60 * 1024 * 1024  # `max-body-bytes` is 67108864
SMALL_BYTES = 300  # the mean of `promotion-record` on obiyama-gw
UPLOADS = 6  # at once, on one machine
BYTES_PER_S = 20e6  # of one client; six together stay below the machine's link of 1000 Mbit/s
DEADLINE_MS = 20000
ROUNDS = 3
PART = b"x" * 65536


async def upload(gateway, record, target, size, is_chunked):
    """Sends a body at an even pace. Records what became of it."""
    attempt = new_attempt()
    record.say("upload", attempt, size, "bytes", "in chunks" if is_chunked else "with a length", "to", target, "at", gateway.name)
    sent, began = 0, time.monotonic()
    try:
        reader, writer = await asyncio.open_connection(*gateway.address)
    except OSError:
        record.say("answer", attempt, "no connection")
        return
    # An answer may come before all of the body is sent.
    answered = asyncio.ensure_future(read_message(reader))
    try:
        fields = {"Transfer-Encoding": "chunked"} if is_chunked else {"Content-Length": str(size)}
        writer.write(request("POST", target, attempt, DEADLINE_MS, fields=fields))
        while sent < size and not answered.done():
            part = PART[:size - sent]
            writer.write(b"%x\r\n%s\r\n" % (len(part), part) if is_chunked else part)
            await writer.drain()
            sent += len(part)
            await asyncio.sleep(max(0.0, began + sent / BYTES_PER_S - time.monotonic()))
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        answer = await asyncio.wait_for(answered, DEADLINE_MS / 1000)
        outcome = answer.first[1] if answer else "closed"
        if outcome == "200" and answer.get("X-Wigeonlift-Response-Seal") != seal(attempt, answer.body):
            outcome = "wrong"
    except asyncio.TimeoutError:
        outcome = "deadline"
    except (OSError, asyncio.IncompleteReadError):
        outcome = "closed"
    finally:
        answered.cancel()
        writer.close()
    record.say("answer", attempt, outcome, f"after {sent} bytes")


async def call(gateways, record, until, outcomes):
    """An ordinary client: small bodies with a length, to any machine."""
    while time.monotonic() < until():
        await asyncio.sleep(random.expovariate(4))
        gateway = random.choice(gateways)
        attempt, outcome = await send(gateway, record, "POST", "/order/1", 2000, b"o" * SMALL_BYTES)
        outcomes[attempt] = (gateway.name, outcome)


async def press(stage, target, has_trouble, is_chunked):
    """Three times on each of two machines, six clients upload at once. Returns the verdict."""
    record = stage.record
    end, outcomes = [time.monotonic() + 100], {}
    callers = [asyncio.ensure_future(call(stage.gateways, record, lambda: end[0], outcomes)) for _ in range(8)]
    size = LARGE_BYTES if has_trouble else SMALL_BYTES
    for _ in range(ROUNDS):
        for gateway in stage.gateways[:2]:
            if not await gateway.wait_ready():
                record.say(gateway.name, "is not ready")
                return 2
            await asyncio.gather(*(upload(gateway, record, target, size, is_chunked) for _ in range(UPLOADS)))
        await asyncio.sleep(1)
    end[0] = 0
    await asyncio.gather(*callers)
    ran = {attempt for it in stage.upstreams for attempt, _ in it.runs}
    lost = [a for a, (_, outcome) in outcomes.items() if outcome == "closed" and a in ran]
    record.say("small requests:", len(outcomes), "of which", sum(o == "200" for _, o in outcomes.values()), "got 200;",
               len(lost), "had run and got a closed connection")
    for it in stage.gateways:
        record.say(it.name, "peak", f"{it.peak_mb:.0f} MiB,", it.memory_ends, "ends by memory")
    hit = [it for it in stage.gateways if it.memory_ends >= 3]
    record.say(len(hit), "of", len(stage.gateways), "machines ended three times over their memory (broken: two or more)")
    return 1 if len(hit) >= 2 else 0
