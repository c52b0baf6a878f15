"""The soak of direct jobs: random faults over real processes on the users' platform.

    python -m jujubeglade.bench.direct_soak --seconds 60 --seed 1

Entries and agents are processes; one to three faults of `direct_faults` overlap at a
time, drawn by the seed, while clients submit jobs and submit again what breaks. What
the workers and the clients saw is checked: no task runs twice at one time, no worker
beyond its room, a completed job had all its tasks done, a refused one never began, no
process ends by itself, and once all is calm every entry serves. A finding names the
folder with the processes' logs.
"""

import asyncio
import dataclasses
import random
import sys
import tempfile

import typer

from jujubeglade.bench import direct_faults
from jujubeglade.core import clock
from jujubeglade.direct import job
from jujubeglade.fakes import platform_site, process_site

_ENTRIES = 3
_WORKERS = 4
_ARRIVAL_MS = (20.0, 120.0)
_PATIENCE_MS = 4000
_RESUBMIT_MS = 1300
_TRIES = 4
#: Once all is calm, everything serves again within this time (`recoveryTimeS`).
_RECOVERY_MS = 12_000
_POLL_MS = 200
_PAUSE_S = (0.0, 1.0)
#: The ids of jobs that only try whether an entry serves lie above those of clients.
_FIRST_PROBE = 1 << 60
_ANSWERED = 200
_REFUSED = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a soak saw.

    Attributes:
      jobs: An integer, submitted.
      completed: An integer.
      starts: An integer, of tasks.
      faults: A tuple of strings, in the order in which they began.
      findings: A tuple of strings; empty when all promises were kept.
      folder: A string, where the logs are.
    """

    jobs: int
    completed: int
    starts: int
    faults: tuple
    findings: tuple
    folder: str


@dataclasses.dataclass(slots=True)
class Client:
    """One job and what its client was told."""

    job_id: str
    count: int
    statuses: list
    state: str = ""

    def tasks(self):
        """List the names of its tasks."""
        return [job.TaskName(self.job_id, 0, index) for index in range(self.count)]

    @property
    def is_completed(self):
        """Tell whether it was told that the job is completed."""
        return self.state == job.State.COMPLETED

    @property
    def was_refused(self):
        """Tell whether every answer said that the job has not run."""
        return set(self.statuses) == {_REFUSED}


async def run(seconds, seed):
    """Run a soak.

    Args:
      seconds: A number, how long faults and new jobs go on.
      seed: An integer.

    Returns:
      A Report.
    """
    folder = tempfile.mkdtemp(prefix="direct-soak-")
    site = process_site.ProcessSite(folder)
    findings = []
    clients = []
    chosen = []
    await site.open(_ENTRIES, _WORKERS)
    try:
        findings += await _wait_serving(site, "start")
        arriving = asyncio.create_task(
            _arrive(site, random.Random(f"{seed} jobs"), seconds, clients)
        )
        chance = random.Random(f"{seed} faults")
        findings += await _inject(site, chance, seconds, chosen)
        await arriving
        findings += await _wait_serving(site, "faults")
        findings += [
            f"{each.name} ended by itself"
            for each in site.programs
            if each.has_ended_unexpectedly
        ]
        findings += site.witness.violations
        findings += _false_answers(site.witness, clients)
    finally:
        await site.close()
    completed = sum(each.is_completed for each in clients)
    starts = len(site.witness.log)
    return Report(
        len(clients), completed, starts, tuple(chosen), tuple(findings), folder
    )


async def _inject(site, chance, seconds, chosen):
    """Bring about up to three faults at a time, until the time is over.

    Returns:
      A list of findings.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    findings = []
    while loop.time() < end_s:
        names = chance.sample(sorted(direct_faults.FAULTS), chance.randint(1, 3))
        chosen.append(" + ".join(names))
        chances = [random.Random(chance.random()) for _ in names]
        ended = await asyncio.gather(
            *(
                direct_faults.FAULTS[name](site, own)
                for name, own in zip(names, chances, strict=True)
            ),
            return_exceptions=True,
        )
        findings += [
            f"{name}: {error!r}"
            for name, error in zip(names, ended, strict=True)
            if error is not None
        ]
        await asyncio.sleep(chance.uniform(*_PAUSE_S))
    return findings


