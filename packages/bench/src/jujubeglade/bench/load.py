"""The load: which jobs arrive when, drawn from a seed.

A `Mix` describes the requests of one of the users. Arrivals are open-loop: they do not
wait for answers. Every `_BURST_INTERVAL_MS` a burst arrives at three times the rate;
the rate between bursts is lower, so that the mean is the requested rate.

    arrivals = load.draw(load.ASSOCIATION, rate=11.2, duration_ms=30_000, seed=1)

Run times are log-uniform from 50 ms to 1 s, but one task in fifty takes 2 to 5 s. Jobs
have 1 to 100 tasks, log-uniform too: most are small. One declared run time in five is
wrong by a factor of five.
"""

import dataclasses
import math
import random

_SHORT_RUN_MS = (50, 1000)
_LONG_RUN_MS = (2000, 5000)
_LONG_SHARE = 0.02
_MAX_TASKS = 100
_BURST_INTERVAL_MS = 10_000
_BURST_MS = 1_000
_BURST_FACTOR = 3
_BETWEEN_BURSTS_FACTOR = (_BURST_INTERVAL_MS - _BURST_FACTOR * _BURST_MS) / (
    _BURST_INTERVAL_MS - _BURST_MS
)
_MISDECLARED_SHARE = 0.2
_MISDECLARED_FACTORS = (0.2, 5)


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    Attributes:
      name: A string.
      share: A number, its weight within the mix.
      urgency: A string, the class of its jobs.
      repeatable: A boolean.
    """

    name: str
    share: float
    urgency: str
    repeatable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """The requests of one user.

    Attributes:
      name: A string.
      kinds: A tuple of Kinds.
      tenants: A mapping from the name of a tenant to its weight.
    """

    name: str
    kinds: tuple[Kind, ...]
    tenants: dict


_TENANTS = {"alpha": 5, "beta": 3, "gamma": 2}
ASSOCIATION = Mix(
    "association",
    (
        Kind("stock check", 5, "normal", True),
        Kind("match", 3, "normal", True),
        Kind("hold", 2, "urgent", False),
    ),
    _TENANTS,
)
ARMOR_NEIGE = Mix(
    "armor-neige",
    (
        Kind("price check", 6, "urgent", True),
        Kind("issuance", 3, "urgent", False),
        Kind("refund hold", 1, "urgent", False),
    ),
    _TENANTS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One job that arrives.

    Attributes:
      at_ms: A number, from the begin of the run.
      tenant: A string.
      kind: A string, the name of its Kind.
      urgency: A string.
      repeatable: A boolean, for all its tasks.
      run_ms: A tuple of integers, how long each task takes.
      declared_ms: A tuple of integers, the declared run time of each.
    """

    at_ms: float
    tenant: str
    kind: str
    urgency: str
    repeatable: bool
    run_ms: tuple[int, ...]
    declared_ms: tuple[int, ...]


def draw(mix, rate, duration_ms, seed):
    """Draw the arrivals of a run.

    Args:
      mix: A Mix.
      rate: A number, the mean number of jobs a second.
      duration_ms: A number.
      seed: An integer.

    Returns:
      A list of Arrivals, in the order of time.
    """
    rng = random.Random(seed)
    arrivals = []
    at_ms = 0.0
    while True:
        in_burst = at_ms % _BURST_INTERVAL_MS >= _BURST_INTERVAL_MS - _BURST_MS
        factor = _BURST_FACTOR if in_burst else _BETWEEN_BURSTS_FACTOR
        at_ms += rng.expovariate(rate * factor / 1000)
        if at_ms >= duration_ms:
            return arrivals
        arrivals.append(_draw_job(rng, mix, at_ms))


def rate_of(slots, load):
    """Compute how many jobs a second make a load.

    Args:
      slots: An integer, of all workers.
      load: A number, 1 for as much work as the slots can do.

    Returns:
      A number.
    """
    return load * slots * 1000 / (mean_run_ms() * mean_tasks())


def mean_run_ms():
    """Return the mean run time of a task."""
    short = _log_uniform_mean(*_SHORT_RUN_MS)
    long = sum(_LONG_RUN_MS) / 2
    return (1 - _LONG_SHARE) * short + _LONG_SHARE * long


def mean_tasks():
    """Return the mean number of tasks of a job."""
    # A job has floor(x) tasks, with x log-uniform from 1 to one above the largest.
    upper = _MAX_TASKS + 1
    sizes = range(1, upper)
    return sum(n * math.log((n + 1) / n) for n in sizes) / math.log(upper)


def _draw_job(rng, mix, at_ms):
    kind = rng.choices(mix.kinds, [kind.share for kind in mix.kinds])[0]
    tenant = rng.choices(list(mix.tenants), list(mix.tenants.values()))[0]
    tasks = int(_log_uniform(rng, 1, _MAX_TASKS + 1))
    run_ms = tuple(_draw_run_ms(rng) for _ in range(tasks))
    declared_ms = tuple(_declare(rng, task_ms) for task_ms in run_ms)
    return Arrival(
        at_ms, tenant, kind.name, kind.urgency, kind.repeatable, run_ms, declared_ms
    )


def _draw_run_ms(rng):
    if rng.random() < _LONG_SHARE:
        return int(rng.uniform(*_LONG_RUN_MS))
    return int(_log_uniform(rng, *_SHORT_RUN_MS))


def _declare(rng, run_ms):
    if rng.random() < _MISDECLARED_SHARE:
        return max(1, int(run_ms * rng.choice(_MISDECLARED_FACTORS)))
    return run_ms


def _log_uniform(rng, low, high):
    return math.exp(rng.uniform(math.log(low), math.log(high)))


def _log_uniform_mean(low, high):
    return (high - low) / math.log(high / low)
