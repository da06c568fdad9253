"""Measures host processes on loopback.

Starts stand-ins and `corianderrail` processes. Measures the cost of idle hosts
from /proc and GET /metrics, the time until a new contract revision is in force
on all hosts, and the latency of queries to one host. Prints one JSON object per
line. Stops only processes that it started, by their ids.
"""

import argparse
import concurrent.futures
import json
import os
import random
import re
import shutil
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

# Below the ephemeral range, so that the kernel does not assign one of the chosen
# ports to an outgoing connection before its listener starts.
FIRST_PORT, LAST_PORT = 10_000, 32_000

START_SECONDS = 120
PROPAGATION_SECONDS = 60
STOP_SECONDS = 60
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")

CUSTOMER = "peachline"


def free_block(count):
    """Returns the first of `count` consecutive ports that nothing listens on."""
    for _ in range(1000):
        first = random.randrange(FIRST_PORT, LAST_PORT - count)
        sockets = []
        try:
            for port in range(first, first + count):
                one = socket.socket()
                sockets.append(one)
                one.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise SystemExit(f"no block of {count} free ports on 127.0.0.1")


def fetch(address, path, timeout=10):
    url = f"http://{address}{path}"
    with urllib.request.urlopen(url, timeout=timeout) as reply:
        return reply.read().decode()


def metric(text, name):
    found = re.search(rf"^corianderrail_{name} (\d+)", text, re.MULTILINE)
    if found is None:
        raise SystemExit(f"GET /metrics has no corianderrail_{name}")
    return int(found.group(1))


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * PAGE


