"""Virtual time: an event loop whose clock jumps to the next timer.

Code that only sleeps and computes runs on it without waiting and in the same order
every time. Minutes of load are measured in seconds, and tests of timing give the same
result on a busy machine.
"""

import asyncio
import selectors

from jujubeglade.core import clock

_START_WALL_MS = 1_767_268_800_000


class _Selector(selectors.SelectSelector):
    """A selector that advances the virtual time by its timeout instead of waiting."""

    def __init__(self):
        super().__init__()
        self.passed_s = 0.0

    def select(self, timeout=None):
        """Advance the virtual time by the timeout, and return the ready files."""
        if timeout is None:
            raise RuntimeError(
                "no timer is pending; stop the loop before it waits forever"
            )
        self.passed_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self):
        """Create a loop at time 0."""
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self):
        """Return the virtual time in seconds, the unit of asyncio."""
        return self._virtual_selector.passed_s


class VirtualClock(clock.Clock):
    """The clock of a process that runs in virtual time."""

    __slots__ = ("_loop",)

    def __init__(self, loop):
        """Create a clock of a loop.

        Args:
          loop: A VirtualLoop.
        """
        self._loop = loop

    def now_ms(self):
        """Return the virtual time."""
        return self._loop.time() * clock.MILLISECONDS_PER_SECOND

    def elapsed_ms(self):
        """Return the virtual time."""
        return self.now_ms()

    def wall_ms(self):
        """Return a fixed date plus the virtual time."""
        return _START_WALL_MS + int(self.now_ms())


def run(main):
    """Run a coroutine in virtual time.

    Args:
      main: A coroutine.

    Returns:
      What the coroutine returns.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
