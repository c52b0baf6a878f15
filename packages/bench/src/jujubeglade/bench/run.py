"""One run: a cluster under a load, with events, and what was measured.

    async with cluster.start(cluster.Shape(program=run.OBSERVED)) as cluster_:
        measured = await run.play(cluster_, arrivals, {10_000: drain})

`events` maps times from the begin of the arrivals, in ms, to coroutine functions of the
cluster.
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
class Measurements:
    """What was measured in one run.

    Attributes:
      arrivals: A list of load.Arrivals.
      results: A list of client.JobResults.
      starts: A list of upstream.Started, of the jobs of this run.
      begin_ms: A number, the wall clock at the begin of the arrivals.
      duration_ms: A number, from the begin until the last answer.
      messages: A Counter, messages sent by all processes, by type.
      sent_bytes: A Counter, their bytes.
      processor_ms: A dict from the names of processes to numbers.
      resident_kib: A dict from the names of processes to integers.
      store_calls: A Counter, by kind.
      verdict: A tally.Verdict.
    """

    arrivals: list
    results: list
    starts: list
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
        return sum(len(arrival.run_ms) for arrival in self.arrivals)

    def complete(self):
        """List the results of complete jobs."""
        return [result for result in self.results if result.state == "complete"]


async def play(cluster_, arrivals, events=None, deadline_ms=_DEADLINE_MS):
    """Submit arrivals to a cluster of observed processes.

    Args:
      cluster_: A cluster.Cluster.
      arrivals: A list of load.Arrivals.
      events: A mapping from ms after the begin to a coroutine function of the
        cluster.
      deadline_ms: An integer, of each job.

    Returns:
      Measurements.

    Raises:
      RuntimeError: The process of the clients failed.
    """
    plan_path, results_path = (
        cluster_.folder / "plan.json",
        cluster_.folder / "results.json",
    )
    client.write_plan(plan_path, cluster_, arrivals, cluster.CALLER_TOKENS, deadline_ms)
    before = await snapshot(cluster_)
    process = await asyncio.create_subprocess_exec(
        *(
            sys.executable,
            "-m",
            "jujubeglade.bench.client",
            str(plan_path),
            str(results_path),
        ),
        stdout=asyncio.subprocess.PIPE,
    )
    begin_ms = json.loads(await process.stdout.readline())["begin_ms"]
    event_tasks = [
        asyncio.create_task(_run_event(cluster_, begin_ms + at_ms, event))
        for at_ms, event in (events or {}).items()
    ]
    if await process.wait():
        raise RuntimeError("the client process failed; its traceback is above")
    duration_ms = time.time() * 1000 - begin_ms
    await asyncio.gather(*event_tasks)
    after = await snapshot(cluster_)
    results = client.read_results(results_path)
    starts = cluster_.starts()
    keys = {result.key for result in results}
    starts = [start for start in starts if start.key in keys]
    return Measurements(
        arrivals,
        results,
        starts,
        begin_ms,
        duration_ms,
        counts_between(before, after, "messages"),
        counts_between(before, after, "bytes"),
        processor_ms_between(before, after),
        after["resident_kib"],
        after["store"] - before["store"],
        tally.compare(arrivals, results, starts),
    )


async def command(cluster_, text):
    """Run an operators' command.

    Args:
      cluster_: A cluster.Cluster.
      text: A string.

    Returns:
      A dict, the entry's answer.

    Raises:
      RuntimeError: The command was refused.
    """
    token = cluster.OPERATOR_TOKENS["duty"]
    fields = {"id": f"bench-{time.time_ns()}", "text": text}
    headers = {"Authorization": f"Bearer {token}"}
    url = cluster_.entry_url(cluster_.entry_names[0]) + "/v1/commands"
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.post(url, json=fields) as reply,
    ):
        answer = await reply.json()
        if reply.status != 200:
            raise RuntimeError(f"{text!r} was refused: {answer}")
        return answer


def command_event(text):
    """Make an event that runs an operators' command.

    Args:
      text: A string.

    Returns:
      A coroutine function of a cluster.
    """

    async def event(cluster_):
        await command(cluster_, text)

    return event


def of_role(values, role):
    """Select the values of the processes of one role.

    Args:
      values: A mapping from the names of processes to values.
      role: A string, `entry`, `worker` or `store`.

    Returns:
      A list.
    """
    return [value for name, value in values.items() if name.startswith(role)]


async def _run_event(cluster_, at_ms, event):
    await asyncio.sleep(max(0, at_ms / 1000 - time.time()))
    await event(cluster_)


async def snapshot(cluster_):
    """Read all counters of a cluster of observed processes.

    Args:
      cluster_: A cluster.Cluster.

    Returns:
      A dict of `counts`, `pids`, `processor_ms`, `resident_kib` and `store`.
    """
    running = {
        name: process
        for name, process in cluster_.processes.items()
        if process.returncode is None
    }
    return {
        "counts": await cluster_.counts(),
        "pids": {name: process.pid for name, process in running.items()},
        "processor_ms": {
            name: cluster.processor_ms(process) for name, process in running.items()
        },
        "resident_kib": {
            name: cluster.resident_kib(process) for name, process in running.items()
        },
        "store": await _store_calls(cluster_),
    }


async def _store_calls(cluster_):
    async with (
        aiohttp.ClientSession() as session,
        session.get(cluster_.store_control) as reply,
    ):
        return collections.Counter((await reply.json())["counts"])


def counts_between(before, after, field):
    """Sum up what all processes sent between two snapshots.

    Args:
      before: A dict, from `snapshot`.
      after: A dict, from `snapshot`.
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


def processor_ms_between(before, after):
    """Compute the processor time used between two snapshots.

    Args:
      before: A dict, from `snapshot`.
      after: A dict, from `snapshot`.

    Returns:
      A dict from names to ms, of the processes that weren't restarted meanwhile.
    """
    return {
        name: used - before["processor_ms"][name]
        for name, used in after["processor_ms"].items()
        if before["pids"].get(name) == after["pids"][name]
    }
