"""Lateness: how much of the arriving work can be served, learnt from late starts.

This answers lasting overload. A forecast rests on reports that are some milliseconds
old and on what one entry sees, so under overload several entries count on the same
room, and accepted jobs start too late. Each entry therefore measures how many of its
accepted jobs started too late, and lowers the share of the arriving work that it admits
until few do. The share is filled with the most urgent priorities first.
"""

import dataclasses
import zlib

#: The share of accepted jobs that may start too late; a late answer has cost room that
#: another job could have used.
_MAX_LATE_SHARE = 0.1
#: Late starts are a share of at least so many starts. One alone is not above the bound,
#: and the share falls with time also when few or no jobs start.
_MIN_STARTS = 10.0
#: Counts of starts lose half their weight in this time, in which an entry answers a few
#: urgent jobs.
_HALF_LIFE_MS = 700.0
#: How fast the admitted share falls per second, times the late share above its bound,
#: and how fast it rises again. A burst lasts some seconds, so a whole recovery takes no
#: longer.
_FALL_PER_S = 1.0
_RISE_PER_S = 0.4
_MIN_ADMITTED_SHARE = 0.1
#: The mix of arriving work by priority is counted with this half-life.
_MIX_HALF_LIFE_MS = 2000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """How much of the arriving work an entry admits.

    Attributes:
      admitted: A number, the share of the arriving work that is admitted.
      late: A number, the share of recent jobs that started too late.
      mix: A tuple of pairs of a priority and its share of the arriving work, the most
        urgent first.
    """

    admitted: float
    late: float
    mix: tuple


def chance(level, priority):
    """Return the share of a priority's jobs that are admitted.

    The admitted work is filled with the most urgent priorities first.

    Args:
      level: A Level.
      priority: An integer.
    """
    left = level.admitted
    for other, share in level.mix:
        if other == priority:
            return min(1.0, max(0.0, left / share)) if share else 1.0
        left -= share
    return 1.0


def admits(level, priority, job_id, arrived_ms):
    """Return whether a job is among those that are admitted.

    Its id and the time decide which jobs of a priority are, so that a caller that
    returns with the same id isn't refused each time.

    Args:
      level: A Level.
      priority: An integer.
      job_id: A string.
      arrived_ms: A number, when it arrived, on the monotonic clock.
    """
    draw = zlib.crc32(f"{job_id} {arrived_ms}".encode()) / 2**32
    return draw < chance(level, priority)


def admits_less_urgent(level, priority):
    """Return whether work of a priority below the given one is admitted.

    Args:
      level: A Level.
      priority: An integer.
    """
    return any(other > priority and chance(level, other) > 0 for other, _ in level.mix)


class Lateness:
    """What one entry has learnt of late starts; soft state."""

    __slots__ = ("_admitted", "_late", "_mix", "_mix_ms", "_started", "_updated_ms")

    def __init__(self):
        """Admit everything."""
        self._admitted = 1.0
        self._late = 0.0
        self._started = 0.0
        self._updated_ms = 0.0
        self._mix = {}
        self._mix_ms = 0.0

    def note_arrival(self, priority, work, now_ms):
        """Count the work of a job that has arrived, and adapt the admitted share.

        Args:
          priority: An integer.
          work: A number, in core-milliseconds.
          now_ms: A number, the monotonic clock.
        """
        decay = 0.5 ** ((now_ms - self._mix_ms) / _MIX_HALF_LIFE_MS)
        self._mix_ms = now_ms
        for other in self._mix:
            self._mix[other] *= decay
        self._mix[priority] = self._mix.get(priority, 0.0) + work
        self._adapt(now_ms)

    def note_start(self, is_late, now_ms):
        """Count the start of the last task of a job.

        A job that was refused as it would have started too late counts as a late one
        while less urgent work is admitted: otherwise urgent jobs would be refused by
        their forecasts while room goes to less urgent ones.

        Args:
          is_late: A boolean, whether it was too late for an answer in time.
          now_ms: A number, the monotonic clock.
        """
        self._adapt(now_ms)
        self._started += 1
        self._late += is_late

    def level(self):
        """Return the Level."""
        total = sum(self._mix.values())
        mix = tuple(
            (priority, work / total if total else 0.0)
            for priority, work in sorted(self._mix.items())
        )
        return Level(self._admitted, self._late_share(), mix)

    def _late_share(self):
        return self._late / max(self._started, _MIN_STARTS)

    def _adapt(self, now_ms):
        passed_ms = min(now_ms - self._updated_ms, _HALF_LIFE_MS)
        decay = 0.5 ** (passed_ms / _HALF_LIFE_MS)
        self._updated_ms = now_ms
        excess = self._late_share() - _MAX_LATE_SHARE
        rate = -_FALL_PER_S * excess if excess > 0 else _RISE_PER_S
        self._admitted += rate * passed_ms / 1000
        self._admitted = min(1.0, max(_MIN_ADMITTED_SHARE, self._admitted))
        self._late *= decay
        self._started *= decay
