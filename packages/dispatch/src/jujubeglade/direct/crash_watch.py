"""The crash watch of an agent: finds out what its worker ran when it crashed.

Attempts that end without the worker's word are kept until another answer tells why: an
answer of the same incarnation means that it was only silent, one of another incarnation
proves a crash. All entries are told of a crash, as a client may submit the job again to
any of them.
"""

from jujubeglade.core import log, metrics
from jujubeglade.direct import contract, crashes, interrupted

_log = log.get(__name__)


class CrashWatch:
    """What ran when a worker stopped answering, and its last crashes."""

    __slots__ = ("_announcer", "_interrupted", "_metrics", "_recent")

    def __init__(self, announcer, metrics):
        """Create the watch of a worker that answers.

        Args:
          announcer: An Announcer, which tells the entries.
          metrics: A Metrics.
        """
        self._announcer = announcer
        self._metrics = metrics
        self._interrupted = interrupted.new_interrupted_attempts()
        self._recent = crashes.new_recent_crashes()

    @property
    def recent(self):
        """Return the last Crashes, as a tuple."""
        return tuple(self._recent)

    def recall(self, recalled):
        """Add the crashes that an earlier incarnation of the agent has seen.

        Args:
          recalled: An iterable of Crashes.
        """
        for crash in recalled:
            self._recent.add(crash)
        self._announcer.send_to_all(contract.Crashes(self.recent))

    def add(self, instance, attempt, answered_ms):
        """Keep an attempt that ends without the worker's word.

        Args:
          instance: An Instance, the one that ran it.
          attempt: An Attempt.
          answered_ms: A number, when the instance last answered a poll, on the
            monotonic clock.
        """
        self._interrupted.add(instance, attempt, answered_ms)

    def note_lost(self, instance, attempts, answered_ms, was_leaving, has_ended):
        """Keep which attempts ran in an incarnation that is given up.

        Args:
          instance: An Instance.
          attempts: An iterable of the Attempts that ran there.
          answered_ms: A number, when it last answered a poll, on the monotonic clock.
          was_leaving: A boolean, whether it was draining or had left, so that its end
            is no crash.
          has_ended: A boolean, whether it is known that it has ended.
        """
        if was_leaving:
            self.forget()
            return
        for attempt in attempts:
            self.add(instance, attempt, answered_ms)
        if has_ended:
            self.note_crash()

    def note_answer(self, instance):
        """Conclude from an answer why attempts have ended.

        Args:
          instance: An Instance, the one that has answered.
        """
        if self._interrupted.instance not in (None, instance):
            self.note_crash()
        self.forget()

    def note_crash(self):
        """Record that the instance that ran the attempts has crashed."""
        instance = self._interrupted.instance
        if instance is None:
            return
        attempts = self._interrupted.attempts
        self.forget()
        crash = crashes.new_crash(instance, attempts)
        self._recent.add(crash)
        self._announcer.send_to_all(contract.Crashes((crash,)))
        self._metrics.count(metrics.Counter.CRASHED)
        _log.warning("worker crashed", worker=instance.name, attempts=_texts(attempts))

    def forget(self):
        """Forget the attempts, as they ended for another reason."""
        self._interrupted.clear()


def _texts(attempts):
    """Write Interrupted attempts as one text for the log: task/run/age in ms."""
    return " ".join(
        f"{attempt.task}/{attempt.run}/{int(attempt.age_ms)}" for attempt in attempts
    )


def new_crash_watch(announcer, metrics):
    """Make the watch of a worker that answers.

    Args:
      announcer: An Announcer, which tells the entries.
      metrics: A Metrics.

    Returns:
      A CrashWatch.
    """
    return CrashWatch(announcer, metrics)
