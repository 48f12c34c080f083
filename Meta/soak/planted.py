"""Breaks each promise once on purpose and shows that the judge sees it."""

import sys
import time

from .judge import PROMISES, Judge
from .wire import Message


class Place:
    name = "i-1"
    zone = "a"


def message(target="/look/x", body=b""):
    return Message(["GET", target, "HTTP/1.1"], {}, body)


def planted():
    """Yields each promise with a judge that has seen it broken."""
    def judge(kind="safe"):
        it = Judge()
        it.did_send("x", kind, "/look/x", b"", "vm-1")
        return it

    it = judge()
    it.did_run("x", Place, message())
    it.did_answer("x", 200, "seal of another", "own seal", True, b"body")
    yield "own-answer", it
    it = judge()
    it.did_run("x", Place, message())
    it.did_answer("x", 200, "seal", "seal", False, b"bo")
    yield "whole-answer", it
    it = judge("unsafe")
    it.did_run("x", Place, message())
    it.did_run("x", Place, message())
    yield "at-most-once", it
    it = judge("unsafe")
    it.did_answer("x", 503, "", "", True, b"")
    it.did_run("x", Place, message())
    yield "not-run-is-true", it
    it = judge()
    it.did_run("x", Place, message("/look/x?changed"))
    yield "unasked", it
    it = judge()
    it.left_at["i-1"] = time.monotonic() - 3
    it.did_run("x", Place, message())
    yield "draining", it
    # Faults of other VMs excuse nothing.
    it = judge()
    it.begin_fault("vm-2")
    it.left_at["i-1"] = time.monotonic() - 3
    it.did_run("x", Place, message())
    yield "draining", it
    # What a VM knew before the store was restored.
    it = judge()
    it.left_at["i-1"] = time.monotonic() - 3
    it.begin_restore()
    it.did_run("x", Place, message())
    yield "draining", it
    it = judge()
    it.begin_evacuation("a", time.monotonic() - 6, True)
    it.did_run("x", Place, message())
    yield "evacuation", it
    it = judge()
    it.did_break("x", True)
    yield "graceful-stop", it
    # A request that came long before the answer that closed its connection.
    it = judge()
    it.requests["x"] = (*it.requests["x"][:4], time.monotonic() - 1)
    it.did_drop("x", True)
    yield "graceful-stop", it
    it = judge()
    it.did_run("x", Place, message())
    it.did_drop("x", True)
    yield "graceful-stop", it
    it = judge()
    for _ in range(60):
        it.did_run("x", Place, message())
    it.check_budget()
    yield "repeat-budget", it
    # The limit was named long before, so that VMs know it.
    it = judge()
    it.limits["i-1"].append([time.monotonic() - 5, float("inf"), 1.0])
    for _ in range(12):
        it.did_arrive("x", Place)
    it.check_limits()
    yield "rate-limit", it
    it = judge()
    it.stay_away.append(("vm-1", "i-1", time.monotonic() - 1, time.monotonic() + 1))
    for _ in range(3):
        it.did_arrive("x", Place)
    it.check_stay_away()
    yield "stay-away", it
    it = judge()
    it.told_leaving[("vm-1", "i-1")] = time.monotonic() - 3
    it.did_arrive("x", Place)
    yield "leaving", it
    it = judge()
    it.did_use_memory("vm-1", 200)
    yield "memory", it


def main():
    missed = [promise for promise, judge in planted() if promise not in {found for found, _ in judge.found}]
    # Judged by questions to the real processes, which have no switch to break them.
    asked = {"configuration", "recovery"}
    unknown = set(PROMISES) - {promise for promise, _ in planted()} - asked
    print(f"{len(list(planted())) - len(missed)} planted faults seen, missed: {missed or 'none'}, without one: {sorted(unknown)}")
    sys.exit(1 if missed or unknown else 0)


if __name__ == "__main__":
    main()
