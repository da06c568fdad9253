"""Stand-ins for the review cases: store, leafs, clients and the edge program.

They speak what PROTOCOL.md says and run in one asyncio loop on loopback. The
edge program runs as a separate process, as deploy/system.toml starts it.
"""

import asyncio
import base64
import collections
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONE, REGION = "atl-midtown", "atl-metro"
ZONES = {"atl-midtown": "atl-metro", "sav-westside": "coastal-ga",
         "gnv-lakeside": "north-ga"}

# Bounds of sites/peachline-search.toml, as DEPLOY.md shows them.
BEAT_S = 1.2
DRAIN_S = 3.0
STABLE_S = 5.0
PROPAGATION_S = 3.0
LEAD_S = 10.0  # Traffic starts this long after the machines.
BOUNDS = {"SeedLagS": 3, "AddrReuseS": 2, "StableWindowMs": 5000, "AckMs": 6000,
          "CatchupS": 4, "DrainMs": 3000, "GraceS": 6, "LostMs": 200,
          "ConfigPropagationMs": 3000, "DowngradeMs": 250, "StretchMs": 15000,
          "RetryRatio": 0.2, "BudgetWindowS": 10, "RetrySlack": 52,
          "RecoverS": 12, "ttl_max_s": 5}
RETENTION_S = 20.0
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
VALUE_BYTES = 1_048_576


class Record:
    """Writes record.txt: what was sent, answered and run, with its time."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_request(reader):
    """Returns method, target, headers and body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def answer(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A TCP server on 127.0.0.1 and a free port."""

    def __init__(self):
        self.server = None
        self.port = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0,
                                                 limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        if self.server:
            self.server.close()
        self.reset_connections()


class Store(Server):
    """The platform's store: kv-key, kv-range and kv-watch."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.events = collections.deque()  # (time, event)
        self.revision = 100
        self.compacted = 100  # History up to this revision is gone.
        self.changed = asyncio.Condition()

    async def put_bytes(self, key, value):
        """Writes an item; its return is the store's ack."""
        assert len(value) <= VALUE_BYTES
        async with self.changed:
            self.revision += 1
            item = {"Key": key, "Value": base64.b64encode(value).decode(),
                    "Rev": self.revision, "Lease": 0,
                    "Created": self.items.get(key, {}).get("Created",
                                                           self.revision)}
            self.items[key] = item
            self.events.append((time.monotonic(), item))
            self.changed.notify_all()

    async def put(self, key, value):
        await self.put_bytes(key, json.dumps(value).encode())

    async def remove(self, key):
        async with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.events.append((time.monotonic(), {
                "Key": key, "Rev": self.revision, "Removed": True}))
            self.changed.notify_all()

    def expire_history(self):
        limit = time.monotonic() - RETENTION_S
        while self.events and self.events[0][0] < limit:
            self.compacted = self.events.popleft()[1]["Rev"]

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            url = urllib.parse.urlsplit(request[1])
            query = dict(urllib.parse.parse_qsl(url.query, True))
            await asyncio.sleep(0.004)
            if url.path == "/v1/kv-range":
                reply = self.list_items(query)
            elif url.path == "/v1/kv-watch":
                reply = await self.watch(query)
            elif url.path == "/v1/kv-key":
                item = self.items.get(query["Key"])
                reply = answer(404) if item is None else answer(
                    200, body=json.dumps(
                        {**item, "StoreRevision": self.revision}).encode())
            else:
                reply = answer(404)
            writer.write(reply)
            await writer.drain()

    def list_items(self, query):
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key]["Value"])
            if page and size > PAGE_BYTES:
                break
            page.append(self.items[key])
        return answer(200, [("Content-Type", "application/json")], json.dumps(
            {"items": page, "HasMore": len(keys) > len(page),
             "StoreRevision": self.revision}).encode())

    async def watch(self, query):
        prefix, after = query.get("Prefix", ""), int(query["after"])

        def matching():
            return [e for _, e in self.events
                    if e["Rev"] > after and e["Key"].startswith(prefix)]

        self.expire_history()
        if after < self.compacted:
            return answer(410)
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(matching),
                                       int(query.get("WaitMs", 0)) / 1000)
            except asyncio.TimeoutError:
                pass
        return answer(200, [("Content-Type", "application/json")], json.dumps(
            {"events": matching(), "StoreRevision": self.revision}).encode())


