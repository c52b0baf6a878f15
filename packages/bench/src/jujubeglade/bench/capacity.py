"""Scenarios for docs/CAPACITY.md: the cost of one more agent, entry, task or change.

    python -m jujubeglade.bench capacity-fleet capacity-entries ...

| scenario           | varies                                | gives the cost of      |
|--------------------|---------------------------------------|------------------------|
| `capacity-fleet`   | 11, 33 and 100 agents, three entries  | an agent, to an entry  |
| `capacity-entries` | 1, 3 and 6 entries, eleven agents     | an entry, to an agent  |
| `capacity-tasks`   | jobs of 1, 100 and 550 tasks          | a job and a task       |
| `capacity-memory`  | 0 to 30,000 tasks                     | a task kept in memory  |
| `capacity-changes` | quotas of 0, 115 and 230 tenants      | a configuration change |

All processes are real ones; the largest run has 105 of them.
"""

import asyncio
import dataclasses
import time

from jujubeglade.bench import cluster, paths, report, run, scenarios

_FLEET_SIZES = (11, 33, 100)
_ENTRY_COUNTS = (1, 3, 6)
_SETTLE_SECONDS = 5
_IDLE_SECONDS = 20
#: Pairs of the tasks of a job and the number of jobs.
_JOB_SIZES = ((1, 2000), (100, 100), (550, 20))
_TASKS_PER_STEP = 10_000
_MEMORY_STEPS = 3
_MANY_SLOTS = 64
_TENANT_COUNTS = (0, 115, 230)
_CHANGES = 10
_CHANGES_AT_ONCE = 23
_CONCURRENT_JOBS = 50


@scenarios.scenario("capacity-fleet", by_name=True)
async def fleet(options):
    """Measure idle fleets of three sizes."""
    outcome = report.Outcome("capacity-fleet", f"idle for {_IDLE_SECONDS} s, 3 entries")
    points = {}
    for workers in _FLEET_SIZES:
        shape = _observed_shape(options, workers=workers)
        points[workers] = await _measure_idle(shape)
    _add_points(outcome, points, "agents")
    return outcome


@scenarios.scenario("capacity-entries", by_name=True)
async def entries(options):
    """Measure eleven idle agents with three numbers of entries."""
    outcome = report.Outcome(
        "capacity-entries", f"idle for {_IDLE_SECONDS} s, 11 agents"
    )
    points = {}
    for count in _ENTRY_COUNTS:
        points[count] = await _measure_idle(_observed_shape(options, entries=count))
    _add_points(outcome, points, "entries")
    return outcome


@scenarios.scenario("capacity-tasks", by_name=True)
async def tasks(options):
    """Measure processor time, messages and bytes of a task by the size of its job."""
    outcome = report.Outcome(
        "capacity-tasks", "one entry, 11 agents of 64 slots, tasks of 1 ms"
    )
    shape = _observed_shape(options, entries=1, slots=_MANY_SLOTS)
    async with cluster.start(shape) as cluster_, paths.client() as session:
        await _flood(cluster_, session, 20, 100)
        for size, jobs in _JOB_SIZES:
            before = await run.snapshot(cluster_)
            begin = time.perf_counter()
            await _flood(cluster_, session, jobs, size)
            seconds = time.perf_counter() - begin
            after = await run.snapshot(cluster_)
            _add_task_costs(outcome, before, after, size, jobs)
            rate = size * jobs / seconds
            outcome.add(f"jobs of {size}: tasks", rate, "a second")
    return outcome


