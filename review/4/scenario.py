"""The configuration changes while the two hosts that read the store are cut off."""

import asyncio
import collections
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # noqa: E402

HOSTS = 6
CUT_S = 4.0  # core_cut: how = "race" (two at once), for_s = 4.0
OLD, NEW = "ledger-view", "fleet-tracker"
CLIENTS_PER_HOST = 3


def reads_store(host):
    """Whether a host reads the store itself, by its log."""
    source = "store"
    with open(os.path.join(host.work, f"host{host.number}.log"),
              encoding="utf-8") as log:
        for line in log:
            entry = json.loads(line)
            if entry["event"] == "source_in_use":
                source = entry["source"]
    return source == "store"


async def scenario(record, work, hosts, trouble):
    store = standins.Store()
    await store.start()

    def route(service):
        return [standins.route("rental-history-pull", "/goka902/", service)]

    await store.put("op/config", standins.config(7, route(OLD), [OLD, NEW]))
    leafs = []
    for service in (OLD, NEW):
        for i in range(3):
            leaf = standins.Leaf(store, record, service, f"i-{service}-{i}", 0.02)
            await leaf.start()
            leafs.append(leaf)
    proxies = {}
    for i in range(HOSTS):
        proxy = standins.Proxy(store.port)
        await proxy.start()
        host = standins.Host(work, i, proxy.port)
        proxies[host] = proxy
        hosts.append(host)
    for host in hosts:
        host.seeds = [one.peer_address for one in hosts[:3]]
        host.start()
    for host in hosts:
        await host.wait_ready()
    await asyncio.sleep(standins.STABLE_S)
    readers = [host for host in hosts if reads_store(host)]
    record.add(f"hosts {[host.number for host in readers]} read the store")
    if not 0 < len(readers) <= 2:
        raise standins.CannotRun(f"{len(readers)} readers")
    others = [host for host in hosts if host not in readers]
    stop = False
    sent = {}

    async def load(host, number):
        client = standins.Client(host, record)
        count = 0
        while not stop:
            count += 1
            attempt = f"c{number}-{count}"
            sent[attempt] = (record.now(), host)
            await client.request(attempt, f"/goka902/{count}")
            await asyncio.sleep(0.05)

    clients = [asyncio.create_task(load(host, 100 * i + j))
               for i, host in enumerate(others) for j in range(CLIENTS_PER_HOST)]
    await asyncio.sleep(2)
    if trouble:
        for host in readers:
            proxies[host].cut()
        record.add("the readers are cut off from the store")
    await asyncio.sleep(0.1)
    await store.put("op/config", standins.config(9, route(NEW), [OLD, NEW]))
    acked = record.now()
    record.add(f"store acks version 9: /goka902/ goes to {NEW}")
    await asyncio.sleep(CUT_S - 0.1)
    for proxy in proxies.values():
        proxy.heal()
    record.add("the readers reach the store")
    await asyncio.sleep(5)
    stop = True
    await asyncio.gather(*clients)
    faults, last = [], collections.defaultdict(float)
    for leaf in leafs:
        for at, attempt in leaf.runs:
            began, host = sent[attempt]
            if leaf.service != OLD:
                continue
            last[host.number] = max(last[host.number], began - acked)
            if began > acked + standins.PROPAGATION_S:
                faults.append(f"CONFIG: {attempt}, sent to host {host.number} "
                              f"{began - acked:.2f} s after the ack, ran on "
                              f"{leaf.instance} of the old service")
    record.add(f"{len(sent)} requests, {len(faults)} ran on the old service too late; "
               f"last by host {dict(last)}")
    return faults


standins.run_case(FOLDER, scenario)
