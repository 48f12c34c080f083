"""Starts and stops the processes of one user's fleet on loopback, for the demo and the benchmarks."""

import contextlib
import ctypes
import json
import os
import re
import tempfile
import urllib.request

import relay
# Scripts that use a fleet use these too.
from processes import Processes, cpu_seconds, process_status, wait_for  # noqa: F401

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, "build")
HOST = "127.0.0.1"
# Addresses in one answer for callers, by the design page.
MAX_NAMED_ENTRIES = 5
# Name of the platform in cuts and histories.
PLATFORM = "platform"


def program(folder, name):
    return os.path.join(BUILD, folder, name)


def curve_keys():
    """A new CURVE key pair as Z85 text."""
    public, secret = ctypes.create_string_buffer(41), ctypes.create_string_buffer(41)
    if ctypes.CDLL("libzmq.so.5").zmq_curve_keypair(public, secret) != 0:
        raise RuntimeError("libzmq has no CURVE support")
    return public.value.decode(), secret.value.decode()


def http(method, address, path, timeout=2):
    request = urllib.request.Request(f"http://{address}{path}", method=method)
    with urllib.request.urlopen(request, timeout=timeout) as response:
        return response.read().decode()


class Fleet:
    """Platform, upstreams and entry daemons of one user.

    Ports: first_port + 0 platform, + 10 callers, + 60 operators, + 110 peers, + 210 upstreams, + 400 their admins. When
    a relay has the ports of the platform, peers and upstreams, these listen at + 1, + 160 and + 300.
    """

    def __init__(self, processes, name, folder, first_port, catalogue, data_centres, has_history=True):
        self.processes = processes
        self.name = name
        self.folder = os.path.join(folder, name)
        os.makedirs(self.folder)
        self.first_port = first_port
        self.data_centres = data_centres
        self.has_history = has_history
        self.relay = None
        self.keys = curve_keys()
        self.catalogue = os.path.join(self.folder, "catalogue.yaml")
        # Holds KEY.yaml for each part of a split catalogue.
        self.parts_folder = os.path.join(self.folder, "parts")
        os.makedirs(self.parts_folder)
        self.vms_file = os.path.join(self.folder, "vms.json")
        self.upstreams = {}
        self.entries = []
        self.states = {}
        self.write(self.catalogue, catalogue)

    @staticmethod
    def write(path, text):
        """Replaces a file at once, so that no reader sees half of it."""
        with open(path + ".new", "w") as file:
            file.write(text)
        os.replace(path + ".new", path)

    def path(self, name):
        return os.path.join(self.folder, name)

    def platform(self):
        return f"{HOST}:{self.first_port}"

    def platform_listener(self):
        """Where the platform listens, behind the relay if there is one."""
        return f"{HOST}:{self.first_port + (1 if self.relay else 0)}"

    def callers(self, n):
        return f"{HOST}:{self.first_port + 10 + n}"

    def operator(self, n):
        return f"{HOST}:{self.first_port + 60 + n}"

    def peer(self, n):
        return f"{HOST}:{self.first_port + 110 + n}"

    def relay_connections(self, count):
        """Relays what entry daemons, the first `count` of which may run, send to each other, upstreams and platform."""
        def pids():
            names = [self.entry_name(n) for n in self.entries]
            return {name: self.processes.pid(name) for name in names if name in self.processes.running}
        self.relay = relay.Relay(HOST, pids)
        self.relay.add(PLATFORM, self.first_port, self.first_port + 1)
        for n in range(count):
            self.relay.add(self.entry_name(n), self.first_port + 110 + n, self.first_port + 160 + n)

    def entry_name(self, n):
        return f"{self.name}-entry-{n + 1}"

    def data_centre(self, n):
        return self.data_centres[n % len(self.data_centres)]

    def start_platform(self):
        self.write_vms()
        arguments = [program("StandIns/Platform", "wigeonlift-standin-platform"), "--address",
                     self.platform_listener(), "--catalogue", self.catalogue, "--parts", self.parts_folder,
                     "--vms", self.vms_file]
        self.processes.start(f"{self.name}-platform", arguments, self.path("platform.log"))

    def start_upstreams(self, service, count, *flags):
        offset = sum(it["count"] for it in self.upstreams.values())
        self.upstreams[service] = {"count": count, "port": self.first_port + 210 + offset,
                                   "admin": self.first_port + 400 + offset}
        spec = self.upstreams[service]
        port = spec["port"]
        if self.relay:
            port += 90
            for n in range(count):
                self.relay.add(f"{service}-{n + 1}", spec["port"] + n, port + n)
        arguments = [program("StandIns/Upstream", "wigeonlift-standin-upstream"), "--name", service,
                     "--count", str(count), "--first_port", str(port),
                     "--first_admin_port", str(spec["admin"]), *flags]
        if self.has_history:
            arguments += ["--history_file", self.upstream_history(service)]
        self.processes.start(f"{self.name}-{service}", arguments, self.path(f"{service}.log"))

    def start_entry(self, n):
        self.entries = sorted({*self.entries, n})
        name = self.entry_name(n)
        settings = self.path(f"{name}.yaml")
        self.write(settings, self.settings(n))
        arguments = [program("Services/Entry", "wigeonlift-entry"), "--settings", settings]
        self.processes.start(name, arguments, self.path(f"{name}.log"))

    def settings(self, n):
        seeds = ", ".join(f"'{self.peer(it)}'" for it in range(3) if it != n)
        history = f"history_file: {self.path(self.entry_name(n) + '.jsonl')}\n" if self.has_history else ""
        listen = f"peer_listen_address: {HOST}:{self.first_port + 160 + n}\n" if self.relay else ""
        return f"""name: {self.entry_name(n)}
data_centre: {self.data_centre(n)}
region: {self.name}
callers_address: {self.callers(n)}
operator_address: {self.operator(n)}
peer_address: {self.peer(n)}
platform: {{configuration: '{self.platform()}', vm_list: '{self.platform()}'}}
seed_peers: [{seeds}]
peer_keys:
  public: '{self.keys[0]}'
  secret: '{self.keys[1]}'
stop_grace_ms: 1000
{listen}{history}"""

    def write_vms(self):
        """Publishes all entry VMs and upstreams, each with its state in `states`, `live` by default."""
        vms = [{"name": self.entry_name(n), "address": self.callers(n), "peer_address": self.peer(n), "role": "entry",
                "data_centre": self.data_centre(n)} for n in self.entries]
        for service, spec in self.upstreams.items():
            vms += [{"name": f"{service}-{n + 1}", "address": f"{HOST}:{spec['port'] + n}", "role": service,
                     "data_centre": self.data_centre(n)} for n in range(spec["count"])]
        for vm in vms:
            vm["region"] = self.name
            vm["state"] = self.states.get(vm["name"], "live")
        self.write(self.vms_file, json.dumps({"vms": vms}))

    def wait_until_serving(self, timeout_s=15):
        """Waits until each entry daemon serves and names as many others to callers as it can."""
        if not wait_for(lambda: all(map(self.serves, self.entries)), timeout_s):
            raise RuntimeError(f"not every entry daemon serves; see {self.folder}")

    def serves(self, n):
        http("GET", self.operator(n), "/healthz")
        named = json.loads(http("GET", self.callers(n), "/wigeonlift/entries"))["entries"]
        return len(named) >= min(MAX_NAMED_ENTRIES, len(self.entries))

    def upstream_history(self, service):
        return self.path(f"{service}.jsonl")

    def upstream_addresses(self, service):
        spec = self.upstreams[service]
        return [f"{HOST}:{spec['port'] + n}" for n in range(spec["count"])]

    def admins(self):
        return [f"{HOST}:{spec['admin'] + n}" for spec in self.upstreams.values() for n in range(spec["count"])]

    def upstream_names(self):
        return [f"{service}-{n + 1}" for service, spec in self.upstreams.items() for n in range(spec["count"])]

    def upstream_fault(self, service, n, fault):
        return http("POST", f"{HOST}:{self.upstreams[service]['admin'] + n}", f"/admin/{fault}")

    def platform_fault(self, fault):
        return http("POST", self.platform_listener(), f"/admin/{fault}")

    def control(self, n):
        """The control task's part of an entry daemon's state."""
        return json.loads(http("GET", self.operator(n), "/state"))["control"]

    def events(self, n):
        """Log lines of one entry daemon as dictionaries."""
        with open(self.path(f"{self.entry_name(n)}.log")) as log:
            lines = log.readlines()
        found = []
        for line in lines:
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def load(self, name, rates, seconds, seed, *flags):
        """Starts the load tool. Its output goes to NAME.out."""
        arguments = [program("StandIns/Load", "wigeonlift-load"), "--catalogue", self.catalogue,
                     "--entries", ",".join(self.callers(n) for n in self.entries), "--name", name,
                     "--rates", ",".join(f"{entry}={rate}" for entry, rate in rates.items()),
                     "--seconds", str(seconds), "--seed", str(seed), *flags]
        if self.has_history:
            arguments += ["--history_file", self.path(f"{name}.jsonl"), "--upstream_histories",
                          ",".join(self.upstream_history(it) for it in self.upstreams)]
        return self.processes.start(f"{self.name}-{name}", arguments, self.path(f"{name}.out"))

    def output(self, name):
        with open(self.path(f"{name}.out")) as file:
            return file.read()


def example_catalogue(name, max_entry_vms, measuring):
    """An example catalogue, cut down to a small fleet with another measuring budget."""
    with open(os.path.join(ROOT, "Examples", "catalogues", name)) as file:
        text = file.read()
    text = re.sub(r"max_entry_vms: \d+", f"max_entry_vms: {max_entry_vms}", text)
    return re.sub(r"measuring: \{.*\}", f"measuring: {{{measuring}}}", text)


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="wigeonlift-")
