"""Starts, stops and measures processes of a script."""

import contextlib
import os
import signal
import subprocess
import time

STOP_TIMEOUT_S = 5


def process_status(pid, key):
    """A value of /proc/PID/status in KiB, such as VmRSS."""
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith(key + ":"):
                return int(line.split()[1])
    return 0


def cpu_seconds(pid):
    """User and system time that a process, or its thread PID/task/TID, has used."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def wait_for(condition, seconds):
    """Waits until the condition holds; a fleet that does not answer yet fails it. False after the time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError, TypeError, ValueError):
            if condition():
                return True
        time.sleep(0.05)
    return False


class Processes:
    """Processes that this script started. Leaving the context stops exactly these."""

    def __init__(self):
        self.running = {}

    def __enter__(self):
        # Otherwise `timeout` would end the script without the exit that stops the processes.
        for number in (signal.SIGTERM, signal.SIGHUP):
            signal.signal(number, self.did_receive_signal)
        return self

    @staticmethod
    def did_receive_signal(number, _):
        raise SystemExit(128 + number)

    def __exit__(self, *_):
        for process in self.running.values():
            if process.poll() is None:
                # A process that a test has stopped can't act on SIGTERM.
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.running.values():
            try:
                process.wait(max(0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def start(self, name, arguments, log):
        with open(log, "ab") as output:
            self.running[name] = subprocess.Popen(arguments, stdout=output, stderr=output)
        return self.running[name]

    def pid(self, name):
        return self.running[name].pid

    def signal(self, name, number):
        self.running[name].send_signal(number)

    def kill(self, name):
        self.running[name].kill()
        self.running[name].wait()
