"""Run times: estimates how long tasks take, from the tasks that have ended.

Declared run times are often far off. For each service and tenant a home keeps the
mean ratio of the measured run time to the declared one, or the mean run time of the
tasks that declare none; `expected_ms` applies it. For each service it also keeps the
distribution of the ratio of the actual to the expected time in logarithmic buckets,
of which hedging uses a quantile, and the shortest run time, below which no deadline
can be met.
"""

import math

_DEFAULT_RUN_MS = 100.0
_MIN_RUN_MS = 1.0
_MIN_SAMPLE_WEIGHT = 0.02
_MAX_MEANS = 5000
_BUCKETS = 64
_BUCKET_BASE = 1.2
_MIN_RATIO = 0.01
_HALVE_AT_SAMPLES = 2000
_MIN_SAMPLES = 20
_EXTREME_DECAY = 0.001


class _Mean:
    """A mean that gives the latest samples the most weight."""

    __slots__ = ("count", "value")

    def __init__(self):
        self.value = 0.0
        self.count = 0

    def add(self, sample):
        self.count += 1
        self.value += (sample - self.value) * max(1 / self.count, _MIN_SAMPLE_WEIGHT)


class RatioHistogram:
    """A histogram of ratios with logarithmic buckets."""

    __slots__ = ("_counts", "_total")

    def __init__(self):
        """Create an empty histogram."""
        self._counts = [0.0] * _BUCKETS
        self._total = 0.0

    def add(self, ratio):
        """Add a sample.

        Args:
          ratio: A number.
        """
        bucket = int(math.log(max(ratio, _MIN_RATIO) / _MIN_RATIO, _BUCKET_BASE))
        self._counts[min(bucket, _BUCKETS - 1)] += 1
        self._total += 1
        if self._total >= _HALVE_AT_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def quantile(self, quantile_rank):
        """Return a quantile of the ratios.

        Args:
          quantile_rank: A number from 0 to 1.

        Returns:
          A number, or None while there are too few samples.
        """
        if self._total < _MIN_SAMPLES:
            return None
        remaining = self._total * quantile_rank
        bucket = 0
        while bucket < _BUCKETS - 1 and remaining > self._counts[bucket]:
            remaining -= self._counts[bucket]
            bucket += 1
        return _MIN_RATIO * _BUCKET_BASE ** (bucket + 1)


class RunTimes:
    """The run times that one home has measured."""

    __slots__ = ("_histograms", "_longest", "_means", "_shortest")

    def __init__(self):
        """Create an object without samples."""
        self._means = {}
        self._histograms = {}
        self._shortest = {}
        self._longest = {}

    def expected_ms(self, task, tenant):
        """Estimate how long a task runs.

        Args:
          task: A Task.
          tenant: A string.

        Returns:
          A number above 0; a default when nothing is known.
        """
        return self.estimate_ms(task, tenant) or _DEFAULT_RUN_MS

    def estimate_ms(self, task, tenant):
        """Estimate a run time from the samples, or else from the declaration.

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
        return max(_MIN_RUN_MS, mean.value * (task.run_ms or 1))

    def confirmed_ms(self, task, tenant):
        """Estimate a run time reliably enough to refuse a job because of it.

        A declared run time may be wrong, so the estimate is bounded by the longest
        recent run time of the service, and is 0 before there are enough samples.

        Args:
          task: A Task.
          tenant: A string.

        Returns:
          A number; 0 when nothing is known.
        """
        longest_ms, count = self._longest.get(task.service, (0.0, 0))
        if count < _MIN_SAMPLES:
            return 0.0
        return min(longest_ms, self.estimate_ms(task, tenant))

    def min_run_ms(self, service):
        """Return the shortest recent run time of a service.

        Args:
          service: A string.

        Returns:
          A number; 0 while there are too few samples.
        """
        shortest_ms, count = self._shortest.get(service, (0.0, 0))
        return shortest_ms if count >= _MIN_SAMPLES else 0.0

    def ratio_quantile(self, service, rank):
        """Return a quantile of the ratios of actual to expected times.

        Args:
          service: A string.
          rank: A number from 0 to 1.

        Returns:
          A number, the ratio of the time from placement to end to the expected run
          time; or None while there are too few samples.
        """
        histogram = self._histograms.get(service)
        return None if histogram is None else histogram.quantile(rank)

    def add(self, task, tenant, run_ms, taken_ms, expected_ms):
        """Add the times of a task that succeeded.

        Args:
          task: A Task.
          tenant: A string.
          run_ms: A number, from its start to its end at the executor.
          taken_ms: A number, from its placement to its end, measured at the home.
          expected_ms: A number, its expected run time.
        """
        run_ms = max(run_ms, _MIN_RUN_MS)
        sample = run_ms / (task.run_ms or 1)
        for tenant_key in (tenant, None):
            self._mean((task.service, tenant_key, task.run_ms > 0)).add(sample)
        histogram = self._histograms.setdefault(task.service, RatioHistogram())
        histogram.add(taken_ms / expected_ms)
        shortest_ms, count = self._shortest.get(task.service, (run_ms, 0))
        # The minimum rises and the maximum falls slowly, so that old ones lose effect.
        shortest_ms = min(run_ms, shortest_ms * (1 + _EXTREME_DECAY))
        self._shortest[task.service] = (shortest_ms, count + 1)
        longest_ms, count = self._longest.get(task.service, (run_ms, 0))
        longest_ms = max(run_ms, longest_ms * (1 - _EXTREME_DECAY))
        self._longest[task.service] = (longest_ms, count + 1)

    def _mean(self, key):
        mean = self._means.get(key)
        if mean is None:
            if len(self._means) >= _MAX_MEANS:
                self._means.pop(next(iter(self._means)))
            mean = self._means[key] = _Mean()
        return mean
