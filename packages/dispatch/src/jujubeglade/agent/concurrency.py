"""Concurrency: how many tasks run at once on an upstream, within its slots.

Each class carries out a choice of the rule `concurrency`:

| choice     | tasks at once                                                    |
|------------|------------------------------------------------------------------|
| `adaptive` | its slots at first; two thirds of what ran after a throttle, and |
|            | one more after each round of tasks that ended well               |
| `fixed`    | its slots, always                                                |

An upstream that throttles has told that its slots are more than it can do now. To
go on filling them costs a message and a pause for each task that it turns away.
"""

from jujubeglade.core import rules

_AFTER_THROTTLE = 2 / 3


def open_concurrency(slots, choice=rules.RULES["concurrency"].default):
    """Make the concurrency of an upstream.

    Args:
      slots: An integer, those that it announced.
      choice: A string, a choice of the rule `concurrency`.

    Returns:
      An object with `limit`, `succeeded` and `throttled`.
    """
    found = rules.implementation("concurrency", choice)
    return Adaptive(slots) if found is None else found(slots)


@rules.implements("concurrency", "fixed")
class Fixed:
    """Fill all slots whatever the upstream answers."""

    __slots__ = ("limit",)

    def __init__(self, slots):
        """Start with all slots.

        Args:
          slots: An integer.
        """
        self.limit = slots

    def succeeded(self):
        """Note a task that the upstream took and ended."""

    def throttled(self, running):
        """Note a task that the upstream turned away.

        Args:
          running: An integer, how many tasks run there.
        """


@rules.implements("concurrency", "adaptive")
class Adaptive:
    """Run fewer tasks after a throttle, and slowly more again."""

    __slots__ = ("_slots", "_window")

    def __init__(self, slots):
        """Start with all slots.

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
        """Note a task that the upstream took and ended; see `Fixed`."""
        self._window = min(self._slots, self._window + 1 / self._window)

    def throttled(self, running):
        """Note a task that the upstream turned away; see `Fixed`."""
        # Tasks turned away at the same moment tell the same thing once.
        least = max(1.0, running * _AFTER_THROTTLE)
        self._window = min(self._window, least)
