"""Runs both users' fleets on loopback, kills an entry VM and an upstream of each, and prints what callers saw."""

import os
import sys
import time

import fleet

ENTRY_VMS = 3
# Three VMs and a replacement beside each.
MAX_ENTRY_VMS = 6
LOAD_SECONDS = 16
KILL_ENTRY_AT_S = 5
KILL_UPSTREAM_AT_S = 8
REPLACE_AT_S = 11
# A fleet that starts with nothing sends no probe, and so no call, within its first measuring window of at most 4 s. The
# 3 s before are for the members to find each other.
COLD_START_SECONDS = 7
SEED = 7
EXPORT_BYTES = 64 * 1024 * 1024
MAX_DEMO_SECONDS = 60

USERS = {
    "belts": {
        "catalogue": "belt-registry.yaml", "port": 24000, "data_centres": ["osaka-1", "osaka-2", "kobe-1", "kyoto-1"],
        "measuring": "probes_per_second: 12, probes_per_second_per_upstream: 3, window_ms: 2000", "budget": 12,
        "services": {"rankview": 4, "gradebook": 3, "archivist": 3}, "killed": "gradebook",
        "rates": {"rank-history": 150, "promotions": 25}, "exports": {"lineage-export": 0.5},
    },
    "pillows": {
        "catalogue": "pillow-factory.yaml", "port": 24600, "data_centres": ["lahti-1", "lahti-2", "kouvola-1"],
        "measuring": "probes_per_second: 6, probes_per_second_per_upstream: 1.5, window_ms: 4000", "budget": 6,
        "services": {"varasto": 4, "lahetys": 3, "asiakirja": 3}, "killed": "varasto",
        "rates": {"stock": 100, "fibre-grades": 30, "order-confirmations": 15, "bale-dispatch": 10},
        "exports": {"certificate-bundles": 0.5},
    },
}


def start(processes, name, user, folder):
    catalogue = fleet.example_catalogue(user["catalogue"], MAX_ENTRY_VMS, user["measuring"])
    it = fleet.Fleet(processes, name, folder, user["port"], catalogue, user["data_centres"])
    for service, count in user["services"].items():
        it.start_upstreams(service, count)
    it.entries = list(range(ENTRY_VMS))
    it.start_platform()
    for n in range(ENTRY_VMS):
        it.start_entry(n)
    return it


def start_load(it, user):
    it.load("callers", user["rates"], LOAD_SECONDS, SEED, "--upstream_admins", ",".join(it.admins()))
    it.load("exports", user["exports"], LOAD_SECONDS, SEED + 1, "--callers", "4",
            "--export_bytes", str(EXPORT_BYTES))


def memory_mb(it, n, key="VmRSS"):
    return fleet.process_status(it.processes.pid(it.entry_name(n)), key) / 1024


def break_things(fleets, start_time):
    """Kills the last entry VM and the first upstream of one service of each user, and later brings both back."""
    def wait_until(seconds):
        time.sleep(max(0, start_time + seconds - time.monotonic()))

    wait_until(KILL_ENTRY_AT_S)
    for it in fleets:
        print(f"{KILL_ENTRY_AT_S} s: SIGKILL to {it.entry_name(ENTRY_VMS - 1)}")
        it.processes.kill(it.entry_name(ENTRY_VMS - 1))
    wait_until(KILL_UPSTREAM_AT_S)
    for it in fleets:
        print(f"{KILL_UPSTREAM_AT_S} s: {USERS[it.name]['killed']}-1 dies")
        it.upstream_fault(USERS[it.name]["killed"], 0, "kill")
    wait_until(REPLACE_AT_S)
    for it in fleets:
        print(f"{REPLACE_AT_S} s: a replacement of {it.entry_name(ENTRY_VMS - 1)} and a cold "
              f"{USERS[it.name]['killed']}-1 start")
        it.start_entry(ENTRY_VMS - 1)
        it.upstream_fault(USERS[it.name]["killed"], 0, "restart")


def report(it, before):
    """Prints the tables of one user. True when callers saw no fault."""
    is_clean = True
    for load in ("callers", "exports"):
        is_clean &= it.processes.running[f"{it.name}-{load}"].wait(timeout=MAX_DEMO_SECONDS) == 0
        print(f"\n{it.name}, {load}:\n{it.output(load).rstrip()}")
    print(f"measuring budget: {3 * USERS[it.name]['budget']} probes a second over three services")
    for n in range(ENTRY_VMS - 1):
        print(f"memory of {it.entry_name(n)}: {before[n]:.1f} MB before the calls and exports, "
              f"{memory_mb(it, n):.1f} MB after, {memory_mb(it, n, 'VmHWM'):.1f} MB at most")
    return is_clean


def run(folder):
    begun = time.monotonic()
    with fleet.Processes() as processes:
        fleets = [start(processes, name, user, folder) for name, user in USERS.items()]
        for it in fleets:
            it.wait_until_serving()
        time.sleep(COLD_START_SECONDS)
        print(f"{2 * ENTRY_VMS} entry VMs serve after {time.monotonic() - begun:.1f} s")
        before = {it.name: [memory_mb(it, n) for n in range(ENTRY_VMS)] for it in fleets}
        start_time = time.monotonic()
        for it in fleets:
            start_load(it, USERS[it.name])
        break_things(fleets, start_time)
        is_clean = all([report(it, before[it.name]) for it in fleets])
    print(f"\n{'every' if is_clean else 'NOT every'} answer was right and whole, and each acknowledged effect "
          f"{'happened' if is_clean else 'did not happen'} exactly once; {time.monotonic() - begun:.0f} s")
    return is_clean


def main():
    if len(sys.argv) > 1:
        # A folder of the user's own is kept, to look at logs and histories.
        os.makedirs(sys.argv[1])
        return 0 if run(sys.argv[1]) else 1
    with fleet.temporary_folder() as folder:
        return 0 if run(folder) else 1


if __name__ == "__main__":
    sys.exit(main())
