"""Measures the control plane of fleets of real processes, as section 11.3 of docs/design.md describes."""

import argparse
import datetime
import json
import os
import random
import signal
import statistics
import sys
import threading
import time
import urllib.error
import urllib.request

import fleet

SEED = 1
CHANGES = 10
FIRST_PORT = 25500
UPSTREAMS = 14
DATA_CENTRES = [f"dc-{n}" for n in range(4)]
CALLS_PER_SECOND = 100
# An entry daemon measures nothing during the first window of the budget, and a large fleet takes
# longer to get to know itself.
SETTLE_SECONDS = 12
MAX_CHANGE_MS = 5000
MAX_LEAVE_MS = 3000
MAX_CPU_PERCENT = 2.8
MAX_RSS_MB = 32
MAX_BYTES_PER_SECOND = 3000


class Load:
    """Callers that send a steady trickle of idempotent calls to all entry VMs."""

    def __init__(self, it, calls_per_second):
        self.random = random.Random(SEED)
        self.addresses = [it.callers(n) for n in it.entries]
        self.interval = 1 / calls_per_second
        self.is_running = True
        self.answers = {}
        self.threads = [threading.Thread(target=self.run, daemon=True) for _ in range(4)]
        for thread in self.threads:
            thread.start()

    def run(self):
        while self.is_running:
            address = self.random.choice(self.addresses)
            request = urllib.request.Request(f"http://{address}/rankview/1", headers={"X-Owner": "dojo"})
            try:
                with urllib.request.urlopen(request, timeout=3) as response:
                    status = response.status
            except urllib.error.HTTPError as error:
                status = error.code
            except OSError:
                status = 0
            self.answers[status] = self.answers.get(status, 0) + 1
            time.sleep(self.interval * 4)

    def stop(self):
        self.is_running = False
        for thread in self.threads:
            thread.join()


def catalogue(version):
    services = "".join(
        f"  - {{name: {name}, slots: 3, connections_per_upstream: 220, call_depth: 1, retry_percent: 8, "
        "hedge_percent: 5, measuring: {probes_per_second: 100, probes_per_second_per_upstream: 20, "
        "window_ms: 10000}}\n"
        for name in ("rankview", "gradebook", "archivist"))
    entries = "".join(
        f"  - {{name: entry-{n}, owner: dojo, service: rankview, path_prefix: /rankview/{n}, class: idempotent, "
        "limits: {calls_per_second: 20000, in_flight: 2000, queue: 4000, deadline_ms: 2000}}\n"
        for n in range(20))
    return (f"format: 1\nversion: {version}\nfleet: {{max_entry_vms: 60, permission_ms: 2500}}\ndialects:\n"
            "  - {name: plain, owner: X-Owner, deadline: X-Deadline-Ms, deadline_unit: ms, "
            f"request_id: X-Request-Id, class: X-Class}}\nservices:\n{services}entries:\n{entries}")


def versions(it):
    return [it.control(n)["catalogue"]["number"] for n in it.entries]


def catalogue_events(it, n):
    """Numbers of the catalogues that came into effect on a VM, with the time of each log line."""
    found = []
    for event in it.events(n):
        if event.get("message") == "catalogue in effect":
            at = datetime.datetime.strptime(event["timestamp"], "%Y-%m-%d %H:%M:%S,%f")
            found.append((int(event["context_map"]["version"].split("-")[0]), at))
    return found


def change_times(it, first):
    """Milliseconds from each change of the catalogue until it is in effect on all VMs, by their logs."""
    changed = {}
    for version in range(first, first + CHANGES):
        changed[version] = datetime.datetime.now()
        it.write(it.catalogue, catalogue(version))
        fleet.wait_for(lambda: min(versions(it)) >= version, 20)
    reached = [dict(catalogue_events(it, n)) for n in it.entries]
    # A VM that skipped a version has a newer one in effect, which serves as well.
    return [max(min(at for number, at in vm.items() if number >= version) - begin
                for vm in reached).total_seconds() * 1000 for version, begin in changed.items()]


def reverts(it):
    """Catalogues in effect that are older than one before, by the logs."""
    count = 0
    for n in it.entries:
        numbers = [number for number, _ in catalogue_events(it, n)]
        count += sum(later < earlier for earlier, later in zip(numbers, numbers[1:]))
    return count


def false_suspicions(it, stopped):
    """Members that were suspected or declared dead although they ran. Those of the stopped VM are left out."""
    count = 0
    for n in it.entries:
        for event in it.events(n):
            fields = event.get("context_map", {})
            is_lost = event.get("message") == "member changed" and fields.get("state") in ("suspect", "dead")
            count += bool(is_lost and fields["member"] != it.entry_name(stopped))
    return count


def control_bytes(it, n):
    """Bytes exchanged with peers and with the platform."""
    control = it.control(n)
    return control["transport"]["sent_bytes"] + control["transport"]["received_bytes"], control["platform"]["bytes"]


def control_seconds(pid):
    """Processor time of the threads of the control task: its own and those of ZeroMQ."""
    total = 0
    for task in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{task}/comm") as file:
            name = file.read().strip()
        if name == "control" or name.startswith("ZMQ"):
            total += fleet.cpu_seconds(f"{pid}/task/{task}")
    return total


def platform_stats(it):
    return json.loads(fleet.http("GET", it.platform(), "/admin/stats"))


