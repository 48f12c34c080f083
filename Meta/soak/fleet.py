"""The real gateway processes of a soak, each with a settings file and an address of its own on loopback."""

import asyncio
import os
import signal
import time

GRACE_S = 6.0
PORTS = {"frontend": 8548, "ready": 8542, "control-plane": 8544, "directory": 8546}
INTERNAL_PORTS = (7540, 7555)


class Vm:
    def __init__(self, program, folder, ip, zone, store_address, seeds, log):
        """`store_address` is the one at which the store knows this VM."""
        self.program, self.folder, self.ip, self.zone = program, folder, ip, zone
        self.store_address, self.seeds, self.log = store_address, seeds, log
        self.name = f"vm-{ip.rpartition('.')[2]}"
        self.address, self.directory = f"{ip}:{PORTS['frontend']}", f"{ip}:{PORTS['directory']}"
        self.settings = os.path.join(folder, f"{self.name}.toml")
        self.process = None
        self.stop_began = self.stopped_by = 0.0
        self.extra = 0
        # Further bounds of the settings file.
        self.bounds = ()

    def write_settings(self):
        listen = "\n".join(f'{name} = "{self.ip}:{port}"' for name, port in PORTS.items())
        bounds = "".join(f',"{it}"' for it in self.bounds)
        seeds = ",".join(f'"{seed}:{PORTS["control-plane"]}"' for seed in self.seeds)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f'''node-name = "{self.name}"
zone = "{self.zone}"
region = "r"
ip-address = "{self.ip}"
internal-port-range = [{INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}]
seed-nodes = [{seeds}]
bootstrap = false
bounds = ["retry-budget-ratio=0.2","budget-window=10s","retry-budget-extra={56 + self.extra}","grace-period={GRACE_S}s","ttl_max=5s","probes-per-s=60"{bounds}]
[listen-addresses]
{listen}
[limits]
cpu-share = 0.2
link-mbps = 1000.0
[platform]
address = "{self.store_address}"
''')

    async def start(self):
        self.write_settings()
        self.process = await asyncio.create_subprocess_exec(
            self.program, stdout=self.log, stderr=self.log, env={**os.environ, "WIGEONLIFT_NODE_FILE": self.settings})
        self.stop_began = 0.0

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def resident_mb(self):
        if not self.is_running():
            return 0.0
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
        except (OSError, IndexError):
            return 0.0

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def is_stopping_gracefully(self):
        """A graceful stop has begun and its grace time has not ended."""
        return self.stop_began > 0 and time.monotonic() < self.stop_began + GRACE_S - 0.1

    async def stop_gracefully(self):
        self.stop_began = time.monotonic()
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def kill(self):
        self.stop_began = 0.0
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


class Fleet:
    def __init__(self, vms):
        self.vms = vms

    def by_address(self, address):
        return next(vm for vm in self.vms if vm.address == address)
