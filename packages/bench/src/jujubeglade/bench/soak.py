"""The soak: random faults over a running cluster, judged at the end.

    python -m jujubeglade.bench.soak --seconds 120 --seed 1

One or two faults of `jujubeglade.bench.faults` at a time, drawn by the seed, while
callers submit, resubmit and cancel. The table that closes it must show no finding;
else the exit status is 1.
"""

import asyncio
import collections
import dataclasses
import random
import sys
import time

import typer

from jujubeglade.bench import cluster, faults, judge, traffic, truth
from jujubeglade.core import clock, journal
from jujubeglade.tools import client

_RECORDS_MS = 5000
_PAUSE_MS = 500
_TWO_AT_ONCE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a soak found.

    Attributes:
      jobs: An integer, jobs submitted.
      starts: An integer, starts that upstreams saw.
      faults: A tuple of strings, the faults in their order.
      findings: A tuple of judge.Findings.
      reverts: A tuple, the outdated configurations seen.
      discrepancies: A tuple of truth.Discrepancies, or None when no records were read.
    """

    jobs: int
    starts: int
    faults: tuple
    findings: tuple
    reverts: tuple
    discrepancies: tuple | None

    @property
    def is_clean(self):
        """Tell whether all promises were kept."""
        return not (self.findings or self.reverts or self.discrepancies)

    def rows(self):
        """Arrange the report as a table.

        Returns:
          A list of pairs of a string and a number or text.
        """
        counts = collections.Counter(each.kind for each in self.findings)
        records = "not read" if self.discrepancies is None else len(self.discrepancies)
        return [
            ("jobs", self.jobs),
            ("starts", self.starts),
            ("faults", len(self.faults)),
            *((kind.value, counts[kind]) for kind in judge.Kind),
            ("reverted configurations", len(self.reverts)),
            ("false records", records),
        ]


async def run(seconds, seed):
    """Run a soak.

    Args:
      seconds: A number, how long faults and new jobs go on.
      seed: An integer.

    Returns:
      A Report.
    """
    async with cluster.start(cluster.Shape(relays=True)) as held:
        callers = traffic.Traffic(held, seed)
        target = faults.Target(held, callers, random.Random(seed))
        injecting = asyncio.create_task(_inject(target, seconds))
        await callers.run(0, injecting)
        chosen = await injecting
        await held.wait_ready(held.shape.workers)
        await asyncio.sleep(clock.seconds(_RECORDS_MS))
        starts = held.starts()
        return Report(
            len(callers.jobs),
            len(starts),
            tuple(chosen),
            tuple(callers.findings()),
            tuple(callers.reverts),
            await _discrepancies(held, starts),
        )


async def _inject(target, seconds):
    end_s = time.monotonic() + seconds
    names = [name for name in faults.FAULTS if name != "nothing"]
    chosen = []
    while time.monotonic() < end_s:
        count = 2 if target.random.random() < _TWO_AT_ONCE else 1
        chosen.append(" + ".join(target.random.sample(names, count)))
        await faults.inject(chosen[-1], target)
        await target.cluster.wait_ready(target.cluster.shape.workers)
        await asyncio.sleep(clock.seconds(_PAUSE_MS))
    return chosen


async def _discrepancies(held, starts):
    urls = [held.entry_url(name) for name in held.entry_names]
    token = cluster.OPERATOR_TOKENS["duty"]
    async with client.open_client(urls, token) as asked:
        answer = await asked.audit()
    if answer.is_err():
        print(f"records not read: {answer.err()}", file=sys.stderr)
        return None
    records = journal.unpack(answer.ok().records).unwrap()
    return truth.examine(records, starts, cluster.CLUSTER_KEY.encode("utf-8"))


def main(seconds: float = 120, seed: int = 1):
    """Run a soak and print its table."""
    report = asyncio.run(run(seconds, seed))
    for name in report.faults:
        print(f"fault: {name}")
    for name, value in report.rows():
        print(f"{name:24} {value}")
    for each in (*report.findings, *report.reverts, *(report.discrepancies or ())):
        print(f"FOUND: {each}")
    sys.exit(0 if report.is_clean else 1)


if __name__ == "__main__":
    typer.run(main)
