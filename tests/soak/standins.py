"""Stand-ins for the soak test: metadata store, leafs and a proxy to the store.

They implement the part of the platform's protocol that the soak test uses, and
can inject faults. All run in one asyncio loop on loopback.
"""

import asyncio
import base64
import hashlib
import json
import random
import socket
import struct
import time
import urllib.parse

RECORD_BYTES = 16


def records_of(service, attempt):
    """Returns a service's records for a request; they are equal on all leafs."""
    seed = hashlib.sha256(f"{service}/{attempt}".encode()).digest()
    return [hashlib.sha256(seed + bytes([i])).digest()[:RECORD_BYTES]
            for i in range(4)]


async def read_head(reader):
    """Returns method, target and headers; None when the peer has closed."""
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
    return method, target, headers


async def read_request(reader):
    """Returns method, target, headers and body; None when the peer has closed."""
    head = await read_head(reader)
    if head is None:
        return None
    body = await reader.readexactly(int(head[2].get("content-length", 0)))
    return (*head, body)


def answer(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A TCP server that can abort its open connections."""

    def __init__(self):
        self.server = None
        self.port = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
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
    """The metadata store: items with revisions, range reads and watches."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.events = []
        self.revision = 1
        self.compacted = 0
        self.changed = asyncio.Condition()
        self.mode = "good"  # good, silent, busy
        self.calls = 0

    async def put(self, key, value):
        async with self.changed:
            self.revision += 1
            item = {"Key": key, "Rev": self.revision, "Created": self.revision,
                    "Lease": 0,
                    "Value": base64.b64encode(json.dumps(value).encode()).decode()}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.events.append({"Key": key, "Rev": self.revision, "Removed": True})
            self.changed.notify_all()

    def compact(self):
        self.compacted = self.revision
        self.events = []

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            self.calls += 1
            if self.mode == "silent":
                await asyncio.sleep(3600)
            if self.mode == "busy":
                writer.write(answer(503))
                continue
            url = urllib.parse.urlsplit(request[1])
            query = dict(urllib.parse.parse_qsl(url.query, True))
            if url.path.endswith("kv-range"):
                writer.write(self.list_items(query))
            else:
                writer.write(await self.watch(query))
            await writer.drain()

    def list_items(self, query):
        prefix, after = query["Prefix"], query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[k] for k in keys[:10]]
        return answer(200, body=json.dumps(
            {"items": page, "HasMore": len(keys) > 10,
             "StoreRevision": self.revision}).encode())

    async def watch(self, query):
        prefix, after = query["Prefix"], int(query["after"])

        def matching_events():
            return [e for e in self.events
                    if e["Rev"] > after and e["Key"].startswith(prefix)]

        if after < self.compacted:
            return answer(410)
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(matching_events),
                                       int(query["WaitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        return answer(200, body=json.dumps(
            {"events": matching_events(), "StoreRevision": self.revision}).encode())


class Leaf(Server):
    """One leaf of a service. Appends each request it runs to the shared `runs`.

    In a faulty mode, a random `share` of the requests is refused as not run
    (shed), ended by a reset of the connection (reset), never answered (silent),
    answered twice (extra), answered incompletely (cut), answered with 500
    (error), or answered without a length and before its body was read, and then
    reset in the body (early). A leaf that leaves says so in each answer.
    """

    RECEIVE_BUFFER_BYTES = 8192  # A long body is still being sent meanwhile.

    def __init__(self, service, number, zone, runs, rng):
        super().__init__()
        self.service = service
        self.instance = f"i-{service}-{number}"
        self.zone = zone
        self.runs = runs
        self.rng = rng
        self.work_s = 0.004
        self.mode = "good"
        self.share = 0.5
        self.leaving = False

    def entry(self, state="ready"):
        return {"Service": self.service, "Addr": f"127.0.0.1:{self.port}",
                "Zone": self.zone, "Version": "v1", "Slots": 2, "State": state,
                "ColdLeftMs": 0, "Seq": 1}

    async def start(self, port=0):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                            self.RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", port))
        self.server = await asyncio.start_server(self._accept, sock=listener)
        self.port = listener.getsockname()[1]

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            if await self.ends_early(head, writer):
                return
            body = await reader.readexactly(int(head[2].get("content-length", 0)))
            if not await self.reply((*head, body), writer):
                return

    async def ends_early(self, head, writer):
        """Half of an answer without a length, then a reset, while the body of the
        request is on its way."""
        method, target, headers = head
        early = self.mode == "early" and self.rng.random() < self.share
        if not early or headers.get("x-target-instance") != self.instance:
            return False
        attempt = headers.get("x-attempt-id", "")
        self.note_run(attempt, method)
        body = f"{self.service}:{attempt}:{target}".encode()
        writer.write(f"HTTP/1.1 200 X\r\nX-Attempt-Id: {attempt}\r\n"
                     f"X-Server-Stamp: {self.service}.{attempt}.1\r\n\r\n".encode()
                     + body[:len(body) // 2])
        await writer.drain()
        await asyncio.sleep(0.02)
        # Without this option the system ends a connection without unread bytes
        # in order.
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        return True

    def note_run(self, attempt, method):
        self.runs.append((attempt, self.instance, method, time.monotonic()))

    async def reply(self, request, writer):
        method, target, headers, _ = request
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-target-instance") != self.instance:
            writer.write(answer(421, [("X-Instance", self.instance)]))
            return True
        faulty = self.mode != "good" and self.rng.random() < self.share
        if faulty and self.mode == "shed":
            writer.write(answer(503, [("X-Not-Run", "1")]))
            return True
        self.note_run(attempt, method)
        await asyncio.sleep(self.work_s * self.rng.uniform(0.5, 2))
        if faulty and self.mode == "silent":
            await asyncio.sleep(3600)
        if faulty and self.mode == "reset":
            writer.transport.abort()
            return False
        stamp = f"{self.service}.{attempt}.{self.rng.randrange(10 ** 9)}"
        body = b"".join(self.rng.sample(records_of(self.service, attempt), 4))
        if not target.startswith("/query/"):
            body = f"{self.service}:{attempt}:{target}".encode()
        status = 500 if faulty and self.mode == "error" else 200
        fields = [("X-Attempt-Id", attempt), ("X-Server-Stamp", stamp),
                  ("X-Leaf", self.instance)]
        if self.leaving:
            fields.append(("Server-Leaving", "1"))
        response = answer(status, fields, body)
        if faulty and self.mode == "cut":
            writer.write(response[:-3])
            return False
        writer.write(response)
        if faulty and self.mode == "extra":
            await asyncio.sleep(0.01)
            writer.write(response)
        await writer.drain()
        return True


class Proxy(Server):
    """Forwards connections to a target; can refuse them, or delay or drop data."""

    def __init__(self, target_port):
        super().__init__()
        self.target_port = target_port
        self.mode = "good"  # good, slow, silent, to_target_only, refuse
        self.delay_s = 0.0
        self.stalls = 0  # Connections opened before the last stall are silent.

    def stall_connections(self):
        """Silences the open connections for good; new ones work."""
        self.stalls += 1

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
        except ConnectionError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(self.forward(reader, target_writer, True),
                                 self.forward(target_reader, writer, False))
        finally:
            target_writer.close()

    async def forward(self, reader, writer, to_target):
        opened = self.stalls
        try:
            while data := await reader.read(65536):
                if self.mode == "slow":
                    await asyncio.sleep(self.delay_s)
                silent = (self.mode == "silent" or self.stalls != opened or (
                    self.mode == "to_target_only" and not to_target))
                if silent:
                    continue
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


def new_random(seed):
    return random.Random(seed)
