"""Held Begins: those of tasks that still run at this agent for another owner.

A client that submits its job again, to another entry, does not wait for the attempts of
the first submission to end. The agent stops these, and starts the new attempt once the
worker has listed the end. A refusal instead would let the new owner place the task on
another worker at once.
"""

import dataclasses

from jujubeglade.direct import contract, owners


@dataclasses.dataclass(frozen=True, slots=True)
class HeldBegin:
    """A Begin that waits for the end of an earlier attempt.

    Attributes:
      owner: An Owner.
      begin: A Begin.
      until_ms: A number, when it is too late to start, on the monotonic clock.
    """

    owner: owners.Owner
    begin: contract.Begin
    until_ms: float

    def left_ms(self, now_ms):
        """Return the time left to start, in ms.

        Args:
          now_ms: A number, the monotonic clock.
        """
        return self.until_ms - now_ms


class HeldBegins:
    """The held Begins of one agent, at most one for each task."""

    __slots__ = ("_by_task",)

    def __init__(self):
        """Create an empty set."""
        self._by_task = {}

    def put(self, held):
        """Hold a Begin.

        Args:
          held: A HeldBegin.

        Returns:
          The HeldBegin that it replaces, or None.
        """
        replaced = self._by_task.get(held.begin.task)
        self._by_task[held.begin.task] = held
        return replaced

    def pop(self, task):
        """Remove the held Begin of a task, and return it; None if there is none.

        Args:
          task: A TaskName.
        """
        return self._by_task.pop(task, None)

    def pop_if(self, owner, task, run):
        """Remove the held Begin of an owner's attempt, and return it.

        Args:
          owner: An Owner.
          task: A TaskName.
          run: An integer.

        Returns:
          A HeldBegin, or None.
        """
        held = self._by_task.get(task)
        if held is None or held.owner is not owner or held.begin.run != run:
            return None
        return self._by_task.pop(task)

    def holds_for(self, owner):
        """Return whether a Begin of an owner is held.

        Args:
          owner: An Owner.
        """
        return any(held.owner is owner for held in self._by_task.values())

    def drop_owner(self, owner):
        """Remove the held Begins of an owner.

        Args:
          owner: An Owner.
        """
        self._by_task = {
            task: held
            for task, held in self._by_task.items()
            if held.owner is not owner
        }
