"""Processes in virtual time that can be frozen and killed.

Each callback and timer belongs to the process in whose context it was created. While a
process is frozen, its callbacks are held and what it receives is queued. When it
resumes, it handles what it has received first and then its overdue timers, as an
asyncio process does that reads its sockets before it runs its timers.
"""

import asyncio
import collections
import contextvars
import enum
import heapq

from jujubeglade.fakes import virtual

_current = contextvars.ContextVar("process", default=None)


class State(enum.Enum):
    """The state of a process."""

    RUNNING = enum.auto()
    FROZEN = enum.auto()
    KILLED = enum.auto()


class Process:
    """One process."""

    __slots__ = ("_context", "_held", "_loop", "_received", "name", "state")

    def __init__(self, name):
        """Create a running process.

        Args:
          name: A string.
        """
        self.name = name
        self.state = State.RUNNING
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

    def resume(self):
        """Handle what was received, then the callbacks and timers that were held."""
        if self.state is not State.FROZEN:
            return
        self.state = State.RUNNING
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

    __slots__ = ()


class ProcessLoop(virtual.VirtualLoop):
    """An event loop in virtual time with processes that can be frozen."""

    def call_at(self, when, callback, *args, context=None):
        """Schedule a timer; see `asyncio.loop.call_at`."""
        timer = _TimerHandle(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

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
