"""Steps for tasks and the racks of their data, on simulated sites in virtual time."""

import asyncio
import dataclasses
import types
from unittest import mock

from behave import given, then, when

from jujubeglade.bench import counter_load, counters
from jujubeglade.core import metrics
from jujubeglade.direct import (
    contract,
    health,
    job,
    locality,
    options,
    placement,
    policy,
    route,
)
from jujubeglade.fakes import direct_site, virtual

_SEED = 1
#: Four workers in two racks, each with room for two tasks.
_WORKER_CPU = 8_000
_TASK_CPU = 4_000
_TASKS_OF_RACK = 4
_TIMEOUT_MS = 5000


def _rack_name(index):
    return f"rack-{index}"


@given("entries that expect a remote penalty of {penalty:g}")
def step_penalty(context, penalty):
    context.options = options.Options(0, penalty)


@when("the counters' load runs for {seconds:d} s and urgent jobs need three racks")
def step_load(context, seconds):
    fleet = counters.FLEETS["competing-racks"]
    load = counter_load.Load(
        fleet.task_cpu, seconds, 1.1 * fleet.share, racks=fleet.racks
    )
    with asyncio.Runner(loop_factory=virtual.VirtualLoop) as runner:
        answers, violations = runner.run(
            counters.play(fleet, load, _SEED, context.options)
        )
    urgent = [answer for answer in answers if answer.kind.priority == 0]
    context.share = counter_load.tally(urgent).in_time * 100
    context.site = types.SimpleNamespace(
        witness=types.SimpleNamespace(violations=violations)
    )


@then("at least {share:d} % of the urgent jobs are in time")
def step_least(context, share):
    assert context.share >= share, context.share


@then("at most {share:d} % of the urgent jobs are in time")
def step_most(context, share):
    assert context.share <= share, context.share


@given("a task of 100 ms that has {slack:g} ms left")
def step_slack(context, slack):
    context.slack_ms = slack


@when("it is expected to take {inside:g} ms in its rack and {outside:g} ms elsewhere")
def step_expected(context, inside, outside):
    wait = locality.Wait(context.slack_ms, inside, outside)
    context.waits = policy.find("locality", "in_time")(wait)
    assert not policy.find("locality", "never_wait")(wait)


@then("it waits")
def step_waits(context):
    assert context.waits


@then("it runs elsewhere")
def step_elsewhere(context):
    assert not context.waits


@when(
    "jobs ask for {cores:g} cores of a rack for {seconds:g} s, which ended "
    "{passed:g} s ago"
)
def step_ask(context, cores, seconds, passed):
    demand = locality.Demand()
    for at_ms in range(0, int(seconds * 1000), 100):
        demand = demand.plus(cores * 1000 * 100, at_ms)
    context.demand = demand.cpu((seconds + passed) * 1000)


@then("its demand is between {least:g} and {most:g} cores")
def step_demand(context, least, most):
    assert least <= context.demand / 1000 <= most, context.demand


@given("a site of two racks with a remote penalty of {penalty:d}")
def step_site(context, penalty):
    context.runner = asyncio.Runner(loop_factory=virtual.VirtualLoop)
    context.closers = [*getattr(context, "closers", ()), context.runner.close]
    context.calls = []
    context.site = context.runner.run(_open_site(penalty))


