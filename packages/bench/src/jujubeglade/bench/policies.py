"""Measure what the policies of a home are worth, each against its plain choice.

Runs a real home and real executors on stand-in upstreams in virtual time, with
a seeded load, and prints one line for each choice:

    python -m jujubeglade.bench.policies [case ...]
"""

import asyncio
import dataclasses
import random
import sys
import time

from jujubeglade.core import job as jobs
from jujubeglade.core import problem
from jujubeglade.fakes import site as site_
from jujubeglade.fakes import virtual

_MEAN_MS = 100.0
_SLOTS = 88
_REFUSALS = 1000
_MIXED_JOBS = 3000
_PLAIN = {
    "placement": "least_loaded",
    "hedging": "off",
    "admission": "always",
    "health": "off",
    "queueing": "arrival",
}
_CASES = {}


@dataclasses.dataclass(slots=True)
class Tally:
    """What became of the jobs of one kind.

    Attributes:
      times_ms: A list of numbers, from the submission to the complete answer.
      failed: An integer, jobs answered as failed.
      refused: A list of Problems.
      useful_ms: A number, the run time of the tasks of complete jobs.
    """

    times_ms: list = dataclasses.field(default_factory=list)
    failed: int = 0
    refused: list = dataclasses.field(default_factory=list)
    useful_ms: float = 0.0

    def quantile(self, share):
        """Find a quantile of the times of complete jobs."""
        ordered = sorted(self.times_ms)
        return ordered[int(share * (len(ordered) - 1))] if ordered else float("nan")

    def __str__(self):
        """Render on one line."""
        return (
            f"complete {len(self.times_ms)} failed {self.failed}"
            f" refused {len(self.refused)}"
            f" p50 {self.quantile(0.5):.0f} p99 {self.quantile(0.99):.0f} ms"
        )


class Load:
    """Jobs that arrive at random at a site."""

    def __init__(self, site, seed=1):
        """Start without a job.

        Args:
          site: A Site.
          seed: An integer.
        """
        self.site = site
        self.random = random.Random(seed)
        self._tasks = set()

    async def run(self, tally, seconds, share, size=4, **fields):
        """Submit jobs for a while and wait for their answers.

        Args:
          tally: A Tally to fill.
          seconds: A number, how long jobs arrive.
          share: A number, the part of the site's capacity that they need.
          size: An integer, the tasks of a job.
          **fields: Arguments of Site.submit; `repeatable`, `run_ms` and `poison`
            are those of the tasks.
        """
        repeatable = fields.pop("repeatable", True)
        mean_ms = fields.pop("run_ms", _MEAN_MS)
        poison = fields.pop("poison", False)
        gap_s = size * mean_ms / (share * _SLOTS) / 1000
        until = self.site.clock.now_ms() + seconds * 1000
        while self.site.clock.now_ms() < until:
            lengths = [self._length(mean_ms) for _ in range(size)]
            tasks = [
                site_.task(length, repeatable, poison=poison) for length in lengths
            ]
            self._spawn(self._submit(tally, tasks, sum(lengths), fields))
            await asyncio.sleep(self.random.expovariate(1 / gap_s))
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def _length(self, mean_ms):
        return mean_ms * self.random.uniform(0.5, 1.5)

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _submit(self, tally, tasks, work_ms, fields):
        began_ms = self.site.clock.now_ms()
        answer = await self.site.submit(tasks, **fields)
        if isinstance(answer, problem.Problem):
            tally.refused.append(answer)
        elif answer.state == jobs.State.COMPLETE:
            tally.times_ms.append(self.site.clock.now_ms() - began_ms)
            tally.useful_ms += work_ms
        else:
            tally.failed += 1


def case(name):
    """Register a measurement under a name."""

    def register(function):
        _CASES[name] = function
        return function

    return register


async def opened(**rules):
    """Open a site of 11 workers of 8 slots under some rules.

    Args:
      **rules: The choices that differ from the plain ones.

    Returns:
      A Site that has settled.
    """
    site = site_.open_site()
    site.configure(1, rules=_PLAIN | rules)
    await warm(site)
    return site


async def warm(site, seconds=5):
    """Let the home learn the usual run times, with some load.

    Args:
      site: A Site.
      seconds: A number.
    """
    await Load(site, 7).run(Tally(), seconds, 0.3)


@case("black_hole")
async def black_hole():
    """One worker of eleven fails everything in 1 ms, at 60 % load."""
    for choice in ("off", "probation"):
        site = await opened(health=choice)
        site.upstreams[3].fails = True
        before = sum(len(each.started) for each in site.upstreams)
        tally = Tally()
        await Load(site).run(tally, 30, 0.6)
        starts = sum(len(each.started) for each in site.upstreams) - before
        bad = len(site.upstreams[3].started)
        print(f"health {choice}: {tally}; {starts} starts, {bad} in all at the bad")
        await site.close()


@case("straggler")
async def straggler():
    """One worker of eleven takes ten times as long, at 60 % load."""
    for placement in ("least_loaded", "least_delay"):
        for hedging in ("off", "late"):
            site = await opened(placement=placement, hedging=hedging)
            site.upstreams[3].slow_factor = 10
            tally = Tally()
            await Load(site).run(tally, 30, 0.6)
            hedged = site.home.scheduler.counts["hedged"]
            print(f"placement {placement}, hedging {hedging}: {tally}; hedged {hedged}")
            await site.close()


@case("storm")
async def storm():
    """Every worker fails everything: how many starts each task costs."""
    site = await opened(health="probation")
    for each in site.upstreams:
        each.fails = True
    before = sum(len(each.started) for each in site.upstreams)
    tally = Tally()
    await Load(site).run(tally, 10, 0.6, size=1)
    starts = sum(len(each.started) for each in site.upstreams) - before
    tasks = tally.failed + len(tally.times_ms)
    print(f"all fail: {tasks} tasks, {starts} starts, {starts / tasks:.2f} a task")
    await site.close()


