"""Health: limits the tasks placed on workers that fail.

| state     | tasks placed on the worker                                         |
|-----------|--------------------------------------------------------------------|
| trusted   | as placement decides                                               |
| probation | one repeatable task at a time, the next after a growing pause      |
| returning | up to a number that grows by one with each success                 |

A worker is put on probation when most of its latest tasks failed while those of
other workers did not. A failure is not counted when the same job then fails on
another worker without recent failures, so jobs that fail everywhere put no worker on
probation. A failure much faster than the service's tasks usually run counts twice:
a worker that fails at once has room at once and would be given the most tasks. At
most a third of the workers, but at least one, may be on probation at a time.
"""

import enum
import math

from jujubeglade.core import rules

_SAMPLE_WEIGHT = 0.2
_FAILING_RATE = 0.5
_MAX_OTHERS_RATE_RATIO = 0.5
_MIN_FAILURES = 3
_FAST_FAILURE_RATIO = 0.2
_MIN_PAUSE_MS = 500
_MAX_PAUSE_MS = 30_000
_PROBES_TO_RETURN = 3
_PROBATION_DIVISOR = 3
_SLOW_START_DIVISOR = 4


class State(enum.StrEnum):
    """The state of a worker's health."""

    TRUSTED = "trusted"
    PROBATION = "probation"
    RETURNING = "returning"


class Record:
    """The latest successes and failures of one worker."""

    __slots__ = (
        "failure_rate",
        "failures",
        "max_tasks",
        "next_probe_ms",
        "pause_ms",
        "state",
        "successful_probes",
    )

    def __init__(self):
        """Create the record of a trusted worker."""
        self.state = State.TRUSTED
        self.failure_rate = 0.0
        # Failures since the last success.
        self.failures = 0
        self.max_tasks = 0
        self.successful_probes = 0
        self.pause_ms = _MIN_PAUSE_MS
        self.next_probe_ms = 0.0


@rules.implements("health", "off")
class Off:
    """Trust every worker, whatever fails."""

    __slots__ = ()

    def room(self, worker, repeatable, now_ms):
        """Return how many more tasks a worker may be given.

        Args:
          worker: A Worker.
          repeatable: A boolean, whether they may be repeated.
          now_ms: A number, the monotonic time.

        Returns:
          A number; infinity when health sets no bound.
        """
        return math.inf

    def succeeded(self, worker):
        """Record that a task succeeded on a worker."""

    def failed(self, worker, others, fast, now_ms):
        """Record that a task failed on a worker; see `Probation.failed`."""

    def failed_elsewhere(self, worker, earlier_failures):
        """Record that a job failed on another worker too; see `Probation`."""

    def returned(self, worker):
        """Record that a worker is back in service."""


@rules.implements("health", "probation")
class Probation:
    """Limit the tasks of workers that fail until they succeed again."""

    __slots__ = ()

    def room(self, worker, repeatable, now_ms):
        """Return how many more tasks a worker may be given; see `Off.room`."""
        record = worker.health
        if record.state == State.TRUSTED:
            return math.inf
        if record.state == State.RETURNING:
            return record.max_tasks - worker.backlog
        probe_is_due = repeatable and now_ms >= record.next_probe_ms
        return 1 - worker.backlog if probe_is_due else 0

    def succeeded(self, worker):
        """Record that a task succeeded on a worker.

        Args:
          worker: A Worker.
        """
        record = worker.health
        record.failure_rate *= 1 - _SAMPLE_WEIGHT
        record.failures = 0
        if record.state == State.PROBATION:
            record.successful_probes += 1
            if record.successful_probes >= _PROBES_TO_RETURN:
                self._start_returning(record, 1)
        elif record.state == State.RETURNING:
            record.max_tasks += 1
            if record.max_tasks > worker.slots:
                record.state = State.TRUSTED
                record.pause_ms = _MIN_PAUSE_MS

    def failed(self, worker, others, fast, now_ms):
        """Record that a task failed on a worker.

        Args:
          worker: A Worker.
          others: A list of the other Workers that run the same service.
          fast: A boolean, whether it failed much faster than tasks usually run.
          now_ms: A number, the monotonic time.
        """
        record = worker.health
        for _ in range(2 if fast else 1):
            record.failure_rate += (1 - record.failure_rate) * _SAMPLE_WEIGHT
        record.failures += 1
        if record.state != State.TRUSTED:
            self._put_on_probation(record, now_ms)
        elif _is_outlier(record, others):
            record.pause_ms = _MIN_PAUSE_MS
            self._put_on_probation(record, now_ms)

    def failed_elsewhere(self, worker, earlier_failures):
        """Record that a job failed on a worker after it had failed on others.

        Args:
          worker: A Worker.
          earlier_failures: A Counter of the failures of the job on other Workers; it is
            emptied when these failures are no longer counted.
        """
        if worker.health.failures == 0:
            for failed_worker, count in earlier_failures.items():
                self._undo_failures(failed_worker.health, count)
            earlier_failures.clear()
        worker.health.failures += 1

    def returned(self, worker):
        """Record that a worker is back in service, and let its load grow slowly.

        Args:
          worker: A Worker.
        """
        if worker.health.state == State.TRUSTED:
            self._start_returning(
                worker.health, max(1, worker.slots // _SLOW_START_DIVISOR)
            )

    def _undo_failures(self, record, count):
        # Each failure is undone as a fast one, which raised the rate twice.
        remaining_weight = (1 - _SAMPLE_WEIGHT) ** (2 * count)
        record.failure_rate = max(0.0, 1 - (1 - record.failure_rate) / remaining_weight)
        record.failures = max(0, record.failures - count)
        if record.state == State.PROBATION and record.failure_rate < _FAILING_RATE:
            record.state = State.TRUSTED

    def _put_on_probation(self, record, now_ms):
        record.state = State.PROBATION
        record.successful_probes = 0
        record.next_probe_ms = now_ms + record.pause_ms
        record.pause_ms = min(_MAX_PAUSE_MS, 2 * record.pause_ms)

    def _start_returning(self, record, max_tasks):
        record.state = State.RETURNING
        record.failure_rate = 0.0
        record.max_tasks = max_tasks


def is_fast(run_ms, expected_ms):
    """Return whether a failure came much faster than tasks usually run.

    Args:
      run_ms: A number, the run time of the failed task.
      expected_ms: A number, its expected run time.
    """
    return run_ms < expected_ms * _FAST_FAILURE_RATIO


def _is_outlier(record, others):
    if (
        record.failure_rate < _FAILING_RATE
        or record.failures < _MIN_FAILURES
        or not others
    ):
        return False
    on_probation = sum(other.health.state == State.PROBATION for other in others)
    if on_probation >= max(1, (len(others) + 1) // _PROBATION_DIVISOR):
        return False
    mean_rate = sum(other.health.failure_rate for other in others) / len(others)
    return mean_rate <= record.failure_rate * _MAX_OTHERS_RATE_RATIO
