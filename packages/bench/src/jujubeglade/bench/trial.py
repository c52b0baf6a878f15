"""Runs of real processes with kills, replayed against the rules of the model.

    python -m jujubeglade.bench.trial 5 6 7     # seeds

Clients submit jobs, submit them again at other entries and cancel some. Operators
drain and restore a zone. A home and an executor of a running job are killed, and a job
that is larger than all slots is cancelled. The seed decides jobs, clients' choices and
times, except for the delays of the machine. Each run prints one line, and one more for
each violation.

The parts of a run work on any `Site`, so that tests also use them within one process.
"""

import asyncio
import dataclasses
import random
import sys
import time

from jujubeglade.bench import cluster, replay, truth
from jujubeglade.core import clock, journal, ticket
from jujubeglade.tools import client

_SHAPE = cluster.Shape()
_JOBS = 30
_SPREAD_MS = 3000
_KILLED_JOB_TASKS = 6
_KILLED_JOB_RUN_MS = 400
#: How long a job has run when it is cancelled or loses processes.
_DISTURB_AFTER_MS = 100
_OVERFILL_RUN_MS = 1500
_WAIT_MS = 10_000
_TIMEOUT_MS = 15_000
_POLL_INTERVAL_MS = 100
#: Longer than the total delay of records in the attempt log, a heartbeat and the
#: archive.
_RECORD_DELAY_MS = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Where clients and operators call.

    Attributes:
      urls: A list of strings, the base URLs of the entries.
      caller_token: A string.
      operator_token: A string.
      key: Bytes, the cluster key.
    """

    urls: list
    caller_token: str
    operator_token: str
    key: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The records and logs of one run.

    Attributes:
      records: A tuple of Records.
      logs: A replay.Logs.
    """

    records: tuple
    logs: replay.Logs


def task(run_ms, repeatable=False):
    """Make a task of a submission.

    Args:
      run_ms: An integer, how long the upstream takes.
      repeatable: A boolean.

    Returns:
      A dict.
    """
    payload = {"ms": run_ms}
    return {"service": "parts", "payload": payload, "repeatable": repeatable}


async def submit(caller, body):
    """Submit under one id until the job has ended.

    Args:
      caller: A Client.
      body: A dict, the submission.

    Returns:
      A JobAnswer.

    Raises:
      TimeoutError: The job did not end in time.
    """
    async with asyncio.timeout(clock.seconds(_TIMEOUT_MS)):
        while True:
            answer = await caller.submit(body, _WAIT_MS)
            if answer.is_ok() and answer.ok().state != client.RUNNING:
                return answer.ok()
            await asyncio.sleep(clock.seconds(_POLL_INTERVAL_MS))


async def run_job(site, rng, spread_ms=_SPREAD_MS):
    """Run one job; maybe cancel it, or submit it again at another entry.

    Args:
      site: A Site.
      rng: A random.Random.
      spread_ms: An integer, by when the job is submitted.

    Returns:
      A JobAnswer.
    """
    await asyncio.sleep(clock.seconds(rng.randrange(spread_ms)))
    urls = rng.sample(site.urls, len(site.urls))
    async with (
        client.open_client(urls, site.caller_token) as caller,
        client.open_client(urls[::-1], site.caller_token) as other,
    ):
        (text,) = (await caller.tickets()).unwrap()
        drawn_task = task(rng.randrange(20, 300), rng.random() < 0.5)
        body = {"id": text, "tasks": [drawn_task] * rng.randrange(1, 12)}
        choice = rng.random()
        if choice < 0.6:
            await caller.submit(body)
        if choice < 0.3:
            await asyncio.sleep(rng.random() / 5)
            await other.cancel(text)
        return await submit(other, body)


async def overfill(site, count):
    """Cancel a job larger than all slots, while its tasks wait at executors.

    Args:
      site: A Site.
      count: An integer, more tasks than there are slots.
    """
    async with client.open_client(site.urls, site.caller_token) as caller:
        (text,) = (await caller.tickets()).unwrap()
        body = {"id": text, "tasks": [task(_OVERFILL_RUN_MS, True)] * count}
        (await caller.submit(body)).unwrap()
        await asyncio.sleep(clock.seconds(_DISTURB_AFTER_MS))
        (await caller.cancel(text)).unwrap()


async def drain(site, zone):
    """Drain a zone, and restore it once the drain is in force.

    Args:
      site: A Site.
      zone: A string.
    """
    async with client.open_client(site.urls, site.operator_token) as operator:
        await command(operator, "drain-1", f"drain zone {zone}")
        await command(operator, "restore-1", f"restore zone {zone}")


async def command(operator, command_id, text):
    """Repeat a command under its id until it is in force.

    Args:
      operator: A Client.
      command_id: A string.
      text: A string.

    Raises:
      TimeoutError: It did not come into force.
    """
    async with asyncio.timeout(clock.seconds(_TIMEOUT_MS)):
        while True:
            answer = await operator.command(command_id, text)
            if answer.is_ok() and answer.ok().status == "in_force":
                return
            await asyncio.sleep(clock.seconds(_POLL_INTERVAL_MS))


