"""Stand-ins for the cases of the second review: store, leafs, the platform that
starts processes, and a log of what was sent, answered and run.

They follow PROTOCOL.md and DEPLOY.md and use loopback addresses only.
"""

import asyncio
import base64
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Ports of all machines of a day; each machine has an address of its own.
FRONT, READY, DIRECTORY, CONTROL, METRICS = 8226, 8227, 8225, 8224, 9100

# Exit codes of a case. Python itself exits with 1 on an error, so run.sh turns 10
# into 1 and everything else but 0 into 2.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2


class CannotRun(Exception):
    """The case could not be set up; nothing is said about the rule."""


class Record:
    """Writes record.txt beside the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")

    def close(self):
        self.file.close()


# --- Addresses -------------------------------------------------------------


def free_network():
    """First three bytes of loopback addresses whose ports are free."""
    for _ in range(200):
        network = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        try:
            for last in (10, 11, 12):
                for port in (FRONT, READY, DIRECTORY, CONTROL, METRICS):
                    probe = socket.socket()
                    probe.bind((f"{network}.{last}", port))
                    probe.close()
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


# --- HTTP ------------------------------------------------------------------


async def read_head(reader):
    """First line and headers of a message; None when the peer has closed."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def message(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A TCP server on a loopback address."""

    def __init__(self, host):
        self.host = host
        self.server = None
        self.port = None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.host, 0,
                                                 limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def _accept(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Store(Server):
    """The platform's metadata store: range reads and watches."""

    PAGE = 50

    def __init__(self, host):
        super().__init__(host)
        self.items, self.events, self.revision = {}, [], 1
        self.changed = asyncio.Event()  # Replaced by each change.

    async def put(self, key, value):
        """Writes a JSON value. The return is the ack."""
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {"Key": key, "Rev": self.revision, "Created": created, "Lease": 0,
                "Value": base64.b64encode(json.dumps(value).encode()).decode()}
        self.items[key] = item
        self.events.append(item)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            url = urllib.parse.urlsplit(head[0].split(" ")[1])
            query = dict(urllib.parse.parse_qsl(url.query, True))
            if url.path == "/v1/kv-range":
                reply = self.list_items(query)
            elif url.path == "/v1/kv-watch":
                reply = await self.watch(query)
            else:
                reply = message(404)
            writer.write(reply)
            await writer.drain()

    def list_items(self, query):
        prefix, after = query["Prefix"], query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return message(200, [("Content-Type", "application/json")], json.dumps(
            {"items": [self.items[k] for k in keys[:self.PAGE]],
             "HasMore": len(keys) > self.PAGE,
             "StoreRevision": self.revision}).encode())

    async def watch(self, query):
        prefix, after = query["Prefix"], int(query["after"])

        def news():
            return [e for e in self.events
                    if e["Rev"] > after and e["Key"].startswith(prefix)]

        until = time.monotonic() + int(query["WaitMs"]) / 1000
        while not news():
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        return message(200, [("Content-Type", "application/json")], json.dumps(
            {"events": news(), "StoreRevision": self.revision}).encode())


class Leaf(Server):
    """A sound leaf: `slots` requests at once, a queue, 503 with X-Not-Run beyond
    it, 421 for another instance. Like most leafs it drops a request whose
    connection closes. Subclasses say how long it works and what it answers."""

    def __init__(self, host, record, service, instance, zone, slots, queue):
        super().__init__(host)
        self.record, self.service, self.instance = record, service, instance
        self.zone, self.slots, self.queue = zone, slots, queue
        self.turn = asyncio.Semaphore(slots)
        self.held = 0
        self.arrivals = []  # (time, attempt) of each request that arrived.
        self.runs = []      # (time, attempt) of each request that began to run.
        self.born = int(time.time() * 1000)

    def entry(self):
        return {"Service": self.service, "Addr": self.address, "Zone": self.zone,
                "Version": "v1", "Slots": self.slots, "State": "ready",
                "ColdLeftMs": 0, "Seq": 1, "born": self.born}

    def work_s(self, _attempt):
        return 0.05

    def body(self, _target):
        return b"x" * 100

    def rejection(self, _attempt):
        """Headers of a rejection, or None to run the request."""
        return None

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            line, headers = head
            length = int(headers.get("content-length", 0))
            await reader.readexactly(length)
            if not await self.reply(line, headers, length, reader, writer):
                return

    async def reply(self, line, headers, length, reader, writer):
        method, target, _ = line.split(" ")
        attempt = headers.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", attempt)]
        if target == "/health":
            writer.write(message(200, [("X-Instance", self.instance)]))
            return True
        self.arrivals.append((time.monotonic(), attempt))
        self.record(f"leaf {self.instance} got {method} {attempt} body={length} "
                    f"deadline_ms={headers.get('x-deadline-ms')}")
        if headers.get("x-target-instance", self.instance) != self.instance:
            writer.write(message(421, echo + [("X-Instance", self.instance)]))
            return True
        rejection = self.rejection(attempt)
        if rejection is None and self.held >= self.slots + self.queue:
            rejection = []
        if rejection is not None:
            self.record(f"leaf {self.instance} rejects {attempt} {rejection}")
            writer.write(message(503, echo + [("X-Not-Run", "1")] + rejection))
            await writer.drain()
            return True
        if not await self.run(attempt, reader):
            self.record(f"leaf {self.instance} dropped {attempt}: connection closed")
            return False
        stamp = f"{self.instance}.{attempt}.{random.getrandbits(32):08x}"
        writer.write(message(200, echo + [("X-Server-Stamp", stamp)],
                             self.body(target)))
        await writer.drain()
        self.record(f"leaf {self.instance} answered {attempt} with 200")
        return True

    async def run(self, attempt, reader):
        """Waits for a slot and works. False when the connection closed."""
        work = asyncio.ensure_future(self._work(attempt))
        closed = asyncio.ensure_future(self._closed(reader))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        if work.done():
            return True
        work.cancel()
        return False

    async def _closed(self, reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)

    async def _work(self, attempt):
        self.held += 1
        try:
            async with self.turn:
                self.runs.append((time.monotonic(), attempt))
                self.record(f"leaf {self.instance} runs {attempt}")
                await asyncio.sleep(self.work_s(attempt))
        finally:
            self.held -= 1


# --- The platform: settings and processes ------------------------------------


def lookup(path, scopes):
    for scope in scopes:
        value, found = scope, True
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                found = False
                break
        if found:
            return value
    return None


def plain(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(plain(one) for one in value)
    if isinstance(value, (dict, bool)):
        return json.dumps(value)
    return str(value)


def fill(template, fields):
    """Fills in a template as DEPLOY.md tells it (sections one level deep)."""

    def placeholder(match, scopes, current, key):
        name, _, form = match.group(1).partition("|")
        value = (key if name == "@" else current if name == "."
                 else lookup(name, scopes))
        return json.dumps(value) if form == "json" else plain(value)

    def section(match):
        value = lookup(match.group(1), [fields])
        if isinstance(value, dict):
            entries = list(value.items())
        elif isinstance(value, list):
            entries = list(enumerate(value))
        else:
            entries = [("", value)] if value else []
        text = ""
        for key, one in entries:
            text += re.sub(r"\{\{([^#/^}]+)\}\}",
                           lambda m, k=key, o=one: placeholder(
                               m, [o if isinstance(o, dict) else {}, fields], o, k),
                           match.group(2))
        return text

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.DOTALL)
    return re.sub(r"\{\{([^#/^}]+)\}\}",
                  lambda m: placeholder(m, [fields], fields, ""), text)


class Machine:
    """A machine of the system with one process of the role in the deploy file."""

    def __init__(self, platform, number, zone):
        self.platform, self.zone = platform, zone
        self.name = f"front-{zone}-{number}"
        self.ip = f"{platform.network}.{10 + number}"
        self.process = None

    def address(self, port):
        return f"{self.ip}:{port}"

    def fields(self):
        p = self.platform
        return {
            "Node": self.name, "Role": "edge", "MachineClass": "front",
            "Serves": ["front", "control", "directory"], "Ip": self.ip,
            "Zone": self.zone, "Region": p.zones[self.zone], "Zones": p.zones,
            "Listen": {"Front": self.address(FRONT), "Ready": self.address(READY),
                       "Control": self.address(CONTROL),
                       "directory": self.address(DIRECTORY)},
            "PortRange": [7740, 7755],
            "Seeds": [m.address(CONTROL) for m in p.machines[:3]],
            "Bootstrap": True, "Limits": p.limits, "DataDir": None,
            "Discovery": "platform", "Entry": "directory", "BeatMs": 1200,
            "Bounds": p.bounds,
            "platform": {"Addr": p.store.address, "form": "read",
                         "ReadsPerS": 6000, "RetentionS": 20},
        }

    def write_settings(self):
        path = os.path.join(self.platform.folder, f"{self.name}.toml")
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(fill(self.platform.template, self.fields()))
        os.replace(path + ".new", path)
        return path

    def settings_changed(self):
        """Writes the settings of now and tells the process."""
        self.write_settings()
        self.platform.record(f"platform changes the settings of {self.name}: SIGHUP")
        self.process.send_signal(signal.SIGHUP)

    async def start(self):
        p = self.platform
        path = self.write_settings()
        with open(os.path.join(p.folder, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(p.command), cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": os.environ.get("HOME", "/"),
                     "CORIANDERRAIL_SETTINGS": path})
        p.record(f"platform starts {self.name} pid={self.process.pid}")

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def stop(self, grace_s):
        """A planned stop: SIGTERM, then SIGKILL after the grace time."""
        self.platform.record(f"platform sends SIGTERM to {self.name}")
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
            self.platform.record(f"{self.name} ended, code {self.process.returncode}")
        except asyncio.TimeoutError:
            self.platform.record(f"platform sends SIGKILL to {self.name}")
            self.process.kill()
            await self.process.wait()

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
            for line in status:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0


class Platform:
    """Store, leafs and machines of one small deployment."""

    def __init__(self, record, zones, machines, limits, bounds):
        self.record, self.zones = record, zones
        self.limits, self.bounds = limits, bounds
        self.network = free_network()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(f"{self.network}.1")
        self.leafs = []
        self.machines = [Machine(self, i, zone) for i, zone in enumerate(machines)]
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
            role = dict(re.findall(r'^(run|template) = "(.*)"$', file.read(), re.M))
        self.command = role["run"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            self.template = file.read()
        if not os.path.exists(os.path.join(ROOT, shlex.split(self.command)[0])):
            raise CannotRun("run the build of deploy/system.toml first")

    async def start(self, config, settle_s):
        """Starts all and waits until the machines are ready and in touch."""
        await self.store.start()
        for leaf in self.leafs:
            await leaf.start()
            await self.store.put(f"servers/{leaf.instance}", leaf.entry())
        await self.store.put("op/config", config)
        for machine in self.machines:
            await machine.start()
        until = time.monotonic() + 20
        for machine in self.machines:
            while not await machine.ready():
                if time.monotonic() > until:
                    raise CannotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
        self.record("all machines are ready")
        await asyncio.sleep(settle_s)

    async def close(self):
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        for leaf in self.leafs:
            leaf.close()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def lookup_entries(machine, host, region, zone):
    """Asks a machine's directory where to connect."""
    reader, writer = await asyncio.open_connection(machine.ip, DIRECTORY)
    writer.write(f"GET /v1/lookup?Name={host}&Region={region}&Zone={zone} HTTP/1.1\r\n"
                 f"Host: directory\r\n\r\n".encode())
    head = await asyncio.wait_for(read_head(reader), 1)
    body = await reader.readexactly(int(head[1]["content-length"]))
    writer.close()
    return json.loads(body)["addrs"]


def raise_file_limit():
    import resource
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, hard), hard))


def run_case(folder, play):
    """Runs `play(record, trouble)` and exits with its verdict."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record(f"disruption: {'on' if trouble else 'off'}")
    try:
        raise_file_limit()
        code = asyncio.run(asyncio.wait_for(play(record, trouble), 110))
    except Exception as error:  # Whatever fails says nothing about the rule.
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        code = COULD_NOT_RUN
    record("the rule " + {HELD: "held", BROKEN: "was broken"}.get(code, "was not judged"))
    record.close()
    sys.exit(code)