async def _arrive(site, chance, seconds, clients):
    """Let jobs come, and wait for the last answer."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    running = []
    while loop.time() < end_s:
        count = chance.randint(1, 6)
        client = Client(f"{len(clients):016x}", count, [])
        clients.append(client)
        body = platform_site.job(count, chance.randint(1, 4), chance.randint(30, 600))
        running.append(asyncio.create_task(_ask(site, chance, client, body)))
        await asyncio.sleep(clock.seconds(chance.uniform(*_ARRIVAL_MS)))
    await asyncio.gather(*running)


async def _ask(site, chance, client, body):
    """Submit a job, and again elsewhere while there is no answer that ends it."""
    path = f"{platform_site.PREFIX}{client.job_id}"
    entries = chance.sample(range(_ENTRIES), _ENTRIES)
    for number in range(_TRIES):
        entry = entries[number % _ENTRIES]
        asked = site.request(entry, "POST", path, body, _PATIENCE_MS)
        try:
            reply = await asyncio.wait_for(asked, clock.seconds(_PATIENCE_MS))
        except TimeoutError:
            client.statuses.append(0)
        else:
            client.statuses.append(reply.status)
            if reply.status == _ANSWERED:
                client.state = reply.fields["state"]
                return
            if reply.status == _REFUSED:
                return
        await asyncio.sleep(clock.seconds(_RESUBMIT_MS))


async def _wait_serving(site, after):
    """Wait until every entry completes a job.

    Returns:
      A list of findings.
    """
    waiting = set(range(_ENTRIES))
    loop = asyncio.get_running_loop()
    end_s = loop.time() + clock.seconds(_RECOVERY_MS)
    while waiting and loop.time() < end_s:
        for entry in sorted(waiting):
            probe = random.randrange(_FIRST_PROBE, 2 * _FIRST_PROBE)
            path = f"{platform_site.PREFIX}{probe:016x}"
            body = platform_site.job(1, 1, 30)
            asked = site.request(entry, "POST", path, body, _PATIENCE_MS)
            try:
                reply = await asyncio.wait_for(asked, clock.seconds(_PATIENCE_MS))
            except TimeoutError:
                continue
            if reply.status == _ANSWERED:
                waiting.discard(entry)
        await asyncio.sleep(clock.seconds(_POLL_MS))
    return [f"entry-{each} does not serve after the {after}" for each in waiting]


def _false_answers(witness, clients):
    """Hold what clients were told against what the workers saw."""
    findings = []
    for client in clients:
        if client.is_completed and not witness.done.issuperset(client.tasks()):
            findings.append(f"{client.job_id} is completed, not all tasks are done")
        if client.was_refused and not witness.begun.isdisjoint(client.tasks()):
            findings.append(f"{client.job_id} was refused and has begun")
    return findings


def main(seconds: float = 60, seed: int = 1, seeds: int = 1):
    """Run soaks with seeds in a row; the exit status is 1 after a finding."""
    is_clean = True
    for number in range(seed, seed + seeds):
        report = asyncio.run(run(seconds, number))
        print(
            f"seed {number}: {report.jobs} jobs, {report.completed} completed, "
            f"{report.starts} starts, {len(report.faults)} rounds of faults, "
            f"{len(report.findings)} findings",
            flush=True,
        )
        for each in report.findings:
            print(f"FOUND: {each} (logs in {report.folder})")
            is_clean = False
    sys.exit(0 if is_clean else 1)


if __name__ == "__main__":
    typer.run(main)
