"""The registry of scenarios, and their options.

A scenario is a coroutine function that takes an `Options` and returns a
report.Outcome. `@scenario("...")` gives it a name, and `python -m jujubeglade.bench
NAME` runs it.
"""

import dataclasses

from jujubeglade.bench import cluster, load

SCENARIOS = {}
#: The scenarios that run only when the command line names them.
BY_NAME = set()
_FULL_DURATION_MS = 180_000


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """The options of a scenario.

    Attributes:
      shape: A cluster.Shape.
      mix: A load.Mix.
      seed: An integer.
      full: A boolean; true submits jobs for longer than `quick_ms`.
      quick_ms: An integer, for how long jobs arrive otherwise.
    """

    shape: cluster.Shape
    mix: load.Mix
    seed: int
    full: bool
    quick_ms: int = 30_000

    @property
    def duration_ms(self):
        """Return for how long jobs arrive."""
        return _FULL_DURATION_MS if self.full else self.quick_ms

    @property
    def slots(self):
        """Return the number of slots of all workers."""
        return self.shape.workers * self.shape.slots

    def arrivals(self, share):
        """Draw the arrivals for a share of the capacity.

        Args:
          share: A number, 1 for as much work as all slots can do.

        Returns:
          A list of load.Arrivals.
        """
        rate = load.rate_of(self.slots, share)
        return load.draw(self.mix, rate, self.duration_ms, self.seed)

    def conditions(self, text):
        """Describe the conditions of a run.

        Args:
          text: A string, the conditions particular to the run.

        Returns:
          A string.
        """
        seconds = self.duration_ms // 1000
        return f"{self.mix.name}, seed {self.seed}, {text}, {seconds} s of arrivals"


def scenario(name, by_name=False):
    """Register a scenario.

    Args:
      name: A string.
      by_name: A boolean; true runs it only when it is named.

    Returns:
      A decorator that returns its function unchanged.
    """

    def register(function):
        SCENARIOS[name] = function
        if by_name:
            BY_NAME.add(name)
        return function

    return register
