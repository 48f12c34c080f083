"""Three machines are lost. For 15 s the directory goes on naming the one of another zone beside running ones."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from fleet import HOST, CannotRun, World, once, play, trouble  # noqa: E402
from Meta.soak import wire  # noqa: E402

# settle-window + 3 s
BOUND_S = 6.0
ALLOWED = 3


async def scenario(worlds):
    world = World(HERE, ["a", "b", "c"] * 3)
    worlds.append(world)
    world.add_upstreams("view", ["a", "b", "c"])
    world.configure([{"name": "look", "prefix": "/look/", "route-kind": "safe", "service": "view"}])
    await world.start()
    await asyncio.sleep(5)
    of_a = [vm for vm in world.vms if vm.zone == "a"]
    of_b = [vm for vm in world.vms if vm.zone == "b"]
    asked, lost = of_a[0], [of_a[1], of_a[2], of_b[1]]
    if trouble():
        await asyncio.gather(*(vm.kill() for vm in lost))
    lost_at = time.monotonic()
    answers = broken = 0
    while time.monotonic() < lost_at + 20:
        query = f"/v1/resolve?name={HOST}&region=r&zone=a"
        answer = await once(asked.directory, wire.request("GET", query, HOST))
        after_s = time.monotonic() - lost_at
        named = json.loads(answer.body)["addresses"] if answer and answer.first[1] == "200" else []
        answers += 1 if named else 0
        dead = [vm.name for vm in world.vms if vm.address in named and not vm.is_running()]
        alive = [vm.name for vm in world.vms if vm.address in named and vm.is_running()]
        world.record.line(f"{asked.name}, {after_s:.1f} s after the loss, names {alive} and the lost {dead}")
        broken += 1 if dead and alive and after_s > BOUND_S else 0
        await asyncio.sleep(0.5)
    if answers < 20:
        raise CannotRun("the directory doesn't answer")
    world.record.say(f"{answers} answers; {broken} name a machine that was lost over {BOUND_S:.0f} s before, allowed are {ALLOWED}")
    return broken > ALLOWED


play(scenario)