@case("fair")
async def fair():
    """One tenant floods with batch jobs while another works at 10 %."""
    for choice in ("arrival", "fair"):
        site = await opened(queueing=choice)
        small, flood, urgent = Tally(), Tally(), Tally()
        await asyncio.gather(
            Load(site, 1).run(flood, 10, 1.5, size=50, tenant="flood"),
            Load(site, 2).run(small, 10, 0.1, tenant="small"),
            Load(site, 3).run(urgent, 10, 0.1, tenant="desk", urgency="urgent"),
        )
        print(f"queueing {choice}: small {small}; urgent {urgent}; flood {flood}")
        await site.close()


@case("mix")
async def mix():
    """Jobs of 1 to 100 tasks of 50 ms to 4 s at 80 %, in bursts; declared times.

    One declared time in five is five times off. Prints the response over the
    ideal, which is the longest task or the work over all slots.
    """
    for choice in ("arrival", "fair"):
        site = await opened(queueing=choice, placement="least_delay")
        ratios = []
        draw = random.Random(5)
        asked = [_mixed_job(draw) for _ in range(_MIXED_JOBS)]
        pending = []
        for tasks, lengths in asked:
            pending.append(asyncio.create_task(_timed(site, tasks, lengths, ratios)))
            gap_ms = sum(lengths) / (0.8 * _SLOTS)
            # Three jobs out of four come within a third of the time.
            burst = len(pending) // 40 % 4 != 0
            await asyncio.sleep(gap_ms * (4 / 9 if burst else 8 / 3) / 1000)
        await asyncio.gather(*pending)
        ratios.sort()
        p50, p95, p99 = (ratios[int(q * (len(ratios) - 1))] for q in (0.5, 0.95, 0.99))
        print(f"queueing {choice}: p50 {p50:.2f} p95 {p95:.2f} p99 {p99:.2f}")
        await site.close()


def _mixed_job(draw):
    """Draw the tasks of a job and their true run times."""
    count = draw.choices((1, 3, 10, 100), (50, 30, 15, 5))[0]
    lengths = [
        draw.uniform(50, 1000) if draw.random() < 0.97 else draw.uniform(1000, 4000)
        for _ in range(count)
    ]
    tasks = []
    for length in lengths:
        factor = draw.choice((0.2, 5)) if draw.random() < 0.2 else 1
        tasks.append(site_.task(length, declared_ms=max(1, int(length * factor))))
    return tasks, lengths


async def _timed(site, tasks, lengths, ratios):
    """Submit a job and note its response over the ideal."""
    began_ms = site.clock.now_ms()
    await site.submit(tasks, 600_000)
    ideal_ms = max(max(lengths), sum(lengths) / _SLOTS)
    ratios.append((site.clock.now_ms() - began_ms) / ideal_ms)


@case("overload")
async def overload():
    """130 % load with deadlines of a second."""
    for choice in ("always", "deadline"):
        site = await opened(admission=choice, queueing="fair")
        tally = Tally()
        began_ms = site.clock.now_ms()
        await Load(site).run(tally, 30, 1.3, deadline_ms=1000)
        passed_ms = site.clock.now_ms() - began_ms
        goodput = tally.useful_ms / (_SLOTS * passed_ms)
        print(f"admission {choice}: {tally}; goodput {goodput:.1%} of capacity")
        await site.close()


@case("refusal")
async def refusal():
    """Processor time of a refusal, with 5,000 tasks that wait."""
    site = await opened(admission="deadline", queueing="fair")
    tasks = [site_.task(100) for _ in range(500)]
    waiting = [
        asyncio.create_task(site.submit(tasks, 600_000, tenant=f"tenant-{number}"))
        for number in range(10)
    ]
    await asyncio.sleep(0.01)
    refused = 0
    began = time.process_time()
    for _ in range(_REFUSALS):
        answer = await site.submit(tasks[:4], 200, tenant="tenant-1")
        refused += isinstance(answer, problem.Problem)
    each_us = (time.process_time() - began) / _REFUSALS * 1e6
    print(f"refused {refused} of {_REFUSALS}, {each_us:.0f} us each, ticket included")
    await asyncio.gather(*waiting)
    await site.close()


@case("pump")
async def pump():
    """Processor time of the home for each task, with 5,000 that wait."""
    for size in (1, 10, 500):
        site = await opened(queueing="fair", placement="least_delay")
        spent = {"s": 0.0}
        counted(site.home, spent)
        before = sum(len(each.started) for each in site.upstreams)
        tasks = [site_.task(100) for _ in range(size)]
        tenants = [f"tenant-{number % 20}" for number in range(5000 // size)]
        await asyncio.gather(
            *(site.submit(tasks, 600_000, tenant=tenant) for tenant in tenants)
        )
        starts = sum(len(each.started) for each in site.upstreams) - before
        each_us = spent["s"] / starts * 1e6
        print(f"jobs of {size}: {starts} starts, {each_us:.0f} us of the home each")
        await site.close()


def counted(home, spent):
    """Time the home's work on messages and submissions.

    Args:
      home: A Home.
      spent: A dict whose `s` is raised by the seconds spent.
    """
    inner = home.on_message

    def on_message(link, body):
        began = time.process_time()
        inner(link, body)
        spent["s"] += time.process_time() - began

    home.on_message = on_message


def main():
    """Run the cases named, or all."""
    for name in sys.argv[1:] or _CASES:
        print(f"{name}: {_CASES[name].__doc__}")
        virtual.run(_CASES[name]())


if __name__ == "__main__":
    main()
