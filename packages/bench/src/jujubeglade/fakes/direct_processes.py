"""The product's entry and agent as processes in virtual time, without ports or a store.

They run the loops of `entry.Entry` and `agent.Agent`: heartbeats, silence timeouts,
dialing, and what a process does after a suspension.
"""

import asyncio
import types

import result

from jujubeglade.core import clock, settings
from jujubeglade.direct import (
    agent,
    contract,
    entry,
    foreign_attempts,
    platforms,
    worker,
)
from jujubeglade.fakes import direct_clients, direct_site, direct_worker

_HOLD_MS = 1000
#: The round trip of a stop that is refused again at the same moment. Without it, a
#: caller that repeats such a stop at once would never let virtual time pass.
_REFUSAL_MS = 1.0
_NOT_REFUSED = (worker.Answer.OK, worker.Answer.UNKNOWN)
_PORT = 1
_PLATFORM = "simulated"


@platforms.adapter(_PLATFORM)
class _SimulatedPlatform(platforms.Platform):
    """The platform of simulated workers."""

    __slots__ = ()

    def read_configuration(self, entry):
        """Return None; the site offers the operators' views itself."""

    def read_evacuations(self, keys, revision):
        """Return None; the site offers the operators' views itself."""

    def new_worker_client(self, settings, inbound):
        """Return the worker in the settings."""
        return settings.worker

    def new_request_servers(self, settings, entry, inbound):
        """Return None; clients call the entry itself."""


class _Registration:
    """The registration of an entry, which the site does itself."""

    __slots__ = ()

    def check(self, addresses):
        """Do nothing."""


class _OrderedSet(dict):
    """A set in the order of insertion, so that a seed gives the same run each time."""

    __slots__ = ()

    def add(self, item):
        """Add an item."""
        self[item] = None


class _OrderedForeignAttempts(foreign_attempts.ForeignAttempts):
    """Foreign attempts that are stopped in the order of their names."""

    __slots__ = ()

    def update(self, listed_keys):
        """Record the foreign attempts; see `ForeignAttempts.update`."""
        have_ended = super().update(listed_keys & self._keys)
        for key in sorted(listed_keys - self._keys, key=str):
            super().update(self._keys | {key})
        return have_ended


class SimulatedEntry(entry.Entry):
    """An entry without ports or a store."""

    def __init__(self, process, clock, name, zone):
        """Create the entry of a process.

        Args:
          process: A Process.
          clock: A Clock.
          name: A string.
          zone: A string.
        """
        super().__init__(_settings(name, zone, None), clock)
        self.process = process
        self._registration = _Registration()
        self._dispatcher._scheduler._grown_workers = _OrderedSet()
        self._dispatcher._departures = direct_clients.Departures()

    @property
    def identity(self):
        """Return the Identity."""
        return self._identity

    @property
    def departures(self):
        """Return the Departures of the clients."""
        return self._dispatcher._departures

    def offer(self, view):
        """Take a view of the store.

        Args:
          view: A Configuration, an Evacuations or a Members.
        """
        self._cluster_state.offer(view, "store")

    async def start(self):
        """Start the tasks."""
        self._cluster_state.subscribe(self._on_cluster_state)
        self._spawn(self._tick())


class SimulatedAgent(agent.Agent):
    """An agent without ports or a store."""

    def __init__(self, process, clock, worker, zone, network, find_entry):
        """Create the agent of a process.

        Args:
          process: A Process.
          clock: A Clock.
          worker: A RemoteWorker; the agent takes its name.
          zone: A string.
          network: A Network.
          find_entry: A function from an address to the SimulatedEntry that listens
            there, or None.
        """
        super().__init__(_settings(worker.name, zone, worker), clock)
        self.process = process
        foreign = self._runner._foreign
        self._runner._foreign = _OrderedForeignAttempts(
            foreign._background, foreign._stop
        )
        self._network = network
        self._find_entry = find_entry

    def read_copy(self, former):
        """Read what an earlier incarnation has left in the store.

        These are its fencing token and the crashes of its worker.

        Args:
          former: A SimulatedAgent.
        """
        self._runner.succeed_token(former._runner.token_floor)
        self._runner.crash_watch.recall(former._runner.crash_watch.recent)

    @property
    def identity(self):
        """Return the Identity."""
        return self._identity

    @property
    def runner(self):
        """Return the Runner."""
        return self._runner

    def offer(self, view):
        """Take a view of the store.

        Args:
          view: An Evacuations or a Members.
        """
        self._cluster_state.offer(view, "store")

    async def start(self):
        """Start the tasks."""
        self._cluster_state.subscribe(self._on_cluster_state)
        await self._worker_client.open(_Reports(self.process, self._runner))
        self._spawn(self._runner.run())
        self._spawn(self._tick())
        self._dial_entries()

    async def dial(self, address, connect_ms):
        """Open a link to an entry; see `Agent.dial`."""
        if self.process.is_killed:
            return result.Err("killed")
        return await self._network.dial(self, self._find_entry(address), connect_ms)


