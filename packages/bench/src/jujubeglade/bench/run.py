"""One run: a cluster under a load, with events, and all that was seen of it.

    async with cluster.start(run.OBSERVED) as held:
        seen = await run.play(held, arrivals, {10_000: drain})

`events` maps times after the first arrival to coroutine functions of the cluster.
"""

import asyncio
import collections
import dataclasses
import json
import sys
import time

import aiohttp

from jujubeglade.bench import client, cluster, tally

OBSERVED = "jujubeglade.bench.observed"
_DEADLINE_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What was seen of one run.

    Attributes:
      arrivals: A list of load.Arrivals.
      endings: A list of client.JobResults.
      started: A list of upstream.Started.
      begin_ms: A number, the wall clock at the begin of the arrivals.
      duration_ms: A number, until the last answer.
      messages: A Counter, messages sent by all processes, by type.
      sent_bytes: A Counter, their bytes.
      processor_ms: A dict from the name of a process to a number.
      resident_kib: A dict from the name of a process to an integer.
      store_calls: A Counter, by kind.
      verdict: A tally.Verdict.
    """

    arrivals: list
    endings: list
    started: list
    begin_ms: float
    duration_ms: float
    messages: collections.Counter
    sent_bytes: collections.Counter
    processor_ms: dict
    resident_kib: dict
    store_calls: collections.Counter
    verdict: tally.Verdict

    @property
    def tasks(self):
        """Count the tasks that arrived."""
        return sum(len(each.run_ms) for each in self.arrivals)

    def complete(self):
        """List the endings of complete jobs."""
        return [each for each in self.endings if each.state == "complete"]


async def play(held, arrivals, events=None, deadline_ms=_DEADLINE_MS):
    """Submit arrivals to a cluster of observed processes.

    Args:
      held: A cluster.Cluster.
      arrivals: A list of load.Arrivals.
      events: A mapping from ms after the begin to a coroutine function of the
        cluster.
      deadline_ms: An integer, of each job.

    Returns:
      A Seen.
    """
    plan, results = held.folder / "plan.json", held.folder / "results.json"
    client.write_plan(plan, held, arrivals, cluster.CALLER_TOKENS, deadline_ms)
    before = await snapshot(held)
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "jujubeglade.bench.client", str(plan), str(results)),
        stdout=asyncio.subprocess.PIPE,
    )
    begin_ms = json.loads(await process.stdout.readline())["begin_ms"]
    fired = [
        asyncio.create_task(_fire(held, begin_ms + at_ms, event))
        for at_ms, event in (events or {}).items()
    ]
    if await process.wait():
        raise RuntimeError("the clients failed; their trace is above")
    duration_ms = time.time() * 1000 - begin_ms
    await asyncio.gather(*fired)
    after = await snapshot(held)
    endings = client.read_results(results)
    started = held.starts()
    keys = {each.key for each in endings}
    started = [each for each in started if each.key in keys]
    return Seen(
        arrivals,
        endings,
        started,
        begin_ms,
        duration_ms,
        grown(before, after, "messages"),
        grown(before, after, "bytes"),
        processor_grown(before, after),
        after["resident_kib"],
        after["store"] - before["store"],
        tally.compare(arrivals, endings, started),
    )


async def command(held, text):
    """Run an operators' command.

    Args:
      held: A cluster.Cluster.
      text: A string.

    Returns:
      A dict, the entry's answer.
    """
    token = cluster.OPERATOR_TOKENS["duty"]
    fields = {"id": f"bench-{time.time_ns()}", "text": text}
    headers = {"Authorization": f"Bearer {token}"}
    url = held.entry_url(held.entry_names[0]) + "/v1/commands"
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.post(url, json=fields) as reply,
    ):
        answer = await reply.json()
        if reply.status != 200:
            raise RuntimeError(f"{text!r} was refused: {answer}")
        return answer


def commanding(text):
    """Make the event that runs an operators' command.

    Args:
      text: A string.

    Returns:
      A coroutine function of a cluster.
    """

    async def event(held):
        await command(held, text)

    return event


def of_role(values, role):
    """Choose the values of the processes of one role.

    Args:
      values: A mapping from the names of processes to values.
      role: A string, `entry`, `worker` or `store`.

    Returns:
      A list.
    """
    return [value for name, value in values.items() if name.startswith(role)]


async def _fire(held, at_ms, event):
    await asyncio.sleep(max(0, at_ms / 1000 - time.time()))
    await event(held)


async def snapshot(held):
    """Read all counters of a cluster of observed processes.

    Args:
      held: A cluster.Cluster.

    Returns:
      A dict of `counts`, `pids`, `processor_ms`, `resident_kib` and `store`.
    """
    running = {
        name: process
        for name, process in held.processes.items()
        if process.returncode is None
    }
    return {
        "counts": await held.counts(),
        "pids": {name: process.pid for name, process in running.items()},
        "processor_ms": {
            name: cluster.processor_ms(process) for name, process in running.items()
        },
        "resident_kib": {
            name: cluster.resident_kib(process) for name, process in running.items()
        },
        "store": await _store_calls(held),
    }


async def _store_calls(held):
    async with (
        aiohttp.ClientSession() as session,
        session.get(held.store_control) as reply,
    ):
        return collections.Counter((await reply.json())["counts"])


def grown(before, after, field):
    """Sum what all processes counted between two snapshots.

    Args:
      before: A dict, of `snapshot`.
      after: A dict, of `snapshot`.
      field: A string, `messages` or `bytes`.

    Returns:
      A Counter, by type of message.
    """
    total = collections.Counter()
    for name, counts in after["counts"].items():
        total.update(counts[field])
        if before["pids"].get(name) == after["pids"][name]:
            total.subtract(before["counts"][name][field])
    return total


def processor_grown(before, after):
    """Work out the processor time between two snapshots.

    Args:
      before: A dict, of `snapshot`.
      after: A dict, of `snapshot`.

    Returns:
      A dict from the names of the processes that ran all the while to ms.
    """
    return {
        name: used - before["processor_ms"][name]
        for name, used in after["processor_ms"].items()
        if before["pids"].get(name) == after["pids"][name]
    }
