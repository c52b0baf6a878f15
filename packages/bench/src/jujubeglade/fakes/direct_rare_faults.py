"""Rare random faults by seed on a site of direct jobs, beside those of all kinds.

Clocks are set back while agents and workers restart, VMs are suspended, stops are late,
and links are half open.
"""

from jujubeglade.fakes import direct_random_faults

_LATE_MS = ((50, 1000), (310, 4000), (2000, 12_000))
#: The shares of stops and starts that are late.
_LEAST_SHARE = 0.3
_GREATEST_SHARE = 0.8
#: By how much clocks are set back.
_LEAST_SET_BACK_MS = 1000
_GREATEST_SET_BACK_MS = 3_600_000

_faults = []


def _fault(function):
    _faults.append(function)
    return function


class RareFaults(direct_random_faults.Faults):
    """Random faults of all kinds, rare ones as often as all others together."""

    __slots__ = ()

    @_fault
    async def set_clock_back(self):
        """Restart an agent on a clock that is set back, and perhaps its worker."""
        host = self._rng.choice(self._site.agents)
        worker = host.worker
        if host.process.is_killed:
            return
        worker.late_ms = self._rng.choice(_LATE_MS)
        worker.late_lease_shifts = self._rng.random() < 0.5
        worker.late_start_share = self._share()
        await self._pause(0.1, 1)
        if host.process.is_killed:
            return
        set_back_ms = self._rng.randint(_LEAST_SET_BACK_MS, _GREATEST_SET_BACK_MS)
        host.wall_offset_ms -= set_back_ms
        self._note(
            f"kill {host.name}, set its clock back by {set_back_ms} ms, "
            f"late starts {worker.late_start_share:.2f} {worker.late_ms} shifts "
            f"{worker.late_lease_shifts}"
        )
        self._site.kill(host)
        worker.late_start_share = 0.0
        await self._pause(0, 0.5)
        if self._rng.random() < 0.7:
            reports = self._rng.random() < 0.5
            self._note(f"crash {worker.name}, reports {reports}")
            worker.crash(reports=reports, set_back_ms=set_back_ms)
        await self._pause(0, 0.5)
        self._note(f"start {host.name}")
        await self._site.start_agent(host)

    @_fault
    async def suspend_agent(self):
        """Suspend the VM of an agent."""
        await self._suspend(self._rng.choice(self._site.agents))

    @_fault
    async def suspend_entry(self):
        """Suspend the VM of an entry."""
        await self._suspend(self._rng.choice(self._site.entries))

    @_fault
    async def delay_stops(self):
        """Have a worker execute most stops late."""
        worker = self._rng.choice(self._site.agents).worker
        worker.late_ms = self._rng.choice(_LATE_MS)
        worker.late_stop_share = self._share()
        self._note(
            f"late stops of {worker.name} {worker.late_ms} {worker.late_stop_share:.2f}"
        )
        await self._pause(1, 6)
        worker.late_stop_share = 0.0
        self._note(f"no more late stops of {worker.name}")

    @_fault
    async def half_open(self):
        """Close one end of a link without the other's notice."""
        agent, entry = self._pair()
        pair = self._site.network.pair(agent, entry)
        if pair is None:
            return
        is_agent = self._rng.random() < 0.5
        self._note(f"half open {agent} {entry}, closed by {'agent' * is_agent}")
        pair.half_open(pair.agent_end if is_agent else pair.entry_end)

    async def _suspend(self, host):
        process = host.process
        self._note(f"suspend {host.name}")
        process.suspend()
        await self._pause(*self._rng.choice(((0.5, 1.6), (0.5, 5))))
        self._note(f"resume {host.name}")
        process.resume()

    def _share(self):
        return self._rng.uniform(_LEAST_SHARE, _GREATEST_SHARE)

    kinds = (*direct_random_faults.Faults.kinds, *_faults, *_faults, *_faults, *_faults)


def new_faults_without_incarnations(site, rng):
    """Make rare faults on workers that don't check to which incarnation a call is.

    Args:
      site: A FieldSite.
      rng: A random.Random.

    Returns:
      A RareFaults.
    """
    for host in site.agents:
        host.worker.checks_incarnation = False
    return RareFaults(site, rng)
