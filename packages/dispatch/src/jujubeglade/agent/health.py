"""Health: how much a home trusts each worker.

| state     | what is placed there                                              |
|-----------|-------------------------------------------------------------------|
| trusted   | as placement says                                                 |
| probation | one repeatable task at a time, the next after a growing pause      |
| returning | a number of tasks that grows by one with each success             |

A worker goes to probation when most of its latest tasks failed while those of
other workers did not. A failure is forgiven when the same job then fails on another
worker that was doing well, so that jobs which fail everywhere put none there.
A failure much faster than the service's tasks usually run counts twice, since a
worker that fails at once has room at once and draws the most tasks. At most a
third of the workers, and at least one, are in probation at a time.
"""

import enum
import math

from jujubeglade.core import rules

_SAMPLE_WEIGHT = 0.2
_FAILING_RATE = 0.5
_OTHERS_SHARE = 0.5
_LEAST_FAILURES = 3
_FAST_SHARE = 0.2
_FIRST_PAUSE_MS = 500
_LAST_PAUSE_MS = 30_000
_PROBES = 3
_MOST_SHARE = 3
_SLOW_START_SHARE = 4


class State(enum.StrEnum):
    """How far a worker is trusted."""

    TRUSTED = "trusted"
    PROBATION = "probation"
    RETURNING = "returning"


class Record:
    """What a home remembers of one worker's latest tasks."""

    __slots__ = ("failures", "limit", "next_ms", "pause_ms", "rate", "state", "probes")

    def __init__(self):
        """Start trusted."""
        self.state = State.TRUSTED
        self.rate = 0.0
        # Failures since the last success.
        self.failures = 0
        self.limit = 0
        self.probes = 0
        self.pause_ms = _FIRST_PAUSE_MS
        self.next_ms = 0.0


@rules.implements("health", "off")
class Off:
    """Trust every worker alike."""

    __slots__ = ()

    def room(self, worker, repeatable, now_ms):
        """Tell how many tasks more a worker may be given.

        Args:
          worker: A Worker.
          repeatable: A boolean, whether they may be repeated.
          now_ms: A number, the monotonic time.

        Returns:
          A number; infinity when health sets no bound.
        """
        return math.inf

    def succeeded(self, worker):
        """Note that a task succeeded on a worker."""

    def failed(self, worker, others, fast, now_ms):
        """Note that a task failed on a worker; `Probation.failed` tells more."""

    def failed_elsewhere(self, worker, earlier):
        """Note that a job failed on one worker more; see `Probation`."""

    def returned(self, worker):
        """Note that a worker is back in service."""


@rules.implements("health", "probation")
class Probation:
    """Keep workers that fail from the tasks until they have proved themselves."""

    __slots__ = ()

    def room(self, worker, repeatable, now_ms):
        """Tell how many tasks more a worker may be given; see `Off.room`."""
        held = worker.health
        if held.state == State.TRUSTED:
            return math.inf
        if held.state == State.RETURNING:
            return held.limit - worker.backlog
        due = repeatable and now_ms >= held.next_ms
        return 1 - worker.backlog if due else 0

    def succeeded(self, worker):
        """Note that a task succeeded on a worker.

        Args:
          worker: A Worker.
        """
        held = worker.health
        held.rate *= 1 - _SAMPLE_WEIGHT
        held.failures = 0
        if held.state == State.PROBATION:
            held.probes += 1
            if held.probes >= _PROBES:
                self._return(held, 1)
        elif held.state == State.RETURNING:
            held.limit += 1
            if held.limit > worker.slots:
                held.state = State.TRUSTED
                held.pause_ms = _FIRST_PAUSE_MS

    def failed(self, worker, others, fast, now_ms):
        """Note that a task failed on a worker.

        Args:
          worker: A Worker.
          others: A list of the other Workers that run the same service.
          fast: A boolean, whether it failed much faster than tasks usually run.
          now_ms: A number, the monotonic time.
        """
        held = worker.health
        for _ in range(2 if fast else 1):
            held.rate += (1 - held.rate) * _SAMPLE_WEIGHT
        held.failures += 1
        if held.state != State.TRUSTED:
            self._suspect(held, now_ms)
        elif _is_outlier(held, others):
            held.pause_ms = _FIRST_PAUSE_MS
            self._suspect(held, now_ms)

    def failed_elsewhere(self, worker, earlier):
        """Note that a job failed on a worker after it had failed on others.

        Args:
          worker: A Worker.
          earlier: A Counter of the failures of the job, by the other Workers; it
            is emptied when they are forgiven.
        """
        if worker.health.failures == 0:
            for each, count in earlier.items():
                self._forgive(each.health, count)
            earlier.clear()
        worker.health.failures += 1

    def returned(self, worker):
        """Note that a worker is back in service, and let its load grow slowly.

        Args:
          worker: A Worker.
        """
        if worker.health.state == State.TRUSTED:
            self._return(worker.health, max(1, worker.slots // _SLOW_START_SHARE))

    def _forgive(self, held, count):
        # Undoes failures that were counted as fast ones.
        kept = (1 - _SAMPLE_WEIGHT) ** (2 * count)
        held.rate = max(0.0, 1 - (1 - held.rate) / kept)
        held.failures = max(0, held.failures - count)
        if held.state == State.PROBATION and held.rate < _FAILING_RATE:
            held.state = State.TRUSTED

    def _suspect(self, held, now_ms):
        held.state = State.PROBATION
        held.probes = 0
        held.next_ms = now_ms + held.pause_ms
        held.pause_ms = min(_LAST_PAUSE_MS, 2 * held.pause_ms)

    def _return(self, held, limit):
        held.state = State.RETURNING
        held.rate = 0.0
        held.limit = limit


def is_fast(run_ms, usual_ms):
    """Tell whether a failure came much faster than tasks usually run.

    Args:
      run_ms: A number.
      usual_ms: A number.
    """
    return run_ms < usual_ms * _FAST_SHARE


def _is_outlier(held, others):
    if held.rate < _FAILING_RATE or held.failures < _LEAST_FAILURES or not others:
        return False
    suspects = sum(each.health.state == State.PROBATION for each in others)
    if suspects >= max(1, (len(others) + 1) // _MOST_SHARE):
        return False
    mean = sum(each.health.rate for each in others) / len(others)
    return mean <= held.rate * _OTHERS_SHARE
