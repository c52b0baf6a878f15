"""Random faults by seed on a site of direct jobs in virtual time.

Faults of all kinds begin at random times, so that they overlap and follow each other,
while clients submit jobs and submit them again.
"""

import asyncio
import random

from jujubeglade.core import clock
from jujubeglade.fakes import direct_clients

_RUN_MS = (100, 400, 1800)
_CORES = 4000
_CLOCK_RATES = (1.0, 0.98)
_LATE_MS = ((50, 1000), (310, 4000), (2000, 12000))
_MAX_SHARE = 0.5

_faults = []


def _fault(function):
    _faults.append(function)
    return function


class Faults:
    """The random faults of one run, and a record of them."""

    __slots__ = ("_rng", "_site", "record")

    def __init__(self, site, rng):
        """Create an empty record.

        Args:
          site: A FieldSite.
          rng: A random.Random.
        """
        self._site = site
        self._rng = rng
        #: Pairs of a time in ms and a text.
        self.record = []

    async def run(self, end_ms):
        """Begin faults at random times.

        Args:
          end_ms: A number, when to begin no more; all have ended on return.
        """
        running = set()
        while self._site.clock.now_ms() < end_ms:
            await self._pause(0.1, 1.5)
            function = self._rng.choice(_faults)
            running.add(asyncio.create_task(function(self)))
            if self._rng.random() < 0.2:
                # Two at the same moment.
                function = self._rng.choice(_faults)
                running.add(asyncio.create_task(function(self)))
        await asyncio.gather(*running)

    @_fault
    async def freeze_agent(self):
        """Freeze an agent."""
        await self._freeze(self._rng.choice(self._site.agents))

    @_fault
    async def freeze_entry(self):
        """Freeze an entry."""
        await self._freeze(self._rng.choice(self._site.entries))

    @_fault
    async def cut(self):
        """Cut one agent off one entry or all, or all agents off one entry."""
        agents = [host.name for host in self._site.agents]
        entries = [host.name for host in self._site.entries]
        shape = self._rng.choice(("pair", "agent", "entry"))
        if shape != "entry":
            agents = [self._rng.choice(agents)]
        if shape != "agent":
            entries = [self._rng.choice(entries)]
        ways = self._rng.choice(((True, True), (True, False), (False, True)))
        pairs = [(agent, entry) for agent in agents for entry in entries]
        self._note(f"cut {agents} {entries} {ways}")
        for pair in pairs:
            self._site.network.cut(*pair, *ways)
        await self._pause(0.3, 3)
        self._note(f"heal {agents} {entries}")
        for pair in pairs:
            self._site.network.heal(*pair)

    @_fault
    async def silence(self):
        """Let a link be silent for good."""
        agent, entry = self._pair()
        pair = self._site.network.pair(agent, entry)
        if pair is not None:
            self._note(f"silence {agent} {entry}")
            pair.silence()

    @_fault
    async def reset_all(self):
        """Reset all links and clients' connections of an entry."""
        host = self._rng.choice(self._site.entries)
        self._note(f"reset all of {host.name}")
        self._site.reset(host)

    @_fault
    async def reset_link(self):
        """Reset one link."""
        agent, entry = self._pair()
        pair = self._site.network.pair(agent, entry)
        if pair is not None:
            self._note(f"reset {agent} {entry}")
            pair.reset()

    @_fault
    async def reset_clients(self):
        """Reset the clients' connections of an entry."""
        host = self._rng.choice(self._site.entries)
        self._note(f"reset clients of {host.name}")
        for request in list(host.requests):
            request.reset()

    @_fault
    async def slow_link(self):
        """Slow a link down."""
        agent, entry = self._pair()
        pair = self._site.network.pair(agent, entry)
        if pair is None:
            return
        delay_ms = self._rng.uniform(20, 400)
        self._note(f"delay {agent} {entry} by {delay_ms:.0f} ms")
        pair.set_delay(delay_ms)
        await self._pause(0.3, 3)
        pair.set_delay(1.5)

    @_fault
    async def delay_calls(self):
        """Have a worker execute calls late."""
        worker = self._rng.choice(self._site.agents).worker
        worker.late_ms = self._rng.choice(_LATE_MS)
        worker.late_lease_shifts = self._rng.random() < 0.5
        shares = [
            self._rng.choice((0, self._rng.uniform(0, _MAX_SHARE))) for _ in range(3)
        ]
        self._note(
            f"late calls of {worker.name} {worker.late_ms} shifts "
            f"{worker.late_lease_shifts} start, stop, poll "
            f"{[round(share, 2) for share in shares]}"
        )
        self._set_late(worker, shares)
        await self._pause(2, 10)
        self._set_late(worker, (0, 0, 0))
        self._note(f"no more late calls of {worker.name}")

    @_fault
    async def lose_calls(self):
        """Have a worker lose stops and polls."""
        worker = self._rng.choice(self._site.agents).worker
        worker.lost_stop_share = self._rng.uniform(0, _MAX_SHARE)
        worker.lost_poll_share = self._rng.uniform(0, _MAX_SHARE)
        self._note(
            f"lost calls of {worker.name} stop, poll "
            f"{worker.lost_stop_share:.2f} {worker.lost_poll_share:.2f}"
        )
        await self._pause(1, 5)
        worker.lost_stop_share = 0.0
        worker.lost_poll_share = 0.0

    @_fault
    async def silence_worker(self):
        """Have a worker answer no call."""
        worker = self._rng.choice(self._site.agents).worker
        self._note(f"silent {worker.name}")
        worker.silent = True
        await self._pause(0.2, 3)
        worker.silent = False
        self._note(f"no more silent {worker.name}")

    @_fault
    async def crash_worker(self):
        """Crash a worker; its next incarnation reports at once."""
        worker = self._rng.choice(self._site.agents).worker
        self._note(f"crash {worker.name}")
        worker.crash()

    @_fault
    async def drain_worker(self):
        """Have a worker report for a while that it drains."""
        worker = self._rng.choice(self._site.agents).worker
        worker.draining = True
        worker.report()
        await self._pause(0.2, 2)
        worker.draining = False
        worker.report()

    @_fault
    async def restart_agent(self):
        """Kill an agent and start its next incarnation."""
        host = self._rng.choice(self._site.agents)
        if await self._kill(host):
            await self._site.start_agent(host)

    @_fault
    async def restart_entry(self):
        """Kill an entry and start its next incarnation."""
        host = self._rng.choice(self._site.entries)
        if await self._kill(host):
            await self._site.start_entry(host)

    async def _kill(self, host):
        if host.process.is_killed:
            return False
        self._note(f"kill {host.name}")
        self._site.kill(host)
        await self._pause(0.05, 2)
        self._note(f"start {host.name}")
        return True

    async def _freeze(self, host):
        process = host.process
        self._note(f"freeze {host.name}")
        process.freeze()
        await self._pause(*self._rng.choice(((0.5, 1.6), (0.5, 5))))
        self._note(f"resume {host.name}")
        process.resume()

    def _set_late(self, worker, shares):
        worker.late_start_share, worker.late_stop_share, worker.late_poll_share = shares

    def _pair(self):
        agent = self._rng.choice(self._site.agents)
        entry = self._rng.choice(self._site.entries)
        return agent.name, entry.name

    async def _pause(self, shortest_s, longest_s):
        await asyncio.sleep(self._rng.uniform(shortest_s, longest_s))

    def _note(self, text):
        self.record.append((self._site.clock.now_ms(), text))


async def random_faults(site, seed, seconds):
    """Play random faults under load.

    Args:
      site: A FieldSite; its witness has the violations.
      seed: An integer.
      seconds: A number, for how long faults and jobs begin.

    Returns:
      A list of pairs of a time in ms and a text, the faults.
    """
    rng = random.Random(seed)
    for host in site.agents:
        host.worker.clock_rate = rng.choice(_CLOCK_RATES)
        host.worker.stop_ms = rng.uniform(5, 50)
    end_ms = site.clock.now_ms() + seconds * clock.MILLISECONDS_PER_SECOND
    faults = Faults(site, rng)
    faults_task = asyncio.create_task(faults.run(end_ms))
    clients = set()
    while site.clock.now_ms() < end_ms:
        await asyncio.sleep(rng.uniform(0.02, 0.3))
        submission = site.submission(
            rng.randint(1, 4), _CORES, rng.choice(_RUN_MS), rng.choice((2500, 5000))
        )
        clients.add(asyncio.create_task(direct_clients.run(site, submission)))
    await faults_task
    await asyncio.wait(clients)
    return faults.record
