"""Demonstration of both example deployments on loopback.

Starts the stand-ins and six hosts for each deployment, requests addresses, sends
one query of each rank and one order twice, stops the hosts with SIGTERM and
checks that each exits with 0. Stops only processes that it started.
"""

import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

HOSTS = 6
READY_SECONDS = 60
STOP_SECONDS = 60

DEPLOYMENTS = [
    {"name": "peachline", "peer": 7101, "caller": 7151, "platform": 7150,
     "control": 7149,
     "queries": [("urgent", "counter-search"), ("normal", "crew-search"),
                 ("background", "ledger-report")],
     "order": "counter-reserve"},
    {"name": "heizventil", "peer": 7201, "caller": 7251, "platform": 7250,
     "control": 7249,
     "queries": [("urgent", "theke-suche"), ("normal", "bestellung-suche"),
                 ("background", "tourplan-lesen")],
     "order": "bestellung-buchen"},
]


def call(address, path, body=None, timeout=30):
    """Sends one request and returns the status code and the JSON body."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, json.loads(reply.read() or b"null")
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read() or b"null")


def read_text(address, path):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=10) as reply:
        return reply.read().decode()


class Deployment:
    """The host and stand-in processes of one deployment."""

    def __init__(self, config, build, work):
        self.config = config
        self.bin = os.path.join(build, "bin")
        self.work = os.path.join(work, config["name"])
        self.processes = []
        self.hosts = []

    def start_process(self, name, *arguments):
        log = open(os.path.join(self.work, name + ".log"), "wb")
        process = subprocess.Popen(arguments, stdout=log, stderr=log)
        log.close()
        self.processes.append(process)
        return process

    def start(self):
        examples = os.path.join("examples", self.config["name"])
        shutil.copytree(examples, os.path.join(self.work, "documents"))
        with open(os.path.join(examples, "topology"), encoding="utf-8") as file:
            ports = [int(p) for p in re.findall(r'"127\.0\.0\.1:(\d+)', file.read())]
        self.start_process(
            "leafs", os.path.join(self.bin, "standin_leaf"),
            f"--first-port={min(ports)}", f"--count={max(ports) - min(ports) + 1}",
            f"--control-port={self.config['control']}", "--service-us=2000")
        peers = [f"127.0.0.1:{self.config['peer'] + i}" for i in range(HOSTS)]
        with open(os.path.join(self.work, "documents", "hosts.json"), "w",
                  encoding="utf-8") as file:
            json.dump({"hosts": [{"address": p, "leaving": False} for p in peers]},
                      file)
        self.start_process(
            "platform", os.path.join(self.bin, "standin_platform"),
            f"--port={self.config['platform']}",
            f"--directory={os.path.join(self.work, 'documents')}")
        for i, peer in enumerate(peers):
            self.start_host(i, peer, peers)

    def start_host(self, number, peer, peers):
        path = os.path.join(self.work, f"host{number}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(
                f'peer_address = "{peer}"\n'
                f'caller_address = "127.0.0.1:{self.config["caller"] + number}"\n'
                f'zone = "site-{"abc"[number % 3]}"\n'
                f'region = "region-{"abc"[number % 3]}"\n'
                'shared_key = "only-for-the-demonstration"\n'
                f'platform_address = "127.0.0.1:{self.config["platform"]}"\n'
                f"seeds = {json.dumps(peers[:2])}\n"
                "[timing]\ntime_to_live_ms = 1000\ndrain_ms = 1500\n"
                "lease_ms = 1000\n")
        self.hosts.append(self.start_process(
            f"host{number}", os.path.join(self.bin, "corianderrail"),
            f"--settings={path}"))

    def addresses(self):
        return [f"127.0.0.1:{self.config['caller'] + i}" for i in range(HOSTS)]

    def wait_until_ready(self):
        """Waits until every host is ready and reports all others as ready."""
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end:
            try:
                views = [call(a, "/v1/status")[1] for a in self.addresses()]
                if all(sum(m["ready"] for m in v["members"]) == HOSTS
                       and v["phase"] == "ready" for v in views):
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise SystemExit(f"{self.config['name']}: hosts did not become ready")

    def run(self):
        name = self.config["name"]
        self.wait_until_ready()
        _, answer = call(self.addresses()[0],
                         f"/v1/addresses?customer={name}&zone=site-a")
        entries = [entry["address"] for entry in answer["addresses"]]
        print(f"{name}: got {', '.join(entries)} for {answer['time_to_live_ms']} ms, "
              f"revision {answer['revision']}")
        for i, (rank, kind) in enumerate(self.config["queries"]):
            self.query(entries[i % len(entries)], rank, kind, answer["revision"])
        self.order_twice(entries, answer["revision"])

    def until_accepted(self, address, path, body):
        """Repeats a request while the refusal states a time after which to retry."""
        end = time.monotonic() + READY_SECONDS
        while True:
            started = time.monotonic()
            code, reply = call(address, path, body)
            elapsed_ms = (time.monotonic() - started) * 1000
            if not reply.get("retry_after_ms") or time.monotonic() > end:
                return code, reply, elapsed_ms
            time.sleep(reply["retry_after_ms"] / 1000)

    def query(self, address, rank, kind, revision):
        code, reply, elapsed_ms = self.until_accepted(address, "/v1/query", {
            "request_id": f"demo-{kind}", "customer": self.config["name"],
            "kind": kind, "deadline_ms": 400, "seen_revision": revision,
            "payload": "all"})
        if code != 200:
            raise SystemExit(f"{self.config['name']}: {kind} got {code} {reply}")
        print(f"  {rank} {kind} at {address}: {reply['status']}, coverage "
              f"{reply['coverage_ppm']} ppm, snapshot {reply['snapshot']}, "
              f"{len(reply['parts'])} parts, {elapsed_ms:.1f} ms "
              f"({reply['elapsed_us']} us in the tier)")

    def order_twice(self, entries, revision):
        name = self.config["name"]
        order = {"request_id": "demo-order", "customer": name,
                 "kind": self.config["order"], "key": 4711, "deadline_ms": 900,
                 "seen_revision": revision, "payload": "one seat"}
        order_id = self.first_order(entries[0], order)
        self.send_order(entries[-1], order)
        _, reply = call(entries[0], f"/v1/orders/{order_id}")
        ran = read_text(f"127.0.0.1:{self.config['control']}", "/standin/orders")
        times = ran.split().count(order_id)
        print(f"  order state {reply['state']}; the leafs ran it {times} time(s)")
        if times != 1 or reply["state"] != "ran":
            raise SystemExit(f"{name}: the order ran {times} times: {reply}")

    def send_order(self, address, order):
        started = time.monotonic()
        _, reply = call(address, "/v1/orders", order)
        elapsed_ms = (time.monotonic() - started) * 1000
        print(f"  order {order['order_id']} at {address}: {reply['state']} "
              f"{reply.get('payload', reply.get('detail'))!r}, {elapsed_ms:.1f} ms")
        return reply

    def first_order(self, address, order):
        """Sends an order; repeats it with a new identifier while it is refused."""
        end = time.monotonic() + READY_SECONDS
        while True:
            _, ids, _ = self.until_accepted(address, "/v1/order-ids", {
                "request_id": "demo-ids", "customer": self.config["name"],
                "count": 1})
            order["order_id"] = ids["order_ids"][0]
            reply = self.send_order(address, order)
            if reply["state"] != "not_run" or time.monotonic() > end:
                return order["order_id"]
            time.sleep(max(0.05, reply["retry_after_ms"] / 1000))

    def stop_hosts(self):
        for host in self.hosts:
            host.send_signal(signal.SIGTERM)
        codes = [host.wait(timeout=STOP_SECONDS) for host in self.hosts]
        print(f"{self.config['name']}: hosts exited with {codes}")
        if any(codes):
            raise SystemExit(f"{self.config['name']}: a host failed to stop")

    def clean_up(self):
        for process in self.processes:
            if process.poll() is None:
                process.terminate()
                try:
                    process.wait(timeout=10)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()


def main():
    build = sys.argv[1]
    with tempfile.TemporaryDirectory(prefix="corianderrail-demo-") as work:
        deployments = []
        try:
            for config in DEPLOYMENTS:
                os.makedirs(os.path.join(work, config["name"]))
                deployment = Deployment(config, build, work)
                deployments.append(deployment)
                deployment.start()
                deployment.run()
                deployment.stop_hosts()
                deployment.clean_up()
        except BaseException:
            keep = tempfile.mkdtemp(prefix="corianderrail-demo-failed-")
            shutil.copytree(work, keep, dirs_exist_ok=True)
            print(f"logs kept in {keep}", file=sys.stderr)
            raise
        finally:
            for deployment in deployments:
                deployment.clean_up()


if __name__ == "__main__":
    main()
