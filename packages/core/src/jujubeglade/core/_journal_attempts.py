"""Groups the attempts of a job into one audit record, instead of one per attempt.

An executor adds each start, rejection and answer. A group is recorded when the job
has had no new attempt for `_IDLE_MS`, or the group is `_MAX_AGE_MS` old. The detail
of the record has the wall times of the first and the last attempt.
"""

import dataclasses

from jujubeglade.core import _journal_tasks

_IDLE_MS = 200
_MAX_AGE_MS = 1000


@dataclasses.dataclass(slots=True)
class _Group:
    """Attempts of one kind and job that are not recorded yet.

    `created_ms` and `updated_ms` are monotonic times, `first_ms` and `last_ms` are
    wall times. `permit` has the fields of the permit of the last start.
    """

    created_ms: float
    updated_ms: float
    first_ms: int
    last_ms: int
    attempts: list
    permit: dict


class AttemptLog:
    """The attempts of an executor that wait to be recorded."""

    __slots__ = ("_clock", "_groups", "_journal")

    def __init__(self, journal, clock):
        """Make an empty log; use `open_attempt_log` instead."""
        self._journal = journal
        self._clock = clock
        self._groups = {}

    def add(self, kind, job, index, attempt, **permit):
        """Add an attempt; never blocks and never fails.

        Args:
          kind: A Kind: started, rejected or finished.
          job: A string, the job key.
          index: An integer, the task's place in the job.
          attempt: An integer, the number of the attempt.
          **permit: For a start, `permit_revision` and `permit_until_ms`.
        """
        now_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        group = self._groups.get((kind, job))
        if group is None:
            group = _Group(now_ms, now_ms, wall_ms, wall_ms, [], permit)
            self._groups[kind, job] = group
        group.attempts.append((index, attempt))
        group.permit = permit
        group.updated_ms = now_ms
        group.last_ms = wall_ms

    def flush_due(self):
        """Record the groups that are idle or old; call a few times per second."""
        now_ms = self._clock.now_ms()
        due = [
            group_key
            for group_key, group in self._groups.items()
            if now_ms - group.updated_ms >= _IDLE_MS
            or now_ms - group.created_ms >= _MAX_AGE_MS
        ]
        for group_key in due:
            self._flush(group_key)

    def flush_job(self, job):
        """Record the attempts of a job, before a record that must follow them.

        Args:
          job: A string, the job key.
        """
        for group_key in [key for key in self._groups if key[1] == job]:
            self._flush(group_key)

    def flush_all(self):
        """Record all attempts, before the journal is closed."""
        for group_key in list(self._groups):
            self._flush(group_key)

    def _flush(self, group_key):
        """Record one group."""
        kind, job = group_key
        group = self._groups.pop(group_key)
        self._journal.record(
            kind,
            job,
            attempts=_journal_tasks.pack_attempts(group.attempts),
            first_ms=group.first_ms,
            last_ms=group.last_ms,
            **group.permit,
        )


def open_attempt_log(journal, clock):
    """Make the attempt log of an executor.

    Args:
      journal: A Journal.
      clock: A Clock.

    Returns:
      An AttemptLog.
    """
    return AttemptLog(journal, clock)
