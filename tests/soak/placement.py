#!/usr/bin/env python3
"""Evacuations and home regions on real processes, against stand-ins.

Hosts serve a constant load while a zone is evacuated and comes back, and while
configurations change the home regions of all routes. Checks where requests ran.

    tests/soak/placement.py BINARY --seed 7
"""

import argparse
import asyncio
import collections
import json
import shutil
import signal
import sys
import time

import soak
import soak_limits

EVACUATE_SECONDS = 5  # evacuate_ms of the settings.
ZONE = "a-1"


class Host(soak.Host):
    """A host whose settings bound the time to an evacuation."""

    evacuation_seconds = EVACUATE_SECONDS


class Placement(soak.Soak):
    """Load, changes of the permitted zones, and where requests ran."""

    homes = ()

    async def start(self):
        soak.Host = Host
        await super().start()
        put = self.store.put

        async def put_with_homes(key, value):
            for route in value.get("Routes", ()):
                if self.homes:
                    route["Residency"] = list(self.homes)
            await put(key, value)

        self.store.put = put_with_homes

    def runs_in(self, zone, begin):
        """Times of the requests that ran in a zone after a time."""
        leafs = {leaf.instance for leaf in self.leafs if leaf.zone == zone}
        return [at for _, instance, _, at in self.runs
                if instance in leafs and at > begin]

    async def evacuate(self):
        """Writes the item with a value that cannot be decoded."""
        store, key = self.store, f"op/evacuate/{ZONE}"
        async with store.changed:
            store.revision += 1
            item = {"Key": key, "Rev": store.revision, "Created": store.revision,
                    "Lease": 0, "Value": "*"}
            store.items[key] = item
            store.events.append(item)
            store.changed.notify_all()

    async def check_begin(self):
        """In force in time, also on a host that lost contact with the store and on
        one that starts meanwhile."""
        cut = asyncio.create_task(
            self.disturb_store_path(self.readers()[0], "silent", EVACUATE_SECONDS))
        await asyncio.sleep(0.3)
        await self.evacuate()
        acked = time.monotonic()
        await asyncio.sleep(1)
        host = self.hosts[-1]
        host.signal(signal.SIGKILL)
        await host.process.wait()
        await host.start()
        await cut
        await asyncio.sleep(EVACUATE_SECONDS)
        last = max(self.runs_in(ZONE, 0)) - acked
        if last > EVACUATE_SECONDS:
            self.fail(f"a request ran in {ZONE} {last:.2f} s after the ack")
        return last

    async def check_end(self):
        await self.store.remove(f"op/evacuate/{ZONE}")
        removed = time.monotonic()
        await asyncio.sleep(EVACUATE_SECONDS)
        runs = self.runs_in(ZONE, removed)
        if not runs:
            self.fail(f"no request ran in {ZONE} after the evacuation")
            return float("nan")
        return min(runs) - removed

    async def check_homes(self):
        self.homes = ("b",)
        await self.publish()
        published = time.monotonic()
        await asyncio.sleep(soak_limits.PROPAGATION_SECONDS + 1)
        last = max(self.runs_in(ZONE, 0)) - published
        if last > soak_limits.PROPAGATION_SECONDS:
            self.fail(f"a request ran outside of its homes {last:.2f} s after "
                      "the ack")
        return last

    async def check_no_home(self):
        """All is refused at once when no leaf is in the home regions."""
        self.homes = ("c",)
        await self.publish()
        await asyncio.sleep(soak_limits.PROPAGATION_SECONDS)
        before = collections.Counter(self.counts)
        await asyncio.sleep(1)
        new = self.counts - before
        if not new or any(not key.endswith(" 503") for key in new):
            self.fail(f"answers without a permitted leaf: {dict(new)}")

    async def run(self):
        await self.start()
        clients = [asyncio.create_task(self.client()) for _ in range(12)]
        await asyncio.sleep(4)
        result = {"begin_s": await self.check_begin(),
                  "end_s": await self.check_end(),
                  "homes_s": await self.check_homes()}
        await self.check_no_home()
        self.stop_load = True
        await asyncio.gather(*clients)
        self.check_runs()
        for check in self.checks:
            check.cancel()
        await self.stop_all()
        return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary")
    parser.add_argument("--seed", type=int, default=7)
    given = parser.parse_args()
    run = Placement(given.binary, given.seed, 0, 6, 2)
    try:
        result = asyncio.run(run.run())
    finally:
        run.kill_processes()
    print(json.dumps({"seed": given.seed, **result, "counts": dict(run.counts),
                      "failures": run.failures}))
    if run.failures:
        print(f"logs: {run.work}")
        sys.exit(1)
    shutil.rmtree(run.work)


if __name__ == "__main__":
    main()
