"""The rules that operators may choose from while the system runs.

A rule decides one matter of policy, such as where a task is placed. Its choices
are declared here, so that an entry can check a command without the code that
carries them out; that code registers itself with `implements`:

    @rules.implements("placement", "least_loaded")
    def place(...): ...

    chosen = rules.implementation("placement", configuration_value)
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """One matter of policy.

    Attributes:
      name: A string.
      choices: A tuple of strings; the first is the default.
      doc: A string, the sentence of the reference page.
    """

    name: str
    choices: tuple
    doc: str

    @property
    def default(self):
        """The choice in force until an operator sets another."""
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
        "Whether a worker that fails its tasks has to prove itself again.",
    ),
    Rule(
        "concurrency",
        ("adaptive", "fixed"),
        "Whether an upstream that throttles is given fewer tasks at once.",
    ),
    Rule(
        "queueing",
        ("fair", "arrival"),
        "Whether tenants and classes share by weight, or come urgent first, as they"
        " came.",
    ),
)

RULES = {rule.name: rule for rule in _RULES}

_implementations = {}


def implements(name, choice):
    """Register the code of a choice.

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
    """Find the code of a choice.

    Args:
      name: A string, the rule.
      choice: A string.

    Returns:
      What `implements` registered, or None.
    """
    return _implementations.get((name, choice))
