"""Policies of a home: the choices of the rules in force, and the state they share.

Each policy implements a choice of a rule (`jujubeglade.core.rules`). The simple
choices exist so that the others can be compared with them. When an operator changes a
rule, the new policy replaces the former one at once. docs/POLICIES.md describes them.
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
        "run_times",
    )

    def __init__(self, now_ms):
        """Create the default policy of every rule.

        Args:
          now_ms: A number, the monotonic time.
        """
        self._choices = {}
        self.quotas = admission.Quotas()
        self.run_times = runtimes.RunTimes()
        self.budget = retry.Budget(now_ms)
        self.queue = None
        self.configure({})

    def configure(self, document):
        """Apply a configuration document.

        Args:
          document: A dict; `rules` and `quotas` are read.

        Returns:
          A boolean, whether the queue was replaced by an empty one.
        """
        self.quotas.configure(document.get("quotas", {}))
        configured_rules = document.get("rules", {})
        for name in ("admission", "health", "hedging", "placement"):
            policy = self._make_policy(name, configured_rules)
            if policy is not None:
                setattr(self, name, policy)
        policy = self._make_policy("queueing", configured_rules, self.quotas.weight)
        if policy is not None:
            self.queue = policy
        return policy is not None

    def _make_policy(self, name, configured_rules, *arguments):
        """Create the policy of a rule, or return None if its choice hasn't changed."""
        choice = configured_rules.get(name, rules.RULES[name].default)
        if choice == self._choices.get(name):
            return None
        policy_class = rules.implementation(name, choice)
        if policy_class is None:
            # The choice is from a later version; the present policy stays in force.
            return None
        self._choices[name] = choice
        return policy_class(*arguments)


def open_policies(now_ms):
    """Create the policies of a home.

    Args:
      now_ms: A number, the monotonic time.

    Returns:
      A Policies.
    """
    return Policies(now_ms)
