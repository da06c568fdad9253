"""Faults and shapes that the soak test plays."""

import asyncio
import json
import os
import signal
import time

from soak_limits import (DRAIN_SECONDS, IN_TOUCH_SECONDS, LARGE_CONFIG_BYTES,
                         REGIONS)


class Faults:
    """Faults of a Soak, which has the hosts, stand-ins and the random source."""

    async def inject_faults(self):
        end = time.monotonic() + self.seconds
        running = []
        while time.monotonic() < end:
            running.append(asyncio.create_task(self.inject_fault()))
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
        await asyncio.gather(*running)

    async def inject_fault(self):
        fault = self.rng.choice([
            self.kill_host, self.stop_host, self.pause_host, self.break_store,
            self.break_store_path, self.break_leaf, self.break_leaf,
            self.drain_leaf, self.crash_leaf, self.reset_store, self.publish,
            self.compact_store, self.burst, self.disconnect_clients,
            self.change_settings, self.invalid_entry, self.stall_store_paths,
            self.cut_readers, self.drain_leaf, self.silence_reports,
            self.publish_large])
        self.counts["faults"] += 1
        await fault()

    async def kill_host(self):
        host = self.rng.choice(self.hosts)
        if host.process is None or host.stopping:
            return
        host.stopping = True
        with host.disturbances:
            host.signal(signal.SIGKILL)
            await host.process.wait()
            await asyncio.sleep(self.rng.uniform(0.1, 1))
            await host.start()

    async def stop_host(self):
        host = self.rng.choice(self.hosts)
        if host.stopping:
            return
        host.stopping = True
        with host.disturbances:
            await self.stop_and_start(host)

    async def stop_and_start(self, host):
        host.signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(host.process.wait(), 8)
        except asyncio.TimeoutError:
            self.fail(f"host {host.number} still runs 8 s after SIGTERM")
            host.signal(signal.SIGKILL)
            code = await host.process.wait()
        if code not in (0, -signal.SIGKILL):
            self.fail(f"host {host.number} ended with {code} after SIGTERM")
        await host.start()

    async def pause_host(self, host=None, seconds=None):
        host = host or self.rng.choice(self.hosts)
        with host.disturbances:
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds or self.rng.uniform(0.2, 4))
            host.signal(signal.SIGCONT)
            host.said_leaving = {}

    async def break_store(self):
        with self.store_disturbances:
            self.store.mode = self.rng.choice(["silent", "busy"])
            await asyncio.sleep(self.rng.uniform(0.5, 4))
            self.store.mode = "good"
            self.store.reset_connections()

    async def break_store_path(self):
        host = self.rng.choice(self.hosts)
        mode = self.rng.choice(["slow", "silent", "to_target_only", "refuse"])
        await self.disturb_store_path(host, mode, self.rng.uniform(0.5, 4))

    async def disturb_store_path(self, host, mode, seconds):
        proxy = host.proxy
        with host.disturbances:
            proxy.mode = mode
            proxy.delay_s = self.rng.uniform(0.05, 0.6)
            await asyncio.sleep(seconds)
            proxy.mode = "good"
            proxy.reset_connections()

    def readers(self):
        """Hosts that read the store itself, by their logs."""
        readers = []
        for host in self.hosts:
            source = "store"
            with open(os.path.join(self.work, f"host{host.number}.log"),
                      encoding="utf-8") as log:
                for line in log:
                    if '"source_in_use"' in line:
                        source = json.loads(line)["source"]
            if source == "store":
                readers.append(host)
        return readers

    async def cut_readers(self):
        seconds = self.rng.uniform(1, 5)
        await asyncio.gather(*[self.disturb_store_path(h, "silent", seconds)
                               for h in self.readers()])

    # Shapes: one, by the seed, in an otherwise calm fleet before the faults.

    async def play_shape(self):
        shape = self.rng.choice([
            self.readers_cut_before_change, self.reader_frozen_before_drain,
            self.store_away_while_leaf_leaves, self.reports_silent_while_leaf_drains,
            self.answers_reset_early])
        self.shape = shape.__name__
        await asyncio.sleep(IN_TOUCH_SECONDS + 1)
        await shape()

    def plain_leaf(self):
        return self.rng.choice([l for l in self.leafs if l.service == "plain"])

    async def readers_cut_before_change(self):
        cut = asyncio.gather(*[
            self.disturb_store_path(h, "silent", self.rng.uniform(4, 5))
            for h in self.readers()])
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        await self.publish()
        await cut

    async def reader_frozen_before_drain(self):
        host = self.rng.choice(self.readers())
        frozen = asyncio.create_task(self.pause_host(host, 4))
        await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        await self.drain_leaf(self.plain_leaf())
        await frozen

    async def store_away_while_leaf_leaves(self):
        cuts = [asyncio.create_task(self.disturb_store_path(h, "silent", 5))
                for h in self.hosts]
        await asyncio.sleep(self.rng.uniform(0.1, 0.5))
        await self.drain_leaf(self.plain_leaf())
        await asyncio.gather(*cuts)

    async def reports_silent_while_leaf_drains(self):
        await self.drain_leaf(self.plain_leaf())

    async def answers_reset_early(self):
        for leaf in self.leafs:
            leaf.mode, leaf.share = "early", 0.2
        await self.burst("order", 3)
        for leaf in self.leafs:
            leaf.mode = "good"

    async def silence_reports(self):
        """A leaf's entry lapses and comes back, sometimes as draining."""
        leaf = self.rng.choice(self.leafs)
        if leaf.instance in self.drain_acks:
            return
        await self.store.remove(f"servers/{leaf.instance}")
        await asyncio.sleep(self.rng.uniform(0.2, 2))
        if leaf in self.leafs:
            await self.store.put(f"servers/{leaf.instance}", leaf.entry())

    async def publish_large(self):
        for _ in range(self.rng.randrange(2, 8)):
            await self.publish(LARGE_CONFIG_BYTES)
            await asyncio.sleep(self.rng.uniform(0.05, 0.3))

    async def break_leaf(self):
        leaf = self.rng.choice(self.leafs)
        leaf.mode = self.rng.choice(["shed", "reset", "silent", "extra", "cut",
                                     "error", "early"])
        leaf.share = self.rng.uniform(0.2, 1)
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        leaf.mode = "good"

    def has_other_leaf(self, leaf):
        return sum(other.service == leaf.service for other in self.leafs) > 1

    async def drain_leaf(self, leaf=None):
        leaf = leaf or self.rng.choice(self.leafs)
        if not self.has_other_leaf(leaf) or leaf.leaving:
            return
        self.leafs.remove(leaf)
        await self.add_leaf(leaf.service, leaf.zone)
        leaf.leaving = True
        key = f"servers/{leaf.instance}"
        await self.store.put(key, leaf.entry("draining"))
        self.drain_acks[leaf.instance] = time.monotonic()
        # While all leafs are full, a leaving one is used as long as it may be.
        busy = asyncio.create_task(self.burst("order", 5))
        if self.rng.random() < 0.4:  # Its reports are silent for a while.
            await asyncio.sleep(self.rng.uniform(0.5, 2.5))
            await self.store.remove(key)
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            await self.store.put(key, leaf.entry("draining"))
        served = DRAIN_SECONDS + self.rng.uniform(0.5, 5)
        end = self.drain_acks[leaf.instance] + served
        await asyncio.sleep(end - time.monotonic())
        await self.store.remove(key)
        leaf.close()
        await busy

    async def crash_leaf(self):
        leaf = self.rng.choice(self.leafs)
        if not self.has_other_leaf(leaf) or leaf.leaving:
            return
        self.leafs.remove(leaf)
        leaf.close()
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        await self.store.remove(f"servers/{leaf.instance}")
        await self.add_leaf(leaf.service, leaf.zone)

    async def reset_store(self):
        with self.store_disturbances:
            self.store.reset_connections()

    async def compact_store(self):
        with self.store_disturbances:
            self.store.compact()
            self.store.reset_connections()

    async def burst(self, kind=None, seconds=None):
        end = time.monotonic() + (seconds or self.rng.uniform(0.5, 2))
        kind = kind or self.rng.choice(["query", "read", "order"])

        async def client():
            while time.monotonic() < end:
                await self.request(kind)
        await asyncio.gather(*[client() for _ in range(40)])

    async def disconnect_clients(self):
        async def send_and_close():
            self.sequence += 1
            attempt = f"r{self.sequence}"
            host = self.rng.choice(self.hosts)
            try:
                _, writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", host.base), 1)
            except (OSError, asyncio.TimeoutError):
                return
            writer.write(f"GET /query/{attempt} HTTP/1.1\r\nHost: h.example\r\n"
                         f"X-Attempt-Id: {attempt}\r\n\r\n".encode())
            await asyncio.sleep(self.rng.uniform(0, 0.01))
            writer.close()
        await asyncio.gather(*[send_and_close() for _ in range(20)])

    async def invalid_entry(self):
        entry = self.leafs[0].entry()
        nested = []
        for _ in range(500):
            nested = [nested]
        entry.update(self.rng.choice([
            {"Addr": "nowhere"}, {"Addr": "10.0.0.1"}, {"Addr": 7}, {"Slots": -1},
            {"Slots": 1e30}, {"ColdLeftMs": 1e300}, {"State": "lost"},
            {"born": "now"}, {"Service": None}, {"Addr": "127.0.0.1:70000"},
            {"Service": nested}]))
        await self.store.put("servers/i-foreign", entry)
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        await self.store.remove("servers/i-foreign")

    async def change_settings(self):
        host = self.rng.choice(self.hosts)
        host.seeds = self.rng.sample(range(self.host_count), 2)
        host.write_settings()
        if self.rng.random() < 0.5:
            host.signal(signal.SIGHUP)

    async def stall_store_paths(self):
        for host in self.hosts:
            with host.disturbances:
                host.proxy.stall_connections()

    async def evacuate_zones(self):
        """Evacuates zones in turn. A random source of its own keeps the other
        faults of a seed as they were."""
        while not self.faults_ended:
            await asyncio.sleep(self.evacuation_rng.uniform(0.5, 3))
            zone = self.evacuation_rng.choice(list(REGIONS))
            await self.store.put(f"op/evacuate/{zone}", {})
            acked = time.monotonic()
            await asyncio.sleep(self.evacuation_rng.uniform(0.5, 6))
            self.evacuations.append((zone, acked, time.monotonic()))
            await self.store.remove(f"op/evacuate/{zone}")
