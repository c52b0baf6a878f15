"""The soak of direct jobs: random faults in real processes on the users' platform.

    python -m jujubeglade.bench.direct_soak --seconds 60 --seed 1

Entries and agents are processes. One to three faults of `direct_faults` overlap at a
time, chosen by the seed, while clients submit jobs and resubmit those without an
answer. What the workers and the clients saw is checked:

- No task runs twice at one time, and no worker runs more than it has room for.
- A completed job had all its tasks done, and no task of a refused job has started.
- No process ends by itself.
- Every entry serves again once the faults have ended.

With `--crowds` clients that don't finish their requests come to the entries meanwhile
(`direct_crowds`), and no entry uses more memory than the smallest VM has.

A finding names the folder with the processes' logs.
"""

import asyncio
import dataclasses
import random
import sys
import tempfile

import typer

from jujubeglade.bench import direct_crowds, direct_faults
from jujubeglade.core import clock
from jujubeglade.direct import job
from jujubeglade.fakes import platform_site, process_site

_ENTRIES = 3
_WORKERS = 4
#: All entries, so that coordination stops and starts as they are killed and restarted.
_COORDINATE_FROM = 3
_ARRIVAL_GAP_MS = (20.0, 120.0)
_CLIENT_TIMEOUT_MS = 4000
_RESUBMIT_DELAY_MS = 1300
_MAX_SUBMISSIONS = 4
#: Within this time after the last fault every entry serves again (`recoveryTimeS`).
_RECOVERY_MS = 12_000
_POLL_INTERVAL_MS = 200
_PAUSE_S = (0.0, 1.0)
#: Jobs that only test whether an entry serves have ids above those of clients.
_FIRST_PROBE_ID = 1 << 60
_ANSWERED_STATUS = 200
_REFUSED_STATUS = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The results of a soak.

    Attributes:
      jobs: An integer, submitted.
      completed: An integer.
      starts: An integer, starts of tasks.
      faults: A tuple of strings, in the order in which they were injected.
      crowds: A tuple of strings, in the order in which they came.
      findings: A tuple of strings; empty when no guarantee was violated.
      folder: A string, the folder of the logs.
    """

    jobs: int
    completed: int
    starts: int
    faults: tuple
    crowds: tuple
    findings: tuple
    folder: str


@dataclasses.dataclass(slots=True)
class Client:
    """One job, and the answers that its client got."""

    job_id: str
    count: int
    statuses: list
    state: str = ""

    def tasks(self):
        """List the names of the job's tasks."""
        return [job.TaskName(self.job_id, 0, index) for index in range(self.count)]

    @property
    def is_completed(self):
        """Return whether an answer said that the job is completed."""
        return self.state == job.State.COMPLETED

    @property
    def was_refused(self):
        """Return whether every answer was a refusal."""
        return set(self.statuses) == {_REFUSED_STATUS}


async def run(seconds, seed, *, crowds=False):
    """Run a soak.

    Args:
      seconds: A number, how long faults are injected and jobs submitted.
      seed: An integer.
      crowds: A boolean, whether clients that don't finish their requests come.

    Returns:
      A Report.
    """
    folder = tempfile.mkdtemp(prefix="direct-soak-")
    site = process_site.ProcessSite(folder, _COORDINATE_FROM)
    findings = []
    clients = []
    injected = []
    sent = []
    await site.open(_ENTRIES, _WORKERS)
    try:
        findings += await _wait_serving(site, "start")
        submitting = asyncio.create_task(
            _submit_jobs(site, random.Random(f"{seed} jobs"), seconds, clients)
        )
        sending = asyncio.create_task(
            direct_crowds.send(
                site, random.Random(f"{seed} crowds"), seconds * crowds, sent
            )
        )
        rng = random.Random(f"{seed} faults")
        findings += await _inject(site, rng, seconds, injected)
        await submitting
        await sending
        findings += await _wait_serving(site, "faults")
        findings += [
            f"{program.name} ended by itself"
            for program in site.programs
            if program.has_ended_unexpectedly
        ]
        findings += direct_crowds.memory_findings(site) if crowds else []
        findings += site.witness.violations
        findings += _false_answers(site.witness, clients)
    finally:
        await site.close()
    completed = sum(client.is_completed for client in clients)
    starts = len(site.witness.log)
    return Report(
        len(clients),
        completed,
        starts,
        tuple(injected),
        tuple(sent),
        tuple(findings),
        folder,
    )


