"""Incarnations: which incarnation of a worker its agent calls.

Reports and leaves may be late, of an earlier incarnation, or of another writer, and the
start times in them come from a clock that may be set back. So they only raise doubt
about the current incarnation; its end is for the worker's own answers to show.
"""


class Incarnations:
    """The current incarnation of a worker, earlier ones, and a reported successor."""

    __slots__ = (
        "_current",
        "_has_left",
        "_last",
        "_past",
        "_reported_ms",
        "_successor",
    )

    def __init__(self):
        """Know no incarnation."""
        self._current = None
        # The most recent one, which may be gone.
        self._last = None
        # Those that have certainly ended; late reports of them are ignored.
        self._past = set()
        self._has_left = False
        # The report of one that may have replaced the current one, and when it arrived.
        self._successor = None
        self._reported_ms = 0.0

    @property
    def current(self):
        """Return the current Instance; None without a worker."""
        return self._current

    @property
    def last(self):
        """Return the most recent Instance, which may be gone; None before the first."""
        return self._last

    @property
    def has_left(self):
        """Return whether the current one has sent that it leaves."""
        return self._has_left

    @property
    def is_doubtful(self):
        """Return whether the current one may have ended."""
        return self._has_left or self._successor is not None

    @property
    def has_ended(self):
        """Return whether the current one has ended without having sent a leave."""
        return self._current in self._past and not self._has_left

    def may_follow(self, instance):
        """Return whether an instance may have started after the current one.

        Args:
          instance: An Instance.
        """
        if instance in self._past:
            return False
        if self._current is None or not instance.started_ms:
            return True
        return instance.started_ms >= self._current.started_ms

    def adopt(self, instance):
        """Make an instance the current one.

        Args:
          instance: An Instance.
        """
        self._current = self._last = instance

    def note_end(self):
        """Record that the current one has ended, as another one has answered."""
        self._past.add(self._current)

    def lose(self):
        """Give up the current one; unless it has ended, it may report again."""
        self._current = None
        self._has_left = False

    def note_leave(self):
        """Record that the current one has sent that it leaves."""
        self._has_left = True

    def note_report(self):
        """Record that the current one has reported, so it has not left."""
        self._has_left = False

    def note_successor(self, report, now_ms):
        """Record the report of an instance that may have replaced the current one.

        Args:
          report: A Report.
          now_ms: A number, the monotonic clock.

        Returns:
          A boolean, whether no other report of that kind is recorded.
        """
        is_first = self._successor is None
        if is_first:
            self._reported_ms = now_ms
        self._successor = report
        return is_first

    def note_answer(self, sent_ms):
        """Forget the successor of an incarnation that still answers.

        Args:
          sent_ms: A number, when the call was sent, on the monotonic clock.

        Returns:
          The Report that is ignored, or None.
        """
        if self._successor is None or sent_ms < self._reported_ms:
            return None
        return self.take_successor()

    def take_successor(self):
        """Return the report of the successor and forget it; None if there is none."""
        successor = self._successor
        self._successor = None
        return successor
