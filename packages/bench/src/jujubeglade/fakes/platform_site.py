"""A small site of the users' platform on loopback, for trials and tests.

Entries and agents are the product's own, with the adapter of `platform/`, and use real
sockets. The store, the workers, the clients and the operator are stand-ins.
"""

import asyncio
import dataclasses

import aiohttp

from jujubeglade.bench import ports
from jujubeglade.core import settings
from jujubeglade.direct import agent, entry
from jujubeglade.fakes import direct_worker, platform_store, platform_worker
from jujubeglade.platform import _adapter, _store

HOST = "parts.example"
PREFIX = "/stock/"
_SERVICE = "parts"
_ENTRY_HOST_PREFIX = "127.0.1."
# Importing the adapter and the driver registers them.
_REGISTERED = (_adapter, _store)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a client's request.

    Attributes:
      status: An integer, the HTTP status; 0 when the connection broke.
      fields: A dict, the body.
      headers: A mapping.
      took_ms: A float, the response time.
    """

    status: int
    fields: dict
    headers: dict
    took_ms: float


class PlatformSite:
    """The processes of the site, and their stand-ins."""

    def __init__(self):
        """Create a site without processes; `open` starts them."""
        self.store = platform_store.PlatformStore()
        self.witness = direct_worker.Witness()
        self.entries = []
        self.agents = []
        self.workers = []
        self.store_ports = []
        self._session = None
        self._version = 0
        self._worker_ports = []
        self._stream_port = 0
        self._client_port = 0
        self._ready_port = 0

    async def open(self, entries, workers, *, configured=True):
        """Start the site and wait until its processes have exchanged their state.

        Args:
          entries: An integer.
          workers: An integer.
          configured: A boolean, whether the operator has written a configuration.
        """
        free_ports = ports.free(3 + entries + 3 * workers)
        self._stream_port, self._client_port, self._ready_port = free_ports[:3]
        self.store_ports = free_ports[3 : 3 + entries + workers]
        self._worker_ports = free_ports[3 + entries + workers :]
        await self.store.open(self.store_ports)
        self._session = aiohttp.ClientSession()
        if configured:
            self.configure()
        for index in range(entries):
            await self.start_entry(index)
        for index in range(workers):
            await self.start_agent(index)
            control_port, worker_port = self._worker_ports[2 * index : 2 * index + 2]
            worker = platform_worker.PlatformWorker(
                f"w-{index}", f"127.0.0.1:{control_port}", self.witness
            )
            await worker.open(worker_port)
            self.workers.append(worker)
        await self.settle()

    async def settle(self):
        """Wait until the processes have exchanged their state."""
        await asyncio.sleep(0.6)

    def client_address(self, index):
        """Return the address of an entry for clients, as a pair of host and port."""
        return f"{_ENTRY_HOST_PREFIX}{index + 1}", self._client_port

    async def close(self):
        """Stop everything."""
        await self._session.close()
        for worker in self.workers:
            await worker.close()
        for process in (*self.agents, *self.entries):
            await process.close()
        await self.store.close()

    def configure(self, extra_routes=0, **changes):
        """Write the next version of the configuration.

        Args:
          extra_routes: An integer, the number of routes without traffic.
          **changes: Fields of the route that differ from the defaults below.
        """
        self._version += 1
        route = {
            "name": "r-stock",
            "host": HOST,
            "prefix": PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": 1500,
            "targetLatencyMs": 60,
            "priority": 0,
            "service": _SERVICE,
            "maxAttempts": 3,
            "slackFactor": 1.6,
        }
        service = {"name": _SERVICE, "healthPath": "/health", "admissionCheck": False}
        fields = {
            "version": self._version,
            "routes": [route | changes, *_idle_routes(route, extra_routes)],
            "services": [service],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("op/config", fields)

    async def start_entry(self, index):
        """Start the entry with an index, or replace it by a new one."""
        started_entry = entry.new_entry(
            settings.from_mapping(self.entry_settings(index), "s").unwrap()
        )
        await started_entry.start()
        self.entries[index : index + 1] = [started_entry]

    async def start_agent(self, index):
        """Start the agent with an index, or replace it by a new one."""
        started_agent = agent.new_agent(
            settings.from_mapping(self.agent_settings(index), "s").unwrap()
        )
        await started_agent.start()
        self.agents[index : index + 1] = [started_agent]

    def entry_settings(self, index):
        """Build the settings of an entry, in the form of the settings template."""
        host = f"{_ENTRY_HOST_PREFIX}{index + 1}"
        own = {
            "clients": f"{host}:{self._client_port}",
            "readiness": f"{host}:{self._ready_port}",
        }
        return self._settings("direct-entry", f"entry-{index}", host, index) | own

    def agent_settings(self, index):
        """Build the settings of an agent, in the form of the settings template."""
        control_port, worker_port = self._worker_ports[2 * index : 2 * index + 2]
        own = {
            "control": f"127.0.0.1:{control_port}",
            "worker": f"127.0.0.1:{worker_port}",
        }
        number = len(self.store_ports) - len(self._worker_ports) // 2 + index
        name = f"agent-{index}"
        return self._settings("direct-agent", name, "127.0.0.1", number) | own

    def _settings(self, role, name, host, number):
        return {
            "role": role,
            "name": name,
            "zone": f"zone-{number % 2}",
            "platform": "users",
            "cluster_key": "streams-of-this-installation",
            "log_level": "error",
            "stream": f"{host}:{self._stream_port}",
            "seeds": [f"{_ENTRY_HOST_PREFIX}1:1", f"{_ENTRY_HOST_PREFIX}2:1"],
            "store": {
                "driver": "platform",
                "address": f"http://127.0.0.1:{self.store_ports[number]}",
                "timeout_ms": 1000,
            },
        }

    async def request(self, index, method, path, body=None, timeout_ms=5000):
        """Send a client's request to an entry.

        Args:
          index: An integer, the index of the entry.
          method: A string.
          path: A string.
          body: A value to send as JSON, or bytes.
          timeout_ms: An integer, the client timeout.

        Returns:
          A Reply.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        host, port = self.client_address(index)
        url = f"http://{host}:{port}{path}"
        headers = {"Host": HOST, "X-Deadline-Ms": str(timeout_ms)}
        content = {"data": body} if isinstance(body, bytes) else {"json": body}
        try:
            async with self._session.request(
                method, url, headers=headers, **content
            ) as answer:
                fields = await answer.json()
                took_ms = (loop.time() - started) * 1000
                return Reply(answer.status, fields, answer.headers, took_ms)
        except aiohttp.ClientError:
            return Reply(0, {}, {}, (loop.time() - started) * 1000)

    async def ready(self, index):
        """Request an entry's readiness, as the load balancer does.

        Returns:
          An integer, the HTTP status.
        """
        host = f"{_ENTRY_HOST_PREFIX}{index + 1}:{self._ready_port}"
        url = f"http://{host}/jujubeglade/readiness"
        async with self._session.get(url) as answer:
            return answer.status


def _idle_routes(route, count):
    """Copy a route under other names and hosts.

    Args:
      route: A dict.
      count: An integer.

    Returns:
      A list of dicts.
    """
    return [
        route | {"name": f"r-idle-{index}", "host": f"idle-{index}.example"}
        for index in range(count)
    ]


def job(count, cores, run_ms, **changes):
    """Build the body of a submission with one step.

    Args:
      count: An integer, the number of tasks.
      cores: An integer, for each task.
      run_ms: An integer, the run time of each task.
      **changes: Fields of the step that differ from the defaults below.

    Returns:
      A dict.
    """
    step = {
        "count": count,
        "cpu": cores * 1000,
        "requestedMemoryMb": 64,
        "estimatedRuntimeMs": run_ms,
    }
    return {
        "bestEffort": True,
        "spec": f"{cores * 1000} {run_ms}",
        "steps": [step | changes],
    }