def steady(it, seconds):
    """Traffic and processor time of each VM without any change, with calls that yield evidence to pass on."""
    load = Load(it, CALLS_PER_SECOND)
    pids = [it.processes.pid(it.entry_name(n)) for n in it.entries]
    before = [(control_bytes(it, n), control_seconds(pids[n])) for n in it.entries]
    reads = platform_stats(it)
    begin = time.monotonic()
    time.sleep(seconds)
    span = time.monotonic() - begin
    traffic, cpu = [], []
    for n, (counted, spent) in enumerate(before):
        traffic.append([(after - old) / span for old, after in zip(counted, control_bytes(it, n))])
        cpu.append((control_seconds(pids[n]) - spent) / span * 100)
    after = platform_stats(it)
    load.stop()
    return {"control_bytes_per_s_per_vm": round(statistics.mean(sum(both) for both in traffic)),
            "control_bytes_per_s_max": round(max(sum(both) for both in traffic)),
            "peer_bytes_per_s_per_vm": round(statistics.mean(peers for peers, _ in traffic)),
            "control_cpu_percent_per_vm": round(statistics.mean(cpu), 2),
            "rss_mb_per_vm": round(max(fleet.process_status(pid, "VmRSS") for pid in pids) / 1024, 1),
            "config_reads_per_s": round((after["catalogue_reads"] - reads["catalogue_reads"]) / span, 2),
            "list_reads_per_s": round((after["list_reads"] - reads["list_reads"]) / span, 2)}


def disturb_platform(it, version):
    """The service down, stale and back at an older version; the catalogue in effect must stay."""
    for fault, seconds in (("down", 6), ("up", 2), ("stale", 4), ("fresh", 1), ("back?version=1", 4)):
        it.platform_fault(fault)
        time.sleep(seconds)
    kept = all(number == version for number in versions(it))
    it.platform_fault("fresh")
    return kept


def pause_vm(it, stopped, seconds):
    it.processes.signal(it.entry_name(stopped), signal.SIGSTOP)
    time.sleep(seconds)
    it.processes.signal(it.entry_name(stopped), signal.SIGCONT)
    return fleet.wait_for(lambda: all(
        sum(member["state"] == "alive" for member in it.control(n)["members"]) == len(it.entries) - 1
        for n in it.entries), 30)


def upstream_work(it):
    stats = json.loads(fleet.http("GET", it.admins()[0], "/admin/stats"))
    return stats["started"] + stats["refused"]


def leave_last_work(it):
    """Milliseconds from the drain of an upstream until the last new work that a VM sent to it."""
    load = Load(it, CALLS_PER_SECOND)
    time.sleep(4)
    before = upstream_work(it)
    it.upstream_fault("rankview", 0, "drain?linger_ms=8000")
    begin = time.monotonic()
    seen, last = upstream_work(it), 0
    while time.monotonic() - begin < 6:
        work = upstream_work(it)
        if work != seen:
            seen, last = work, time.monotonic() - begin
        time.sleep(0.02)
    load.stop()
    return round(last * 1000), before, load.answers


def start(processes, folder, vms):
    it = fleet.Fleet(processes, "fleet", folder, FIRST_PORT, catalogue(1), DATA_CENTRES, has_history=False)
    it.start_upstreams("rankview", UPSTREAMS)
    it.entries = list(range(vms))
    it.start_platform()
    for n in it.entries:
        it.start_entry(n)
    return it


def knows_all(it):
    return all(control["synchronized"] and
               sum(int(member["boot"], 16) > 0 for member in control["members"]) == len(it.entries) - 1
               for control in map(it.control, it.entries))


def measure(vms, steady_seconds, pause_seconds):
    with fleet.temporary_folder() as folder, fleet.Processes() as processes:
        it = start(processes, folder, vms)
        begin = time.monotonic()
        is_up = fleet.wait_for(lambda: knows_all(it), 60)
        result = {"vms": vms, "seed": SEED, "is_up": is_up, "start_s": round(time.monotonic() - begin, 1)}
        time.sleep(SETTLE_SECONDS + vms / 4)
        result |= steady(it, steady_seconds)
        times = change_times(it, 2)
        result["change_all_p50_ms"] = round(statistics.median(times))
        result["change_all_max_ms"] = round(max(times))
        result["platform_faults_kept_version"] = disturb_platform(it, 1 + CHANGES)
        if pause_seconds:
            result["paused_vm_is_back"] = pause_vm(it, vms - 1, pause_seconds)
        last, before, answers = leave_last_work(it)
        result |= {"leave_last_work_ms": last, "work_before_leave": before,
                   "answers": {str(k): v for k, v in sorted(answers.items())}}
        result["reverts"] = reverts(it)
        result["false_suspicions"] = false_suspicions(it, vms - 1)
        return result


def missed_bars(result):
    bars = {"reverts": 0, "change_all_max_ms": MAX_CHANGE_MS, "leave_last_work_ms": MAX_LEAVE_MS,
            "false_suspicions": 0}
    if result["vms"] <= 16:
        bars |= {"control_bytes_per_s_per_vm": MAX_BYTES_PER_SECOND, "control_cpu_percent_per_vm": MAX_CPU_PERCENT,
                 "rss_mb_per_vm": MAX_RSS_MB}
    missed = [name for name, bar in bars.items() if result[name] > bar]
    return missed + [name for name in ("is_up", "platform_faults_kept_version", "paused_vm_is_back")
                     if not result.get(name, True)]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steady_s", type=float, default=20, help="length of the traffic window")
    parser.add_argument("--pause_s", type=float, default=30, help="length of the SIGSTOP; 0 leaves it out")
    parser.add_argument("vms", type=int, nargs="*", default=[3, 16], help="fleet sizes")
    arguments = parser.parse_args()
    has_failed = False
    for vms in arguments.vms:
        result = measure(vms, arguments.steady_s, arguments.pause_s)
        result["missed"] = missed_bars(result)
        has_failed = has_failed or bool(result["missed"])
        print(json.dumps(result), flush=True)
    return 1 if has_failed else 0


if __name__ == "__main__":
    sys.exit(main())
