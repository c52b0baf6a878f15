"""A site of direct jobs in virtual time: entries, agents and workers in one process.

The dispatchers and runners are the product's own. The links between them are delayed
queues in memory and the workers are simulated, so that a minute of load or of faults
takes about a second and gives the same result each time.
"""

import asyncio
import collections
import dataclasses
import random

from jujubeglade.core import clock, link, metrics
from jujubeglade.direct import (
    announcer,
    cluster_state,
    contract,
    dispatcher,
    job,
    options,
    owners,
    route,
    runner,
)
from jujubeglade.fakes import direct_worker, virtual

_DELAY_MS = 1.5
_TICK_INTERVAL_MS = 50
#: Clients submit again this long after their connection broke.
RESUBMIT_DELAY_MS = 1300
#: The age of a worker's report up to which attempts start by it.
REPORT_VALID_MS = 4100
ROUTE = route.Route("parts", "host", "/", "parts", 0, 3, 1.6, 60.0, False)


@dataclasses.dataclass(frozen=True, slots=True)
class Variety:
    """How the workers of a site differ.

    Attributes:
      sizes: A tuple of numbers, factors of the resources that the workers have in turn.
      slowdowns: A tuple of numbers, the same for the run times of tasks.
      rack_size: An integer, the workers of a rack; 0 for no racks.
      remote_penalty: A number, the factor of the run time outside of a task's rack.
    """

    sizes: tuple = (1.0,)
    slowdowns: tuple = (1.0,)
    rack_size: int = 0
    remote_penalty: float = 1.0

    def size(self, index):
        """Return the factor of a worker's resources.

        Args:
          index: An integer, of the worker.
        """
        return self.sizes[index % len(self.sizes)]

    def apply(self, worker, zone, position):
        """Set what a worker differs in, and report it.

        Args:
          worker: A SimulatedWorker.
          zone: A string.
          position: An integer, of the worker in its zone.
        """
        worker.slowdown = self.slowdowns[position % len(self.slowdowns)]
        worker.remote_penalty = self.remote_penalty
        if self.rack_size:
            worker.labels = (f"{zone}-{position // self.rack_size}",)
            worker.report()


UNIFORM = Variety()


class MemoryLink:
    """One end of a link in memory, with the interface of `core.link.Link`."""

    __slots__ = (
        "_closed",
        "_handler",
        "_loop",
        "_peer",
        "_in_transit",
        "delay_ms",
        "last_received_ms",
        "is_open",
        "remote",
    )

    def __init__(self, remote, handler):
        """Create one end; `Site.connect` joins two of them.

        Args:
          remote: An Identity, of the other side.
          handler: An object with `on_message(link, body)`.
        """
        self.remote = remote
        self.is_open = True
        #: The delay of the messages sent from this end, which may only be raised.
        self.delay_ms = _DELAY_MS
        self._handler = handler
        self._peer = None
        self._in_transit = collections.deque()
        self._loop = asyncio.get_running_loop()
        self._closed = self._loop.create_future()
        self.last_received_ms = self._loop.time() * clock.MILLISECONDS_PER_SECOND

    def join(self, peer):
        """Set the other end."""
        self._peer = peer

    @property
    def peer(self):
        """Return the other end."""
        return self._peer

    @property
    def last_sent(self):
        """Return the message that was sent last and is still in transit."""
        return self._in_transit[-1]

    def send(self, body, encoded=None):
        """Deliver a message after the delay, if the link is still open then."""
        if self.is_open:
            self._in_transit.append(body)
            self._loop.call_later(clock.seconds(self.delay_ms), self._deliver)
        return self.is_open

    def _deliver(self):
        """Deliver the oldest message in transit.

        Timers that are due at the same time may fire in any order, so that a timer
        isn't bound to a message.
        """
        body = self._in_transit.popleft()
        if self.is_open:
            self._peer.receive(body)

    def receive(self, body):
        """Pass a message to the handler, if the link is still open."""
        if self.is_open:
            self.last_received_ms = self._loop.time() * clock.MILLISECONDS_PER_SECOND
            self._handler.on_message(self, body)

    def abort(self):
        """Close both ends."""
        for end in (self, self._peer):
            if end.is_open:
                end.is_open = False
                end._closed.set_result(None)

    close = abort

    async def wait_closed(self):
        """Wait until the link is closed."""
        await asyncio.shield(self._closed)


