"""A run over real processes that are killed, replayed against the rules of the model.

    python -m jujubeglade.bench.trial 5 6 7     # seeds

Clients submit jobs, submit them again at other entries and cancel some; operators
drain a zone and bring it back; a home and an executor of a running job are killed; a
job that is larger than all slots is cancelled. The seed draws jobs, clients' choices
and times; what the machine adds to the times stays its own. Each run prints one line,
and each violation one more.

The parts of a run work on any `Site`, so that tests use them in one process as well.
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
_LOST_TASKS = 6
_LOST_TASK_MS = 400
_LOST_AFTER_MS = 100
_LONG_TASK_MS = 1500
_WAIT_MS = 10_000
_PATIENCE_MS = 15_000
_POLL_MS = 100
# Longer than the attempt log, a heartbeat and the archive hold records back.
_RECORDED_MS = 5000


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
    """What a run left behind.

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
    """Submit under one id until the whole answer is there.

    Args:
      caller: A Client.
      body: A dict, the submission.

    Returns:
      A JobAnswer.

    Raises:
      TimeoutError: No answer came.
    """
    async with asyncio.timeout(clock.seconds(_PATIENCE_MS)):
        while True:
            answer = await caller.submit(body, _WAIT_MS)
            if answer.is_ok() and answer.ok().state != client.RUNNING:
                return answer.ok()
            await asyncio.sleep(clock.seconds(_POLL_MS))


async def run_job(site, chance, spread_ms=_SPREAD_MS):
    """Run one job; perhaps cancel it, or submit it again at another entry.

    Args:
      site: A Site.
      chance: A random.Random.
      spread_ms: An integer, by when the job begins.

    Returns:
      A JobAnswer.
    """
    await asyncio.sleep(clock.seconds(chance.randrange(spread_ms)))
    urls = chance.sample(site.urls, len(site.urls))
    async with (
        client.open_client(urls, site.caller_token) as caller,
        client.open_client(urls[::-1], site.caller_token) as other,
    ):
        (held,) = (await caller.tickets()).unwrap()
        drawn = task(chance.randrange(20, 300), chance.random() < 0.5)
        body = {"id": held, "tasks": [drawn] * chance.randrange(1, 12)}
        choice = chance.random()
        if choice < 0.6:
            await caller.submit(body)
        if choice < 0.3:
            await asyncio.sleep(chance.random() / 5)
            await other.cancel(held)
        return await submit(other, body)


async def overfill(site, count):
    """Cancel a job that is larger than all slots while its tasks wait at executors.

    Args:
      site: A Site.
      count: An integer, more tasks than there are slots.
    """
    async with client.open_client(site.urls, site.caller_token) as caller:
        (held,) = (await caller.tickets()).unwrap()
        body = {"id": held, "tasks": [task(_LONG_TASK_MS, True)] * count}
        (await caller.submit(body)).unwrap()
        await asyncio.sleep(clock.seconds(_LOST_AFTER_MS))
        (await caller.cancel(held)).unwrap()