async def kill_during_job(site, kill):
    """Submit a job, kill processes that run it, and submit it again.

    Args:
      site: A Site.
      kill: A coroutine function of the job's Ticket that kills them.

    Returns:
      A JobAnswer.
    """
    async with client.open_client(site.urls, site.caller_token) as caller:
        (text,) = (await caller.tickets()).unwrap()
        body = {"id": text, "tasks": [task(_KILLED_JOB_RUN_MS)] * _KILLED_JOB_TASKS}
        (await caller.submit(body)).unwrap()
        await asyncio.sleep(clock.seconds(_DISTURB_AFTER_MS))
        await kill(ticket.parse(site.key, text).unwrap())
    async with client.open_client(site.urls[::-1], site.caller_token) as caller:
        return await submit(caller, body)


async def read_records(site, logs, killed=()):
    """Poll the records until they cover every start except those of killed agents.

    Args:
      site: A Site.
      logs: A function that returns the replay.Logs so far.
      killed: A collection of strings, the names of agents.

    Returns:
      A tuple of Records.

    Raises:
      TimeoutError: Some start was not recorded in time.
    """
    async with client.open_client(site.urls, site.operator_token) as operator:
        async with asyncio.timeout(clock.seconds(_TIMEOUT_MS)):
            while True:
                await asyncio.sleep(clock.seconds(_RECORD_DELAY_MS))
                records = await _records(operator)
                starts = [start for start in logs().starts if start.name not in killed]
                if _are_recorded(records, starts):
                    return records


async def run(seed, jobs=_JOBS, shape=_SHAPE):
    """Run once on real processes.

    Args:
      seed: An integer.
      jobs: An integer.
      shape: A cluster.Shape.

    Returns:
      An Outcome.
    """
    rng = random.Random(seed)
    async with cluster.start(shape) as cluster_:
        site = Site(
            [cluster_.entry_url(name) for name in cluster_.entry_names],
            cluster.CALLER_TOKENS["alpha"],
            cluster.OPERATOR_TOKENS["duty"],
            cluster.CLUSTER_KEY.encode(),
        )
        names = await _names_by_incarnation(site, shape.workers)
        killed = []

        async def kill(parsed):
            for incarnation in (parsed.group[0], parsed.group[-1]):
                killed.append(names[incarnation])
                cluster_.kill(names[incarnation])

        async with asyncio.TaskGroup() as running:
            for _ in range(jobs):
                running.create_task(run_job(site, rng))
            running.create_task(drain(site, shape.zones[0]))
            running.create_task(kill_during_job(site, kill))
        for name in killed:
            await cluster_.processes[name].wait()
            await cluster_.start_process(name)
        await cluster_.wait_ready(shape.workers)
        await run_job(site, rng, 1)
        await overfill(site, 2 * shape.workers * shape.slots)
        records = await read_records(site, lambda: _logs(cluster_), killed)
        return Outcome(records, _logs(cluster_))


def _logs(cluster_):
    return replay.Logs(tuple(cluster_.starts()), tuple(cluster_.ends()))


async def _records(operator):
    answer = (await operator.audit()).unwrap()
    return journal.unpack(answer.records).unwrap()


def _are_recorded(records, starts):
    recorded = {
        (record.process, record.subject, *pair)
        for record in records
        if record.kind is journal.Kind.STARTED
        for pair in truth.attempts(record)
    }
    return recorded >= {
        (start.name, start.key, start.index, start.attempt) for start in starts
    }


async def _names_by_incarnation(site, workers):
    """Map the incarnations of all processes to their names."""
    async with client.open_client(site.urls, site.operator_token) as operator:
        async with asyncio.timeout(clock.seconds(_TIMEOUT_MS)):
            while True:
                names = {
                    record.incarnation: record.process
                    for record in await _records(operator)
                }
                if len(names) >= workers + len(site.urls):
                    return names
                await asyncio.sleep(clock.seconds(_POLL_INTERVAL_MS))


def main():
    """Run the seeds of the command line; exit with 1 if a rule is violated.

    Returns:
      An integer, the exit status.
    """
    failed = False
    for seed in map(int, sys.argv[1:]):
        began = time.monotonic()
        outcome = asyncio.run(run(seed))
        events = replay.events(outcome.records, outcome.logs)
        violations = [
            *replay.check(outcome.records, outcome.logs),
            *truth.examine(
                outcome.records, outcome.logs.starts, cluster.CLUSTER_KEY.encode()
            ),
        ]
        failed = failed or bool(violations)
        print(
            f"seed {seed}: {len(outcome.records)} records, {len(events)} events,"
            f" {len(outcome.logs.starts)} starts, {len(violations)} violations,"
            f" {time.monotonic() - began:.0f} s",
            flush=True,
        )
        for violation in violations:
            print(f"  {violation}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