@dataclasses.dataclass(slots=True)
class Node:
    """One incarnation of an agent, and its worker."""

    identity: link.Identity
    worker: direct_worker.SimulatedWorker
    runner: runner.Runner
    owners: dict
    announcer: announcer.Announcer
    task: asyncio.Task
    frozen: bool = False

    def on_message(self, entry_link, body):
        """Handle a message of an entry, as `agent.Agent` does."""
        owner = self.owners[entry_link.remote.incarnation]
        if owner.link is not entry_link:
            return
        owner.note_received(entry_link.last_received_ms)
        if isinstance(body, contract.Begin):
            self.runner.begin(owner, body)
        elif isinstance(body, contract.Halt):
            self.runner.halt(owner, body)
        elif isinstance(body, contract.Beat):
            self.announcer.on_beat(owner, body)

    def room(self):
        """Build the room message for the entries."""
        return self.runner.room(0, 0, 0, self.owners.values())


class Site:
    """Entries, agents and workers."""

    def __init__(self, seed, options=options.NO_OPTIONS):
        """Create a site without processes; use `open_site`.

        Args:
          seed: An integer, of the random choices of the workers.
          options: An Options.
        """
        self.options = options
        self.rng = random.Random(seed)
        self.witness = direct_worker.Witness()
        self.loop = asyncio.get_running_loop()
        self.clock = virtual.VirtualClock(self.loop)
        self.cluster_state = cluster_state.new_cluster_state()
        self.entries = []
        # The Metrics of each entry, by its incarnation.
        self.metrics = {}
        self.nodes = []
        # Events by incarnation, set when the entry is killed.
        self.killed = {}
        self._incarnation_count = 0
        self._job_count = 0

    def add_entry(self, zone):
        """Start an entry and connect all agents to it.

        Returns:
          A Dispatcher.
        """
        name = f"entry-{len(self.entries)}"
        entry_metrics = metrics.open_metrics()
        entry = dispatcher.Dispatcher(
            self.clock,
            zone,
            1000,
            self.cluster_state,
            entry_metrics,
            self.options,
            name,
        )
        self._incarnation_count += 1
        identity = link.Identity(
            "entry", name, f"{name}.{self._incarnation_count}", zone
        )
        self.entries.append((identity, entry))
        self.metrics[identity.incarnation] = entry_metrics
        self._register_entries()
        self.killed[identity.incarnation] = asyncio.Event()
        for node in self.nodes:
            self.connect(node, identity, entry)
        return entry

    def _register_entries(self):
        """Publish the list of entries to all processes, as the store does."""
        names = tuple(identity.name for identity, _ in self.entries)
        revision = self.cluster_state.members.revision + 1
        self.cluster_state.offer(contract.Members(revision, names), "store")

    async def add_node(self, zone, cpu):
        """Start a worker and its agent, and connect the agent to all entries.

        Returns:
          A Node.
        """
        name = f"worker-{len(self.nodes)}"
        total = job.Resources(cpu, 1 << 20, 0)
        worker = direct_worker.SimulatedWorker(name, total, self.witness, self.rng)
        node = self._new_node(name, zone, worker)
        self.nodes.append(node)
        for identity, entry in self.entries:
            self.connect(node, identity, entry)
        await worker.open(node.runner)
        return node

    def _new_node(self, name, zone, worker):
        self._incarnation_count += 1
        identity = link.Identity(
            "agent", name, f"{name}.{self._incarnation_count}", zone
        )
        node = Node(identity, worker, None, {}, None, None)
        node_metrics = metrics.open_metrics()
        node.announcer = announcer.new_announcer(
            self.clock,
            node.owners,
            node.room,
            lambda: self.options.coordinates(len(self.entries)),
            node_metrics,
        )
        node.runner = runner.Runner(
            worker,
            self.clock,
            runner.Limits(worker.hold_ms, RESUBMIT_DELAY_MS, REPORT_VALID_MS),
            lambda: False,
            node.announcer,
            node_metrics,
        )
        node.task = self.loop.create_task(node.runner.run())
        return node

    async def lose_agent(self, index):
        """Kill an agent; its worker keeps running.

        Returns:
          The Node.
        """
        node = self.nodes[index]
        node.task.cancel()
        await node.runner.close()
        for owner in node.owners.values():
            owner.link.abort()
        node.owners.clear()
        return node

    async def restart_node(self, index):
        """Kill an agent and start its next incarnation for the same worker."""
        former = await self.lose_agent(index)
        node = self._new_node(former.identity.name, former.identity.zone, former.worker)
        self.nodes[index] = node
        for identity, entry in self.entries:
            self.connect(node, identity, entry)
        former.worker.attach(node.runner)

    def connect(self, node, identity, entry):
        """Open a link between an agent and an entry.

        Args:
          node: A Node.
          identity: An Identity, of the entry.
          entry: A Dispatcher.
        """
        agent_end = MemoryLink(identity, node)
        entry_end = MemoryLink(node.identity, entry)
        agent_end.join(entry_end)
        entry_end.join(agent_end)
        now_ms = self.clock.elapsed_ms()
        owner = node.owners.get(identity.incarnation)
        if owner is None:
            owner = node.owners[identity.incarnation] = owners.Owner(agent_end, now_ms)
        else:
            owner.relink(agent_end, now_ms)
        entry.on_link(entry_end)
        self.loop.create_task(self._watch_link(entry, entry_end))
        owner.send(node.runner.roster(owner))
        owner.send(contract.Crashes(node.runner.crash_watch.recent))
        node.announcer.send_room(owner)

    async def _watch_link(self, entry, entry_end):
        await entry_end.wait_closed()
        entry.on_link_lost(entry_end)

    def lose_entry(self, index):
        """Kill an entry: its links close and its clients get no answer."""
        identity, _ = self.entries.pop(index)
        self.killed[identity.incarnation].set()
        self._register_entries()
        for node in self.nodes:
            owner = node.owners.get(identity.incarnation)
            if owner is not None:
                owner.link.abort()

    async def tick(self):
        """Send heartbeats and drop silent owners until cancelled."""
        while True:
            await asyncio.sleep(clock.seconds(_TICK_INTERVAL_MS))
            for _, entry in self.entries:
                entry.heartbeats.send()
                entry.tick()
            for node in self.nodes:
                now_ms = self.clock.elapsed_ms()
                owners.drop_silent(node.owners, node.runner, now_ms)
                node.announcer.send_heartbeats()

    def submission(self, count, cpu, run_ms, timeout_ms=5000, estimate=1.0):
        """Build a submission of equal tasks.

        Args:
          count: An integer.
          cpu: An integer, thousandths of a core for each task.
          run_ms: A number, the real run time of each task.
          timeout_ms: A number, the client timeout.
          estimate: A number, the estimated run time as a multiple of the real one.

        Returns:
          A Submission.
        """
        self._job_count += 1
        needs = job.Resources(cpu, 64, 0)
        step = job.Step(count, needs, int(run_ms * estimate))
        spec = f"{cpu} {run_ms}"
        return job.Submission(
            f"{self._job_count:016x}", "parts", spec, (step,), timeout_ms
        )


async def open_site(
    zones, nodes, cpu, seed=1, options=options.NO_OPTIONS, variety=UNIFORM
):
    """Start a site and wait until its processes have exchanged their state.

    Args:
      zones: A tuple of strings; each gets one entry.
      nodes: An integer, the number of workers, assigned to the zones in turn.
      cpu: An integer, thousandths of a core of each worker.
      seed: An integer.
      options: An Options.
      variety: A Variety.

    Returns:
      A Site.
    """
    site = Site(seed, options)
    for zone in zones:
        site.add_entry(zone)
    distinct_zones = sorted(set(zones), key=zones.index)
    for index in range(nodes):
        zone = distinct_zones[index % len(distinct_zones)]
        node = await site.add_node(zone, int(cpu * variety.size(index)))
        variety.apply(node.worker, zone, index // len(distinct_zones))
    site.ticker = asyncio.create_task(site.tick())
    await asyncio.sleep(1.1)
    return site
