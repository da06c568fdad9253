"""A leaf drains while the host from which others read the store is frozen."""

import asyncio
import collections
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # noqa: E402

HOSTS = 6
FROZEN_S = 4.0  # node_freeze: count = 1, for_s = 4.0
BEFORE_S = 0.3  # The freeze begins this long before the leaf drains.
SERVED_S = standins.DRAIN_S + 0.4  # DrainMs and a little longer
SERVICE = "ledger-view"
CLIENTS_PER_HOST = 16


def source_of(host):
    """The peer from which a host reads the store; None if from the store."""
    source = None
    with open(os.path.join(host.work, f"host{host.number}.log"),
              encoding="utf-8") as log:
        for line in log:
            entry = json.loads(line)
            if entry["event"] == "source_in_use":
                source = entry["source"]
    return source


async def scenario(record, work, hosts, trouble):
    store = standins.Store()
    await store.start()
    await store.put("op/config", standins.config(7, [standins.route(
        "rental-history-pull", "/goka902/", SERVICE, kind="non_idempotent")],
        [SERVICE]))
    leafs = []
    for i in range(3):
        leaf = standins.Leaf(store, record, SERVICE, f"i-leaf{i}", 0.09)
        await leaf.start()
        leafs.append(leaf)
    for i in range(HOSTS):
        hosts.append(standins.Host(work, i, store.port))
    for host in hosts:
        host.seeds = [one.peer_address for one in hosts[:3]]
        host.start()
    for host in hosts:
        await host.wait_ready()
    await asyncio.sleep(standins.STABLE_S)
    sources = collections.Counter(source_of(host) for host in hosts)
    record.add(f"sources {dict(sources)}")
    parents = [host for host in hosts if sources.get(host.peer_address, 0) > 0]
    if not parents:
        raise standins.CannotRun("no host reads from another")
    parent = parents[0]
    users = [h for h in hosts if h is not parent]
    stop = False
    sent, statuses = {}, {}

    async def load(host, number):
        client = standins.Client(host, record)
        count = 0
        while not stop:
            count += 1
            attempt = f"c{number}-{count}"
            sent[attempt] = (record.now(), host)
            statuses[attempt], headers, _ = await client.request(
                attempt, f"/goka902/{count}", "POST", b"order")
            await asyncio.sleep(max(0.05, float(headers.get("retry-after", 0))))

    clients = [asyncio.create_task(load(host, 100 * i + j))
               for i, host in enumerate(users) for j in range(CLIENTS_PER_HOST)]
    await asyncio.sleep(2)
    fresh = standins.Leaf(store, record, SERVICE, "i-leaf3", 0.09)
    await fresh.start()
    record.add("i-leaf3 starts; i-leaf0 drains in a second")
    await asyncio.sleep(0.7)
    if trouble:
        parent.signal(signal.SIGSTOP)
        record.add(f"host {parent.number} is frozen")
    await asyncio.sleep(BEFORE_S)
    leaving = leafs[0]
    leave = asyncio.create_task(leaving.leave(SERVED_S))
    await asyncio.sleep(0.01)
    acked = record.now()
    await asyncio.sleep(FROZEN_S - BEFORE_S - 0.01)
    parent.signal(signal.SIGCONT)
    await leave
    await asyncio.sleep(1)
    stop = True
    await asyncio.gather(*clients)
    faults = []
    for at, attempt in leaving.arrivals:
        host = sent[attempt][1]
        if at <= acked + standins.DRAIN_S:
            continue
        cut = attempt not in leaving.answered and statuses[attempt] in (0, 502, 504)
        lost = "; the leaf's exit cut it off, the client got " \
            f"{statuses[attempt] or 'no answer'}" if cut else ""
        faults.append(f"DRAIN: {attempt} from host {host.number} reached "
                      f"{leaving.instance} {at - acked:.2f} s after the ack of "
                      f"draining{lost}")
    counts = {s: list(statuses.values()).count(s) for s in set(statuses.values())}
    record.add(f"{len(sent)} requests, statuses {counts}, "
               f"{len(faults)} reached the leaf too late")
    return sorted(faults, key=lambda fault: "cut it off" not in fault)


standins.run_case(FOLDER, scenario)
