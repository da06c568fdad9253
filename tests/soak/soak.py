#!/usr/bin/env python3
"""Randomized soak test of `corianderrail edge`.

Runs several host processes against stand-ins on loopback, injects random faults
from a seed, and checks the answers to clients and the requests that reach leafs.
Stops only processes that it started.

    tests/soak/soak.py BINARY --seed 7 --seconds 20
"""

import argparse
import asyncio
import collections
import os
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standins  # noqa: E402
from soak_checks import Checks  # noqa: E402
from soak_faults import Faults  # noqa: E402
from soak_hosts import Disturbances, Host, take_ports  # noqa: E402
from soak_limits import (ATTEMPTS, HOME_REGION, LONG_BODY_BYTES,  # noqa: E402
                         QUERY_MS, REGIONS, SERVED_AFTER_FAULTS, SETTLE_SECONDS,
                         SHARDS, TOP_K)


class Soak(Faults, Checks):
    """Hosts, stand-ins, load, faults and the violations found."""

    def __init__(self, binary, seed, seconds, hosts, zones):
        self.zones = list(REGIONS)[:zones]
        self.store_disturbances = Disturbances()
        self.drain_acks = {}  # Time of the ack, by leaf.
        self.sent = {}  # Host and time, by attempt.
        self.binary = binary
        self.rng = standins.new_random(seed)
        self.evacuation_rng = standins.new_random(f"evacuations {seed}")
        self.evacuations = []  # Zone, time of the ack and of the removal.
        self.faults_ended = False
        self.home_attempts = set()
        self.zone_of = {}  # By leaf.
        self.seconds = seconds
        self.work = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        self.port_lock, self.base_port = take_ports(seed)
        self.runs = []
        self.checks = []
        self.refused_orders = set()
        self.orders = set()
        self.failures = []
        self.counts = collections.Counter()
        self.window = collections.Counter()
        self.version = 0
        self.leafs = []
        self.leaf_count = 0
        self.host_count = hosts
        self.sequence = 0
        self.stop_load = False

    def fail(self, text):
        if len(self.failures) < 20:
            self.failures.append(f"{time.monotonic() - self.began:.2f} s: {text}")

    # Set-up.

    async def start(self):
        self.began = time.monotonic()
        self.store = standins.Store()
        await self.store.start()
        for i in range(SHARDS):
            for zone in [*REGIONS, "a-1"]:
                await self.add_leaf(f"s{i}", zone)
        for zone in REGIONS:
            await self.add_leaf("plain", zone)
        await self.publish()
        self.hosts = [Host(self, i) for i in range(self.host_count)]
        for host in self.hosts:
            await host.proxy.start()
            await host.start()
        await asyncio.sleep(2)

    async def add_leaf(self, service, zone):
        self.leaf_count += 1
        leaf = standins.Leaf(service, self.leaf_count, zone, self.runs, self.rng)
        await leaf.start()
        self.leafs.append(leaf)
        self.zone_of[leaf.instance] = zone
        await self.store.put(f"servers/{leaf.instance}", leaf.entry())
        return leaf

    async def publish(self, padding=0):
        self.version += self.rng.randrange(1, 4)
        shards = [f"s{i}" for i in range(SHARDS)]
        common = {"Host": "h.example", "TimeoutMs": QUERY_MS, "GoalMs": 200,
                  "Attempts": ATTEMPTS}
        routes = [
            {**common, "Name": "query", "Prefix": "/query/", "Type": "idempotent",
             "Priority": 0, "Gather": shards, "TopK": TOP_K, "MinShardRatio": 0.5},
            {**common, "Name": "read", "Prefix": "/read/", "Type": "idempotent",
             "Priority": 1, "Service": "plain"},
            {**common, "Name": "home", "Prefix": "/home/", "Type": "idempotent",
             "Priority": 1, "Service": "plain", "Residency": [HOME_REGION]},
            {**common, "Name": "version", "Prefix": f"/version/{self.version}/",
             "Type": "idempotent", "Priority": 1, "Service": "plain"},
            {**common, "Name": "order", "Prefix": "/order/", "Priority": 2,
             "Type": "non_idempotent", "Service": "plain"}]
        await self.store.put("op/config", {
            "Version": self.version, "Routes": routes,
            "Services": [{"Name": s, "MaxConns": 40} for s in shards + ["plain"]],
            "Limits": {"HeaderBytes": 16384, "BodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Padding": "x" * padding})
        self.checks.append(asyncio.create_task(
            self.check_in_force(self.version, time.monotonic())))

    # Load.

    async def client(self):
        while not self.stop_load:
            await asyncio.sleep(self.rng.uniform(0.005, 0.03))
            kind = self.rng.choice(["query", "query", "read", "order"])
            await self.request(kind)

    async def home_client(self):
        while not self.stop_load:
            await asyncio.sleep(0.02)
            await self.request("home")

    async def request(self, kind):
        host = self.rng.choice(self.hosts)
        self.sequence += 1
        attempt = f"r{self.sequence}"
        if kind == "order":
            self.orders.add(attempt)
        if kind == "home":
            self.home_attempts.add(attempt)
        body = b"payload" if kind == "order" else b""
        if kind == "order" and self.rng.random() < 0.3:
            body = b"p" * LONG_BODY_BYTES
        self.sent[attempt] = (host, time.monotonic())
        method = "POST" if kind == "order" else "GET"
        text = (f"{method} /{kind}/{attempt} HTTP/1.1\r\nHost: h.example\r\n"
                f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {QUERY_MS}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        began = time.monotonic()
        status = await self.exchange(host, kind, attempt, text)
        elapsed = time.monotonic() - began
        if status and elapsed > QUERY_MS / 1000 + 1.0 and not host.stopping:
            self.counts["slow"] += 1
        self.counts[f"{kind} {status}"] += 1
        self.window["all"] += 1
        self.window["served"] += status == 200

    async def exchange(self, host, kind, attempt, text):
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", host.base), 1)
            writer.write(text)
            head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"),
                                           3)).decode("latin-1")
            lines = head.split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines[1:]
                           if ": " in line)
            body = await asyncio.wait_for(
                reader.readexactly(int(headers["content-length"])), 3)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            if writer:
                writer.close()
        status = int(lines[0].split(" ")[1])
        if kind == "version":
            return status
        if headers.get("server-leaving") == "1" and "x-leaf" in headers:
            host.said_leaving.setdefault(headers["x-leaf"], time.monotonic())
        self.check_answer(kind, attempt, status, headers, body)
        return status

    async def run(self):
        await self.start()
        clients = [asyncio.create_task(self.client()) for _ in range(12)]
        clients.append(asyncio.create_task(self.home_client()))
        await self.play_shape()
        evacuations = asyncio.create_task(self.evacuate_zones())
        await self.inject_faults()
        self.faults_ended = True
        await evacuations
        await asyncio.sleep(SETTLE_SECONDS)
        await self.check_propagation()
        self.window.clear()
        await asyncio.sleep(3)
        self.stop_load = True
        await asyncio.gather(*clients)
        served = self.window["served"] / max(self.window["all"], 1)
        if served < SERVED_AFTER_FAULTS:
            self.fail(f"only {served:.3f} of the requests served after the faults")
        self.check_runs()
        self.check_leaving()
        self.check_residency()
        self.check_evacuations()
        for check in self.checks:
            check.cancel()
        await self.stop_all()
        return served

    async def stop_all(self):
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGTERM)
        for host in self.hosts:
            try:
                await asyncio.wait_for(host.process.wait(), 8)
            except asyncio.TimeoutError:
                self.fail(f"host {host.number} did not stop")
                host.signal(signal.SIGKILL)
        for server in self.leafs + [self.store] + [h.proxy for h in self.hosts]:
            server.close()

    def kill_processes(self):
        for host in getattr(self, "hosts", []):
            host.signal(signal.SIGKILL)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--zones", type=int, choices=[1, 2], default=2)
    options = parser.parse_args()
    soak = Soak(options.binary, options.seed, options.seconds, options.hosts,
                options.zones)
    try:
        served = asyncio.run(soak.run())
    finally:
        soak.kill_processes()
    print(f"seed {options.seed}: {soak.shape}, {soak.sequence} requests, "
          f"{soak.counts['faults']} faults, {served:.3f} served at the end, "
          f"{soak.store.calls} store calls")
    print("  " + ", ".join(f"{k}: {v}" for k, v in sorted(soak.counts.items())))
    if soak.failures:
        print("\n".join(soak.failures))
        print(f"logs kept in {soak.work}")
        return 1
    shutil.rmtree(soak.work)
    return 0


if __name__ == "__main__":
    sys.exit(main())
