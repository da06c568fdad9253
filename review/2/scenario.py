"""A leaf leaves while the store is cut off from the hosts."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # noqa: E402

HOSTS = 2                          # core_cut: how = "race", two at once
CUT_S = 4.0                        # core_cut: for_s = 4.0
SERVED_S = standins.DRAIN_S + 0.7  # DrainMs and a little longer
SERVICE = "ledger-view"
CLIENTS_PER_HOST = 8


async def scenario(record, work, hosts, trouble):
    store = standins.Store()
    await store.start()
    proxy = standins.Proxy(store.port)
    await proxy.start()
    await store.put("op/config", standins.config(7, [standins.route(
        "rental-history-pull", "/goka902/", SERVICE, kind="non_idempotent")],
        [SERVICE]))
    leafs = []
    for i in range(6):
        leaf = standins.Leaf(store, record, SERVICE, f"i-leaf{i}", 0.09,
                             zone=list(standins.ZONES)[i % 3])
        await leaf.start()
        leafs.append(leaf)
    for i, zone in enumerate(list(standins.ZONES)[:HOSTS]):
        hosts.append(standins.Host(work, i, proxy.port, zone))
    for host in hosts:
        host.seeds = [one.peer_address for one in hosts]
        host.start()
    for host in hosts:
        await host.wait_ready()
    await asyncio.sleep(standins.STABLE_S)
    stop = False
    sent, statuses, said_leaving = {}, {}, {}

    async def load(host, number):
        client = standins.Client(host, record)
        count = 0
        while not stop:
            count += 1
            attempt = f"c{number}-{count}"
            sent[attempt] = (record.now(), host)
            statuses[attempt], headers, _ = await client.request(
                attempt, f"/goka902/{count}", "POST", b"order")
            if headers.get("server-leaving") == "1":
                said_leaving.setdefault(host, record.now())
            await asyncio.sleep(0.02)

    clients = [asyncio.create_task(load(host, 10 * i + j))
               for i, host in enumerate(hosts) for j in range(CLIENTS_PER_HOST)]
    await asyncio.sleep(2)
    if trouble:
        proxy.cut()
        record.add("the store is cut off from the hosts")
    healed = asyncio.get_running_loop().time() + CUT_S
    await asyncio.sleep(0.1)
    leaving = leafs[0]
    await leaving.leave(SERVED_S)
    await asyncio.sleep(max(0, healed - asyncio.get_running_loop().time()))
    proxy.heal()
    record.add("the store is reachable")
    await asyncio.sleep(3)
    stop = True
    await asyncio.gather(*clients)
    faults = []
    for at, attempt in leaving.arrivals:
        began, host = sent[attempt]
        passed = said_leaving.get(host)
        if passed is None or began <= passed + standins.DRAIN_S:
            continue
        cut = attempt not in leaving.answered and statuses[attempt] in (0, 502, 504)
        lost = "; the leaf's exit cut it off, the client got " \
            f"{statuses[attempt] or 'no answer'}" if cut else ""
        faults.append(f"DRAIN: {attempt}, sent {began - passed:.2f} s after host "
                      f"{host.number} had passed on Server-Leaving of "
                      f"{leaving.instance}, reached that leaf{lost}")
    record.add(f"{len(sent)} requests, {len(faults)} reached the leaf too late")
    return sorted(faults, key=lambda fault: "cut it off" not in fault)


standins.run_case(FOLDER, scenario)
