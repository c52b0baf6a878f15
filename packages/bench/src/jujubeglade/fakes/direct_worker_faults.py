"""Random faults by seed of tasks that crash workers, and of workers that shrink.

They occur beside those of all kinds on a site of direct jobs in virtual time.
"""

from jujubeglade.direct import job
from jujubeglade.fakes import direct_random_faults

#: The shortest and the longest time for which a worker is away after a crash.
_CRASH_MS = (500, 4000)
_CRASH_DELAYS_MS = (0, 10, 60, 300)
_CORES = (4000, 8000, 12_000)
#: For how long a start may exceed resources that have shrunk: the contact timeout, and
#: one report interval.
_SHRINK_SLACK_MS = 4500

_faults = []


def _fault(function):
    _faults.append(function)
    return function


class WorkerFaults(direct_random_faults.Faults):
    """Random faults of all kinds, those of this module as often as all others."""

    __slots__ = ()

    @_fault
    async def crash_under_task(self):
        """Have a task of the next job crash each worker that starts it."""
        number = self._site.job_count + 1
        task = job.TaskName(f"{number:016x}", 0, 0)
        delay_ms = self._rng.choice(_CRASH_DELAYS_MS)
        away_ms = self._rng.uniform(*_CRASH_MS)
        self._note(f"{task} crashes workers after {delay_ms} for {away_ms:.0f} ms")
        for host in self._site.agents:
            host.worker.crashing_tasks |= {task}
            host.worker.crash_delay_ms = delay_ms
            host.worker.crash_ms = away_ms

    @_fault
    async def shrink(self):
        """Have a worker shrink for a while."""
        worker = self._rng.choice(self._site.agents).worker
        cores = self._rng.choice(_CORES)
        self._note(f"shrink {worker.name} to {cores}")
        worker.resize(cores)
        await self._pause(1, 8)
        self._note(f"grow {worker.name}")
        worker.resize(worker.full_cpu)

    @_fault
    async def lose_reports(self):
        """Lose the reports of a worker for a while."""
        worker = self._rng.choice(self._site.agents).worker
        self._note(f"lose reports of {worker.name}")
        worker.loses_reports = True
        await self._pause(1, 8)
        worker.loses_reports = False
        self._note(f"no more lost reports of {worker.name}")

    kinds = (*direct_random_faults.Faults.kinds, *(_faults * 5))


def new_worker_faults(site, rng):
    """Make the faults of a site.

    Args:
      site: A FieldSite.
      rng: A random.Random.

    Returns:
      A WorkerFaults.
    """
    for host in site.agents:
        host.worker.shrink_slack_ms = _SHRINK_SLACK_MS
    return WorkerFaults(site, rng)
