"""All roles in one process on loopback, over real sockets.

The demo and in-process tests use it: entries, agents, upstreams and the store are
the same objects as in separate processes, so nothing is left out but the kills.

    async with loopback.start(workers=6) as held:
        held.entry_urls    # where clients and operators call
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
_READY_MS = 10_000
_POLL_MS = 20


class Loopback:
    """The parts of a cluster in this process."""

    def __init__(self, zones, service):
        """Start without parts; use `start`.

        Args:
          zones: A tuple of strings; entries and workers take turns.
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
        return [f"http://{_HOST}:{each.http_port}" for each in self.entries]

    async def open(self, entries, workers):
        """Start all parts and wait until they know each other.

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
        """Stop all parts gracefully, the callers' side first."""
        for each in self.entries:
            await each.stop()
        for each in self.upstreams:
            await each.close()
        for each in self.agents:
            await each.stop()
        if self.store is not None:
            await self.store.close()

    async def kill_agent(self, agent_):
        """Close an agent at once, as if its process had died.

        Its upstream lives on and announces itself in vain.

        Args:
          agent_: An Agent, one of `agents`.
        """
        self.agents.remove(agent_)
        await agent_.close()

    def _zone(self, number):
        return self._zones[number % len(self._zones)]

    def _common(self, name, zone, streams):
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
        mapping = self._common(name, zone, streams) | {
            "role": "entry",
            "stream": streams[name],
            "store": {"address": self.store.address},
            "caller_tokens": CALLER_TOKENS,
            "operator_tokens": OPERATOR_TOKENS,
        }
        made = entry.new_entry(settings.from_mapping(mapping, name).unwrap())
        self.entries.append(made)
        await made.start()

    async def _open_worker(self, number, streams):
        name = f"worker-{number + 1}"
        zone = self._zone(number)
        mapping = self._common(name, zone, streams) | {
            "role": "agent",
            "stream": f"{_HOST}:0",
            "announce": f"{_HOST}:0",
        }
        made = agent.new_agent(settings.from_mapping(mapping, name).unwrap())
        self.agents.append(made)
        await made.start()
        fake = upstream.FakeUpstream(name, zone, self._service)
        self.upstreams.append(fake)
        await fake.start(f"http://{_HOST}:{made.announce_port}")

    async def _wait_ready(self, workers):
        async with asyncio.timeout(clock.seconds(_READY_MS)):
            while not all(self._is_ready(each, workers) for each in self.entries):
                await asyncio.sleep(clock.seconds(_POLL_MS))

    def _is_ready(self, each, workers):
        serving = [
            presence
            for presence in each.membership.live_agents()
            if self._service in presence.member.services
        ]
        granted = each.freshness.permit(each.clock.now_ms())
        return len(serving) == workers and granted.remaining_ms > 0


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
    held = Loopback(zones, service)
    try:
        await held.open(entries, workers)
        yield held
    finally:
        await held.close()
