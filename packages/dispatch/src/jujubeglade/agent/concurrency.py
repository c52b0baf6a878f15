"""Concurrency: limits how many tasks run at once on an upstream.

Each class implements a choice of the rule `concurrency`:

| choice     | tasks at once                                                    |
|------------|------------------------------------------------------------------|
| `adaptive` | all slots at first; after a throttle two thirds of the running   |
|            | tasks, then one more each time that many tasks have succeeded    |
| `fixed`    | always all slots                                                 |

An upstream that throttles can't run as many tasks at present as it has slots. Each
task that it rejects costs a message and a pause, so fewer are sent.
"""

from jujubeglade.core import rules

_THROTTLE_FACTOR = 2 / 3


def open_concurrency(slots, choice=rules.RULES["concurrency"].default):
    """Create the concurrency limit of an upstream.

    Args:
      slots: An integer, the number of slots that it announced.
      choice: A string, a choice of the rule `concurrency`.

    Returns:
      An object with `limit`, `succeeded` and `throttled`.
    """
    concurrency_class = rules.implementation("concurrency", choice)
    return Adaptive(slots) if concurrency_class is None else concurrency_class(slots)


@rules.implements("concurrency", "fixed")
class Fixed:
    """Use all slots, even if the upstream throttles."""

    __slots__ = ("limit",)

    def __init__(self, slots):
        """Create a limit of all slots.

        Args:
          slots: An integer.
        """
        self.limit = slots

    def succeeded(self):
        """Record a task that the upstream ran successfully."""

    def throttled(self, running):
        """Record a task that the upstream rejected with a throttle.

        Args:
          running: An integer, the number of tasks that run there.
        """


@rules.implements("concurrency", "adaptive")
class Adaptive:
    """Run fewer tasks after a throttle, then gradually more."""

    __slots__ = ("_slots", "_window")

    def __init__(self, slots):
        """Create a limit of all slots.

        Args:
          slots: An integer.
        """
        self._slots = slots
        self._window = float(slots)

    @property
    def limit(self):
        """Return how many tasks may run at once, an integer."""
        return int(self._window)

    def succeeded(self):
        """Record a task that the upstream ran successfully; see `Fixed`."""
        self._window = min(self._slots, self._window + 1 / self._window)

    def throttled(self, running):
        """Record a task that the upstream rejected; see `Fixed`."""
        # The limit depends on the running tasks, so several tasks rejected at the same
        # time lower it only once.
        limit = max(1.0, running * _THROTTLE_FACTOR)
        self._window = min(self._window, limit)
