"""Run times: what a home learns of how long tasks take.

Declared run times are often far off. For each service and tenant the mean ratio
of the run time to the declared one is learnt, or the mean run time where none is
declared; `expected_ms` applies it. For each service the distribution of the
ratio to the expected time is kept in logarithmic buckets, of which hedging takes
a quantile, and the least run time, below which no deadline can be met.
"""

import math

_DEFAULT_MS = 100.0
_LEAST_MS = 1.0
_SLOWEST_MEAN = 0.02
_MAX_KEYS = 5000
_BUCKETS = 64
_BUCKET_BASE = 1.2
_FIRST_RATIO = 0.01
_HALVE_AT = 2000
_LEAST_SAMPLES = 20
_FORGET = 0.001


class _Mean:
    """A mean in which the latest samples weigh most."""

    __slots__ = ("count", "value")

    def __init__(self):
        self.value = 0.0
        self.count = 0

    def add(self, sample):
        self.count += 1
        self.value += (sample - self.value) * max(1 / self.count, _SLOWEST_MEAN)


class Spread:
    """A distribution of ratios in logarithmic buckets."""

    __slots__ = ("_counts", "_total")

    def __init__(self):
        """Start empty."""
        self._counts = [0.0] * _BUCKETS
        self._total = 0.0

    def add(self, ratio):
        """Add a sample.

        Args:
          ratio: A number.
        """
        place = int(math.log(max(ratio, _FIRST_RATIO) / _FIRST_RATIO, _BUCKET_BASE))
        self._counts[min(place, _BUCKETS - 1)] += 1
        self._total += 1
        if self._total >= _HALVE_AT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def quantile(self, share):
        """Find the ratio that a share of the samples stays below.

        Args:
          share: A number from 0 to 1.

        Returns:
          A number, or None while the samples are few.
        """
        if self._total < _LEAST_SAMPLES:
            return None
        wanted = self._total * share
        place = 0
        while place < _BUCKETS - 1 and wanted > self._counts[place]:
            wanted -= self._counts[place]
            place += 1
        return _FIRST_RATIO * _BUCKET_BASE ** (place + 1)


class RunTimes:
    """What one home has learnt."""

    __slots__ = ("_least", "_means", "_most", "_spreads")

    def __init__(self):
        """Start with nothing learnt."""
        self._means = {}
        self._spreads = {}
        self._least = {}
        self._most = {}

    def expected_ms(self, task, tenant):
        """Estimate how long a task runs.

        Args:
          task: A Task.
          tenant: A string.

        Returns:
          A number above 0; a usual one when nothing is known.
        """
        return self.known_ms(task, tenant) or _DEFAULT_MS

    def known_ms(self, task, tenant):
        """Tell how long a task runs, from what is learnt or else declared.

        Args:
          task: A Task.
          tenant: A string.

        Returns:
          A number; 0 when nothing is known.
        """
        declared = task.run_ms > 0
        mean = self._means.get((task.service, tenant, declared))
        if mean is None:
            mean = self._means.get((task.service, None, declared))
        if mean is None:
            return float(task.run_ms)
        return max(_LEAST_MS, mean.value * (task.run_ms or 1))

    def surely_ms(self, task, tenant):
        """Tell how long a task surely runs, for a refusal to rest on.

        A declaration alone proves nothing: it counts for no more than the longest
        run time of the service seen lately, and for nothing before that is known.

        Args:
          task: A Task.
          tenant: A string.

        Returns:
          A number; 0 when nothing is known.
        """
        most_ms, count = self._most.get(task.service, (0.0, 0))
        if count < _LEAST_SAMPLES:
            return 0.0
        return min(most_ms, self.known_ms(task, tenant))

    def least_ms(self, service):
        """Tell the shortest run time of a service seen lately.

        Args:
          service: A string.

        Returns:
          A number; 0 while the samples are few.
        """
        least, count = self._least.get(service, (0.0, 0))
        return least if count >= _LEAST_SAMPLES else 0.0

    def late_ratio(self, service, share):
        """Tell what share of the tasks needs less than which ratio.

        Args:
          service: A string.
          share: A number from 0 to 1.

        Returns:
          A number, of the time from placing to end to the expected run time; or
          None while the samples are few.
        """
        spread = self._spreads.get(service)
        return None if spread is None else spread.quantile(share)

    def add(self, task, tenant, run_ms, taken_ms, expected_ms):
        """Learn from a task that succeeded.

        Args:
          task: A Task.
          tenant: A string.
          run_ms: A number, from its start to its end at the executor.
          taken_ms: A number, from its placing to its end at the home.
          expected_ms: A number, what was expected of it.
        """
        run_ms = max(run_ms, _LEAST_MS)
        sample = run_ms / (task.run_ms or 1)
        for owner in (tenant, None):
            self._mean((task.service, owner, task.run_ms > 0)).add(sample)
        spread = self._spreads.setdefault(task.service, Spread())
        spread.add(taken_ms / expected_ms)
        least, count = self._least.get(task.service, (run_ms, 0))
        # The minimum rises slowly, so that an old one is forgotten.
        least = min(run_ms, least * (1 + _FORGET))
        self._least[task.service] = (least, count + 1)
        most, count = self._most.get(task.service, (run_ms, 0))
        most = max(run_ms, most * (1 - _FORGET))
        self._most[task.service] = (most, count + 1)

    def _mean(self, key):
        mean = self._means.get(key)
        if mean is None:
            if len(self._means) >= _MAX_KEYS:
                self._means.pop(next(iter(self._means)))
            mean = self._means[key] = _Mean()
        return mean
