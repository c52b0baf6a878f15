"""Scenarios of single paths: one task, one agent, one entry, and an idle system."""

import asyncio
import dataclasses
import time

import aiohttp

from jujubeglade.bench import cluster, report, run, scenarios

_TENANT = "alpha"
_OVERHEAD_TASKS = 1000
_OVERHEAD_RUN_MS = 5
_JOBS = 100
_JOB_TASKS = 100
_MANY_SLOTS = 64
_IDLE_SECONDS = 20


@scenarios.scenario("overhead")
async def overhead(options):
    """Measure what the system adds to one task when it is idle."""
    latencies = []
    async with cluster.start(options.shape) as cluster_, client() as session:
        tickets = await take_tickets(cluster_, session, _OVERHEAD_TASKS)
        for ticket in tickets:
            begin = time.perf_counter()
            await submit(cluster_, session, ticket, 1, _OVERHEAD_RUN_MS, False)
            latencies.append((time.perf_counter() - begin) * 1000 - _OVERHEAD_RUN_MS)
    # The first requests are left out: they open connections and fill caches.
    latencies = latencies[_OVERHEAD_TASKS // 10 :]
    outcome = report.Outcome("overhead", f"{len(latencies)} tasks, one after the other")
    outcome.add("p50", report.quantile(latencies, 0.5), "ms", most=5)
    outcome.add("p99", report.quantile(latencies, 0.99), "ms", most=15)
    return outcome


@scenarios.scenario("agent")
async def agent(options):
    """Measure how many starts a second one agent sustains."""
    shape = dataclasses.replace(
        options.shape, workers=2, entries=1, slots=_MANY_SLOTS, program=run.OBSERVED
    )
    rate, used, _ = await _flood(shape, repeatable=False)
    outcome = report.Outcome(
        "agent", "one home, one executor of 64 slots, tasks of 1 ms in jobs of 100"
    )
    outcome.add("starts of one agent", rate, "a second", least=500)
    home_ms, executor_ms = sorted(run.of_role(used, "worker"), reverse=True)
    tasks = _JOBS * _JOB_TASKS
    outcome.add("processor, the busier agent", home_ms * 1000 / tasks, "us a task")
    outcome.add("processor, the other", executor_ms * 1000 / tasks, "us a task")
    return outcome


@scenarios.scenario("entry")
async def entry(options):
    """Measure how many tasks a second one entry sustains."""
    shape = dataclasses.replace(options.shape, entries=1, slots=_MANY_SLOTS)
    rate, used, resident = await _flood(shape, repeatable=True)
    outcome = report.Outcome("entry", "one entry, tasks of 1 ms in jobs of 100")
    outcome.add("tasks of one entry", rate, "a second", least=3000)
    tasks = _JOBS * _JOB_TASKS
    outcome.add("processor of the entry", used["entry-1"] * 1000 / tasks, "us a task")
    busiest = max(run.of_role(used, "worker"))
    outcome.add("processor of the home", busiest * 1000 / tasks, "us a task")
    outcome.add("memory of the entry", resident["entry-1"] / 1024, "MiB")
    return outcome


@scenarios.scenario("idle")
async def idle(options):
    """Measure what an idle agent costs."""
    shape = dataclasses.replace(options.shape, program=run.OBSERVED)
    async with cluster.start(shape) as cluster_:
        measured = await measure_idle(cluster_, _IDLE_SECONDS)
    outcome = report.Outcome("idle", f"{shape.workers} agents, {_IDLE_SECONDS} s")
    outcome.add("memory of an agent, most", measured["agent_mib"], "MiB", most=64)
    outcome.add("control traffic of an agent", measured["agent_kb"], "KB/s", most=27)
    outcome.add("processor of an agent", measured["agent_cpu"], "% of a core", most=1.1)
    outcome.add("control traffic of an entry", measured["entry_kb"], "KB/s")
    outcome.add("processor of an entry", measured["entry_cpu"], "% of a core")
    outcome.add("memory of an entry, most", measured["entry_mib"], "MiB")
    return outcome


async def measure_idle(cluster_, seconds):
    """Measure a cluster without load.

    Args:
      cluster_: A cluster.Cluster of observed processes.
      seconds: A number, for how long.

    Returns:
      A dict of figures. Traffic is the content of the streams in both directions,
      without the headers of TCP and IP.
    """
    before = await run.snapshot(cluster_)
    await asyncio.sleep(seconds)
    after = await run.snapshot(cluster_)
    sent = {
        name: sum(counts["bytes"].values())
        - sum(before["counts"][name]["bytes"].values())
        for name, counts in after["counts"].items()
    }
    used = run.processor_ms_between(before, after)
    from_agents = sum(run.of_role(sent, "worker"))
    from_entries = sum(run.of_role(sent, "entry"))
    total_kb_s = (from_agents + from_entries) / 1000 / seconds
    agents, entries = cluster_.shape.workers, cluster_.shape.entries
    return {
        "agent_kb": total_kb_s / agents,
        "entry_kb": total_kb_s / entries,
        "agent_cpu": sum(run.of_role(used, "worker")) / agents / seconds / 10,
        "entry_cpu": sum(run.of_role(used, "entry")) / entries / seconds / 10,
        "agent_mib": max(run.of_role(after["resident_kib"], "worker")) / 1024,
        "entry_mib": max(run.of_role(after["resident_kib"], "entry")) / 1024,
        "store": {
            kind: count / seconds
            for kind, count in (after["store"] - before["store"]).items()
        },
    }


async def _flood(shape, repeatable):
    """Submit many jobs at once.

    Returns:
      A triple of the tasks a second, and of two dicts by the name of the process: the
      processor time in ms, and the resident KiB.
    """
    # All jobs arrive at once, so the queue must have room for all of them.
    limits = {**shape.limits, "max_queue_tasks": 2 * _JOBS * _JOB_TASKS}
    shape = dataclasses.replace(shape, limits=limits)
    async with cluster.start(shape) as cluster_, client() as session:
        tickets = await take_tickets(cluster_, session, _JOBS + 5)
        for ticket in tickets[_JOBS:]:
            await submit(cluster_, session, ticket, _JOB_TASKS, 1, repeatable)
        before = _processor_times(cluster_)
        begin = time.perf_counter()
        await asyncio.gather(
            *(
                submit(cluster_, session, ticket, _JOB_TASKS, 1, repeatable)
                for ticket in tickets[:_JOBS]
            )
        )
        seconds = time.perf_counter() - begin
        after = _processor_times(cluster_)
        used = {name: after[name] - before[name] for name in after}
        resident = {
            name: cluster.resident_kib(process)
            for name, process in cluster_.processes.items()
        }
    return _JOBS * _JOB_TASKS / seconds, used, resident


def _processor_times(cluster_):
    return {
        name: cluster.processor_ms(process)
        for name, process in cluster_.processes.items()
    }


def client():
    """Open the HTTP session of a client.

    Returns:
      An aiohttp.ClientSession.
    """
    token = cluster.CALLER_TOKENS[_TENANT]
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        headers={"Authorization": f"Bearer {token}"},
    )


