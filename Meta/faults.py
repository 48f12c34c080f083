"""Faults that a benchmark causes in a fleet of entry daemons, and their history."""

import json
import signal
import time

import fleet

# Callers always know a VM that works, since these are never broken.
WHOLE_VMS = 3


class ScriptHistory:
    """Events that only the script knows, in the form of LibHistory."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.incarnation = time.monotonic_ns()
        self.sequence = 0

    def write(self, event, time_ns=None, **fields):
        line = {"event": event, "time_ns": time_ns or time.monotonic_ns(), "writer": "faults",
                "incarnation": self.incarnation, "sequence": self.sequence, **fields}
        self.sequence += 1
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


class Faults:
    """Faults that begin at random times and end by themselves. Each returns how to end it, or None."""

    def __init__(self, it, rng, history):
        self.it = it
        self.entry_vms = len(it.entries)
        self.rng = rng
        self.history = history
        self.broken = set()
        self.version = 1
        self.cut_kinds = set()
        self.counts = {}

    def pick_entry(self):
        return self.rng.choice([n for n in range(WHOLE_VMS, self.entry_vms) if n not in self.broken])

    def pick_upstream(self):
        service = self.rng.choice(list(self.it.upstreams))
        healthy = [n for n in range(self.it.upstreams[service]["count"]) if (service, n) not in self.broken]
        return service, self.rng.choice(healthy)

    def kill_entry(self):
        n = self.pick_entry()
        self.broken.add(n)
        self.history.write("kill", process=self.it.entry_name(n))
        self.it.processes.kill(self.it.entry_name(n))
        return lambda: self.restart_entry(n)

    def stop_entry(self):
        n = self.pick_entry()
        self.broken.add(n)
        self.it.processes.signal(self.it.entry_name(n), signal.SIGTERM)
        return lambda: (self.it.processes.running[self.it.entry_name(n)].wait(60), self.restart_entry(n))

    def restart_entry(self, n):
        self.it.start_entry(n)
        self.broken.discard(n)

    def pause_entry(self):
        n = self.pick_entry()
        name = self.it.entry_name(n)
        self.broken.add(n)
        self.history.write("pause", process=name, phase="begun")
        self.it.processes.signal(name, signal.SIGSTOP)

        def resume():
            self.it.processes.signal(name, signal.SIGCONT)
            self.history.write("pause", process=name, phase="ended")
            self.broken.discard(n)
        return resume

    def break_upstream(self, fault, end):
        service, n = self.pick_upstream()
        self.broken.add((service, n))
        self.it.upstream_fault(service, n, fault)
        return lambda: (self.it.upstream_fault(service, n, end), self.broken.discard((service, n)))

    def kill_upstream(self):
        return self.break_upstream("kill", "restart")

    def drain_upstream(self):
        return self.break_upstream("drain?linger_ms=3000", "restart")

    def straggle(self):
        return self.break_upstream("straggle?factor=10", "normal")

    def fail_fast(self):
        return self.break_upstream("fail_fast", "normal")

    def shed(self):
        return self.break_upstream("shed?limit=0", "normal")

    def silence(self):
        return self.break_upstream("silence", "normal")

    def platform_down(self):
        self.it.platform_fault("down")
        return lambda: self.it.platform_fault("up")

    def platform_stale(self):
        self.it.platform_fault("stale")
        self.publish()
        return lambda: self.it.platform_fault("fresh")

    def entry_names(self):
        return [self.it.entry_name(n) for n in range(self.entry_vms)]

    def cut(self, kind, some, others, pairs=None):
        """Cuts two groups off from each other. New connections between them hang or are reset."""
        pairs = pairs or [(one, other) for one in some for other in others]
        cut = self.it.relay.cut(some, others, self.rng.random() < 0.5)
        self.cut_kinds.add(kind)
        # The history holds the cut for no longer than it lasts.
        self.write_cut(pairs, "begun")

        def heal():
            self.write_cut(pairs, "ended")
            self.it.relay.heal(cut)
            self.cut_kinds.discard(kind)
        return heal

    def write_cut(self, pairs, phase):
        # One time for all pairs, since the checker looks at reachability after each change.
        now = time.monotonic_ns()
        for one, other in pairs:
            self.history.write("partition", now, one=one, other=other, phase=phase)

    def cut_off_half(self):
        """Half of the daemons and the others can't send each other messages; upstreams and platform stay reachable."""
        names = self.entry_names()
        half = self.rng.sample(names, self.entry_vms // 2)
        return self.cut("cut_off_half", half, [name for name in names if name not in half])

    def cut_upstreams(self):
        """A part of the daemons can't reach some or all upstreams, but can reach the other daemons."""
        part = self.rng.sample(self.entry_names()[WHOLE_VMS:], self.rng.randint(2, 6))
        upstreams = self.it.upstream_names()
        some = self.rng.choice([upstreams, self.rng.sample(upstreams, len(upstreams) // 2)])
        return self.cut("cut_upstreams", part, some)

    def cut_platform(self):
        """A part of the daemons can't reach the platform."""
        part = self.rng.sample(self.entry_names(), self.entry_vms // 2)
        return self.cut("cut_platform", part, [fleet.PLATFORM])

    def isolate(self):
        """One daemon can reach nothing and is reached by callers only, and by daemons that forward their tickets."""
        n = self.pick_entry()
        name = self.it.entry_name(n)
        self.broken.add(n)
        others = [it for it in self.entry_names() if it != name]
        heal = self.cut("isolate", [name], others + self.it.upstream_names() + [fleet.PLATFORM], [(name, "*")])
        return lambda: (heal(), self.broken.discard(n))

    def publish(self):
        self.version += 1
        with open(self.it.catalogue) as file:
            text = file.read()
        self.it.write(self.it.catalogue, text.replace(f"version: {self.version - 1}\n", f"version: {self.version}\n"))

    # Few calls are in flight when a stop begins, so these come up twice as often.
    STOPS = [stop_entry, drain_upstream]
    ALL = 2 * STOPS + [kill_entry, pause_entry, kill_upstream, straggle, fail_fast, shed, silence,
           platform_down, platform_stale, publish, cut_off_half, cut_upstreams, cut_platform, isolate]

    def run(self, until):
        """Begins a fault of random kind every second or so and lets each last 2 to 6 s, at most two at once."""
        ends = []
        kinds = []
        while time.monotonic() < until or ends:
            now = time.monotonic()
            for end in [it for it in ends if it[0] <= now]:
                ends.remove(end)
                end[1]()
            if now < until and len(ends) < 2:
                # All come up before any comes up again.
                kinds = kinds or self.rng.sample(self.ALL, len(self.ALL))
                kind = kinds.pop()
                # The history can't tell two cuts of one pair apart.
                if kind.__name__ in self.cut_kinds:
                    continue
                self.counts[kind.__name__] = self.counts.get(kind.__name__, 0) + 1
                end = kind(self)
                if end:
                    ends.append((now + self.rng.uniform(2, 6), end))
            time.sleep(self.rng.uniform(0.3, 0.8))