class _Reports:
    """Passes the reports of a worker to the process of its agent."""

    __slots__ = ("_process", "_runner")

    def __init__(self, process, runner):
        self._process = process
        self._runner = runner

    def on_report(self, report):
        """Pass a report on."""
        self._process.receive(self._runner.on_report, report)

    def on_left(self, name):
        """Pass a departure on."""
        self._process.receive(self._runner.on_left, name)


class RemoteWorker(worker.WorkerClient):
    """The calls of an agent to a simulated worker that runs on while it is frozen."""

    __slots__ = ("_loop", "_process", "_refused", "worker")

    def __init__(self, process, simulated):
        """Create the client.

        Args:
          process: A Process, that of the worker.
          simulated: A SimulatedWorker.
        """
        self._loop = asyncio.get_running_loop()
        self._process = process
        # When a stop of a task was last refused, on the loop's clock in s.
        self._refused = {}
        self.worker = simulated

    @property
    def name(self):
        """Return the name of the worker."""
        return self.worker.name

    async def open(self, listener):
        """Start to receive the worker's reports; see `WorkerClient.open`."""
        self.worker.attach(listener)
        self.worker.start_reports()

    async def close(self):
        """Do nothing; see `WorkerClient.close`."""

    async def start(self, target, start):
        """Start a task; see `WorkerClient.start`."""
        return await self._call(self.worker.start(target, start))

    async def stop(self, target, task, run):
        """Stop an attempt; see `WorkerClient.stop`."""
        reply = await self._call(self.worker.stop(target, task, run))
        if reply.answer not in _NOT_REFUSED:
            if self._refused.get(task) == self._loop.time():
                await asyncio.sleep(clock.seconds(_REFUSAL_MS))
            self._refused[task] = self._loop.time()
        return reply

    async def poll(self, target, cursor, lease_until_ms, wait_ms):
        """Extend the lease and list the attempts; see `WorkerClient.poll`."""
        call = self.worker.poll(target, cursor, lease_until_ms, wait_ms)
        return await self._call(call)

    async def _call(self, call):
        return await self._process.spawn(call)


def new_worker(process, name, total, witness, rng):
    """Make a simulated worker.

    Args:
      process: A Process, in which its timers run.
      name: A string.
      total: A Resources.
      witness: A Witness.
      rng: A random.Random.

    Returns:
      A SimulatedWorker.
    """
    simulated = process.run(direct_worker.SimulatedWorker, name, total, witness, rng)
    simulated.hold_ms = _HOLD_MS
    return simulated


def address_of(name):
    """Return the address at which an entry listens.

    Args:
      name: A string.

    Returns:
      A string, HOST:PORT.
    """
    return f"{name}:{_PORT}"


def members(names, revision):
    """Make the view of the entries that are registered.

    Args:
      names: A list of strings.
      revision: An integer.

    Returns:
      A Members.
    """
    return contract.Members(revision, tuple(address_of(name) for name in names))


def _settings(name, zone, worker):
    return types.SimpleNamespace(
        name=name,
        zone=zone,
        cluster_key="",
        platform=_PLATFORM,
        hold_ms=_HOLD_MS,
        resubmit_ms=direct_site.RESUBMIT_DELAY_MS,
        contact_timeout_ms=3000,
        report_interval_ms=1500,
        coordinate_from=0,
        inbound=settings.Inbound(),
        seeds=(),
        stream=types.SimpleNamespace(port=_PORT),
        worker=worker,
    )