async def take_tickets(cluster_, session, count):
    """Take tickets from the first entry.

    Args:
      cluster_: A cluster.Cluster.
      session: An aiohttp.ClientSession, from `client`.
      count: An integer.

    Returns:
      A list of strings.
    """
    url = cluster_.entry_url(cluster_.entry_names[0]) + "/v1/tickets"
    async with session.post(url, json={"count": count}) as reply:
        return (await reply.json())["tickets"]


async def submit(cluster_, session, ticket, tasks, run_ms, repeatable):
    """Run a job of equal tasks through the first entry and wait for its end.

    Args:
      cluster_: A cluster.Cluster.
      session: An aiohttp.ClientSession, from `client`.
      ticket: A string.
      tasks: An integer.
      run_ms: A number, of each task.
      repeatable: A boolean.

    Raises:
      RuntimeError: The job did not complete.
    """
    task = {
        "service": cluster_.shape.service,
        "payload": {"ms": run_ms},
        "repeatable": repeatable,
    }
    fields = {"id": ticket, "tasks": [task] * tasks, "wait_ms": 30_000}
    url = cluster_.entry_url(cluster_.entry_names[0]) + "/v1/jobs"
    async with session.post(url, json=fields) as reply:
        answer = await reply.json()
        if answer.get("state") != "complete":
            raise RuntimeError(f"job did not complete: {answer}")
