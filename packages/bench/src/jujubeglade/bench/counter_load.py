"""The load of the users' counters, run on a site of direct jobs in virtual time.

Each kind of request arrives at its rate, as jobs whose numbers of tasks, sizes and run
times vary as the users' data sheets state. A burst multiplies all rates for a while.
The answers are counted by kind: in time, late, refused or without an outcome. This
measures queueing, admission and placement without network or real time.
"""

import asyncio
import collections
import dataclasses
import math
import random

from jujubeglade.core import clock
from jujubeglade.direct import job
from jujubeglade.fakes import direct_site

#: A late answer has some worth up to this multiple of its objective.
_LATE_FACTOR = 3.0
#: The share of its worth that a late answer has, as on the users' data sheets.
_LATE_WORTH_SHARE = 0.2
#: The least and the greatest client timeout.
_TIMEOUT_MS = (1800.0, 10_000.0)
#: Between these, a client timeout is a multiple of the objective, from this range.
_TIMEOUT_FACTORS = (3.0, 9.0)
#: The sigma of the log-normal ratio of estimates to real run times.
_ESTIMATE_SIGMA = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    Attributes:
      name: A string.
      per_s: A number, jobs a second on an ordinary day.
      tasks: An integer, the mean number of tasks of a job.
      run_ms: A number, the mean run time of a task.
      worth: A number, the worth of a job answered in time.
      priority: An integer, that of its route; 0 comes first.
    """

    name: str
    per_s: float
    tasks: int
    run_ms: float
    worth: float
    priority: int

    @property
    def route(self):
        """Return the Route to which its jobs are submitted."""
        return dataclasses.replace(
            direct_site.ROUTE, name=self.name, priority=self.priority
        )


#: The kinds of both users, whose data sheets differ only in the cores of a task.
KINDS = (
    Kind("check", 17.2, 8, 120.0, 0.0291, 0),
    Kind("issue", 3.13, 4, 1800.0, 0.16, 2),
    Kind("hold", 50.0, 2, 400.0, 0.01, 1),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Which requests arrive, and for how long.

    Attributes:
      cpu: An integer, thousandths of a core that a task needs on average.
      seconds: A number.
      share: A number, the rates as a multiple of those of the kinds.
      burst: A number, the rates within the burst as a multiple of those outside.
      burst_s: A pair of numbers, when the burst begins and ends, in s.
      kinds: A tuple of Kinds.
      racks: A tuple of strings, the racks of the data of jobs of priority 0, the first
        one of half of these jobs; empty when their data is everywhere.
      rack_s: A pair of numbers, when these jobs name their racks, in s.
    """

    cpu: int
    seconds: float
    share: float = 1.0
    burst: float = 1.0
    burst_s: tuple = (0.0, 0.0)
    kinds: tuple = KINDS
    racks: tuple = ()
    rack_s: tuple = (0.0, math.inf)

    def factor(self, at_s):
        """Return the multiple of the kinds' rates at a moment."""
        begin_s, end_s = self.burst_s
        return self.share * (self.burst if begin_s <= at_s < end_s else 1.0)

    def rack(self, kind, at_s, rng):
        """Draw the rack of the data of a request; empty for none."""
        begin_s, end_s = self.rack_s
        if kind.priority or not self.racks or not begin_s <= at_s < end_s:
            return ""
        return self.racks[0] if rng.random() < 0.5 else rng.choice(self.racks)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one request.

    Attributes:
      kind: A Kind.
      entry: A string, the entry that got the request.
      at_s: A number, when the request was made.
      state: A State of the job.
      took_ms: A number.
      objective_ms: A number, derived from the real run time.
      weight: A number, the job's work as a multiple of the mean of its kind.
    """

    kind: Kind
    entry: str
    at_s: float
    state: job.State
    took_ms: float
    objective_ms: float
    weight: float

    @property
    def full_worth(self):
        """Return the worth of the job if answered in time."""
        return self.kind.worth * (0.3 + 0.7 * min(4.0, self.weight))

    @property
    def worth_share(self):
        """Return the share of the full worth that the answer has."""
        if self.state is not job.State.COMPLETED:
            return 0.0
        if self.took_ms <= self.objective_ms:
            return 1.0
        is_useful = self.took_ms <= _LATE_FACTOR * self.objective_ms
        return _LATE_WORTH_SHARE if is_useful else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """The answers to a load, as shares of all answers.

    Attributes:
      worth: A number, the share of the full worth.
      in_time: A number, answered in time.
      served: A number, answered in time or late.
      refused: A number, refused.
      refusals_p99_ms: A number, the 99th percentile of the time to a refusal.
    """

    worth: float
    in_time: float
    served: float
    refused: float
    refusals_p99_ms: float


def tally(answers):
    """Count answers.

    Args:
      answers: A sequence of Answers, at least one.

    Returns:
      A Tally.
    """
    states = collections.Counter(answer.state for answer in answers)
    full_worth = sum(answer.full_worth for answer in answers)
    earned = sum(answer.full_worth * answer.worth_share for answer in answers)
    refusals = sorted(
        answer.took_ms for answer in answers if answer.state is job.State.REFUSED
    )
    return Tally(
        earned / full_worth,
        sum(answer.worth_share == 1.0 for answer in answers) / len(answers),
        states[job.State.COMPLETED] / len(answers),
        states[job.State.REFUSED] / len(answers),
        refusals[len(refusals) * 99 // 100] if refusals else 0.0,
    )


def split(answers, key):
    """Group answers.

    Args:
      answers: A sequence of Answers.
      key: A function from an Answer to the key of its group.

    Returns:
      A dict from the keys to lists of Answers.
    """
    groups = collections.defaultdict(list)
    for answer in answers:
        groups[key(answer)].append(answer)
    return dict(groups)


async def play(site, load, seed):
    """Run a load on a site, with requests to the entries in turn.

    The same seed makes the same requests, whatever the site decides about them.

    Args:
      site: A Site.
      load: A Load.
      seed: An integer.

    Returns:
      A list of Answers.
    """
    callers = []
    arrivals = [
        asyncio.create_task(
            _submit_kind(
                site, load, kind, random.Random(f"{seed} {kind.name}"), callers
            )
        )
        for kind in load.kinds
    ]
    await asyncio.gather(*arrivals)
    return list(await asyncio.gather(*callers))


async def _submit_kind(site, load, kind, rng, callers):
    """Submit the jobs of one kind at its rate."""
    begin_ms = site.clock.now_ms()
    while True:
        at_s = clock.seconds(site.clock.now_ms() - begin_ms)
        if at_s >= load.seconds:
            return
        identity, entry = site.entries[len(callers) % len(site.entries)]
        request = _request(site, load, kind, rng, at_s)
        call = _call(site, identity.name, entry, request)
        callers.append(asyncio.create_task(call))
        rate = kind.per_s * load.factor(at_s)
        await asyncio.sleep(rng.expovariate(rate))


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    kind: Kind
    at_s: float
    submission: job.Submission
    objective_ms: float
    weight: float


def _request(site, load, kind, rng, at_s):
    """Draw a request of one kind."""
    count = int(_draw(rng, kind.tasks, 0.4, 4.0 * kind.tasks, least=1))
    run_ms = _draw(rng, kind.run_ms, 0.4, 2.0 * kind.run_ms)
    cpu = int(_draw(rng, load.cpu, 0.2, 1.5 * load.cpu))
    objective_ms = direct_site.ROUTE.objective_ms(run_ms)
    least_ms, most_ms = _TIMEOUT_MS
    timeout_ms = objective_ms * rng.uniform(*_TIMEOUT_FACTORS)
    timeout_ms = min(most_ms, max(least_ms, timeout_ms))
    estimate = rng.lognormvariate(0.0, _ESTIMATE_SIGMA)
    submission = site.submission(count, cpu, run_ms, timeout_ms, estimate)
    submission = _with_rack(submission, load.rack(kind, at_s, rng))
    weight = count * run_ms * cpu / (kind.tasks * kind.run_ms * load.cpu)
    return _Request(kind, at_s, submission, objective_ms, weight)


def _with_rack(submission, rack):
    """Return a submission whose data is in a rack; empty for everywhere."""
    if not rack:
        return submission
    steps = tuple(dataclasses.replace(step, rack=rack) for step in submission.steps)
    return dataclasses.replace(
        submission, steps=steps, spec=f"{submission.spec} {rack}"
    )


async def _call(site, name, entry, request):
    """Make one request and wait for its answer."""
    begin_ms = site.clock.now_ms()
    outcome = await entry.submit(request.submission, request.kind.route)
    took_ms = site.clock.now_ms() - begin_ms
    return Answer(
        request.kind,
        name,
        request.at_s,
        outcome.state,
        took_ms,
        request.objective_ms,
        request.weight,
    )


def _draw(rng, mean, sigma, most, least=0.0):
    """Draw from a log-normal distribution with a mean, clamped at both ends."""
    mu = math.log(mean) - sigma * sigma / 2
    return max(least, min(most, rng.lognormvariate(mu, sigma)))