async def _open_site(penalty):
    site = await direct_site.open_site(
        ("zone-0",), 0, 0, _SEED, options.Options(0, penalty)
    )
    for index in range(4):
        node = await site.add_node(f"zone-{index // 2}", _WORKER_CPU)
        node.worker.labels = (_rack_name(index // 2),)
        node.worker.remote_penalty = 3.0
        node.worker.report()
    await asyncio.sleep(1.1)
    return site


def _nodes(context, rack):
    return [
        node for node in context.site.nodes if _rack_name(rack) in node.worker.labels
    ]


@when("rack {rack:d} is full for {ms:d} ms")
def step_full(context, rack, ms):
    context.runner.run(_submit(context, _TASKS_OF_RACK // 2, ms, rack, 2 * _TASK_CPU))


@when(
    "one worker of rack {rack:d} is full for {ms:d} ms and the other for {more_ms:d} ms"
)
def step_full_in_turn(context, rack, ms, more_ms):
    context.runner.run(_submit(context, 1, ms, rack, 2 * _TASK_CPU))
    context.first_free = _workers_of(context, context.submission)
    context.runner.run(_submit(context, 1, more_ms, rack, 2 * _TASK_CPU))


@when("its first task failed on the worker that is free first")
def step_failed_on(context):
    _, entry = context.site.entries[-1]
    task = _owned_job(entry, context.submission).ready[0]
    task.failed_on.update(worker.identity.incarnation for worker in context.first_free)


@when("other jobs then fill rack {rack:d} for {ms:d} ms")
def step_fill(context, rack, ms):
    before = context.calls[-1]
    context.runner.run(_submit(context, _TASKS_OF_RACK // 2, ms, None, 2 * _TASK_CPU))
    context.calls.append(before)
    racks = {worker.room.labels for worker in _workers_of(context, context.submission)}
    assert racks == {(_rack_name(rack),)}, racks


@when("the site runs on for {ms:d} ms")
def step_pass(context, ms):
    context.runner.run(asyncio.sleep(ms / 1000))


@given("the workers of rack {rack:d} are known to take half as long")
def step_fast(context, rack):
    _, entry = context.site.entries[-1]
    for worker in entry.fleet:
        if _rack_name(rack) in worker.room.labels:
            for _ in range(50):
                worker.health.note_done(50, 100, context.site.clock.now_ms())


@when("a job of {count:d} tasks of {ms:d} ms needs rack {rack:d}")
def step_job(context, count, ms, rack):
    context.runner.run(_submit(context, count, ms, rack))


@when("a job of {count:d} tasks of {ms:d} ms needs no rack")
def step_job_anywhere(context, count, ms):
    context.runner.run(_submit(context, count, ms, None))


@when(
    "a job of {count:d} tasks of {ms:d} ms of a route with slack factor {slack:g} "
    "needs no rack"
)
def step_job_of_route(context, count, ms, slack):
    asked = dataclasses.replace(direct_site.ROUTE, slack_factor=slack)
    context.runner.run(_submit(context, count, ms, None, asked=asked))


@when("{jobs:d} jobs of {count:d} tasks of {ms:d} ms need rack {rack:d}")
def step_jobs(context, jobs, count, ms, rack):
    for _ in range(jobs):
        context.runner.run(_submit(context, count, ms, rack))


@when("{jobs:d} jobs in turn of {count:d} tasks of {ms:d} ms need rack {rack:d}")
def step_jobs_in_turn(context, jobs, count, ms, rack):
    for _ in range(jobs):
        context.runner.run(_submit(context, count, ms, rack))
        context.runner.run(_last_outcome(context))


async def _submit(context, count, ms, rack, cpu=_TASK_CPU, asked=direct_site.ROUTE):
    submission = context.site.submission(count, cpu, ms, _TIMEOUT_MS)
    if rack is not None:
        name = _rack_name(rack)
        steps = tuple(dataclasses.replace(step, rack=name) for step in submission.steps)
        submission = dataclasses.replace(
            submission, steps=steps, spec=f"{submission.spec} {name}"
        )
    _, entry = context.site.entries[-1]
    context.calls.append(asyncio.create_task(_timed(context, entry, submission, asked)))
    context.submission = submission
    await asyncio.sleep(0.005)


async def _timed(context, entry, submission, asked):
    begin_ms = context.site.clock.now_ms()
    outcome = await entry.submit(submission, asked)
    return outcome, context.site.clock.now_ms() - begin_ms


async def _last_outcome(context):
    return await context.calls[-1]


@when("{ms:d} ms later the workers of rack {rack:d} drain")
def step_drain(context, ms, rack):
    context.runner.run(_drain(ms, _nodes(context, rack)))


async def _drain(ms, nodes):
    await asyncio.sleep(ms / 1000)
    for node in nodes:
        node.worker.draining = True
        node.worker.report()


@when("{ms:d} ms later the links of rack {rack:d} break")
def step_break(context, ms, rack):
    context.runner.run(_break(context, ms, _nodes(context, rack)))


@when("{ms:d} ms later the links of all racks break for {gap_ms:d} ms")
def step_break_all(context, ms, gap_ms):
    context.runner.run(_break(context, ms, context.site.nodes))
    context.runner.run(asyncio.sleep(gap_ms / 1000))
    identity, entry = context.site.entries[-1]
    context.runner.run(_connect_all(context.site, identity, entry))


async def _break(context, ms, nodes):
    await asyncio.sleep(ms / 1000)
    for node in nodes:
        for owner in node.owners.values():
            owner.link.abort()
    await asyncio.sleep(0)


async def _connect_all(site, identity, entry):
    for node in site.nodes:
        site.connect(node, identity, entry)
    await asyncio.sleep(0.5)


@when("{ms:d} ms later the zone of rack {rack:d} is evacuated")
def step_evacuate(context, ms, rack):
    context.runner.run(asyncio.sleep(ms / 1000))
    zones = (f"zone-{rack}",)
    context.site.cluster_state.offer(route.Evacuations(1, zones), "store")


@when("{ms:d} ms later the workers of rack {rack:d} shrink to {cores:d} core")
def step_shrink(context, ms, rack, cores):
    context.runner.run(_shrink(ms, _nodes(context, rack), cores))


async def _shrink(ms, nodes, cores):
    await asyncio.sleep(ms / 1000)
    for node in nodes:
        node.worker.total = job.Resources(cores * 1000, 1 << 20, 0)
        node.worker.report()


@given("the entry has lost the list of entries")
def step_no_members(context):
    revision = context.site.cluster_state.members.revision + 1
    context.site.cluster_state.offer(contract.Members(revision, ()), "store")


@when("the entry restarts")
def step_restart(context):
    context.runner.run(_restart(context.site))


async def _restart(site):
    site.lose_entry(0)
    site.add_entry("zone-0")
    await asyncio.sleep(1.1)


@then("it is {state} within {ms:d} ms")
def step_state(context, state, ms):
    outcome, took_ms = context.runner.run(_last_outcome(context))
    assert str(outcome.state) == state, outcome
    assert took_ms <= ms, took_ms


@then("it runs in rack {rack:d}")
def step_runs_in(context, rack):
    workers = _workers_of(context, context.submission)
    racks = [worker.room.labels for worker in workers]
    assert racks == [(_rack_name(rack),)], racks


def _workers_of(context, submission):
    """List the workers that run the tasks of a job, one for each task."""
    _, entry = context.site.entries[-1]
    return [
        worker
        for worker in entry.fleet
        for task in worker.assigned_tasks
        if task.job_id == submission.job_id
    ]


def _owned_job(entry, submission):
    return entry._jobs[submission.job_id]


@then("{inside:d} attempts were sent inside and {outside:d} outside of their rack")
def step_counted(context, inside, outside):
    context.runner.run(_last_outcome(context))
    identity, _ = context.site.entries[-1]
    rendered = context.site.metrics[identity.incarnation].render()[0].decode()
    for place, count in (("inside", inside), ("outside", outside)):
        line = f'jujubeglade_{metrics.Counter.PLACED}_total{{rack="{place}"}} {count}'
        assert (line in rendered) == (count > 0), rendered


@then("it was logged once for each task")
def step_logged_once(context):
    tasks = [
        str(record.kwargs["task"])
        for record in context.log_records
        if record.msg == "attempt held back for its rack"
    ]
    assert len(tasks) == len(set(tasks)) > 0, tasks


@then("no worker looks slower than {most:g} times the usual")
def step_not_slower(context, most):
    _, entry = context.site.entries[-1]
    now_ms = context.site.clock.now_ms()
    slowdowns = [worker.health.slowdown(now_ms) for worker in entry.fleet]
    assert max(slowdowns) <= most, slowdowns


@then("no worker looks faster than {least:g} times the usual")
def step_not_faster(context, least):
    _, entry = context.site.entries[-1]
    now_ms = context.site.clock.now_ms()
    slowdowns = [worker.health.slowdown(now_ms) for worker in entry.fleet]
    assert min(slowdowns) >= least, slowdowns


@then("a load with racks gets the same workers as with the decisions before")
def step_as_before(context):
    now = _sent(options.NO_OPTIONS, policy.find)
    before = {"placement": "fast_first", "locality": "never_wait"}
    find = policy.find
    then_ = _sent(
        options.NO_OPTIONS,
        lambda decision, name: find(decision, before.get(decision, name)),
    )
    assert now == then_ and len(now) > 1000, len(now)
    # The comparison can fail: with the penalty, other workers are chosen.
    assert now != _sent(options.Options(0, 3.0), find)


def _sent(asked, find):
    """Play a load; return the names and the workers of the attempts in their order."""
    sent = []
    fleet = counters.FLEETS["competing-racks"]
    load = counter_load.Load(fleet.task_cpu, 2, 1.1 * fleet.share, racks=fleet.racks)
    begin = direct_site.dispatcher.fleet.Worker.begin

    def recorded(worker, task, left_ms):
        sent.append((str(task.name), task.run, worker.identity.name, left_ms))
        begin(worker, task, left_ms)

    with (
        mock.patch.object(policy, "find", find),
        mock.patch.object(direct_site.dispatcher.fleet.Worker, "begin", recorded),
        asyncio.Runner(loop_factory=virtual.VirtualLoop) as runner,
    ):
        runner.run(counters.play(fleet, load, _SEED, asked))
    return sent


@given("{count:d} equally free workers")
def step_equal(context, count):
    context.workers = [_worker(index, 16_000 + index) for index in range(count)]


@given("{count:d} equally free workers, one of which has twice the room")
def step_one_larger(context, count):
    context.workers = [_worker(index, 16_000 + index) for index in range(count)]
    context.workers[3] = _worker(3, 32_000)


def _worker(index, cpu):
    return types.SimpleNamespace(
        identity=types.SimpleNamespace(name=f"worker-{index}"),
        room=types.SimpleNamespace(labels=()),
        free=job.Resources(cpu, 1, 0),
        zone="zone-0",
        health=health.new_health(),
    )


@then("{entries:d} entries that coordinate choose at least {count:d} of them")
def step_spread(context, entries, count):
    assert len(_chosen(context, [f"entry-{i}" for i in range(entries)])) >= count


@then("{entries:d} entries that coordinate choose 1 of them")
def step_larger(context, entries):
    assert _chosen(context, [f"entry-{i}" for i in range(entries)]) == {"worker-3"}


@then("{entries:d} entries that do not coordinate choose 1 of them")
def step_not_spread(context, entries):
    assert len(_chosen(context, [""] * entries)) == 1


def _chosen(context, entries):
    place = policy.find("placement", "wanted_racks")
    needs = job.Resources(_TASK_CPU // 2, 1, 0)
    return {
        place(
            context.workers,
            placement.Request("parts", needs, "", "", "zone-0", spread_as=entry),
            0.0,
        ).identity.name
        for entry in entries
    }
