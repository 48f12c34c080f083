"""Judges what callers and upstreams saw against the promises."""

import collections
import time

PROMISES = ("own-answer", "whole-answer", "at-most-once", "not-run-is-true", "unasked", "draining", "configuration",
            "repeat-budget", "graceful-stop", "recovery", "rate-limit", "stay-away", "leaving", "evacuation", "memory")
DRAIN_S = 2.0
CONFIG_S = 2.0
# Time after which an evacuation is in force, and how much longer it may take if the store was disturbed.
EVACUATION_S = 5.0
EVACUATION_STRETCH_S = 5.0
BUDGET_WINDOW_S = 10.0
BUDGET_RATIO = 0.2
BUDGET_EXTRA = 56
# Requests that an upstream gets in such a window of its limit: this factor of what the limit allows, and these in addition.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
# Requests that may reach an upstream from a VM that it has asked to stay away, after the time that the answer takes.
STAY_AWAY_EXTRA = 2
STAY_AWAY_SLACK_S = 0.5
# A close that crosses a request is allowed for so long after the request was sent.
LOSS_SLACK_S = 0.2
# Memory of the smallest VM.
MEMORY_MB = 160
# What the judge itself takes to notice an event.
SLACK_S = 0.3
# A fault excuses what it concerns until this long after its end.
SETTLE_S = 3.0
# Excuses everything: faults of the store, or of all links.
ALL = "all"
# Like ALL, for the time in which the store is restored from an older copy.
RESTORED = "restored"


def overlaps(spans, begin, end):
    return any(since < end and begin < until for since, until in spans)


