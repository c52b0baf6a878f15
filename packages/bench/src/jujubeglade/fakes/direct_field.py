"""A site of direct jobs in virtual time whose processes and network can fail.

Entries and agents are the product's own; each runs in a process that can be frozen,
killed and restarted, and dials as in production.
"""

import asyncio
import random

from jujubeglade.core import clock
from jujubeglade.direct import job, route
from jujubeglade.fakes import (
    direct_network,
    direct_processes,
    direct_worker,
    virtual,
    virtual_process,
)

_MEMORY_MB = 1 << 20
_SETTLING_MS = 1500
_CLIENT_TIMEOUT_MS = 5000


class EntryHost:
    """The place of an entry, with its current incarnation."""

    __slots__ = ("entry", "name", "process", "requests", "zone")

    def __init__(self, name, zone):
        """Create a place without an entry.

        Args:
          name: A string.
          zone: A string.
        """
        self.name = name
        self.zone = zone
        self.process = None
        self.entry = None
        #: The open Requests, in order; the values are None.
        self.requests = {}


class AgentHost:
    """The place of an agent and its worker, with the agent's current incarnation."""

    __slots__ = (
        "agent",
        "name",
        "process",
        "wall_offset_ms",
        "worker",
        "worker_process",
        "zone",
    )

    def __init__(self, worker, worker_process, zone):
        """Create a place without an agent.

        Args:
          worker: A SimulatedWorker.
          worker_process: A Process.
          zone: A string.
        """
        self.name = worker.name
        self.zone = zone
        #: By how much the wall clock of the agent's next incarnation is ahead.
        self.wall_offset_ms = 0.0
        self.worker = worker
        self.worker_process = worker_process
        self.process = None
        self.agent = None


class FieldSite:
    """Entries, agents and workers that fail in all ways of the field."""

    def __init__(self, seed):
        """Create a site without processes; use `open_field`.

        Args:
          seed: An integer, of all random choices.
        """
        self.rng = random.Random(seed)
        self.witness = direct_worker.Witness()
        self.loop = asyncio.get_running_loop()
        self.clock = virtual.VirtualClock(self.loop)
        self.network = direct_network.Network()
        self.entries = []
        self.agents = []
        self._processes = []
        self._revision = 0
        self._job_count = 0

    async def add_entry(self, zone):
        """Start an entry.

        Args:
          zone: A string.
        """
        host = EntryHost(f"entry-{len(self.entries)}", zone)
        self.entries.append(host)
        await self.start_entry(host)

    async def add_agent(self, zone, cpu):
        """Start a worker and its agent.

        Args:
          zone: A string.
          cpu: An integer, thousandths of a core.
        """
        name = f"worker-{len(self.agents)}"
        process = self._new_process(name)
        total = job.Resources(cpu, _MEMORY_MB, 0)
        worker = direct_processes.new_worker(
            process, name, total, self.witness, self.rng
        )
        host = AgentHost(worker, process, zone)
        self.agents.append(host)
        await self.start_agent(host)

    async def start_entry(self, host):
        """Start the next incarnation of an entry.

        Args:
          host: An EntryHost.
        """
        host.process = self._new_process(host.name)
        host.entry = host.process.run(
            direct_processes.SimulatedEntry,
            host.process,
            self._new_clock(host.process, 0.0),
            host.name,
            host.zone,
        )
        await host.process.spawn(host.entry.start())
        self.publish()

    async def start_agent(self, host):
        """Start the next incarnation of an agent.

        Args:
          host: An AgentHost.
        """
        former = host.agent
        host.process = self._new_process(host.name)
        client = direct_processes.RemoteWorker(host.worker_process, host.worker)
        host.agent = host.process.run(
            direct_processes.SimulatedAgent,
            host.process,
            self._new_clock(host.process, host.wall_offset_ms),
            client,
            host.zone,
            self.network,
            self._find_entry,
        )
        if former is not None:
            host.agent.read_copy(former)
        await host.process.spawn(host.agent.start())
        self.publish()

    def kill(self, host):
        """Kill an entry or an agent; its links and its clients' connections close.

        Args:
          host: An EntryHost or an AgentHost.
        """
        host.process.kill()
        for pair in self.network.pairs_of(host.name):
            pair.close_end(host.process)
        if isinstance(host, EntryHost):
            for request in list(host.requests):
                request.break_off()
            self.publish()

    def reset(self, host):
        """Reset all links and clients' connections of an entry at one moment.

        Args:
          host: An EntryHost.
        """
        for pair in self.network.pairs_of(host.name):
            pair.reset()
        for request in list(host.requests):
            request.reset()

    def publish(self):
        """Offer the newest views of the store to all processes."""
        self._revision += 1
        names = [host.name for host in self.entries if not host.process.is_killed]
        views = (
            route.Evacuations(self._revision, ()),
            direct_processes.members(names, self._revision),
        )
        processes = [(host.process, host.entry) for host in self.entries]
        processes += [(host.process, host.agent) for host in self.agents]
        for process, program in processes:
            for view in views:
                process.receive(program.offer, view)

    @property
    def job_count(self):
        """Return the number of submissions that were built."""
        return self._job_count

    def submission(self, count, cpu, run_ms, timeout_ms=_CLIENT_TIMEOUT_MS):
        """Build a submission of equal tasks.

        Args:
          count: An integer.
          cpu: An integer, thousandths of a core for each task.
          run_ms: A number, the run time of each task.
          timeout_ms: A number, the client timeout.

        Returns:
          A Submission.
        """
        self._job_count += 1
        step = job.Step(count, job.Resources(cpu, 64, 0), int(run_ms))
        return job.Submission(
            f"{self._job_count:016x}", "parts", f"{cpu} {run_ms}", (step,), timeout_ms
        )

    async def close(self):
        """Cancel all tasks, also those of frozen and killed processes."""
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        for process in self._processes:
            process.discard()
        await asyncio.sleep(0)

    def _find_entry(self, address):
        for host in self.entries:
            is_listening = direct_processes.address_of(host.name) == address
            if is_listening and not host.process.is_killed:
                return host.entry
        return None

    def _new_clock(self, process, wall_offset_ms):
        return virtual_process.ProcessClock(self.loop, process, wall_offset_ms)

    def _new_process(self, name):
        process = virtual_process.Process(name)
        self._processes.append(process)
        return process


async def open_field(zones, agents, cpu, seed=1):
    """Start a site and wait until its processes have exchanged their state.

    Args:
      zones: A tuple of strings; each gets one entry.
      agents: An integer, the number of workers, assigned to the zones in turn.
      cpu: An integer, thousandths of a core of each worker.
      seed: An integer.

    Returns:
      A FieldSite.
    """
    site = FieldSite(seed)
    for zone in zones:
        await site.add_entry(zone)
    for index in range(agents):
        await site.add_agent(zones[index % len(zones)], cpu)
    await asyncio.sleep(clock.seconds(_SETTLING_MS))
    return site
