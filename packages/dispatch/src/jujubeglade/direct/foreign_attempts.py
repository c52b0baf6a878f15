"""Foreign attempts: those on the worker that this agent incarnation has not started.

An agent has no persistent state. After its restart the worker may still run attempts of
the previous incarnation, or carry out a start that was sent then. No owner waits for
these any more; they are stopped, and nothing else starts until the worker no longer
lists them.
"""

from jujubeglade.core import log
from jujubeglade.direct import stops

_log = log.get(__name__)


class ForeignAttempts:
    """The foreign attempts of one incarnation of a worker."""

    __slots__ = ("_background", "_keys", "_stop")

    def __init__(self, background, stop):
        """Create an empty set.

        Args:
          background: A Background, for the tasks that stop them.
          stop: A coroutine function of a pair of a TaskName and a run that asks the
            worker once to stop this attempt, and returns its Answer.
        """
        self._background = background
        self._stop = stop
        self._keys = set()

    def __len__(self):
        """Return the number of foreign attempts."""
        return len(self._keys)

    def update(self, listed_keys):
        """Record the foreign attempts that the worker lists, and stop new ones.

        Args:
          listed_keys: A set of pairs of a TaskName and a run.

        Returns:
          A boolean, whether some have ended.
        """
        have_ended = not self._keys <= listed_keys
        self._keys &= listed_keys
        for key in listed_keys - self._keys:
            _log.warning("unknown attempt stopped", task=key[0], run=key[1])
            self._keys.add(key)
            self._stop_until_gone(key)
        return have_ended

    def clear(self):
        """Remove all attempts, as the incarnation of the worker has ended."""
        self._keys.clear()

    def _stop_until_gone(self, key):
        self._background.spawn(
            stops.repeat(
                lambda: self._stop(key),
                lambda: key in self._keys,
                self._background,
            )
        )
