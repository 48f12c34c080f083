"""Case 4: a machine that is stopped closes the connections of requests that it has read and not yet passed on."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from stage import Stage, configuration, play, route, send  # noqa: E402

GRACE_S = 6.0  # grace-period
LOSS_SLACK_S = 0.2
DEADLINE_MS = 10000
REQUESTS = 30
WORK_S = 1.5
UPSTREAMS = 2


async def main(folder, record, has_trouble):
    stage = Stage(folder, record, gateways=2)
    await stage.store.start()
    stage.store.put("op/config", configuration(2, [
        route("r-file", "/file/", "unsafe", "files", timeout="10s", target="10s")], ["files"]))
    for _ in range(UPSTREAMS):
        await stage.add_upstream("files", work_s=WORK_S)
    try:
        if not await stage.start_gateways():
            record.say("a gateway is not ready")
            return 2
        await asyncio.sleep(4)
        gateway = stage.gateways[0]
        ended = {}

        async def call():
            attempt, outcome = await send(gateway, record, "POST", "/file/1", DEADLINE_MS, b"f" * 300)
            ended[attempt] = (outcome, time.monotonic())

        calls = [asyncio.ensure_future(call()) for _ in range(REQUESTS)]
        await asyncio.sleep(0.5)
        sent_by = time.monotonic()
        if has_trouble:
            process = gateway.process
            record.say("SIGTERM to", gateway.name)
            process.send_signal(signal.SIGTERM)
            began = time.monotonic()
            try:
                await asyncio.wait_for(process.wait(), GRACE_S)
                record.say(gateway.name, f"has ended {time.monotonic() - began:.2f} s after it")
            except asyncio.TimeoutError:
                record.say("SIGKILL to", gateway.name, "after the grace period")
                process.send_signal(signal.SIGKILL)
        await asyncio.gather(*calls)
        passed_on = {attempt for it in stage.upstreams for attempt, _ in it.runs}
        outcomes = [outcome for outcome, _ in ended.values()]
        # What an upstream still worked on in the last sixth of the grace period is excused, so only the others count.
        lost = [attempt for attempt, (outcome, at) in ended.items()
                if outcome == "closed" and attempt not in passed_on and at > sent_by + LOSS_SLACK_S]
        for attempt in lost:
            record.say(f"lost: {attempt} was read by {gateway.name}, reached no upstream, and its connection ended without an "
                       f"answer {ended[attempt][1] - sent_by:.2f} s after the last byte of all of them was sent")
        record.say({it: outcomes.count(it) for it in sorted(set(outcomes))}, "-", len(lost), "lost and not excused")
        return 1 if lost else 0
    finally:
        await stage.stop()


play(main)
