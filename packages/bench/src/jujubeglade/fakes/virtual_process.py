"""Processes in virtual time that can be frozen and killed.

Each callback and timer belongs to the process in whose context it was created. While a
process is frozen, its callbacks are held and what it receives is queued. When it
resumes, it handles what it has received first and then its overdue timers, as an
asyncio process does that reads its sockets before it runs its timers. A process whose
VM was suspended goes on with its timers where they stood: its monotonic clock has
stopped meanwhile, while the boot clock has not.
"""

import asyncio
import collections
import contextvars
import enum
import heapq

from jujubeglade.core import clock
from jujubeglade.fakes import virtual

_current = contextvars.ContextVar("process", default=None)


class State(enum.Enum):
    """The state of a process."""

    RUNNING = enum.auto()
    FROZEN = enum.auto()
    KILLED = enum.auto()


class Process:
    """One process."""

    __slots__ = (
        "_context",
        "_held",
        "_loop",
        "_received",
        "_suspended_at_s",
        "name",
        "state",
        "suspended_ms",
    )

    def __init__(self, name):
        """Create a running process.

        Args:
          name: A string.
        """
        self.name = name
        self.state = State.RUNNING
        #: For how long its VM has been suspended in all.
        self.suspended_ms = 0.0
        # When its VM was suspended; None while it is not.
        self._suspended_at_s = None
        self._loop = asyncio.get_running_loop()
        self._context = contextvars.copy_context()
        self._context.run(_current.set, self)
        # What was received while frozen: pairs of a function and its arguments.
        self._received = collections.deque()
        self._held = []

    @property
    def is_running(self):
        """Return whether it is neither frozen nor killed."""
        return self.state is State.RUNNING

    @property
    def is_killed(self):
        """Return whether it has been killed."""
        return self.state is State.KILLED

    def run(self, function, *arguments):
        """Call a function in the context of this process.

        Args:
          function: A function.
          *arguments: Its arguments.

        Returns:
          What the function returns.
        """
        return self._context.copy().run(function, *arguments)

    def spawn(self, coroutine):
        """Start a task of this process.

        Args:
          coroutine: A coroutine.

        Returns:
          An asyncio.Task.
        """
        return self._loop.create_task(coroutine, context=self._context.copy())

    def receive(self, function, *arguments):
        """Handle an event from outside now, or when the process resumes.

        Args:
          function: A function.
          *arguments: Its arguments.
        """
        if self.state is State.RUNNING:
            self.run(function, *arguments)
        elif self.state is State.FROZEN:
            self._received.append((function, arguments))

    def freeze(self):
        """Hold all callbacks and timers from now on."""
        if self.state is State.RUNNING:
            self.state = State.FROZEN

    def suspend(self):
        """Freeze it, with its monotonic clock."""
        if self.state is State.RUNNING:
            self.state = State.FROZEN
            self._suspended_at_s = self._loop.time()

    def resume(self):
        """Handle what was received, then the callbacks and timers that were held."""
        if self.state is not State.FROZEN:
            return
        self.state = State.RUNNING
        if self._suspended_at_s is not None:
            self._delay_timers(self._loop.time() - self._suspended_at_s)
            self._suspended_at_s = None
        self._loop.call_soon(self._handle_received, context=self._context.copy())
        self._release()

    def kill(self):
        """Hold all callbacks and timers for ever."""
        self.state = State.KILLED
        self._received.clear()

    def discard(self):
        """Let the cancelled tasks of this process end, before its loop closes."""
        self.state = State.RUNNING
        self._received.clear()
        self._release()

    def hold(self, handle):
        """Hold a callback or timer.

        Args:
          handle: An asyncio.Handle.
        """
        self._held.append(handle)

    def _handle_received(self):
        """Schedule the handlers one turn later, as the reader of a stream does."""
        while self._received:
            function, arguments = self._received.popleft()
            context = self._context.copy()
            self._loop.call_soon(function, *arguments, context=context)

    def _delay_timers(self, gap_s):
        """Delay all timers by the time for which the monotonic clock has stopped."""
        self.suspended_ms += gap_s * clock.MILLISECONDS_PER_SECOND
        timers = [item for item in self._held if isinstance(item, _TimerHandle)]
        self._held = [item for item in self._held if item not in timers]
        self._loop.delay(self, gap_s, timers)

    def _release(self):
        held = self._held
        self._held = []
        self._loop.run_again(held)


class _Held:
    """The part of a handle that holds it while its process does not run."""

    __slots__ = ()

    def _run(self):
        process = self._context.get(_current)
        if process is None or process.is_running:
            super()._run()
        else:
            process.hold(self)


class _Handle(_Held, asyncio.Handle):
    """A callback of a process."""

    __slots__ = ()


class _TimerHandle(_Held, asyncio.TimerHandle):
    """A timer of a process."""

    __slots__ = ("process",)

    def __init__(self, when, callback, args, loop, context):
        super().__init__(when, callback, args, loop, context)
        #: The Process, or None; a cancelled timer has no context left.
        self.process = self._context.get(_current)


class ProcessClock(virtual.VirtualClock):
    """The clock of a process."""

    __slots__ = ("_process", "_wall_offset_ms")

    def __init__(self, loop, process, wall_offset_ms):
        """Create a clock.

        Args:
          loop: A ProcessLoop.
          process: A Process.
          wall_offset_ms: A number, by which the wall clock is ahead.
        """
        super().__init__(loop)
        self._process = process
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self):
        """Return the virtual time for which the VM was not suspended."""
        return super().now_ms() - self._process.suspended_ms

    def elapsed_ms(self):
        """Return the virtual time."""
        return super().now_ms()

    def wall_ms(self):
        """Return a fixed date plus the virtual time and the offset."""
        return super().wall_ms() + int(
            self._process.suspended_ms + self._wall_offset_ms
        )


class ProcessLoop(virtual.VirtualLoop):
    """An event loop in virtual time with processes that can be frozen."""

    def call_at(self, when, callback, *args, context=None):
        """Schedule a timer; see `asyncio.loop.call_at`."""
        timer = _TimerHandle(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

    def delay(self, process, gap_s, held):
        """Delay the timers of a process.

        Args:
          process: A Process.
          gap_s: A number.
          held: A list of its asyncio.TimerHandles that have become due meanwhile.
        """
        for timer in held:
            if not timer.cancelled():
                timer._scheduled = True
                self._scheduled.append(timer)
        for timer in self._scheduled:
            if timer.process is process:
                timer._when += gap_s
        heapq.heapify(self._scheduled)

    def run_again(self, handles):
        """Run callbacks that were held, in order.

        Args:
          handles: A list of asyncio.Handles.
        """
        self._ready.extend(handle for handle in handles if not handle.cancelled())

    def _call_soon(self, callback, args, context):
        handle = _Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle
