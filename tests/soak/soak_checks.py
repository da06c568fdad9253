"""What the soak test checks, from what clients and leafs see."""

import asyncio
import collections
import time

import standins
from soak_limits import (ATTEMPTS, DRAIN_SECONDS, EVACUATION_SECONDS, HOME_REGION,
                         PROPAGATION_SECONDS, QUERY_MS, RECOVERY_SECONDS, REGIONS,
                         SHARDS, TOP_K)


class Checks:
    """Checks of a Soak, which has the hosts, stand-ins and the load."""

    def check_answer(self, kind, attempt, status, headers, body):
        if status in (408, 421, 429, 503) and kind == "order":
            self.refused_orders.add(attempt)
        if status == 404:
            self.fail(f"{attempt}: 404 for a route that all configurations have")
        if status != 200:
            return
        if kind != "query":
            if body.decode() != f"plain:{attempt}:/{kind}/{attempt}":
                self.fail(f"{attempt}: body of another request: {body[:60]}")
            return
        stamps = [p.strip() for p in headers.get("x-part-stamps", "").split(",")]
        missing = int(headers.get("x-missing-parts", 0))
        services = {p.split(".")[0] for p in stamps}
        if len(services) != len(stamps) or len(stamps) + missing != SHARDS:
            self.fail(f"{attempt}: {len(stamps)} parts of {len(services)} "
                      f"services, {missing} missing")
        if any(p.split(".")[1] != attempt for p in stamps):
            self.fail(f"{attempt}: part of another request")
        if len(stamps) * 2 < SHARDS:
            self.fail(f"{attempt}: status 200 with only {len(stamps)} parts")
        records = sorted((r for s in services
                          for r in standins.records_of(s, attempt)),
                         reverse=True)
        if body != b"".join(records[:TOP_K]):
            self.fail(f"{attempt}: body is not the top records of its parts")

    def in_touch(self, host, begin, end):
        return (host.disturbances.calm(begin, end) and
                self.store_disturbances.calm(begin, end))

    async def check_in_force(self, version, acked):
        """A configuration is in force on each host in touch, unless a newer one
        is."""
        await asyncio.sleep(acked + PROPAGATION_SECONDS - time.monotonic())
        for host in self.hosts:
            if self.version != version or self.stop_load:
                return
            status = await self.probe_version(host, version)
            judged = self.in_touch(host, acked, time.monotonic())
            if judged and self.version == version and status not in (200, 503):
                self.fail(f"host {host.number}: {status} for version {version}, "
                          f"{PROPAGATION_SECONDS} s after its ack")

    def check_leaving(self):
        """No request reaches a leaf after its drain time."""
        for attempt, instance, _, arrived in self.runs:
            host, sent = self.sent.get(attempt, (None, 0))
            if host is None:
                continue
            acked = self.drain_acks.get(instance)
            if (acked and arrived > acked + DRAIN_SECONDS and
                    self.in_touch(host, acked, arrived)):
                self.fail(f"{attempt} from host {host.number} reached {instance} "
                          f"{arrived - acked:.2f} s after the ack of its drain")
            said = host.said_leaving.get(instance)
            if said and sent > said + DRAIN_SECONDS:
                self.fail(f"{attempt}, sent {sent - said:.2f} s after host "
                          f"{host.number} said that {instance} leaves, reached it")

    async def check_propagation(self):
        """A change just after all connections to the store stalled is in force
        on each host, and the route that it replaced is gone."""
        await self.publish()
        before = self.version
        await asyncio.sleep(self.rng.uniform(0.3, 1))
        await self.stall_store_paths()
        stalled = time.monotonic()
        await asyncio.sleep(self.rng.uniform(0, 1))
        await self.publish()
        await asyncio.sleep(stalled + RECOVERY_SECONDS - time.monotonic())
        for host in self.hosts:
            status = await self.probe_version(host, self.version)
            if status != 200:
                self.fail(f"host {host.number}: {status} for the route added "
                          f"{RECOVERY_SECONDS} s after connections stalled")
            status = await self.probe_version(host, before)
            if status != 404:
                self.fail(f"host {host.number}: {status} for a removed route")

    async def probe_version(self, host, version):
        self.sequence += 1
        text = (f"GET /version/{version}/ HTTP/1.1\r\nHost: h.example\r\n"
                f"X-Attempt-Id: r{self.sequence}\r\n"
                f"X-Deadline-Ms: {QUERY_MS}\r\n\r\n").encode()
        return await self.exchange(host, "version", None, text)

    def check_runs(self):
        leafs = collections.defaultdict(set)
        for attempt, instance, _, _ in self.runs:
            leafs[attempt, instance.split("-")[1]].add(instance)
        for (attempt, service), instances in leafs.items():
            if len(instances) > ATTEMPTS:
                self.fail(f"{attempt} ran on {len(instances)} leafs of {service}")
        orders = collections.Counter(a for a, _, m, _ in self.runs
                                     if m == "POST")
        for attempt, times in orders.items():
            if times > 1:
                self.fail(f"order {attempt} ran {times} times")
            if attempt in self.refused_orders:
                self.fail(f"order {attempt} ran although it was refused as not run")
            if attempt not in self.orders:
                self.fail(f"order {attempt} ran although no client sent it")

    def check_residency(self):
        """No request of a route with home regions runs elsewhere."""
        for attempt, instance, _, _ in self.runs:
            region = REGIONS[self.zone_of[instance]]
            if attempt in self.home_attempts and region != HOME_REGION:
                self.fail(f"{attempt} ran in region {region}")

    def check_evacuations(self):
        """No request from a host in touch reaches a zone after the time in which
        its evacuation must be in force."""
        for attempt, instance, _, arrived in self.runs:
            host, _ = self.sent.get(attempt, (None, 0))
            for zone, acked, removed in self.evacuations:
                if host is None or self.zone_of[instance] != zone:
                    continue
                late = acked + EVACUATION_SECONDS < arrived < removed
                if late and self.in_touch(host, acked, arrived):
                    self.fail(f"{attempt} from host {host.number} reached {instance} "
                              f"{arrived - acked:.2f} s after the evacuation of {zone}")
