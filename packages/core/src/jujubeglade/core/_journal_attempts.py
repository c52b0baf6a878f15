"""One record for the attempts of a job, instead of one for each.

An executor notes each start, refusal and answer here; they become a record once
the job has been quiet for a moment, or the oldest has waited for long. The wall
times of the first and last attempt stand in the record's detail.
"""

import dataclasses

from jujubeglade.core import _journal_tasks

_QUIET_MS = 200
_LONGEST_WAIT_MS = 1000


@dataclasses.dataclass(slots=True)
class _Group:
    """Attempts of one kind and job that are not recorded yet.

    `permit` holds what the last start ran under, for the record's detail.
    """

    began_ms: float
    touched_ms: float
    first_ms: int
    last_ms: int
    attempts: list
    permit: dict


class AttemptLog:
    """The attempts of an executor that wait to be recorded."""

    __slots__ = ("_clock", "_groups", "_journal")

    def __init__(self, journal, clock):
        """Begin empty; use `open_attempt_log`."""
        self._journal = journal
        self._clock = clock
        self._groups = {}

    def note(self, kind, job, index, attempt, **permit):
        """Note an attempt; never waits and never fails.

        Args:
          kind: A Kind: started, rejected or finished.
          job: A string, the job key.
          index: An integer, the task's place in the job.
          attempt: An integer, the number of the attempt.
          **permit: Of a start, `permit_revision` and `permit_until_ms`.
        """
        now_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        group = self._groups.get((kind, job))
        if group is None:
            group = _Group(now_ms, now_ms, wall_ms, wall_ms, [], permit)
            self._groups[kind, job] = group
        group.attempts.append((index, attempt))
        group.permit = permit
        group.touched_ms = now_ms
        group.last_ms = wall_ms

    def flush_due(self):
        """Record the groups that are quiet or old; call a few times a second."""
        now_ms = self._clock.now_ms()
        due = [
            place
            for place, group in self._groups.items()
            if now_ms - group.touched_ms >= _QUIET_MS
            or now_ms - group.began_ms >= _LONGEST_WAIT_MS
        ]
        for place in due:
            self._flush(place)

    def flush_job(self, job):
        """Record what is noted of a job, before a record that must come after it.

        Args:
          job: A string, the job key.
        """
        for place in [place for place in self._groups if place[1] == job]:
            self._flush(place)

    def flush_all(self):
        """Record everything, before the journal is closed."""
        for place in list(self._groups):
            self._flush(place)

    def _flush(self, place):
        """Record one group."""
        kind, job = place
        group = self._groups.pop(place)
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