class Fleet:
    """The host and stand-in processes of one measurement."""

    def __init__(self, build, work, size, zones, service_us=2000):
        self.bin = os.path.join(build, "bin")
        self.work = work
        self.service_us = service_us
        self.size = size
        self.zones = zones
        self.documents = os.path.join(work, "documents")
        self.processes = []
        self.hosts = [None] * size
        self.revision = 1
        example = os.path.join("examples", CUSTOMER)
        with open(os.path.join(example, "topology"), encoding="utf-8") as file:
            self.topology = file.read()
        ports = [int(p) for p in re.findall(r'"127\.0\.0\.1:(\d+)', self.topology)]
        leafs = max(ports) - min(ports) + 1
        base = free_block(2 * size + leafs + 2)
        self.peers = [f"127.0.0.1:{base + i}" for i in range(size)]
        self.callers = [f"127.0.0.1:{base + size + i}" for i in range(size)]
        self.leaf_port = base + 2 * size
        self.leafs = leafs
        self.topology = re.sub(
            r'"127\.0\.0\.1:(\d+)',
            lambda m: f'"127.0.0.1:{int(m.group(1)) - min(ports) + self.leaf_port}',
            self.topology)
        self.control_port = self.leaf_port + leafs
        self.platform = f"127.0.0.1:{self.control_port + 1}"
        with open(os.path.join(example, "contracts", CUSTOMER, "1"),
                  encoding="utf-8") as file:
            self.contract = file.read()

    def write(self, name, text):
        """Replaces a document atomically, so that no reader sees a part of it."""
        path = os.path.join(self.documents, name)
        os.makedirs(os.path.dirname(path), exist_ok=True)
        new = os.path.join(self.work, "new-document")
        with open(new, "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(new, path)
        return path

    def publish(self, revision):
        """Publishes a contract with a new rate, then the head that refers to it."""
        contract = re.sub(r"(?m)^rate_per_s = \d+", f"rate_per_s = {1000 + revision}",
                          self.contract, count=1)
        path = self.write(f"contracts/{CUSTOMER}/{revision}", contract)
        digest = subprocess.run(
            [os.path.join(self.bin, "corianderctl"), "digest", path],
            check=True, capture_output=True, text=True).stdout.split()[-1]
        seats = "".join(f'  "{peer}",\n' for peer in self.peers)
        self.write(f"contracts/set/{revision}",
                   f"format = 1\nrevision = {revision}\nseats = [\n{seats}]\n\n"
                   f'[[customer]]\nname = "{CUSTOMER}"\nrevision = {revision}\n'
                   f'digest = "{digest}"\n')
        self.revision = revision
        started = time.monotonic()
        self.write("contracts/head", f"format = 1\nrevision = {revision}\n")
        return started

    def start_process(self, name, *arguments):
        with open(os.path.join(self.work, name + ".log"), "ab") as log:
            process = subprocess.Popen(arguments, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start(self):
        self.write("topology", self.topology)
        self.write("hosts.json", json.dumps(
            {"hosts": [{"address": p, "leaving": False} for p in self.peers]}))
        self.publish(1)
        self.start_process(
            "leafs", os.path.join(self.bin, "standin_leaf"),
            f"--first-port={self.leaf_port}", f"--count={self.leafs}",
            f"--control-port={self.control_port}",
            f"--service-us={self.service_us}")
        self.start_process(
            "platform", os.path.join(self.bin, "standin_platform"),
            f"--port={self.platform.rsplit(':', 1)[1]}",
            f"--directory={self.documents}")
        for number in range(self.size):
            self.start_host(number)

    def start_host(self, number):
        zone = number % self.zones
        path = os.path.join(self.work, f"host{number}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(
                f'peer_address = "{self.peers[number]}"\n'
                f'caller_address = "{self.callers[number]}"\n'
                f'zone = "zone-{zone}"\nregion = "region-{zone % 6}"\n'
                'shared_key = "only-for-the-benchmark"\n'
                f'platform_address = "{self.platform}"\n'
                f"seeds = {json.dumps(self.peers[:2])}\n")
        self.hosts[number] = self.start_process(
            f"host{number}", os.path.join(self.bin, "corianderrail"),
            f"--settings={path}")

    def statuses(self):
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            return list(pool.map(self.status, self.callers))

    @staticmethod
    def status(address):
        try:
            return json.loads(fetch(address, "/v1/status"))
        except (OSError, ValueError):
            return None

    def all_ready(self):
        views = self.statuses()
        return all(
            view is not None and view["phase"] == "ready"
            and sum(m["ready"] and m["state"] == "alive"
                    for m in view["members"]) == self.size
            for view in views)

    def wait_until_ready(self):
        started = time.monotonic()
        while not self.all_ready():
            if time.monotonic() > started + START_SECONDS:
                raise SystemExit(f"{self.size} hosts: not all became ready in "
                                 f"{START_SECONDS} s; see the logs")
            time.sleep(0.2)
        return time.monotonic() - started

    def all_at(self, revision):
        return all(view is not None and view["revision"] >= revision
                   for view in self.statuses())

    def time_until_in_force(self, restart):
        """Seconds until a new revision is in force on all hosts; None on a timeout.

        Restarted hosts are killed and started again just after the head
        appeared, so they learn the revision while they start.
        """
        started = self.publish(self.revision + 1)
        for number in range(restart):
            self.hosts[number].send_signal(signal.SIGKILL)
            self.hosts[number].wait()
        for number in range(restart):
            self.start_host(number)
        while not self.all_at(self.revision):
            if time.monotonic() > started + PROPAGATION_SECONDS:
                return None
            time.sleep(0.01)
        return time.monotonic() - started

    def platform_calls(self):
        return int(fetch(self.platform, "/standin/calls"))

    def sample(self):
        """Returns CPU time and peer traffic of every host since its start."""
        result = []
        for number, host in enumerate(self.hosts):
            text = fetch(self.callers[number], "/metrics")
            result.append({
                "at": time.monotonic(), "cpu": cpu_seconds(host.pid),
                "sent": metric(text, "peer_bytes_sent_total"),
                "received": metric(text, "peer_bytes_received_total"),
                "messages": metric(text, "peer_messages_sent_total")})
        return result

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait(timeout=STOP_SECONDS)


def print_line(bench, parameters, figures):
    print(json.dumps({"bench": bench, **parameters, **figures}), flush=True)


def measure_cost(fleet, parameters, settle, idle):
    """Measures hosts without callers, `settle` seconds after they became ready."""
    time.sleep(settle)
    calls = fleet.platform_calls()
    before = fleet.sample()
    started = time.monotonic()
    time.sleep(idle)
    after = fleet.sample()
    calls = (fleet.platform_calls() - calls) / (time.monotonic() - started)

    def rates(name):
        return [(b[name] - a[name]) / (b["at"] - a["at"])
                for a, b in zip(before, after)]

    cpu = [100 * one for one in rates("cpu")]
    sent, received = rates("sent"), rates("received")
    memory = [resident_bytes(host.pid) / 1e6 for host in fleet.hosts]
    total = [s + r for s, r in zip(sent, received)]
    print_line("process_cost", parameters, {
        "cpu_percent_median": round(statistics.median(cpu), 2),
        "cpu_percent_worst": round(max(cpu), 2),
        "resident_mb_median": round(statistics.median(memory), 1),
        "resident_mb_worst": round(max(memory), 1),
        "sent_bytes_per_s_median": round(statistics.median(sent)),
        "sent_bytes_per_s_worst": round(max(sent)),
        "control_bytes_per_s_median": round(statistics.median(total)),
        "control_bytes_per_s_worst": round(max(total)),
        "messages_sent_per_s_median": round(statistics.median(rates("messages")), 1),
        "platform_calls_per_s": round(calls, 2)})


def measure_propagation(fleet, parameters, rounds):
    """Measures the time until a published revision is in force on all hosts."""
    for restart in (0, round(fleet.size / 3)):
        times, unfinished = [], 0
        for _ in range(rounds):
            elapsed = fleet.time_until_in_force(restart)
            if elapsed is None:
                unfinished += 1
            else:
                times.append(elapsed)
            fleet.wait_until_ready()
        print_line("process_spread", parameters, {
            "restarted": restart, "rounds": rounds, "unfinished": unfinished,
            "median_s": round(statistics.median(times), 2) if times else None,
            "worst_s": round(max(times), 2) if times else None})


def measure_path(build, zones, service_us):
    """Measures queries to one host, each to 15 leafs, for several client counts."""
    with tempfile.TemporaryDirectory(prefix="corianderrail-bench-") as work:
        fleet = Fleet(build, work, 1, zones, service_us)
        # High limits, so that the contract does not limit the measurement.
        fleet.contract = re.sub(r"(?m)^(rate_per_s|burst) = \d+", r"\1 = 100000",
                                fleet.contract)
        try:
            fleet.start()
            fleet.wait_until_ready()
            for threads in (1, 4, 16):
                output = subprocess.run(
                    [os.path.join(fleet.bin, "path_bench"), fleet.callers[0],
                     CUSTOMER, "crew-search", str(threads), "1000"],
                    check=True, capture_output=True, text=True).stdout
                print_line("path", {"leaf_service_us": service_us},
                           json.loads(output))
        finally:
            fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", help="build directory with bin/")
    parser.add_argument("--members", default="8,32,128",
                        help="numbers of hosts, with commas between")
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--settle-s", type=float,
                        help="default: half a second for each host, at least 5")
    parser.add_argument("--idle-s", type=float, default=20)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--skip-path", action="store_true",
                        help="leave out the queries to one host")
    options = parser.parse_args()
    # Without a handler, SIGTERM would end this process but not the hosts.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    if not options.skip_path:
        for service_us in (1, 2000):
            measure_path(options.build, options.zones, service_us)
    for size in [int(one) for one in options.members.split(",")]:
        # Until long after the start, hosts pass on the joins of all hosts, which
        # would count as cost of an idle fleet.
        settle = options.settle_s
        if settle is None:
            settle = max(5, size / 2)
        parameters = {"members": size, "zones": options.zones,
                      "settle_s": settle, "idle_s": options.idle_s}
        work = tempfile.mkdtemp(prefix="corianderrail-bench-")
        fleet = Fleet(options.build, work, size, options.zones)
        try:
            fleet.start()
            parameters["ready_s"] = round(fleet.wait_until_ready(), 1)
            measure_cost(fleet, parameters, settle, options.idle_s)
            if size == 8:
                measure_propagation(fleet, parameters, options.rounds)
        except BaseException:
            print(f"logs kept in {work}", file=sys.stderr)
            raise
        finally:
            fleet.stop()
        shutil.rmtree(work)


if __name__ == "__main__":
    main()
