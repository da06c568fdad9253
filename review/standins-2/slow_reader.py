"""A client that reads its answers slowly, as demands/LATER.md allows."""

import asyncio
import socket
import time

import lalibela as site
import platform_standin as standin

READ_PERIOD_S = 0.02
READ_BYTES = 16384
RECEIVE_BUFFER_BYTES = 65536
# Loopback segments have 64 kB, so the window of a slow reader would open in few
# large steps; over a network it opens in many small ones.
SEGMENT_BYTES = 1400


class SlowReader:
    """A client on a kept connection that reads at a steady rate."""

    def __init__(self, record, number, machine, source_ip, bytes_per_s):
        self.record, self.number = record, number
        self.bytes_per_s = bytes_per_s
        self.machine, self.source_ip = machine, source_ip
        self.received = 0
        self.expected = None
        self.ended = None

    async def connect(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                               RECEIVE_BUFFER_BYTES)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self.socket.setblocking(False)
        self.socket.bind((self.source_ip, 0))
        await asyncio.get_running_loop().sock_connect(
            self.socket, (self.machine.ip, standin.FRONT))

    async def send(self, name, attempt):
        head = (f"GET {site.PREFIX}{name} HTTP/1.1\r\nHost: {site.HOST}\r\n"
                f"X-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: {site.TIME_LIMIT_MS}\r\n\r\n")
        self.sent_at = time.monotonic()
        self.record(f"client {self.number} sends {attempt} for {name}")
        await asyncio.get_running_loop().sock_sendall(self.socket, head.encode())

    async def fetch(self, name, attempt):
        """True when the whole answer came before the client's time limit."""
        loop = asyncio.get_running_loop()
        await self.send(name, attempt)
        limit = self.sent_at + site.TIME_LIMIT_MS / 1000
        data, self.received, self.expected = b"", 0, None
        begun = time.monotonic()
        while self.expected is None or self.received < self.expected:
            if time.monotonic() > limit:
                self.ended = "time limit"
                break
            allowed = int((time.monotonic() - begun) * self.bytes_per_s)
            if self.expected is not None and self.received >= allowed:
                await asyncio.sleep(READ_PERIOD_S)
                continue
            try:
                piece = await asyncio.wait_for(loop.sock_recv(self.socket, READ_BYTES), 10)
            except (ConnectionError, asyncio.TimeoutError) as error:
                self.ended = repr(error)
                break
            if not piece:
                self.ended = "closed by the machine"
                break
            if self.expected is None:
                data += piece
                head, end, body = data.partition(b"\r\n\r\n")
                if not end:
                    continue
                self.status = int(head.split(b" ")[1])
                lengths = [line.split(b":")[1] for line in head.split(b"\r\n")
                           if line.lower().startswith(b"content-length:")]
                self.expected, self.received = int(lengths[0]), len(body)
                begun = time.monotonic()
            else:
                self.received += len(piece)
        whole = self.expected is not None and self.received == self.expected
        self.record(f"client {self.number} {attempt}: received {self.received} of "
                    f"{self.expected} bytes after {time.monotonic() - self.sent_at:.2f} s,"
                    f" {'complete' if whole else self.ended}")
        return whole

    def close(self):
        self.socket.close()
