"""The load of the users' counters, played on a site of direct jobs in virtual time.

Each kind of request comes at its rate, in jobs whose widths, sizes and run times vary
as the users' sheets say; a burst multiplies all rates for a while. What callers get is
counted by kind: in time, late, refused or without an outcome. It is the measure of
queueing, admission and placement that needs neither network nor real time.
"""

import asyncio
import collections
import dataclasses
import math
import random

from jujubeglade.core import clock
from jujubeglade.direct import job
from jujubeglade.fakes import direct_site

#: How much longer than its objective an answer may take and still be of some use.
_LATE_FACTOR = 3.0
#: The share of its worth that a late answer keeps, as on the users' sheets.
_LATE_SHARE = 0.2
#: Clients wait at least and at most this long, and some objectives between.
_PATIENCE_MS = (1800.0, 10_000.0)
_PATIENCE_FACTORS = (3.0, 9.0)
#: The spread of estimates around the real run times, as of a log-normal law.
_ESTIMATE_SPREAD = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    Attributes:
      name: A string.
      per_s: A number, jobs a second on an ordinary day.
      tasks: An integer, the mean width of a job.
      run_ms: A number, the mean run time of a task.
      worth: A number, of a job answered in time.
    """

    name: str
    per_s: float
    tasks: int
    run_ms: float
    worth: float


#: The kinds of both users' sheets; they differ in the tasks' cores only.
KINDS = (
    Kind("check", 17.2, 8, 120.0, 0.0291),
    Kind("issue", 3.13, 4, 1800.0, 0.16),
    Kind("hold", 50.0, 2, 400.0, 0.01),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What comes, and how long.

    Attributes:
      cpu: An integer, thousandths of a core that a task asks for on average.
      seconds: A number.
      share: A number, the rates as a multiple of the sheets'.
      burst: A number, the rates within the burst as a multiple of those without.
      burst_s: A pair of numbers, when the burst begins and ends.
      kinds: A tuple of Kinds.
    """

    cpu: int
    seconds: float
    share: float = 1.0
    burst: float = 1.0
    burst_s: tuple = (0.0, 0.0)
    kinds: tuple = KINDS

    def factor(self, at_s):
        """Return the multiple of the rates at a moment."""
        begin_s, end_s = self.burst_s
        return self.share * (self.burst if begin_s <= at_s < end_s else 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What one caller got.

    Attributes:
      kind: A Kind.
      entry: A string, the entry that it asked.
      at_s: A number, when it asked.
      state: A State.
      took_ms: A number.
      objective_ms: A number, by the real run time.
      weight: A number, its work as a multiple of its kind's mean.
    """

    kind: Kind
    entry: str
    at_s: float
    state: job.State
    took_ms: float
    objective_ms: float
    weight: float

    @property
    def owed(self):
        """Return its worth when answered in time."""
        return self.kind.worth * (0.3 + 0.7 * min(4.0, self.weight))

    @property
    def share(self):
        """Return the share of its worth that it earned."""
        if self.state is not job.State.COMPLETED:
            return 0.0
        if self.took_ms <= self.objective_ms:
            return 1.0
        is_useful = self.took_ms <= _LATE_FACTOR * self.objective_ms
        return _LATE_SHARE if is_useful else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """What the callers of a play got, as shares of them.

    Attributes:
      worth: A number, earned of what was owed.
      in_time: A number.
      served: A number, answered in time or late.
      refused: A number.
      refusals_p99_ms: A number, within which 99 of 100 refusals came.
    """

    worth: float
    in_time: float
    served: float
    refused: float
    refusals_p99_ms: float


def tally(answers):
    """Count what callers got.

    Args:
      answers: A sequence of Answers, at least one.

    Returns:
      A Tally.
    """
    states = collections.Counter(each.state for each in answers)
    owed = sum(each.owed for each in answers)
    earned = sum(each.owed * each.share for each in answers)
    refusals = sorted(
        each.took_ms for each in answers if each.state is job.State.REFUSED
    )
    return Tally(
        earned / owed,
        sum(each.share == 1.0 for each in answers) / len(answers),
        states[job.State.COMPLETED] / len(answers),
        states[job.State.REFUSED] / len(answers),
        refusals[len(refusals) * 99 // 100] if refusals else 0.0,
    )


def split(answers, part):
    """Split answers.

    Args:
      answers: Answers.
      part: A function from an Answer to the part that it belongs to.

    Returns:
      A dict from each part to a list of its Answers.
    """
    parts = collections.defaultdict(list)
    for each in answers:
        parts[part(each)].append(each)
    return dict(parts)


async def play(site, load, seed):
    """Play a load on a site, each client at the entry next in turn.

    The same seed brings the same requests, whatever the site decides about them.

    Args:
      site: A Site.
      load: A Load.
      seed: An integer.

    Returns:
      A list of Answers.
    """
    callers = []
    streams = [
        asyncio.create_task(
            _stream(site, load, kind, random.Random(f"{seed} {kind.name}"), callers)
        )
        for kind in load.kinds
    ]
    await asyncio.gather(*streams)
    return list(await asyncio.gather(*callers))


async def _stream(site, load, kind, chance, callers):
    """Let the jobs of one kind come."""
    begun_ms = site.clock.now_ms()
    while True:
        at_s = clock.seconds(site.clock.now_ms() - begun_ms)
        if at_s >= load.seconds:
            return
        identity, entry = site.entries[len(callers) % len(site.entries)]
        request = _request(site, load, kind, chance, at_s)
        call = _call(site, identity.name, entry, request)
        callers.append(asyncio.create_task(call))
        rate = kind.per_s * load.factor(at_s)
        await asyncio.sleep(chance.expovariate(rate))


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    kind: Kind
    at_s: float
    submission: job.Submission
    objective_ms: float
    weight: float


def _request(site, load, kind, chance, at_s):
    """Draw a request of a kind."""
    count = int(_varied(chance, kind.tasks, 0.4, 4.0 * kind.tasks, least=1))
    run_ms = _varied(chance, kind.run_ms, 0.4, 2.0 * kind.run_ms)
    cpu = int(_varied(chance, load.cpu, 0.2, 1.5 * load.cpu))
    objective_ms = direct_site.ROUTE.objective_ms(run_ms)
    low, high = _PATIENCE_MS
    patience_ms = objective_ms * chance.uniform(*_PATIENCE_FACTORS)
    patience_ms = min(high, max(low, patience_ms))
    estimate = chance.lognormvariate(0.0, _ESTIMATE_SPREAD)
    made = site.submission(count, cpu, run_ms, patience_ms, estimate)
    weight = count * run_ms * cpu / (kind.tasks * kind.run_ms * load.cpu)
    return _Request(kind, at_s, made, objective_ms, weight)


async def _call(site, name, entry, request):
    """Make one request and wait for its answer."""
    begun_ms = site.clock.now_ms()
    outcome = await entry.submit(request.submission, direct_site.ROUTE)
    took_ms = site.clock.now_ms() - begun_ms
    return Answer(
        request.kind,
        name,
        request.at_s,
        outcome.state,
        took_ms,
        request.objective_ms,
        request.weight,
    )


def _varied(chance, mean, spread, most, least=0.0):
    """Draw from a log-normal law with a mean, cut at both ends."""
    center = math.log(mean) - spread * spread / 2
    return max(least, min(most, chance.lognormvariate(center, spread)))
