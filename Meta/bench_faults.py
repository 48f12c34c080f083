"""Breaks a fleet of 14 entry daemons in random ways, two at once, and lets wigeonlift-check judge the histories."""

import argparse
import json
import random
import signal
import subprocess
import sys
import time

import faults
import fleet

DEFAULT_SEED = 11
ENTRY_VMS = 14
# 14 VMs and a replacement beside each of two that are killed at one time.
MAX_ENTRY_VMS = 16
SECONDS = 60
SETTLE_S = 6
WINDOW_MS = 4000
EXPORT_BYTES = 8 * 1024 * 1024
# Probes a second to one upstream; a service has that many times its upstreams.
PROBES_PER_UPSTREAM = 8
# Runs beside each other need ports of their own; Fleet takes about 430 from the first.
USERS = {
    "obiyama": {
        "catalogue": "belt-registry.yaml", "port": 24000, "data_centres": ["osaka-1", "osaka-2", "kobe-1", "kyoto-1"],
        "services": {"rankview": 14, "gradebook": 8, "archivist": 8},
        "rates": {"rank-history": 400, "promotions": 60}, "exports": {"lineage-export": 1.5},
    },
    "kapokki": {
        "catalogue": "pillow-factory.yaml", "port": 24450, "data_centres": ["lahti-1", "lahti-2", "kouvola-1"],
        "services": {"varasto": 18, "lahetys": 10, "asiakirja": 6},
        "rates": {"stock": 350, "fibre-grades": 50, "order-confirmations": 40, "bale-dispatch": 20},
        "exports": {"certificate-bundles": 1.5},
    },
}
CHECKED = "I1,I2,I3,I4,I5,I6,I7"


def budgets(user):
    """Probes a second by service, to all of its upstreams."""
    return {service: count * PROBES_PER_UPSTREAM for service, count in user["services"].items()}


def catalogue(user):
    text = fleet.example_catalogue(user["catalogue"], MAX_ENTRY_VMS, "MEASURING")
    for total in budgets(user).values():
        text = text.replace("MEASURING", f"probes_per_second: {total}, probes_per_second_per_upstream: "
                                         f"{PROBES_PER_UPSTREAM}, window_ms: {WINDOW_MS}", 1)
    return text


def start(processes, folder, user):
    it = fleet.Fleet(processes, "faults", folder, user["port"], catalogue(user), user["data_centres"])
    it.relay_connections(ENTRY_VMS)
    for service, count in user["services"].items():
        it.start_upstreams(service, count, "--bytes_per_second", str(16 * 1024 * 1024))
    it.entries = list(range(ENTRY_VMS))
    it.start_platform()
    for n in range(ENTRY_VMS):
        it.start_entry(n)
    it.wait_until_serving()
    return it


def check(it, user):
    """Runs wigeonlift-check over all histories and returns its verdicts."""
    budget = ",".join(f"{name}={total}/{PROBES_PER_UPSTREAM}/{WINDOW_MS}" for name, total in budgets(user).items())
    names = [it.entry_name(n) for n in it.entries] + list(it.upstreams) + ["callers", "exports", "faults"]
    arguments = [fleet.program("Services/Check", "wigeonlift-check"), "--budget", budget, "--require", CHECKED]
    result = subprocess.run(arguments + [it.path(f"{name}.jsonl") for name in names], capture_output=True, text=True,
                            timeout=120, check=False)
    sys.stderr.write(result.stderr)
    print(result.stdout, end="")
    return [json.loads(line) for line in result.stdout.splitlines()], result.returncode


def run(folder, name, seed):
    user = USERS[name]
    with fleet.Processes() as processes:
        it = start(processes, folder, user)
        time.sleep(SETTLE_S)
        script = faults.Faults(it, random.Random(seed), faults.ScriptHistory(it.path("faults.jsonl")))
        loads = {"callers": it.load("callers", user["rates"], SECONDS, seed, "--json", "--upstream_admins",
                                    ",".join(it.admins())),
                 "exports": it.load("exports", user["exports"], SECONDS, seed + 1, "--json", "--callers", "6",
                                    "--export_bytes", str(EXPORT_BYTES))}
        script.run(time.monotonic() + SECONDS - 10)
        is_clean = True
        for load, process in loads.items():
            is_clean &= process.wait(timeout=60) == 0
            print(json.dumps({"bench": "faults", "load": load, **json.loads(it.output(load))}))
        for n in it.entries:
            processes.signal(it.entry_name(n), signal.SIGTERM)
        for n in it.entries:
            processes.running[it.entry_name(n)].wait(60)
    verdicts, code = check(it, user)
    print(json.dumps({"bench": "faults", "user": name, "seed": seed, "faults": script.counts,
                      "violations": {it["invariant"]: it["violations"] for it in verdicts},
                      "callers_saw_no_fault": is_clean, "met": is_clean and code == 0}))
    return is_clean and code == 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--user", choices=USERS, default="obiyama")
    parser.add_argument("seed", type=int, nargs="?", default=DEFAULT_SEED)
    # A folder of the user's own is kept, to look at logs and histories.
    parser.add_argument("folder", nargs="?")
    arguments = parser.parse_args()
    if arguments.folder:
        return 0 if run(arguments.folder, arguments.user, arguments.seed) else 1
    with fleet.temporary_folder() as folder:
        return 0 if run(folder, arguments.user, arguments.seed) else 1


if __name__ == "__main__":
    sys.exit(main())
