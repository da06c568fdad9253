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
import fcntl
import json
import os
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standins  # noqa: E402

REGIONS = {"a-1": "a", "b-1": "b"}
SHARDS = 4
QUERY_MS = 800
TOP_K = 5
ATTEMPTS = 2
SETTLE_SECONDS = 6
RECOVERY_SECONDS = 5  # recovery_ms of the settings.
DRAIN_SECONDS = 3  # leaf_drain_ms of the settings.
PROPAGATION_SECONDS = 3  # config_propagation_ms of the settings.
IN_TOUCH_SECONDS = 5  # A host is judged this long after its last disturbance.
LONG_BODY_BYTES = 200_000
PORT_BLOCKS = 90
LARGE_CONFIG_BYTES = 400_000
SERVED_AFTER_FAULTS = 0.95


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
                "repeat_slack = 50\nstop_grace_s = 6\n[regions]\n" +
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


class Soak:
    """Hosts, stand-ins, load, faults and the violations found."""

    def __init__(self, binary, seed, seconds, hosts, zones):
        self.zones = list(REGIONS)[:zones]
        self.store_disturbances = Disturbances()
        self.drain_acks = {}  # Time of the ack, by leaf.
        self.sent = {}  # Host and time, by attempt.
        self.binary = binary
        self.rng = standins.new_random(seed)
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

    async def request(self, kind):
        host = self.rng.choice(self.hosts)
        self.sequence += 1
        attempt = f"r{self.sequence}"
        if kind == "order":
            self.orders.add(attempt)
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

    def check_answer(self, kind, attempt, status, headers, body):
        if status in (408, 421, 429, 503) and kind == "order":
            self.refused_orders.add(attempt)
        if status == 404:
            self.fail(f"{attempt}: 404 for a route that all configurations have")
        if status != 200:
            return
        if kind != "query":
            if body.decode() != f"plain:{attempt}:/{kind}/{attempt}":
                self.fail(f"{attempt}: body of another request: {body[:60]}")
            return
        stamps = [p.strip() for p in headers.get("x-part-stamps", "").split(",")]
        missing = int(headers.get("x-missing-parts", 0))
        services = {p.split(".")[0] for p in stamps}
        if len(services) != len(stamps) or len(stamps) + missing != SHARDS:
            self.fail(f"{attempt}: {len(stamps)} parts of {len(services)} "
                      f"services, {missing} missing")
        if any(p.split(".")[1] != attempt for p in stamps):
            self.fail(f"{attempt}: part of another request")
        if len(stamps) * 2 < SHARDS:
            self.fail(f"{attempt}: status 200 with only {len(stamps)} parts")
        records = sorted((r for s in services
                          for r in standins.records_of(s, attempt)),
                         reverse=True)
        if body != b"".join(records[:TOP_K]):
            self.fail(f"{attempt}: body is not the top records of its parts")

    # Faults.

    async def inject_faults(self):
        end = time.monotonic() + self.seconds
        running = []
        while time.monotonic() < end:
            running.append(asyncio.create_task(self.inject_fault()))
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
        await asyncio.gather(*running)

    async def inject_fault(self):
        fault = self.rng.choice([
            self.kill_host, self.stop_host, self.pause_host, self.break_store,
            self.break_store_path, self.break_leaf, self.break_leaf,
            self.drain_leaf, self.crash_leaf, self.reset_store, self.publish,
            self.compact_store, self.burst, self.disconnect_clients,
            self.change_settings, self.invalid_entry, self.stall_store_paths,
            self.cut_readers, self.drain_leaf, self.silence_reports,
            self.publish_large])
        self.counts["faults"] += 1
        await fault()

    async def kill_host(self):
        host = self.rng.choice(self.hosts)
        if host.process is None or host.stopping:
            return
        host.stopping = True
        with host.disturbances:
            host.signal(signal.SIGKILL)
            await host.process.wait()
            await asyncio.sleep(self.rng.uniform(0.1, 1))
            await host.start()

    async def stop_host(self):
        host = self.rng.choice(self.hosts)
        if host.stopping:
            return
        host.stopping = True
        with host.disturbances:
            await self.stop_and_start(host)

    async def stop_and_start(self, host):
        host.signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(host.process.wait(), 8)
        except asyncio.TimeoutError:
            self.fail(f"host {host.number} still runs 8 s after SIGTERM")
            host.signal(signal.SIGKILL)
            code = await host.process.wait()
        if code not in (0, -signal.SIGKILL):
            self.fail(f"host {host.number} ended with {code} after SIGTERM")
        await host.start()

    async def pause_host(self, host=None, seconds=None):
        host = host or self.rng.choice(self.hosts)
        with host.disturbances:
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds or self.rng.uniform(0.2, 4))
            host.signal(signal.SIGCONT)
            host.said_leaving = {}

    async def break_store(self):
        with self.store_disturbances:
            self.store.mode = self.rng.choice(["silent", "busy"])
            await asyncio.sleep(self.rng.uniform(0.5, 4))
            self.store.mode = "good"
            self.store.reset_connections()

    async def break_store_path(self):
        host = self.rng.choice(self.hosts)
        mode = self.rng.choice(["slow", "silent", "to_target_only", "refuse"])
        await self.disturb_store_path(host, mode, self.rng.uniform(0.5, 4))

    async def disturb_store_path(self, host, mode, seconds):
        proxy = host.proxy
        with host.disturbances:
            proxy.mode = mode
            proxy.delay_s = self.rng.uniform(0.05, 0.6)
            await asyncio.sleep(seconds)
            proxy.mode = "good"
            proxy.reset_connections()

    def readers(self):
        """Hosts that read the store itself, by their logs."""
        readers = []
        for host in self.hosts:
            source = "store"
            with open(os.path.join(self.work, f"host{host.number}.log"),
                      encoding="utf-8") as log:
                for line in log:
                    if '"source_in_use"' in line:
                        source = json.loads(line)["source"]
            if source == "store":
                readers.append(host)
        return readers

    async def cut_readers(self):
        seconds = self.rng.uniform(1, 5)
        await asyncio.gather(*[self.disturb_store_path(h, "silent", seconds)
                               for h in self.readers()])

    # Shapes: one, by the seed, in an otherwise calm fleet before the faults.

    async def play_shape(self):
        shape = self.rng.choice([
            self.readers_cut_before_change, self.reader_frozen_before_drain,
            self.store_away_while_leaf_leaves, self.reports_silent_while_leaf_drains,
            self.answers_reset_early])
        self.shape = shape.__name__
        await asyncio.sleep(IN_TOUCH_SECONDS + 1)
        await shape()

    def plain_leaf(self):
        return self.rng.choice([l for l in self.leafs if l.service == "plain"])

    async def readers_cut_before_change(self):
        cut = asyncio.gather(*[
            self.disturb_store_path(h, "silent", self.rng.uniform(4, 5))
            for h in self.readers()])
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        await self.publish()
        await cut

    async def reader_frozen_before_drain(self):
        host = self.rng.choice(self.readers())
        frozen = asyncio.create_task(self.pause_host(host, 4))
        await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        await self.drain_leaf(self.plain_leaf())
        await frozen

    async def store_away_while_leaf_leaves(self):
        cuts = [asyncio.create_task(self.disturb_store_path(h, "silent", 5))
                for h in self.hosts]
        await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        await self.drain_leaf(self.plain_leaf())
        await asyncio.gather(*cuts)

    async def reports_silent_while_leaf_drains(self):
        await self.drain_leaf(self.plain_leaf())

    async def answers_reset_early(self):
        for leaf in self.leafs:
            leaf.mode, leaf.share = "early", 0.2
        await self.burst("order", 3)
        for leaf in self.leafs:
            leaf.mode = "good"

    async def silence_reports(self):
        """A leaf's entry lapses and comes back, sometimes as draining."""
        leaf = self.rng.choice(self.leafs)
        if leaf.instance in self.drain_acks:
            return
        await self.store.remove(f"servers/{leaf.instance}")
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        if leaf in self.leafs:
            await self.store.put(f"servers/{leaf.instance}", leaf.entry())

    async def publish_large(self):
        for _ in range(self.rng.randrange(2, 8)):
            await self.publish(LARGE_CONFIG_BYTES)
            await asyncio.sleep(self.rng.uniform(0.05, 0.3))

    async def break_leaf(self):
        leaf = self.rng.choice(self.leafs)
        leaf.mode = self.rng.choice(["shed", "reset", "silent", "extra", "cut",
                                     "error", "early"])
        leaf.share = self.rng.uniform(0.2, 1)
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        leaf.mode = "good"

    def has_other_leaf(self, leaf):
        return sum(other.service == leaf.service for other in self.leafs) > 1

    async def drain_leaf(self, leaf=None):
        leaf = leaf or self.rng.choice(self.leafs)
        if not self.has_other_leaf(leaf) or leaf.leaving:
            return
        self.leafs.remove(leaf)
        await self.add_leaf(leaf.service, leaf.zone)
        leaf.leaving = True
        key = f"servers/{leaf.instance}"
        await self.store.put(key, leaf.entry("draining"))
        self.drain_acks[leaf.instance] = time.monotonic()
        # While all leafs are full, a leaving one is used as long as it may be.
        busy = asyncio.create_task(self.burst("order", 5))
        if self.rng.random() < 0.4:  # Its reports are silent for a while.
            await asyncio.sleep(self.rng.uniform(0.5, 2.5))
            await self.store.remove(key)
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            await self.store.put(key, leaf.entry("draining"))
        served = DRAIN_SECONDS + self.rng.uniform(0.5, 5)
        end = self.drain_acks[leaf.instance] + served
        await asyncio.sleep(end - time.monotonic())
        await self.store.remove(key)
        leaf.close()
        await busy

    async def crash_leaf(self):
        leaf = self.rng.choice(self.leafs)
        if not self.has_other_leaf(leaf) or leaf.leaving:
            return
        self.leafs.remove(leaf)
        leaf.close()
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        await self.store.remove(f"servers/{leaf.instance}")
        await self.add_leaf(leaf.service, leaf.zone)

    async def reset_store(self):
        with self.store_disturbances:
            self.store.reset_connections()

    async def compact_store(self):
        with self.store_disturbances:
            self.store.compact()
            self.store.reset_connections()

    async def burst(self, kind=None, seconds=None):
        end = time.monotonic() + (seconds or self.rng.uniform(0.5, 2))
        kind = kind or self.rng.choice(["query", "read", "order"])

        async def client():
            while time.monotonic() < end:
                await self.request(kind)
        await asyncio.gather(*[client() for _ in range(40)])

    async def disconnect_clients(self):
        async def send_and_close():
            self.sequence += 1
            attempt = f"r{self.sequence}"
            host = self.rng.choice(self.hosts)
            try:
                _, writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", host.base), 1)
            except (OSError, asyncio.TimeoutError):
                return
            writer.write(f"GET /query/{attempt} HTTP/1.1\r\nHost: h.example\r\n"
                         f"X-Attempt-Id: {attempt}\r\n\r\n".encode())
            await asyncio.sleep(self.rng.uniform(0, 0.01))
            writer.close()
        await asyncio.gather(*[send_and_close() for _ in range(20)])

    async def invalid_entry(self):
        entry = self.leafs[0].entry()
        nested = []
        for _ in range(500):
            nested = [nested]
        entry.update(self.rng.choice([
            {"Addr": "nowhere"}, {"Addr": "10.0.0.1"}, {"Addr": 7}, {"Slots": -1},
            {"Slots": 1e30}, {"ColdLeftMs": 1e300}, {"State": "lost"},
            {"born": "now"}, {"Service": None}, {"Addr": "127.0.0.1:70000"},
            {"Service": nested}]))
        await self.store.put("servers/i-foreign", entry)
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        await self.store.remove("servers/i-foreign")

    async def change_settings(self):
        host = self.rng.choice(self.hosts)
        host.seeds = self.rng.sample(range(self.host_count), 2)
        host.write_settings()
        if self.rng.random() < 0.5:
            host.signal(signal.SIGHUP)

    async def stall_store_paths(self):
        for host in self.hosts:
            with host.disturbances:
                host.proxy.stall_connections()

    # Checks.

    def in_touch(self, host, begin, end):
        return (host.disturbances.calm(begin, end) and
                self.store_disturbances.calm(begin, end))

    async def check_in_force(self, version, acked):
        """A configuration is in force on each host in touch, unless a newer one
        is."""
        await asyncio.sleep(acked + PROPAGATION_SECONDS - time.monotonic())
        for host in self.hosts:
            if self.version != version or self.stop_load:
                return
            status = await self.probe_version(host, version)
            judged = self.in_touch(host, acked, time.monotonic())
            if judged and self.version == version and status not in (200, 503):
                self.fail(f"host {host.number}: {status} for version {version}, "
                          f"{PROPAGATION_SECONDS} s after its ack")

    def check_leaving(self):
        """No request reaches a leaf after its drain time."""
        for attempt, instance, _, arrived in self.runs:
            host, sent = self.sent.get(attempt, (None, 0))
            if host is None:
                continue
            acked = self.drain_acks.get(instance)
            if (acked and arrived > acked + DRAIN_SECONDS and
                    self.in_touch(host, acked, arrived)):
                self.fail(f"{attempt} from host {host.number} reached {instance} "
                          f"{arrived - acked:.2f} s after the ack of its drain")
            said = host.said_leaving.get(instance)
            if said and sent > said + DRAIN_SECONDS:
                self.fail(f"{attempt}, sent {sent - said:.2f} s after host "
                          f"{host.number} said that {instance} leaves, reached it")

    async def check_propagation(self):
        """A change just after all connections to the store stalled is in force
        on each host, and the route that it replaced is gone."""
        await self.publish()
        before = self.version
        await asyncio.sleep(self.rng.uniform(0.3, 1))
        await self.stall_store_paths()
        stalled = time.monotonic()
        await asyncio.sleep(self.rng.uniform(0, 1))
        await self.publish()
        await asyncio.sleep(stalled + RECOVERY_SECONDS - time.monotonic())
        for host in self.hosts:
            status = await self.probe_version(host, self.version)
            if status != 200:
                self.fail(f"host {host.number}: {status} for the route added "
                          f"{RECOVERY_SECONDS} s after connections stalled")
            status = await self.probe_version(host, before)
            if status != 404:
                self.fail(f"host {host.number}: {status} for a removed route")

    async def probe_version(self, host, version):
        self.sequence += 1
        text = (f"GET /version/{version}/ HTTP/1.1\r\nHost: h.example\r\n"
                f"X-Attempt-Id: r{self.sequence}\r\n"
                f"X-Deadline-Ms: {QUERY_MS}\r\n\r\n").encode()
        return await self.exchange(host, "version", None, text)

    async def run(self):
        await self.start()
        clients = [asyncio.create_task(self.client()) for _ in range(12)]
        await self.play_shape()
        await self.inject_faults()
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
        for check in self.checks:
            check.cancel()
        await self.stop_all()
        return served

    def check_runs(self):
        leafs = collections.defaultdict(set)
        for attempt, instance, _, _ in self.runs:
            leafs[attempt, instance.split("-")[1]].add(instance)
        for (attempt, service), instances in leafs.items():
            if len(instances) > ATTEMPTS:
                self.fail(f"{attempt} ran on {len(instances)} leafs of {service}")
        orders = collections.Counter(a for a, _, m, _ in self.runs
                                     if m == "POST")
        for attempt, times in orders.items():
            if times > 1:
                self.fail(f"order {attempt} ran {times} times")
            if attempt in self.refused_orders:
                self.fail(f"order {attempt} ran although it was refused as not run")
            if attempt not in self.orders:
                self.fail(f"order {attempt} ran although no client sent it")

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