class Proxy(Server):
    """Forwards connections to a target; mode cut: bytes wait, as in a partition
    that is silent; refuse: resets all connections."""

    def __init__(self, target_port):
        super().__init__()
        self.target_port = target_port
        self.open = asyncio.Event()
        self.open.set()
        self.refuse = False

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    def go_down(self):
        self.refuse = True
        self.reset_connections()

    def come_back(self):
        self.refuse = False

    async def serve(self, reader, writer):
        if self.refuse:
            writer.transport.abort()
            return
        await self.open.wait()
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self.target_port)
        try:
            await asyncio.gather(self.forward(reader, target_writer),
                                 self.forward(target_reader, writer))
        finally:
            target_writer.close()

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Leaf(Server):
    """A leaf with slots and a queue. `runs` gets (time, attempt, instance) when
    it begins to work; `arrivals` gets the same for each request that reaches
    it (except health checks and those that get 421)."""

    def __init__(self, store, record, service, instance, work_s, slots=2, queue=8,
                 zone=ZONE):
        super().__init__()
        self.store, self.record = store, record
        self.service, self.instance, self.zone = service, instance, zone
        self.work_s, self.slots, self.queue = work_s, slots, queue
        self.gate = asyncio.Semaphore(slots)
        self.waiting = 0
        self.state = "ready"
        self.seq = 0
        self.reported = 0.0
        self.reports = True   # Liveness reports reach the store.
        self.leaving = False  # Says Server-Leaving in its answers.
        self.runs, self.arrivals, self.answered = [], [], {}
        self.reporter = None
        self.exited = False

    async def leave(self, served_s):
        """A planned shutdown: reports draining, serves on for DrainMs and a
        little longer after the store's ack, and exits."""
        self.state, self.leaving = "draining", True
        self.record.add(f"{self.instance} leaves: Server-Leaving in its answers")
        await self.report()
        self.record.add(f"store acks that {self.instance} drains")
        await asyncio.sleep(served_s)
        self.record.add(f"{self.instance} exits")
        self.exit()
        await self.store.remove(self.key)

    @property
    def key(self):
        return f"servers/{self.instance}"

    def entry(self):
        return {"Service": self.service, "Addr": f"127.0.0.1:{self.port}",
                "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                "State": self.state, "ColdLeftMs": 0, "Seq": self.seq}

    async def start(self):
        await super().start()
        await self.report()
        self.reporter = asyncio.create_task(self.report_always())

    async def report(self):
        """Writes the entry if more than Seq changes; returns after the ack."""
        self.seq += 1
        self.reported = time.monotonic()
        held = self.store.items.get(self.key)
        if held:
            old = json.loads(base64.b64decode(held["Value"]))
            if {**old, "Seq": 0} == {**self.entry(), "Seq": 0}:
                return
        await self.store.put(self.key, self.entry())

    async def report_always(self):
        """Reports each BeatMs. The store removes the entry after three
        intervals without a report."""
        while True:
            await asyncio.sleep(BEAT_S if self.reports else 0.05)
            if self.reports:
                await self.report()
            elif time.monotonic() - self.reported >= 3 * BEAT_S:
                if self.key in self.store.items:
                    self.record.add(f"store: entry of {self.instance} lapsed")
                await self.store.remove(self.key)

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            # Most leafs drop a request when its connection closes.
            work = asyncio.create_task(self.reply(request, writer))
            await work

    def fields(self, attempt):
        fields = [("X-Attempt-Id", attempt)]
        if self.leaving:
            fields.append(("Server-Leaving", "1"))
        return fields

    async def reply(self, request, writer):
        _, target, headers, _ = request
        attempt = headers.get("x-attempt-id", "")
        if target == "/health":
            ready = self.state == "ready"
            writer.write(answer(200 if ready else 503,
                                [("X-Instance", self.instance)]))
            return
        expected = headers.get("x-target-instance")
        if expected is not None and expected != self.instance:
            writer.write(answer(421, self.fields(attempt) + [("X-Not-Run", "1")]))
            return
        self.arrivals.append((self.record.now(), attempt))
        if self.waiting >= self.queue:
            writer.write(answer(503, self.fields(attempt) + [("X-Not-Run", "1")]))
            return
        self.waiting += 1
        async with self.gate:
            self.waiting -= 1
            self.runs.append((self.record.now(), attempt))
            self.record.add(f"{self.instance} ({self.service}) runs {attempt} {target}")
            await asyncio.sleep(self.work_s)
        if self.exited:
            return
        body = f"{self.service}:{attempt}:{target}".encode()
        stamp = f"{self.instance}.{attempt}"
        self.answered[attempt] = self.record.now()
        writer.write(answer(200, self.fields(attempt) +
                            [("X-Server-Stamp", stamp)], body))
        await writer.drain()

    def exit(self):
        """The process ends: its connections break, its work is lost."""
        self.exited = True
        if self.reporter:
            self.reporter.cancel()
        self.close()


class Client:
    """One kept connection of a client to a host."""

    def __init__(self, host, record):
        self.host, self.record = host, record
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.host.ip, self.host.port), 1)

    async def request(self, attempt, target, method="GET", body=b"",
                      deadline_ms=2500, name="leno12.example"):
        """Returns status, headers and body; status 0 for a broken connection."""
        if self.writer is None:
            try:
                await self.connect()
            except (OSError, asyncio.TimeoutError):
                return 0, {}, b""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        try:
            self.record.add(f"client sends {attempt} {method} {target}")
            self.writer.write(
                (f"{method} {target} HTTP/1.1\r\nHost: {name}\r\n"
                 f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
                 f"{length}\r\n").encode() + body)
            head = (await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"),
                                           deadline_ms / 1000 + 1)).decode("latin-1")
            lines = head.split("\r\n")
            headers = {}
            for line in lines[1:]:
                if ": " in line:
                    key, value = line.split(": ", 1)
                    headers[key.lower()] = value
            got = await asyncio.wait_for(
                self.reader.readexactly(int(headers.get("content-length", 0))), 2)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.drop()
            self.record.add(f"client gets no answer to {attempt}")
            return 0, {}, b""
        status = int(lines[0].split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.drop()
        self.record.add(f"client gets {status} for {attempt}")
        return status, headers, got

    def drop(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def render_template(fields):
    """Fills in platform/settings.toml.in as DEPLOY.md says."""
    with open(os.path.join(ROOT, "platform/settings.toml.in"),
              encoding="utf-8") as file:
        text = file.read()

    def value_of(path):
        value = fields
        for part in path.split("."):
            value = value[part]
        return value

    def section(match):
        name, body = match.group(1), match.group(2)
        lines = ""
        for key, value in value_of(name).items():
            lines += body.replace("{{@}}", key).replace("{{.|json}}",
                                                        json.dumps(value))
        return lines

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}",
                  lambda m: json.dumps(value_of(m.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value_of(m.group(1))), text)


def free_ports(ip, count):
    """Ports below the ephemeral range that are free for TCP and UDP."""
    ports = []
    while len(ports) < count:
        port = random.randrange(10000, 30000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Host:
    """One edge process on a loopback address of its own."""

    def __init__(self, work, number, store_port, zone=ZONE):
        self.work, self.number, self.zone = work, number, zone
        self.ip = (f"127.{random.randrange(16, 240)}."
                   f"{random.randrange(1, 250)}.{number + 1}")
        (self.port, self.ready_port, self.lookup_port, self.peer_port,
         self.metrics_port) = free_ports(self.ip, 5)
        self.store_port = store_port
        self.seeds = []
        self.process = None

    @property
    def peer_address(self):
        return f"{self.ip}:{self.peer_port}"

    def fields(self):
        return {"Node": f"front-{self.zone}-{self.number}", "Zone": self.zone,
                "Region": ZONES[self.zone], "Ip": self.ip, "Zones": ZONES,
                "Listen": {"Front": f"{self.ip}:{self.port}",
                           "Ready": f"{self.ip}:{self.ready_port}",
                           "Control": self.peer_address,
                           "directory": f"{self.ip}:{self.lookup_port}"},
                "Seeds": self.seeds or [self.peer_address],
                "Limits": {"MaxFds": 4100, "CpuShare": 0.25, "Cores": 1,
                           "LinkMbps": 1000.0},
                "Bounds": BOUNDS,
                "platform": {"Addr": f"127.0.0.1:{self.store_port}"}}

    def start(self):
        path = os.path.join(self.work, f"host{self.number}.toml")
        with open(path, "w", encoding="utf-8") as file:
            # The template has a fixed port for metrics; it may be in use here.
            file.write(render_template(self.fields()).replace(
                f'"{self.ip}:9100"', f'"{self.ip}:{self.metrics_port}"'))
        with open(os.path.join(self.work, f"host{self.number}.log"), "ab") as log:
            self.process = subprocess.Popen(
                ["target/bin/corianderrail", "edge"], cwd=ROOT,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.work,
                     "LANG": "C", "CORIANDERRAIL_SETTINGS": path})

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ready_port), 1)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"host {self.number} is not ready")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()


