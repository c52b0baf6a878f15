"""The soak: random faults in a running cluster, judged at the end.

    python -m jujubeglade.bench.soak --seconds 120 --seed 1

Injects one or two faults of `jujubeglade.bench.faults` at a time, chosen by the seed,
while callers submit, resubmit and cancel. Prints a table at the end; the exit status is
1 if it shows any finding.
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

#: How long the last records may take to reach the store.
_RECORD_DELAY_MS = 5000
_PAUSE_MS = 500
_TWO_FAULTS_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The results of a soak.

    Attributes:
      jobs: An integer, jobs submitted.
      starts: An integer, starts that upstreams saw.
      faults: A tuple of strings, in the order in which they were injected.
      findings: A tuple of judge.Findings.
      reverts: A tuple, the entries seen to grant permits under an outdated
        configuration.
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
        """Return whether no guarantee was violated."""
        return not (self.findings or self.reverts or self.discrepancies)

    def rows(self):
        """Arrange the report as a table.

        Returns:
          A list of pairs of a string and a number or text.
        """
        counts = collections.Counter(finding.kind for finding in self.findings)
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
      seconds: A number, how long faults are injected and jobs submitted.
      seed: An integer.

    Returns:
      A Report.
    """
    async with cluster.start(cluster.Shape(relays=True)) as cluster_:
        callers = traffic.Traffic(cluster_, seed)
        target = faults.Target(cluster_, callers, random.Random(seed))
        injecting = asyncio.create_task(_inject(target, seconds))
        await callers.run(0, injecting)
        injected = await injecting
        await cluster_.wait_ready(cluster_.shape.workers)
        await asyncio.sleep(clock.seconds(_RECORD_DELAY_MS))
        starts = cluster_.starts()
        return Report(
            len(callers.jobs),
            len(starts),
            tuple(injected),
            tuple(callers.findings()),
            tuple(callers.reverts),
            await _discrepancies(cluster_, starts),
        )


async def _inject(target, seconds):
    end_s = time.monotonic() + seconds
    names = [name for name in faults.FAULTS if name != "nothing"]
    injected = []
    while time.monotonic() < end_s:
        count = 2 if target.random.random() < _TWO_FAULTS_SHARE else 1
        injected.append(" + ".join(target.random.sample(names, count)))
        await faults.inject(injected[-1], target)
        await target.cluster.wait_ready(target.cluster.shape.workers)
        await asyncio.sleep(clock.seconds(_PAUSE_MS))
    return injected


async def _discrepancies(cluster_, starts):
    urls = [cluster_.entry_url(name) for name in cluster_.entry_names]
    token = cluster.OPERATOR_TOKENS["duty"]
    async with client.open_client(urls, token) as operator:
        answer = await operator.audit()
    if answer.is_err():
        print(f"audit records not read: {answer.err()}", file=sys.stderr)
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
    for found in (*report.findings, *report.reverts, *(report.discrepancies or ())):
        print(f"FOUND: {found}")
    sys.exit(0 if report.is_clean else 1)


if __name__ == "__main__":
    typer.run(main)
