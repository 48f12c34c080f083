"""Measures memory, processor time and control traffic of entry daemons by the number of upstreams and the rate of
catalogue changes, with the catalogue as one value and split over several. Nothing listens at the listed upstreams and no
probes are sent: this is the cost of control alone."""

import json
import os
import statistics
import subprocess
import sys
import time

import fleet

ENTRY_VMS = 3
# Services, upstreams in each, and services in each part of the catalogue; 0 for a catalogue that is one value. 150
# services are the target size.
SIZES = [(3, 5, 0), (30, 10, 0), (150, 20, 0), (150, 20, 1), (150, 20, 10)]
STEADY_SECONDS = 12
CHANGES = 10
CHANGE_INTERVAL_S = 1
CHANGE_TIMEOUT_S = 10
# A new fleet reads a catalogue of 150 parts at 5 reads a second.
START_TIMEOUT_S = 60
FIRST_PORT = int(os.environ.get("WIGEONLIFT_FIRST_PORT", "25200"))


def head(version):
    return f"format: 1\nversion: {version}\nfleet: {{max_entry_vms: 6}}\n"


def items(numbers, version):
    lines = ["services:"]
    for n in numbers:
        lines.append(f"  - {{name: service-{n}, slots: 3, connections_per_upstream: 220, retry_percent: 8, "
                     "hedge_percent: 5, measuring: {probes_per_second: 0, probes_per_second_per_upstream: 0}}")
    lines.append("entries:")
    for n in numbers:
        for kind in ("idempotent", "non_idempotent"):
            # A change edits the limit of one entry.
            rate = 1000 + version if n == 0 else 1000
            lines.append(f"  - {{name: {kind}-{n}, owner: owner-{n % 10}, service: service-{n}, "
                         f"path_prefix: /service-{n}/{kind}, class: {kind}, limits: {{calls_per_second: "
                         f"{rate}, in_flight: 100, queue: 100, deadline_ms: 2000}}}}")
    return "\n".join(lines) + "\n"


def publish(it, services, version, services_per_part):
    """Writes a version, the parts before the root. Returns the bytes of all values."""
    if not services_per_part:
        text = head(version) + items(range(services), version)
        it.write(it.catalogue, text)
        return len(text)
    size = 0
    files = []
    for first in range(0, services, services_per_part):
        text = items(range(first, min(first + services_per_part, services)), version)
        files.append(os.path.join(it.parts_folder, f"part-{first}.yaml"))
        size += len(text)
        # Only the first part changes with the version.
        if first == 0 or not os.path.exists(files[-1]):
            it.write(files[-1], text)
    parts = subprocess.run([fleet.program("Services/Ctl", "wigeonlift-ctl"), "digest", *files], check=True,
                           capture_output=True, text=True).stdout
    root = head(version) + "parts:\n" + parts
    it.write(it.catalogue, root)
    return size + len(root)


def traffic(it, n):
    state = it.control(n)
    return state["transport"]["sent_bytes"] + state["transport"]["received_bytes"], state["platform"]["bytes"]


def list_reads(it):
    """Reads of the VM list by one VM since its start, and the bytes of one. The time between reads of a long list is
    minutes, so that a window of this benchmark has none; the rate is the bytes divided by `VmListClient::readInterval`."""
    platform = it.control(0)["platform"]
    return {"list_reads": platform["list_reads"],
            "list_read_bytes": round(platform["list_bytes"] / max(1, platform["list_reads"]))}


def sample(it):
    return [(traffic(it, n), fleet.cpu_seconds(it.processes.pid(it.entry_name(n)))) for n in range(ENTRY_VMS)]


def rates(before, after, seconds):
    pairs = list(zip(before, after))
    return {"peer_bytes_per_s": round(statistics.mean((b[0][0] - a[0][0]) / seconds for a, b in pairs)),
            "platform_bytes_per_s": round(statistics.mean((b[0][1] - a[0][1]) / seconds for a, b in pairs)),
            "cpu_percent": round(statistics.mean((b[1] - a[1]) / seconds * 100 for a, b in pairs), 2)}


def configuration_bytes(it):
    """Bytes that the configuration service has sent to the VM that received most."""
    return max(it.control(n)["platform"]["configuration_bytes"] for n in range(ENTRY_VMS))


def change(it, services, version, services_per_part):
    """Publishes a version and returns the seconds until it is in effect on each VM."""
    begun = time.monotonic()
    publish(it, services, version, services_per_part)
    while any(it.control(n)["catalogue"]["number"] < version for n in range(ENTRY_VMS)):
        if time.monotonic() - begun > CHANGE_TIMEOUT_S:
            raise RuntimeError(f"version {version} is not in effect everywhere after {CHANGE_TIMEOUT_S} s")
        time.sleep(0.01)
    return time.monotonic() - begun


def measure(services, upstreams, services_per_part, index, folder):
    with fleet.Processes() as processes:
        it = fleet.Fleet(processes, f"state{index}", folder, FIRST_PORT, "", ["one"], False)
        size = publish(it, services, 1, services_per_part)
        # Ports 1 to 20 of the loopback address, where nothing listens.
        it.upstreams = {f"service-{n}": {"count": upstreams, "port": 1, "admin": 0} for n in range(services)}
        it.entries = list(range(ENTRY_VMS))
        it.start_platform()
        for n in range(ENTRY_VMS):
            it.start_entry(n)
        it.wait_until_serving(START_TIMEOUT_S)
        time.sleep(STEADY_SECONDS)
        before = sample(it)
        time.sleep(STEADY_SECONDS)
        after = sample(it)
        rss = max(fleet.process_status(processes.pid(it.entry_name(n)), "VmRSS") / 1024 for n in range(ENTRY_VMS))
        reads = list_reads(it)
        received = configuration_bytes(it)
        begun = time.monotonic()
        times = []
        for version in range(2, 2 + CHANGES):
            times.append(change(it, services, version, services_per_part))
            time.sleep(CHANGE_INTERVAL_S)
        seconds = time.monotonic() - begun
        steady, changing = rates(before, after, STEADY_SECONDS), rates(after, sample(it), seconds)
        received = configuration_bytes(it) - received
        peak = max(fleet.process_status(processes.pid(it.entry_name(n)), "VmHWM") / 1024 for n in range(ENTRY_VMS))
    cpu_ms = (changing["cpu_percent"] - steady["cpu_percent"]) / 100 * seconds / CHANGES * 1000
    return {"services": services, "upstreams": services * upstreams, "services_per_part": services_per_part,
            "catalogue_bytes": size, "rss_mb": round(rss, 1), "peak_rss_mb": round(peak, 1), **reads,
            "steady": steady, "changing": changing, "changes_per_s": round(CHANGES / seconds, 2),
            "reader_bytes_per_s": round(received / seconds), "reader_bytes_per_change": round(received / CHANGES),
            "cpu_ms_per_change": round(cpu_ms, 1), "change_max_ms": round(max(times) * 1000)}


def main():
    with fleet.temporary_folder() as folder:
        for index, (services, upstreams, services_per_part) in enumerate(SIZES):
            if len(sys.argv) < 2 or str(services) in sys.argv[1:]:
                print(json.dumps(measure(services, upstreams, services_per_part, index, folder)), flush=True)


if __name__ == "__main__":
    main()
