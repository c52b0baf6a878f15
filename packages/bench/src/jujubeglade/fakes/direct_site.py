"""A site of direct jobs in virtual time: entries, agents and workers in one process.

The dispatchers and runners are the product's own; the streams between them are
delayed queues and the workers are simulated, so that a minute of load or of faults
is played in a second and comes out the same each time.
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
    owners,
    route,
    runner,
)
from jujubeglade.fakes import direct_worker, virtual

_DELAY_MS = 1.5
_TICK_MS = 50
ROUTE = route.Route("parts", "host", "/", "parts", 0, 3, 1.6, 60.0, False)


class MemoryLink:
    """One end of a stream that lives in memory."""

    __slots__ = (
        "_closed",
        "_handler",
        "_loop",
        "_peer",
        "_under_way",
        "last_received_ms",
        "is_open",
        "remote",
    )

    def __init__(self, remote, handler):
        """Make one end; `connect` joins two.

        Args:
          remote: An Identity, of the other side.
          handler: An object with `on_message(link, body)`.
        """
        self.remote = remote
        self.is_open = True
        self._handler = handler
        self._peer = None
        self._under_way = collections.deque()
        self._loop = asyncio.get_running_loop()
        self._closed = self._loop.create_future()
        self.last_received_ms = self._loop.time() * clock.MILLISECONDS_PER_SECOND

    def join(self, peer):
        """Name the other end."""
        self._peer = peer

    def send(self, body, encoded=None):
        """Deliver a message after the delay, if the link is still open then."""
        if self.is_open:
            self._under_way.append(body)
            self._loop.call_later(clock.seconds(_DELAY_MS), self._deliver)
        return self.is_open

    def _deliver(self):
        """Hand the oldest message on: timers of one moment may run in any order."""
        body = self._under_way.popleft()
        if self.is_open:
            self._peer.receive(body)

    def receive(self, body):
        """Take a message."""
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
    """One agent and its worker."""

    identity: link.Identity
    worker: direct_worker.SimulatedWorker
    runner: runner.Runner
    owners: dict
    announcer: announcer.Announcer
    task: asyncio.Task
    frozen: bool = False

    def on_message(self, opened, body):
        """Take a message of an entry, as `agent.Agent` does."""
        owner = self.owners[opened.remote.incarnation]
        if owner.link is not opened:
            return
        owner.last_received_ms = opened.last_received_ms
        if isinstance(body, contract.Begin):
            self.runner.begin(owner, body)
        elif isinstance(body, contract.Halt):
            self.runner.halt(owner, body)
        elif isinstance(body, contract.Beat):
            owner.room_needed_by_ms = opened.last_received_ms + body.slack_ms

    def room(self, owner):
        """Describe the room for an entry."""
        return self.runner.room(owner, 0, 0)


class Site:
    """Entries, agents and workers."""

    def __init__(self, seed):
        """Build nothing yet; use `open_site`."""
        self.chance = random.Random(seed)
        self.witness = direct_worker.Witness()
        self.loop = asyncio.get_running_loop()
        self.clock = virtual.VirtualClock(self.loop)
        self.cluster_state = cluster_state.new_cluster_state()
        self.entries = []
        self.nodes = []
        # By incarnation, set when the entry is killed.
        self.killed = {}
        self._lives = 0
        self._ids = 0

    def add_entry(self, zone):
        """Start an entry."""
        held = dispatcher.Dispatcher(
            self.clock, zone, 1000, self.cluster_state, metrics.open_metrics()
        )
        self._lives += 1
        name = f"entry-{len(self.entries)}"
        identity = link.Identity("entry", name, f"{name}.{self._lives}", zone)
        self.entries.append((identity, held))
        self._register_entries()
        self.killed[identity.incarnation] = asyncio.Event()
        for node in self.nodes:
            self.connect(node, identity, held)
        return held

    def _register_entries(self):
        """Let everyone know which entries there are, as the store does."""
        names = tuple(identity.name for identity, _ in self.entries)
        revision = self.cluster_state.members.revision + 1
        self.cluster_state.offer(contract.Members(revision, names), "store")

    async def add_node(self, zone, cpu):
        """Start a worker and its agent."""
        name = f"worker-{len(self.nodes)}"
        total = job.Resources(cpu, 1 << 20, 0)
        held = direct_worker.SimulatedWorker(name, total, self.witness, self.chance)
        node = self._new_life(name, zone, held)
        self.nodes.append(node)
        for identity, entry in self.entries:
            self.connect(node, identity, entry)
        await held.open(node.runner)
        return node

    def _new_life(self, name, zone, held):
        self._lives += 1
        identity = link.Identity("agent", name, f"{name}.{self._lives}", zone)
        node = Node(identity, held, None, {}, None, None)
        node.announcer = announcer.new_announcer(self.clock, node.owners, node.room)
        node.runner = runner.Runner(
            held,
            self.clock,
            held.hold_ms,
            lambda: False,
            node.announcer,
            metrics.open_metrics(),
        )
        node.task = self.loop.create_task(node.runner.run())
        return node

    async def restart_node(self, index):
        """Kill an agent and start its next life beside the same worker."""
        former = self.nodes[index]
        former.task.cancel()
        await former.runner.close()
        for owner in former.owners.values():
            owner.link.abort()
        node = self._new_life(former.identity.name, former.identity.zone, former.worker)
        self.nodes[index] = node
        for identity, entry in self.entries:
            self.connect(node, identity, entry)
        former.worker.attach(node.runner)

    def connect(self, node, identity, entry):
        """Open a link between an agent and an entry."""
        near = MemoryLink(identity, node)
        far = MemoryLink(node.identity, entry)
        near.join(far)
        far.join(near)
        now_ms = self.clock.elapsed_ms()
        owner = node.owners.get(identity.incarnation)
        if owner is None:
            owner = node.owners[identity.incarnation] = owners.Owner(near, now_ms)
        else:
            owner.relink(near, now_ms)
        entry.on_link(far)
        self.loop.create_task(self._watch(entry, far))
        owner.send(node.runner.roster(owner))
        node.announcer.send_room(owner)

    async def _watch(self, entry, far):
        await far.wait_closed()
        entry.on_link_lost(far)

    def lose_entry(self, index):
        """Kill an entry: its links close, its clients hear nothing."""
        identity, _ = self.entries.pop(index)
        self.killed[identity.incarnation].set()
        self._register_entries()
        for node in self.nodes:
            owner = node.owners.get(identity.incarnation)
            if owner is not None:
                owner.link.abort()

    async def tick(self):
        """Beat, and let go of silent owners, until cancelled."""
        while True:
            await asyncio.sleep(clock.seconds(_TICK_MS))
            for _, held in self.entries:
                held.send_heartbeats()
                held.tick()
            for node in self.nodes:
                self._drop_silent(node)
                node.announcer.send_heartbeats()

    def _drop_silent(self, node):
        now_ms = self.clock.elapsed_ms()
        for incarnation, owner in list(node.owners.items()):
            if owner.is_silent(now_ms):
                node.runner.drop_owner(owner)
                owner.link.abort()
                del node.owners[incarnation]

    def submission(self, count, cpu, run_ms, patience_ms=5000, estimate=1.0):
        """Make a job of tasks that are alike.

        Args:
          count: An integer.
          cpu: An integer, thousandths of a core for each task.
          run_ms: A number, how long each really runs.
          patience_ms: A number.
          estimate: A number, the estimate as a multiple of the real run time.
        """
        self._ids += 1
        needs = job.Resources(cpu, 64, 0)
        step = job.Step(count, needs, int(run_ms * estimate))
        spec = f"{cpu} {run_ms}"
        return job.Submission(f"{self._ids:016x}", "parts", spec, (step,), patience_ms)


async def open_site(zones, nodes, cpu, seed=1):
    """Start a site and let its parts find each other.

    Args:
      zones: A tuple of strings; each gets one entry.
      nodes: An integer, how many workers, dealt to the zones in turn.
      cpu: An integer, thousandths of a core of each worker.
      seed: An integer.

    Returns:
      A Site.
    """
    site = Site(seed)
    for zone in zones:
        site.add_entry(zone)
    for index in range(nodes):
        await site.add_node(zones[index % len(zones)], cpu)
    site.ticker = asyncio.create_task(site.tick())
    await asyncio.sleep(1.1)
    return site