async def drain(site, zone):
    """Drain a zone until that is in force, and bring it back.

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
    async with asyncio.timeout(clock.seconds(_PATIENCE_MS)):
        while True:
            answer = await operator.command(command_id, text)
            if answer.is_ok() and answer.ok().status == "in_force":
                return
            await asyncio.sleep(clock.seconds(_POLL_MS))


async def kill_during_job(site, kill):
    """Submit a job, have processes of it killed while it runs, and submit it again.

    Args:
      site: A Site.
      kill: A coroutine function of the job's Ticket.

    Returns:
      A JobAnswer.
    """
    async with client.open_client(site.urls, site.caller_token) as caller:
        (held,) = (await caller.tickets()).unwrap()
        body = {"id": held, "tasks": [task(_LOST_TASK_MS)] * _LOST_TASKS}
        (await caller.submit(body)).unwrap()
        await asyncio.sleep(clock.seconds(_LOST_AFTER_MS))
        await kill(ticket.parse(site.key, held).unwrap())
    async with client.open_client(site.urls[::-1], site.caller_token) as caller:
        return await submit(caller, body)


async def read_records(site, logs, killed=()):
    """Read the records until they tell of every start, but for those of the killed.

    Args:
      site: A Site.
      logs: A function that returns the replay.Logs so far.
      killed: A collection of strings, the names of agents.

    Returns:
      A tuple of Records.

    Raises:
      TimeoutError: Some start was not told.
    """
    async with client.open_client(site.urls, site.operator_token) as operator:
        async with asyncio.timeout(clock.seconds(_PATIENCE_MS)):
            while True:
                await asyncio.sleep(clock.seconds(_RECORDED_MS))
                records = await _records(operator)
                starts = [each for each in logs().starts if each.name not in killed]
                if _are_told(records, starts):
                    return records


async def run(seed, jobs=_JOBS, shape=_SHAPE):
    """Run once over real processes.

    Args:
      seed: An integer.
      jobs: An integer.
      shape: A cluster.Shape.

    Returns:
      An Outcome.
    """
    chance = random.Random(seed)
    async with cluster.start(shape) as held:
        site = Site(
            [held.entry_url(name) for name in held.entry_names],
            cluster.CALLER_TOKENS["alpha"],
            cluster.OPERATOR_TOKENS["duty"],
            cluster.CLUSTER_KEY.encode(),
        )
        names = await _names(site, shape.workers)
        killed = []

        async def kill(parsed):
            for incarnation in (parsed.group[0], parsed.group[-1]):
                killed.append(names[incarnation])
                held.kill(names[incarnation])

        async with asyncio.TaskGroup() as running:
            for _ in range(jobs):
                running.create_task(run_job(site, chance))
            running.create_task(drain(site, shape.zones[0]))
            running.create_task(kill_during_job(site, kill))
        for name in killed:
            await held.processes[name].wait()
            await held.start_process(name)
        await held.wait_ready(shape.workers)
        await run_job(site, chance, 1)
        await overfill(site, 2 * shape.workers * shape.slots)
        records = await read_records(site, lambda: _logs(held), killed)
        return Outcome(records, _logs(held))


def _logs(held):
    return replay.Logs(tuple(held.starts()), tuple(held.ends()))


async def _records(operator):
    answer = (await operator.audit()).unwrap()
    return journal.unpack(answer.records).unwrap()


def _are_told(records, starts):
    told = {
        (record.process, record.subject, *pair)
        for record in records
        if record.kind is journal.Kind.STARTED
        for pair in truth.attempts(record)
    }
    return told >= {
        (start.name, start.key, start.index, start.attempt) for start in starts
    }


async def _names(site, workers):
    """Read the names of the agents by their incarnations."""
    async with client.open_client(site.urls, site.operator_token) as operator:
        async with asyncio.timeout(clock.seconds(_PATIENCE_MS)):
            while True:
                names = {
                    record.incarnation: record.process
                    for record in await _records(operator)
                }
                if len(names) >= workers + len(site.urls):
                    return names
                await asyncio.sleep(clock.seconds(_POLL_MS))


def main():
    """Run the seeds of the command line; the status is 1 when a rule is broken.

    Returns:
      An integer, the exit status.
    """
    broken = False
    for seed in map(int, sys.argv[1:]):
        began = time.monotonic()
        outcome = asyncio.run(run(seed))
        events = replay.events(outcome.records, outcome.logs)
        found = [
            *replay.check(outcome.records, outcome.logs),
            *truth.examine(
                outcome.records, outcome.logs.starts, cluster.CLUSTER_KEY.encode()
            ),
        ]
        broken = broken or bool(found)
        print(
            f"seed {seed}: {len(outcome.records)} records, {len(events)} events,"
            f" {len(outcome.logs.starts)} starts, {len(found)} violations,"
            f" {time.monotonic() - began:.0f} s",
            flush=True,
        )
        for each in found:
            print(f"  {each}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