async def _inject(site, rng, seconds, injected):
    """Inject one to three faults at a time, until the time is over.

    Returns:
      A list of findings.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    findings = []
    while loop.time() < end_s:
        names = rng.sample(sorted(direct_faults.FAULTS), rng.randint(1, 3))
        injected.append(" + ".join(names))
        generators = [random.Random(rng.random()) for _ in names]
        errors = await asyncio.gather(
            *(
                direct_faults.FAULTS[name](site, generator)
                for name, generator in zip(names, generators, strict=True)
            ),
            return_exceptions=True,
        )
        findings += [
            f"{name}: {error!r}"
            for name, error in zip(names, errors, strict=True)
            if error is not None
        ]
        await asyncio.sleep(rng.uniform(*_PAUSE_S))
    return findings


async def _submit_jobs(site, rng, seconds, clients):
    """Submit jobs for some time, then wait for the last answer."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    running = []
    while loop.time() < end_s:
        count = rng.randint(1, 6)
        client = Client(f"{len(clients):016x}", count, [])
        clients.append(client)
        body = platform_site.job(count, rng.randint(1, 4), rng.randint(30, 600))
        running.append(asyncio.create_task(_run_client(site, rng, client, body)))
        await asyncio.sleep(clock.seconds(rng.uniform(*_ARRIVAL_GAP_MS)))
    await asyncio.gather(*running)


async def _run_client(site, rng, client, body):
    """Submit a job, and resubmit it at other entries until it is ended or refused."""
    path = f"{platform_site.PREFIX}{client.job_id}"
    entries = rng.sample(range(_ENTRIES), _ENTRIES)
    for number in range(_MAX_SUBMISSIONS):
        entry = entries[number % _ENTRIES]
        request = site.request(entry, "POST", path, body, _CLIENT_TIMEOUT_MS)
        try:
            reply = await asyncio.wait_for(request, clock.seconds(_CLIENT_TIMEOUT_MS))
        except TimeoutError:
            client.statuses.append(0)
        else:
            client.statuses.append(reply.status)
            if reply.status == _ANSWERED_STATUS:
                client.state = reply.fields["state"]
                return
            if reply.status == _REFUSED_STATUS:
                return
        await asyncio.sleep(clock.seconds(_RESUBMIT_DELAY_MS))


async def _wait_serving(site, phase):
    """Wait until every entry completes a job.

    Args:
      site: A ProcessSite.
      phase: A string, what has just ended, for findings.

    Returns:
      A list of findings.
    """
    waiting = set(range(_ENTRIES))
    loop = asyncio.get_running_loop()
    end_s = loop.time() + clock.seconds(_RECOVERY_MS)
    while waiting and loop.time() < end_s:
        for entry in sorted(waiting):
            probe_id = random.randrange(_FIRST_PROBE_ID, 2 * _FIRST_PROBE_ID)
            path = f"{platform_site.PREFIX}{probe_id:016x}"
            body = platform_site.job(1, 1, 30)
            request = site.request(entry, "POST", path, body, _CLIENT_TIMEOUT_MS)
            try:
                reply = await asyncio.wait_for(
                    request, clock.seconds(_CLIENT_TIMEOUT_MS)
                )
            except TimeoutError:
                continue
            if reply.status == _ANSWERED_STATUS:
                waiting.discard(entry)
        await asyncio.sleep(clock.seconds(_POLL_INTERVAL_MS))
    return [f"entry-{entry} does not serve after the {phase}" for entry in waiting]


def _false_answers(witness, clients):
    """Compare the clients' answers with what the workers saw."""
    findings = []
    for client in clients:
        if client.is_completed and not witness.done.issuperset(client.tasks()):
            findings.append(f"{client.job_id} is completed, but not all tasks are done")
        if client.was_refused and not witness.started.isdisjoint(client.tasks()):
            findings.append(f"{client.job_id} was refused, but a task has started")
    return findings


def main(seconds: float = 60, seed: int = 1, seeds: int = 1, crowds: bool = False):
    """Run soaks with consecutive seeds; exit with 1 after any finding."""
    is_clean = True
    for number in range(seed, seed + seeds):
        report = asyncio.run(run(seconds, number, crowds=crowds))
        print(
            f"seed {number}: {report.jobs} jobs, {report.completed} completed, "
            f"{report.starts} starts, {len(report.faults)} rounds of faults, "
            f"{len(report.crowds)} crowds, "
            f"{len(report.findings)} findings",
            flush=True,
        )
        for finding in report.findings:
            print(f"FOUND: {finding} (logs in {report.folder})")
            is_clean = False
    sys.exit(0 if is_clean else 1)


if __name__ == "__main__":
    typer.run(main)
