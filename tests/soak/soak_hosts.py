"""Host processes of the soak test, and when something was disturbed."""

import asyncio
import fcntl
import os
import tempfile
import time

import standins
from soak_limits import (EVACUATION_SECONDS, IN_TOUCH_SECONDS, PORT_BLOCKS,
                         REGIONS)


class Disturbances:
    """Times at which something is disturbed."""

    def __init__(self):
        self.spans = []

    def __enter__(self):
        self.spans.append([time.monotonic(), float("inf")])
        return self.spans[-1]

    def __exit__(self, *_):
        for span in self.spans:
            if span[1] == float("inf"):
                span[1] = time.monotonic()
                return

    def calm(self, begin, end):
        """Whether nothing was disturbed for a time before `begin` until `end`."""
        return all(span[0] > end or span[1] < begin - IN_TOUCH_SECONDS
                   for span in self.spans)


class Host:
    """One host process and its proxy to the store."""

    evacuation_seconds = EVACUATION_SECONDS

    def __init__(self, soak, number):
        self.soak = soak
        self.number = number
        self.zone = soak.zones[number % len(soak.zones)]
        self.base = soak.base_port + 10 * number
        self.process = None
        self.stopping = False
        self.seeds = [0, 1]
        self.proxy = standins.Proxy(soak.store.port)
        self.disturbances = Disturbances()
        self.said_leaving = {}  # First time at which it passed that on, by leaf.

    def address(self, offset):
        return f"127.0.0.1:{self.base + offset}"

    def write_settings(self):
        path = os.path.join(self.soak.work, f"host{self.number}.toml")
        seeds = [f"127.0.0.1:{self.soak.base_port + 10 * i + 3}" for i in self.seeds]
        with open(path, "w", encoding="utf-8") as file:
            file.write(
                f'host = "h{self.number}"\nzone = "{self.zone}"\n'
                f'region = "{REGIONS[self.zone]}"\n'
                f'client_address = "{self.address(0)}"\n'
                f'ready_address = "{self.address(1)}"\n'
                f'lookup_address = "{self.address(2)}"\n'
                f'peer_address = "{self.address(3)}"\n'
                f'metrics_address = "{self.address(4)}"\n'
                f'store_address = "127.0.0.1:{self.proxy.port}"\n'
                f"seeds = {seeds}\n".replace("'", '"') +
                'shared_key = "soak-of-the-edge-hosts"\n'
                "repeat_slack = 50\nstop_grace_s = 6\n"
                f"evacuate_ms = {self.evacuation_seconds * 1000}\n[regions]\n" +
                "".join(f'"{z}" = "{r}"\n' for z, r in REGIONS.items()))
        return path

    async def start(self):
        self.stopping = False
        self.said_leaving = {}
        log = open(os.path.join(self.soak.work, f"host{self.number}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.soak.binary, "edge", "--settings", self.write_settings(),
            stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


def take_ports(seed):
    """Takes a block of ports below the ephemeral range, which no other soak on
    this machine has; returns its lock, held until the process ends."""
    for attempt in range(PORT_BLOCKS):
        base = 10000 + (seed + attempt) % PORT_BLOCKS * 100
        lock = open(os.path.join(tempfile.gettempdir(), f"soak-{base}.lock"), "w",
                    encoding="utf-8")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return lock, base
        except BlockingIOError:
            lock.close()
    raise RuntimeError("no free block of ports; wait for other soaks to end")
