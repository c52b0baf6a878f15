"""The registry of scenarios, and what each is told.

A scenario is a coroutine function of an `Options` to a report.Outcome, named by
`@scenario("...")`; `python -m jujubeglade.bench NAME` runs it.
"""

import dataclasses

from jujubeglade.bench import cluster, load

SCENARIOS = {}
#: The scenarios that run only when they are named.
BY_NAME = set()
_FULL_MS = 180_000


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What a scenario is told.

    Attributes:
      shape: A cluster.Shape.
      mix: A load.Mix.
      seed: An integer.
      full: A boolean; true runs longer.
      quick_ms: An integer, how long arrivals go on otherwise.
    """

    shape: cluster.Shape
    mix: load.Mix
    seed: int
    full: bool
    quick_ms: int = 30_000

    @property
    def duration_ms(self):
        """Return how long arrivals go on."""
        return _FULL_MS if self.full else self.quick_ms

    @property
    def slots(self):
        """Return the slots of all workers."""
        return self.shape.workers * self.shape.slots

    def arrivals(self, share):
        """Draw the arrivals for a share of the capacity.

        Args:
          share: A number, 1 for as much as all slots can do.

        Returns:
          A list of load.Arrivals.
        """
        rate = load.rate_of(self.slots, share)
        return load.draw(self.mix, rate, self.duration_ms, self.seed)

    def conditions(self, text):
        """Describe the conditions of a run.

        Args:
          text: A string, what is particular to it.

        Returns:
          A string.
        """
        seconds = self.duration_ms // 1000
        return f"{self.mix.name}, seed {self.seed}, {text}, {seconds} s of arrivals"


def scenario(name, by_name=False):
    """Register a scenario.

    Args:
      name: A string.
      by_name: A boolean; true leaves it out of a run of all.

    Returns:
      A decorator that returns its function unchanged.
    """

    def register(function):
        SCENARIOS[name] = function
        if by_name:
            BY_NAME.add(name)
        return function

    return register
