"""Measures the effect of each policy of a home, against its plain choice.

Runs a real home and real executors on stand-in upstreams in virtual time, with a seeded
load, and prints one line for each choice:

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

_MEAN_RUN_MS = 100.0
_SLOTS = 88
_REFUSALS = 1000
_MIXED_JOBS = 3000
_PLAIN_RULES = {
    "placement": "least_loaded",
    "hedging": "off",
    "admission": "always",
    "health": "off",
    "queueing": "arrival",
}
_CASES = {}


@dataclasses.dataclass(slots=True)
class Tally:
    """The results of the jobs of one kind.

    Attributes:
      times_ms: A list of numbers, from the submission to the complete answer.
      failed: An integer, jobs answered as failed.
      refused: A list of Problems, of the refused jobs.
      useful_ms: A number, the total run time of the tasks of complete jobs.
    """

    times_ms: list = dataclasses.field(default_factory=list)
    failed: int = 0
    refused: list = dataclasses.field(default_factory=list)
    useful_ms: float = 0.0

    def quantile(self, share):
        """Return a quantile of the times of complete jobs."""
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
        """Prepare a load; `run` submits its jobs.

        Args:
          site: A Site.
          seed: An integer.
        """
        self.site = site
        self.random = random.Random(seed)
        self._tasks = set()

    async def run(self, tally, seconds, share, size=4, **fields):
        """Submit jobs for some time and wait for their answers.

        Args:
          tally: A Tally to fill.
          seconds: A number, for how long jobs arrive.
          share: A number, the share of the site's capacity that they need.
          size: An integer, the number of tasks of a job.
          **fields: Arguments of Site.submit; `repeatable`, `run_ms` and `poison`
            apply to the tasks.
        """
        repeatable = fields.pop("repeatable", True)
        mean_ms = fields.pop("run_ms", _MEAN_RUN_MS)
        poison = fields.pop("poison", False)
        gap_s = size * mean_ms / (share * _SLOTS) / 1000
        until_ms = self.site.clock.now_ms() + seconds * 1000
        while self.site.clock.now_ms() < until_ms:
            run_times_ms = [self._draw_run_ms(mean_ms) for _ in range(size)]
            tasks = [
                site_.task(run_ms, repeatable, poison=poison) for run_ms in run_times_ms
            ]
            self._spawn(self._submit(tally, tasks, sum(run_times_ms), fields))
            await asyncio.sleep(self.random.expovariate(1 / gap_s))
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def _draw_run_ms(self, mean_ms):
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


async def open_site(**rules):
    """Open a site of 11 workers with 8 slots each under some rules.

    Args:
      **rules: The choices that differ from the plain ones.

    Returns:
      A Site whose home has learnt the usual run times.
    """
    site = site_.open_site()
    site.configure(1, rules=_PLAIN_RULES | rules)
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
        site = await open_site(health=choice)
        site.upstreams[3].fails = True
        before = sum(len(upstream.started) for upstream in site.upstreams)
        tally = Tally()
        await Load(site).run(tally, 30, 0.6)
        starts = sum(len(upstream.started) for upstream in site.upstreams) - before
        bad = len(site.upstreams[3].started)
        print(f"health {choice}: {tally}; {starts} starts, {bad} in all at the bad")
        await site.close()


@case("straggler")
async def straggler():
    """One worker of eleven takes ten times as long, at 60 % load."""
    for placement in ("least_loaded", "least_delay"):
        for hedging in ("off", "late"):
            site = await open_site(placement=placement, hedging=hedging)
            site.upstreams[3].slow_factor = 10
            tally = Tally()
            await Load(site).run(tally, 30, 0.6)
            hedged = site.home.scheduler.extra_starts["hedged"]
            print(f"placement {placement}, hedging {hedging}: {tally}; hedged {hedged}")
            await site.close()


@case("storm")
async def storm():
    """Every worker fails everything; prints how many starts a task takes."""
    site = await open_site(health="probation")
    for upstream in site.upstreams:
        upstream.fails = True
    before = sum(len(upstream.started) for upstream in site.upstreams)
    tally = Tally()
    await Load(site).run(tally, 10, 0.6, size=1)
    starts = sum(len(upstream.started) for upstream in site.upstreams) - before
    tasks = tally.failed + len(tally.times_ms)
    print(f"all fail: {tasks} tasks, {starts} starts, {starts / tasks:.2f} a task")
    await site.close()


@case("fair")
async def fair():
    """One tenant submits 150 % load in large jobs, two others 10 % each."""
    for choice in ("arrival", "fair"):
        site = await open_site(queueing=choice)
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
    """Jobs of 1 to 100 tasks of 50 ms to 4 s at 80 %, in bursts, with declared times.

    One declared time in five is wrong by a factor of five. Prints the response time
    over the ideal, which is the longest task or the work over all slots.
    """
    for choice in ("arrival", "fair"):
        site = await open_site(queueing=choice, placement="least_delay")
        ratios = []
        rng = random.Random(5)
        jobs_ = [_mixed_job(rng) for _ in range(_MIXED_JOBS)]
        pending = []
        for tasks, run_times_ms in jobs_:
            pending.append(
                asyncio.create_task(_measure_ratio(site, tasks, run_times_ms, ratios))
            )
            gap_ms = sum(run_times_ms) / (0.8 * _SLOTS)
            # Three jobs out of four arrive within a third of the time.
            burst = len(pending) // 40 % 4 != 0
            await asyncio.sleep(gap_ms * (4 / 9 if burst else 8 / 3) / 1000)
        await asyncio.gather(*pending)
        ratios.sort()
        p50, p95, p99 = (ratios[int(q * (len(ratios) - 1))] for q in (0.5, 0.95, 0.99))
        print(f"queueing {choice}: p50 {p50:.2f} p95 {p95:.2f} p99 {p99:.2f}")
        await site.close()


def _mixed_job(rng):
    """Draw the tasks of a job and their true run times."""
    count = rng.choices((1, 3, 10, 100), (50, 30, 15, 5))[0]
    run_times_ms = [
        rng.uniform(50, 1000) if rng.random() < 0.97 else rng.uniform(1000, 4000)
        for _ in range(count)
    ]
    tasks = []
    for run_ms in run_times_ms:
        factor = rng.choice((0.2, 5)) if rng.random() < 0.2 else 1
        tasks.append(site_.task(run_ms, declared_ms=max(1, int(run_ms * factor))))
    return tasks, run_times_ms


async def _measure_ratio(site, tasks, run_times_ms, ratios):
    """Submit a job and append its response time over the ideal to a list."""
    began_ms = site.clock.now_ms()
    await site.submit(tasks, 600_000)
    ideal_ms = max(max(run_times_ms), sum(run_times_ms) / _SLOTS)
    ratios.append((site.clock.now_ms() - began_ms) / ideal_ms)


@case("overload")
async def overload():
    """130 % load with deadlines of a second."""
    for choice in ("always", "deadline"):
        site = await open_site(admission=choice, queueing="fair")
        tally = Tally()
        began_ms = site.clock.now_ms()
        await Load(site).run(tally, 30, 1.3, deadline_ms=1000)
        elapsed_ms = site.clock.now_ms() - began_ms
        goodput = tally.useful_ms / (_SLOTS * elapsed_ms)
        print(f"admission {choice}: {tally}; goodput {goodput:.1%} of capacity")
        await site.close()


@case("refusal")
async def refusal():
    """Processor time of a refusal, while 5,000 tasks wait."""
    site = await open_site(admission="deadline", queueing="fair")
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
    """Processor time of the home for each task, while 5,000 wait."""
    for size in (1, 10, 500):
        site = await open_site(queueing="fair", placement="least_delay")
        spent = {"s": 0.0}
        measure_home(site.home, spent)
        before = sum(len(upstream.started) for upstream in site.upstreams)
        tasks = [site_.task(100) for _ in range(size)]
        tenants = [f"tenant-{number % 20}" for number in range(5000 // size)]
        await asyncio.gather(
            *(site.submit(tasks, 600_000, tenant=tenant) for tenant in tenants)
        )
        starts = sum(len(upstream.started) for upstream in site.upstreams) - before
        each_us = spent["s"] / starts * 1e6
        print(f"jobs of {size}: {starts} starts, {each_us:.0f} us of the home each")
        await site.close()


def measure_home(home, spent):
    """Measure the processor time of a home's message handler.

    Args:
      home: A Home.
      spent: A dict to whose `s` the seconds spent are added.
    """
    handle = home.on_message

    def on_message(link, body):
        began = time.process_time()
        handle(link, body)
        spent["s"] += time.process_time() - began

    home.on_message = on_message


def main():
    """Run the cases that the command line names, or all."""
    for name in sys.argv[1:] or _CASES:
        print(f"{name}: {_CASES[name].__doc__}")
        virtual.run(_CASES[name]())


if __name__ == "__main__":
    main()