class Judge:
    def __init__(self):
        self.found = []
        self.requests = {}
        self.runs = collections.defaultdict(list)
        self.refused = {}
        self.left_at = {}
        self.arrivals = []
        self.sent = []
        self.outcomes = collections.Counter()
        # Requests that reached an upstream, with the VM that sent them.
        self.arrived = collections.defaultdict(list)
        # Limits that an upstream named: begin, end, requests a second.
        self.limits = collections.defaultdict(list)
        # Times for which an upstream wants nothing from a VM, and when a VM passed on that an upstream leaves.
        self.stay_away = []
        # Evacuations by data centre: acknowledgement, time from which they are in force, end.
        self.evacuations = collections.defaultdict(list)
        self.told_leaving = {}
        # Faults by what they concern: ALL, the name of a VM, or that of an upstream whose link is harmed. Each has a begin
        # and an end; promises with a bound are not judged between them for what is concerned.
        self.faults = collections.defaultdict(list)
        # Planned stops with the starts that follow, by VM. They concern only what the VM knows.
        self.restarts = collections.defaultdict(list)

    def did_use_memory(self, vm, resident_mb):
        if resident_mb > MEMORY_MB:
            self.broke("memory", f"{vm} has {resident_mb:.0f} MB resident")

    def broke(self, promise, what):
        self.found.append((promise, what))

    def begin_fault(self, *concerned):
        """Returns what `end_fault` needs."""
        fault = [time.monotonic(), float("inf")]
        for it in concerned:
            self.faults[it].append(fault)
        return fault

    def begin_restore(self, upstream=""):
        """A restore of the store, or the time until an upstream has written again what was lost."""
        return self.begin_fault(RESTORED + upstream)

    def end_fault(self, fault):
        fault[1] = time.monotonic() + SETTLE_S

    def is_concerned(self, names, begin, end):
        concerned = (ALL, RESTORED, *names, *(RESTORED + it for it in names))
        return overlaps([span for it in concerned for span in (*self.faults[it], *self.restarts[it])], begin, end)

    def knew_before_restore(self, names, left, now):
        """Whether an upstream left so long before the store was restored that a VM that nothing else has disturbed since
        must know of it. It must not forget that."""
        restores = [begin for begin, _ in self.faults[RESTORED] if left < begin < now]
        spans = [span for it in (ALL, *names) for span in (*self.faults[it], *self.restarts[it])]
        return bool(restores) and left + DRAIN_S + SLACK_S < restores[0] and not overlaps(spans, left, now)

    def is_disturbed(self, begin, end):
        """Whether there was any fault, whatever it concerned."""
        return overlaps([span for spans in self.faults.values() for span in spans], begin, end)

    def did_send(self, attempt, kind, target, body, vm):
        self.requests[attempt] = (kind, target, body, vm, time.monotonic())
        self.sent.append(time.monotonic())

    def did_arrive(self, attempt, upstream):
        now = time.monotonic()
        known = self.requests.get(attempt)
        if not known:
            return
        vm, sent_at = known[3], known[4]
        self.arrived[upstream.name].append((now, vm))
        told_at = self.told_leaving.get((vm, upstream.name))
        if told_at and sent_at > told_at + DRAIN_S + SLACK_S and not self.is_excused((vm, upstream.name), told_at, now):
            self.broke("leaving", f"{vm} sent {attempt} to {upstream.name} {sent_at - told_at:.2f} s after it said that it leaves")

    def did_tell_leaving(self, attempt, upstream):
        if known := self.requests.get(attempt):
            self.told_leaving.setdefault((known[3], upstream.name), time.monotonic())

    def did_reject(self, attempt, upstream):
        if upstream.retry_after_s and (known := self.requests.get(attempt)):
            now = time.monotonic()
            self.stay_away.append((known[3], upstream.name, now + STAY_AWAY_SLACK_S, now + upstream.retry_after_s))

    def begin_limit(self, upstream, per_s):
        self.limits[upstream.name].append([time.monotonic(), float("inf"), per_s])

    def end_limit(self, upstream):
        self.limits[upstream.name][-1][1] = time.monotonic()

    def begin_evacuation(self, zone, at, is_store_stable):
        """Returns what `end_evacuation` needs."""
        bound_s = EVACUATION_S + (0 if is_store_stable else EVACUATION_STRETCH_S)
        evacuation = [at, at + bound_s, float("inf")]
        self.evacuations[zone].append(evacuation)
        return evacuation

    def end_evacuation(self, evacuation):
        evacuation[2] = time.monotonic()

    def is_excused(self, names, begin, end):
        """Like `is_concerned`, but faults of the store excuse nothing."""
        return overlaps([span for it in names for span in (*self.faults[it], *self.restarts[it])], begin, end)

    def check_limits(self):
        for name, spans in self.limits.items():
            for begin, end, per_s in spans:
                times = [t for t, vm in self.arrived[name]
                         if begin + SETTLE_S <= t <= end and not self.is_excused((vm, name), t - SLACK_S, t)]
                most = LIMIT_FACTOR * per_s * LIMIT_WINDOW_S + LIMIT_EXTRA
                counts = [sum(1 for t in times if first <= t < first + LIMIT_WINDOW_S) for first in times]
                if max(counts, default=0) > most:
                    self.broke("rate-limit", f"{name} got {max(counts)} requests in 4 s, limit {per_s:.2f} a second")

    def check_stay_away(self):
        for vm, name, begin, end in self.stay_away:
            count = sum(1 for t, it in self.arrived[name] if it == vm and begin <= t < end)
            if count > STAY_AWAY_EXTRA and not self.is_excused((vm, name), begin - STAY_AWAY_SLACK_S, end):
                self.broke("stay-away", f"{vm} sent {count} requests to {name}, which wanted nothing for {end - begin:.1f} s")

    def did_run(self, attempt, upstream, message):
        now = time.monotonic()
        known = self.requests.get(attempt)
        if not known or known[1] != message.first[1] or known[2] != message.body:
            return self.broke("unasked", f"{upstream.name} ran {attempt} {message.first[1]}")
        if self.runs[attempt]:
            self.arrivals.append(now)
        self.runs[attempt].append((now, upstream.name))
        if known[0] == "unsafe" and len(self.runs[attempt]) > 1:
            self.broke("at-most-once", f"{attempt} ran at {[name for _, name in self.runs[attempt]]}")
        if attempt in self.refused:
            self.broke("not-run-is-true", f"{attempt} was refused with {self.refused[attempt]} and ran at {upstream.name}")
        left = self.left_at.get(upstream.name)
        vm = known[3]
        names = (vm, upstream.name)
        if left and now > left + DRAIN_S + SLACK_S and (not self.is_concerned(names, now - SLACK_S, now)
                                                        or self.knew_before_restore(names, left, now)):
            self.broke("draining", f"{vm} sent {attempt} to {upstream.name} {now - left:.2f} s after it said that it leaves")
        for at, in_force, end in self.evacuations[upstream.zone]:
            if in_force + SLACK_S < now < end and not self.is_concerned((vm, upstream.name), now - SLACK_S, now):
                self.broke("evacuation", f"{vm} sent {attempt} to {upstream.name} {now - at:.2f} s after the evacuation of its "
                                         "data centre was acknowledged")

    def did_answer(self, attempt, status, sealed, expected, is_whole, body):
        self.outcomes[status] += 1
        kind = self.requests[attempt][0]
        if status == 200:
            if not is_whole:
                self.broke("whole-answer", f"{attempt} got {len(body)} bytes")
            elif sealed != expected:
                self.broke("own-answer", f"{attempt} got an answer that isn't its own")
            elif not self.runs[attempt]:
                self.broke("own-answer", f"{attempt} got a success and never ran")
        if status in (408, 421, 429, 503):
            self.refused[attempt] = status
            if self.runs[attempt] and kind == "unsafe":
                self.broke("not-run-is-true", f"{attempt} ran and was refused with {status}")

    def did_drop(self, attempt, is_planned_stop):
        """A request was sent behind an answer that closed its connection."""
        self.outcomes["behind a close"] += 1
        age = time.monotonic() - self.requests[attempt][4]
        if age > LOSS_SLACK_S + SLACK_S and is_planned_stop and not self.is_disturbed(time.monotonic() - 3, time.monotonic()):
            self.broke("graceful-stop", f"{attempt} got no answer {age:.2f} s after it was sent, behind one that closed its connection")
        if self.runs[attempt] and is_planned_stop:
            self.broke("graceful-stop", f"{attempt} ran behind an answer that closed its connection")

    def did_break(self, attempt, is_planned_stop):
        self.outcomes["broken"] += 1
        if is_planned_stop and not self.is_disturbed(time.monotonic() - 3, time.monotonic()):
            self.broke("graceful-stop", f"{attempt} was broken off by a graceful stop")

    def check_budget(self):
        begin = 0
        for end, at in enumerate(self.arrivals):
            while self.arrivals[begin] < at - BUDGET_WINDOW_S:
                begin += 1
            requests = sum(1 for t in self.sent if at - 1.5 * BUDGET_WINDOW_S <= t <= at)
            if end - begin + 1 > BUDGET_RATIO * requests + BUDGET_EXTRA:
                return self.broke("repeat-budget", f"{end - begin + 1} repeats for {requests} requests")
        return None
