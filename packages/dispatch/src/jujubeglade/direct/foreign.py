"""Foreign attempts: what a worker runs that this life of its agent has not started.

An agent keeps nothing, so after a restart its worker may still run what the former life
has started, or carry out a start that was sent then. Nobody waits for these any more;
they are stopped, and nothing else starts until the worker no longer lists them.
"""

import asyncio

from jujubeglade.core import clock, log

#: A stop is repeated after this time until the worker no longer lists the attempt.
_STOP_AGAIN_MS = 120

_log = log.get(__name__)


class Foreign:
    """The foreign attempts of one life of a worker."""

    __slots__ = ("_background", "_keys", "_stop")

    def __init__(self, background, stop):
        """Begin with none.

        Args:
          background: A Background, for the tasks that stop them.
          stop: A coroutine function of a pair of a TaskName and a run, which asks the
            worker once to stop it.
        """
        self._background = background
        self._stop = stop
        self._keys = set()

    def __len__(self):
        """Count them."""
        return len(self._keys)

    def update(self, found):
        """Take over what the worker lists, and stop what is new.

        Args:
          found: A set of pairs of a TaskName and a run.

        Returns:
          A boolean, whether some have ended.
        """
        have_ended = not self._keys <= found
        self._keys &= found
        for key in found - self._keys:
            _log.warning("unknown attempt stopped", task=key[0], run=key[1])
            self._keys.add(key)
            self._background.spawn(self._stop_until_gone(key))
        return have_ended

    def forget(self):
        """Forget all, as the life of the worker is over."""
        self._keys.clear()

    async def _stop_until_gone(self, key):
        while key in self._keys:
            await self._stop(key)
            await asyncio.sleep(clock.seconds(_STOP_AGAIN_MS))
