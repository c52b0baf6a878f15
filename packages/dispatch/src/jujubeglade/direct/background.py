"""Background tasks: asyncio tasks that run until their owner closes."""

import asyncio

from jujubeglade.core import log

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


def new_background():
    """Make the background tasks of an owner that has started none.

    Returns:
      A Background.
    """
    return Background()
