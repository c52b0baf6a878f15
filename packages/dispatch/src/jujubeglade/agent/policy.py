"""Policies of a home: the choices of the rules in force, and what they share.

Each policy carries out a choice of a rule (`jujubeglade.core.rules`); the plain
choices are kept to measure the others against. An operator's change of a rule
takes the place of the policy at once; docs/POLICIES.md tells what each does.
"""

from jujubeglade.agent import (
    admission,
    health,
    hedging,
    placement,
    queueing,
    retry,
    runtimes,
)
from jujubeglade.core import rules

# Importing the modules registers their classes.
_MODULES = (health, hedging, placement, queueing)


class Policies:
    """The policies of one home."""

    __slots__ = (
        "_choices",
        "admission",
        "budget",
        "health",
        "hedging",
        "placement",
        "queue",
        "quotas",
        "times",
    )

    def __init__(self, now_ms):
        """Start with the default of every rule.

        Args:
          now_ms: A number, the monotonic time.
        """
        self._choices = {}
        self.quotas = admission.Quotas()
        self.times = runtimes.RunTimes()
        self.budget = retry.Budget(now_ms)
        self.queue = None
        self.configure({})

    def configure(self, document):
        """Apply a configuration document.

        Args:
          document: A dict; `rules` and `quotas` are read.

        Returns:
          A boolean, whether the queue is another one and is empty.
        """
        self.quotas.configure(document.get("quotas", {}))
        chosen = document.get("rules", {})
        for name in ("admission", "health", "hedging", "placement"):
            made = self._make(name, chosen)
            if made is not None:
                setattr(self, name, made)
        made = self._make("queueing", chosen, self.quotas.weight)
        if made is not None:
            self.queue = made
        return made is not None

    def _make(self, name, chosen, *arguments):
        """Make the policy of a rule whose choice has changed."""
        choice = chosen.get(name, rules.RULES[name].default)
        if choice == self._choices.get(name):
            return None
        found = rules.implementation(name, choice)
        if found is None:
            # A choice of a later version: what is in force stays.
            return None
        self._choices[name] = choice
        return found(*arguments)


def open_policies(now_ms):
    """Make the policies of a home.

    Args:
      now_ms: A number, the monotonic time.

    Returns:
      A Policies.
    """
    return Policies(now_ms)