@scenarios.scenario("capacity-memory", by_name=True)
async def memory(options):
    """Measure how memory grows with the tasks kept in it."""
    outcome = report.Outcome(
        "capacity-memory",
        "one entry, one home, one executor, jobs of 100 tasks of 1 ms",
    )
    limits = {"window_ms": 600_000}
    shape = _observed_shape(
        options, workers=2, entries=1, slots=_MANY_SLOTS, limits=limits
    )
    async with cluster.start(shape) as cluster_, paths.client() as session:
        for step in range(_MEMORY_STEPS + 1):
            if step:
                await _flood(cluster_, session, _TASKS_PER_STEP // 100, 100)
                await asyncio.sleep(_SETTLE_SECONDS)
            resident = (await run.snapshot(cluster_))["resident_kib"]
            for name in ("entry-1", *cluster_.worker_names):
                label = f"{name} after {step * _TASKS_PER_STEP} tasks"
                outcome.add(label, resident[name] / 1024, "MiB")
    return outcome


@scenarios.scenario("capacity-changes", by_name=True)
async def changes(options):
    """Measure configuration changes at three sizes of the configuration."""
    outcome = report.Outcome(
        "capacity-changes", f"{_CHANGES} changes each, 11 agents, 3 entries"
    )
    async with cluster.start(_observed_shape(options)) as cluster_:
        quotas = 0
        for tenants in _TENANT_COUNTS:
            while quotas < tenants:
                block = range(quotas, min(tenants, quotas + _CHANGES_AT_ONCE))
                await asyncio.gather(
                    *(run.command(cluster_, _quota(number)) for number in block)
                )
                quotas = block.stop
            await _measure_changes(outcome, cluster_, tenants)
    return outcome


def _quota(number):
    return f"set quota tenant-{number} 50/s weight 3"


async def _measure_changes(outcome, cluster_, tenants):
    before = await run.snapshot(cluster_)
    latencies_ms = []
    for number in range(_CHANGES):
        begin = time.perf_counter()
        await run.command(cluster_, f"set quota changing {number + 1}/s weight 1")
        latencies_ms.append((time.perf_counter() - begin) * 1000)
    after = await run.snapshot(cluster_)
    sent = run.counts_between(before, after, "bytes")
    agents = cluster_.shape.workers
    label = f"{tenants} tenants"
    outcome.add(f"{label}: answered, p50", report.quantile(latencies_ms, 0.5), "ms")
    outcome.add(f"{label}: answered, most", max(latencies_ms), "ms", most=12_000)
    sent_kb = sent["Configuration"] / _CHANGES / agents / 1000
    outcome.add(f"{label}: configuration sent to an agent", sent_kb, "KB a change")
    used = run.processor_ms_between(before, after)
    for role in ("entry", "worker"):
        values = run.of_role(used, role)
        outcome.add(
            f"{label}: processor of each {role}",
            sum(values) / len(values) / _CHANGES,
            "ms a change",
        )
    calls = after["store"] - before["store"]
    for kind, count in calls.items():
        outcome.add(f"{label}: store {kind}", count / _CHANGES, "a change")


async def _measure_idle(shape):
    async with cluster.start(shape) as cluster_:
        await asyncio.sleep(_SETTLE_SECONDS)
        return await paths.measure_idle(cluster_, _IDLE_SECONDS)


def _add_points(outcome, points, varied):
    names = (
        ("agent_kb", "traffic of an agent", "KB/s"),
        ("agent_cpu", "processor of an agent", "% of a core"),
        ("agent_mib", "memory of an agent", "MiB"),
        ("entry_kb", "traffic of an entry", "KB/s"),
        ("entry_cpu", "processor of an entry", "% of a core"),
        ("entry_mib", "memory of an entry", "MiB"),
    )
    for name, label, unit in names:
        values = {count: figures[name] for count, figures in points.items()}
        for count, value in values.items():
            outcome.add(f"{label}, {count} {varied}", value, unit)
        outcome.add(f"{label}: slope", slope(values), f"{unit} for one of {varied}")
        outcome.series[name] = [list(values), list(values.values())]
    for count, figures in points.items():
        calls = sum(figures["store"].values())
        outcome.add(f"store calls, {count} {varied}", calls, "a second")


def slope(points):
    """Fit a line by least squares.

    Args:
      points: A mapping from x to y.

    Returns:
      A number, the slope.
    """
    mean_x = sum(points) / len(points)
    mean_y = sum(points.values()) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points.items())
    return covariance / sum((x - mean_x) ** 2 for x in points)


def _add_task_costs(outcome, before, after, size, jobs):
    used = run.processor_ms_between(before, after)
    count = size * jobs
    label = f"jobs of {size}"
    workers = sorted(run.of_role(used, "worker"), reverse=True)
    entry_us = used["entry-1"] * 1000 / count
    outcome.add(f"{label}: processor, entry", entry_us, "us a task")
    home_us = workers[0] * 1000 / count
    outcome.add(f"{label}: processor, home", home_us, "us a task")
    # Executors share the tasks.
    executors_us = sum(workers[1:]) * 1000 / count
    outcome.add(f"{label}: processor, executors", executors_us, "us a task")
    sent = sum(run.counts_between(before, after, "bytes").values())
    outcome.add(f"{label}: streams", sent / count, "bytes a task")
    messages = sum(run.counts_between(before, after, "messages").values())
    outcome.add(f"{label}: messages", messages / count, "a task")


async def _flood(cluster_, session, jobs, size):
    """Run jobs, at most _CONCURRENT_JOBS at a time."""
    tickets = []
    while len(tickets) < jobs:
        block = min(1000, jobs - len(tickets))
        tickets += await paths.take_tickets(cluster_, session, block)
    limit = asyncio.Semaphore(_CONCURRENT_JOBS)

    async def run_one(ticket):
        async with limit:
            await paths.submit(cluster_, session, ticket, size, 1, False)

    await asyncio.gather(*(run_one(ticket) for ticket in tickets))


def _observed_shape(options, **changes):
    return dataclasses.replace(options.shape, program=run.OBSERVED, **changes)
