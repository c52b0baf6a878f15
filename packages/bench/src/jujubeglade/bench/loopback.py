"""All roles in one process on loopback, over real sockets.

The demo and in-process tests use it. Entries, agents, upstreams and the store are the
same objects as in separate processes; only a real kill of a process isn't possible.

    async with loopback.start(workers=6) as cluster:
        cluster.entry_urls    # where clients and operators call
"""

import asyncio
import contextlib

from jujubeglade.agent import agent
from jujubeglade.bench import ports
from jujubeglade.core import clock, settings
from jujubeglade.entry import entry
from jujubeglade.fakes import store, upstream

CALLER_TOKENS = {"workshop": "token-of-the-workshop", "hotel": "token-of-the-hotel"}
OPERATOR_TOKENS = {"duty": "token-of-the-duty-desk"}
CLUSTER_KEY = "key-of-the-loopback-cluster"
_HOST = "127.0.0.1"
_READY_TIMEOUT_MS = 10_000
_POLL_INTERVAL_MS = 20


class Loopback:
    """The parts of a cluster in this process."""

    def __init__(self, zones, service):
        """Create an empty cluster; use `start`.

        Args:
          zones: A tuple of strings, given to entries and workers in turn.
          service: A string, the service of the upstreams.
        """
        self._zones = zones
        self._service = service
        self.store = None
        self.entries = []
        self.agents = []
        self.upstreams = []

    @property
    def entry_urls(self):
        """Return the base URLs of the entries."""
        return [f"http://{_HOST}:{entry_.http_port}" for entry_ in self.entries]

    async def open(self, entries, workers):
        """Start all parts and wait until every entry serves every worker.

        Args:
          entries: An integer.
          workers: An integer.
        """
        self.store = await store.start()
        numbers = ports.free(entries)
        streams = {
            f"entry-{number}": f"{_HOST}:{port}"
            for number, port in enumerate(numbers, start=1)
        }
        for number, name in enumerate(streams):
            await self._open_entry(name, self._zone(number), streams)
        for number in range(workers):
            await self._open_worker(number, streams)
        await self._wait_ready(workers)

    async def close(self):
        """Stop all parts gracefully, the entries first."""
        for entry_ in self.entries:
            await entry_.stop()
        for fake in self.upstreams:
            await fake.close()
        for agent_ in self.agents:
            await agent_.stop()
        if self.store is not None:
            await self.store.close()

    async def kill_agent(self, agent_):
        """Close an agent at once, as if its process had died.

        Its upstream keeps running and gets no answer to its announcements.

        Args:
          agent_: An Agent, one of `agents`.
        """
        self.agents.remove(agent_)
        await agent_.close()

    def _zone(self, number):
        return self._zones[number % len(self._zones)]

    def _common_settings(self, name, zone, streams):
        return {
            "name": name,
            "zone": zone,
            "rack": f"rack-of-{name}",
            "cluster_key": CLUSTER_KEY,
            "http": f"{_HOST}:0",
            "metrics": f"{_HOST}:0",
            "entries": streams,
        }

    async def _open_entry(self, name, zone, streams):
        mapping = self._common_settings(name, zone, streams) | {
            "role": "entry",
            "stream": streams[name],
            "store": {"address": self.store.address},
            "caller_tokens": CALLER_TOKENS,
            "operator_tokens": OPERATOR_TOKENS,
        }
        entry_ = entry.new_entry(settings.from_mapping(mapping, name).unwrap())
        self.entries.append(entry_)
        await entry_.start()

    async def _open_worker(self, number, streams):
        name = f"worker-{number + 1}"
        zone = self._zone(number)
        mapping = self._common_settings(name, zone, streams) | {
            "role": "agent",
            "stream": f"{_HOST}:0",
            "announce": f"{_HOST}:0",
        }
        agent_ = agent.new_agent(settings.from_mapping(mapping, name).unwrap())
        self.agents.append(agent_)
        await agent_.start()
        fake = upstream.FakeUpstream(name, zone, self._service)
        self.upstreams.append(fake)
        await fake.start(f"http://{_HOST}:{agent_.announce_port}")

    async def _wait_ready(self, workers):
        async with asyncio.timeout(clock.seconds(_READY_TIMEOUT_MS)):
            while not all(self._is_ready(entry_, workers) for entry_ in self.entries):
                await asyncio.sleep(clock.seconds(_POLL_INTERVAL_MS))

    def _is_ready(self, entry_, workers):
        serving = [
            presence
            for presence in entry_.membership.live_agents()
            if self._service in presence.member.services
        ]
        permit = entry_.freshness.permit(entry_.clock.now_ms())
        return len(serving) == workers and permit.remaining_ms > 0


@contextlib.asynccontextmanager
async def start(workers, entries=3, zones=("north", "south", "west"), service="parts"):
    """Start a cluster in this process and stop it when the block ends.

    Args:
      workers: An integer.
      entries: An integer.
      zones: A tuple of strings.
      service: A string, the service of the upstreams.

    Yields:
      A Loopback that is ready.
    """
    cluster = Loopback(zones, service)
    try:
        await cluster.open(entries, workers)
        yield cluster
    finally:
        await cluster.close()
