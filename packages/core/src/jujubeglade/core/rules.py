"""The policy rules that operators may change while the system runs.

A rule selects one policy, such as where a task is placed. Its choices are declared
here, so that an entry can check a command without importing the code that implements
them; that code registers itself with `implements`:

    @rules.implements("placement", "least_loaded")
    def place(...): ...

    chosen = rules.implementation("placement", configuration_value)
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """One policy and its choices.

    Attributes:
      name: A string.
      choices: A tuple of strings; the first is the default.
      doc: A string, the sentence for the reference page.
    """

    name: str
    choices: tuple
    doc: str

    @property
    def default(self):
        """The choice that applies until an operator sets another."""
        return self.choices[0]


_RULES = (
    Rule(
        "placement",
        ("least_delay", "least_loaded", "round_robin"),
        "How a task's worker is chosen among the candidates.",
    ),
    Rule(
        "hedging",
        ("off", "late"),
        "Whether a repeatable task that is late starts on a second worker.",
    ),
    Rule(
        "admission",
        ("deadline", "always"),
        "Whether a job that can't meet its deadline is refused at once.",
    ),
    Rule(
        "health",
        ("probation", "off"),
        "Whether a worker whose tasks fail gets one task at a time until they succeed.",
    ),
    Rule(
        "concurrency",
        ("adaptive", "fixed"),
        "Whether an upstream that throttles is given fewer tasks at once.",
    ),
    Rule(
        "queueing",
        ("fair", "arrival"),
        "Whether tenants and classes share slots by weight, or go by class, then"
        " arrival.",
    ),
)

RULES = {rule.name: rule for rule in _RULES}

_implementations = {}


def implements(name, choice):
    """Register the code that implements a choice.

    Args:
      name: A string, the rule.
      choice: A string, one of the rule's choices.

    Returns:
      A decorator that returns its function or class unchanged.

    Raises:
      ValueError: The rule has no such choice.
    """
    if name not in RULES or choice not in RULES[name].choices:
        raise ValueError(f"rule {name} has no choice {choice}; declare it in RULES")

    def register(target):
        _implementations[name, choice] = target
        return target

    return register


def implementation(name, choice):
    """Find the code that implements a choice.

    Args:
      name: A string, the rule.
      choice: A string.

    Returns:
      The registered function or class, or None.
    """
    return _implementations.get((name, choice))
