"""Background tasks: asyncio tasks that run until their owner closes."""

import asyncio

from jujubeglade.core import clock, log

#: The pause before a task that an error has ended is started again.
_RESTART_PAUSE_MS = 100

_log = log.get(__name__)


class Background:
    """The background tasks of one owner."""

    __slots__ = ("_tasks",)

    def __init__(self):
        """Create an empty set of tasks."""
        self._tasks = set()

    def spawn(self, coroutine):
        """Start a task.

        Args:
          coroutine: A coroutine.

        Returns:
          An asyncio.Task.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._note_done)
        return task

    def keep(self, run):
        """Run a loop of the process, and start it again if an error ends it.

        One input that nobody expected then costs one round of the loop, not the
        process.

        Args:
          run: A coroutine function without arguments.

        Returns:
          An asyncio.Task.
        """
        return self.spawn(_keep_running(run))

    async def close(self):
        """Cancel the tasks that still run, and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _note_done(self, task):
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        _log.error("task broke off", task=task.get_name(), cause=repr(error))


async def _keep_running(run):
    while True:
        try:
            await run()
        except Exception as error:
            _log.error("loop broke off", loop=run.__qualname__, cause=repr(error))
        else:
            return
        await asyncio.sleep(clock.seconds(_RESTART_PAUSE_MS))


def new_background():
    """Make the background tasks of an owner that has started none.

    Returns:
      A Background.
    """
    return Background()