class CannotRun(Exception):
    """The case couldn't run: exit code 2."""


LIMITS = {"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000,
          "IdleTimeoutMs": 15000}


def route(name, prefix, service, kind="idempotent", timeout_ms=2500, goal_ms=800,
          attempts=2, priority=2):
    return {"Name": name, "Host": "leno12.example", "Prefix": prefix,
            "Type": kind, "TimeoutMs": timeout_ms, "GoalMs": goal_ms,
            "Attempts": attempts, "Priority": priority, "Service": service}


def config(version, routes, services, limits=None):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": s, "HealthPath": "/health", "MaxConns": 96}
                         for s in services],
            "Limits": limits or LIMITS}


def run_case(folder, scenario):
    """Runs `scenario(record, work, hosts, trouble)`, which returns the list of
    faults that break the rule, and exits with 0, 1 or 2."""
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="review-")
    hosts = []
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    try:
        record.add(f"TROUBLE={int(trouble)}")
        faults = asyncio.run(asyncio.wait_for(
            scenario(record, work, hosts, trouble), 115))
        for fault in faults:
            record.add(f"BROKEN {fault}")
        print("\n".join(faults[:10]) or "the rule held")
        code = 1 if faults else 0
    except Exception as error:  # Whatever it is, it shows nothing of the rule.
        record.add(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
    finally:
        # Connections that are still open are collected after the loop is closed.
        sys.unraisablehook = lambda _: None
        for host in hosts:
            host.kill()
    if os.environ.get("KEEP"):
        print(work)
    else:
        shutil.rmtree(work)
    raise SystemExit(code)
