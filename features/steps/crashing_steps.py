"""Steps for tasks that crash their workers, and for workers that shrink."""

import asyncio
import functools

from behave import given, then, when

from jujubeglade.direct import contract, job, report_cache, suspicion, worker
from jujubeglade.fakes import direct_site

_POLL_S = 0.02
#: How long a task has run when its worker falls silent or leaves.
_RUNNING_S = 0.5
_TIMES = {"three": 3, "six": 6}
#: Longer than a report is relied on.
_AGENT_DOWN_S = 4.5
#: Above those of all reports of a scenario.
_LATEST_SEQUENCE = 1000


@given("task {index:d} of job {number:d} crashes each worker that starts it")
def step_crashing(context, index, number):
    _set_crashing(context, index, number, 10)


@given(
    "task {index:d} of job {number:d} crashes each worker before its start is answered"
)
def step_crashing_at_once(context, index, number):
    _set_crashing(context, index, number, 0)


@given("worker {index:d} takes {ms:d} ms to stop a task")
def step_slow_stop(context, index, ms):
    context.site.nodes[index].worker.stop_ms = ms


@when(
    "entry {entry:d} gets {jobs:d} jobs of {count:d} tasks of {cores:d} cores for "
    "{ms:d} ms, whose clients wait {timeout_ms:d} ms"
)
def step_patient_jobs(context, entry, jobs, count, cores, ms, timeout_ms):
    context.runner.run(_submit(context, entry, jobs, (count, cores, ms), timeout_ms))


@when("entry {index:d} is killed after {ms:d} ms, and its client submits job 0 again")
def step_kill_entry(context, index, ms):
    context.runner.run(_kill_entry(context, index, ms))


@when(
    "all entries are replaced after {ms:d} ms, and the client of job 0 submits it again"
)
def step_replace_entries(context, ms):
    context.runner.run(_replace_entries(context, ms))


@when("two crashes under a done task of job {number:d} are proved after {ms:d} ms")
def step_late_proof(context, number, ms):
    context.runner.run(_prove_late(context, number, ms))


@when("each agent whose worker has crashed is restarted, for {ms:d} ms")
def step_restart_agents(context, ms):
    context.runner.run(_restart_agents(context.site, ms))


@when("each worker that runs a task falls silent for {ms:d} ms, {times:w} times")
def step_fall_silent(context, ms, times):
    fault = functools.partial(_fall_silent, ms=ms)
    context.runner.run(_for_each_start(context, _TIMES[times], fault, _RUNNING_S))


@when("each worker that starts a task falls silent for {ms:d} ms, {times:w} times")
def step_fall_silent_at_once(context, ms, times):
    fault = functools.partial(_fall_silent, ms=ms)
    context.runner.run(_for_each_start(context, _TIMES[times], fault, 0))


@when("each worker that runs a task leaves and is replaced, three times")
def step_leave(context):
    context.runner.run(_for_each_start(context, 3, _leave, _RUNNING_S))


@when("worker {index:d} grows to {cores:d} cores")
def step_grow(context, index, cores):
    context.runner.run(_resize(context.site.nodes[index].worker, cores))


@when("the reports of worker {index:d} are lost and it shrinks to {cores:d} cores")
def step_shrink_unheard(context, index, cores):
    context.site.nodes[index].worker.loses_reports = True
    context.runner.run(_resize(context.site.nodes[index].worker, cores))


@when(
    "worker {index:d} shrinks to {cores:d} cores while its agent is down and the store "
    "keeps the old report"
)
def step_shrink_unstored(context, index, cores):
    context.runner.run(_restart_with_old_copy(context.site, index, cores))


@when(
    "worker {index:d} shrinks to {cores:d} cores, and its report of before arrives "
    "{ms:d} ms late"
)
def step_delayed_report(context, index, cores, ms):
    node = context.site.nodes[index]
    context.runner.run(_delay_report(node, cores, ms))


@given('the crashes "{texts}"')
def step_crashes_heard(context, texts):
    context.crashes = [
        _crash(f"crash-{number}", text.split())
        for number, text in enumerate(texts.split(";"))
    ]
    context.suspicions = suspicion.new_suspicions()
    _hear(context)


@given("the same crashes again")
def step_crashes_again(context):
    _hear(context)


@then("task T is given up")
def step_hopeless(context):
    assert context.suspicions.find(_named("T")).is_hopeless


@then("task T is not given up")
def step_not_hopeless(context):
    assert not context.suspicions.find(_named("T")).is_hopeless


@then("workers have crashed {count:d} times under task T")
def step_crash_count(context, count):
    assert context.suspicions.find(_named("T")).crashes == count


@then("task {index:d} of job {number:d} has crashed at most {most:d} workers")
def step_crashes(context, index, number, most):
    crashes = context.site.witness.crashes[_task(index, number)]
    assert 1 <= crashes <= most, crashes


@then("the jobs {first:d} to {last:d} are completed")
def step_jobs_completed(context, first, last):
    for number in range(first, last + 1):
        outcome, _ = context.runner.run(_outcome(context, number))
        assert outcome.state is job.State.COMPLETED, (number, outcome)


def _hear(context):
    for crash in context.crashes:
        context.suspicions.note(crash)


def _crash(name, tasks):
    """Make a Crash; see the examples of the feature for how its tasks are written."""
    return contract.Crash(
        name,
        tuple(_named(task) for task in tasks),
        tuple(_named(task) for task in tasks if not task.endswith("+")),
        tuple(_named(task) for task in tasks if task.endswith("!")),
    )


def _named(text):
    return job.TaskName(text.rstrip("+!"), 0, 0)


def _task(index, number):
    """Return the name of a task; a site counts its jobs from 1."""
    return job.TaskName(f"{number + 1:016x}", 0, index)


def _set_crashing(context, index, number, delay_ms):
    for node in context.site.nodes:
        node.worker.crashing_tasks = frozenset({_task(index, number)})
        node.worker.crash_delay_ms = delay_ms


async def _outcome(context, number):
    return await context.jobs[number][1]


async def _submit(context, entry, jobs, shape, timeout_ms):
    count, cores, run_ms = shape
    for _ in range(jobs):
        submission = context.site.submission(count, cores * 1000, run_ms, timeout_ms)
        _submit_to(context, entry, submission)
    await asyncio.sleep(0)


def _submit_to(context, entry, submission):
    _, dispatcher = context.site.entries[entry]
    answer_task = asyncio.create_task(_timed(context, dispatcher, submission))
    context.jobs.append((submission, answer_task))


async def _timed(context, dispatcher, submission):
    started_ms = context.site.clock.now_ms()
    outcome = await dispatcher.submit(submission, direct_site.ROUTE)
    return outcome, context.site.clock.now_ms() - started_ms


async def _kill_entry(context, index, ms):
    await asyncio.sleep(ms / 1000)
    context.site.lose_entry(index)
    await _submit_again(context)


async def _replace_entries(context, ms):
    await asyncio.sleep(ms / 1000)
    zones = [identity.zone for identity, _ in context.site.entries]
    for zone in zones:
        context.site.lose_entry(0)
        context.site.add_entry(zone)
    await _submit_again(context)


async def _submit_again(context):
    await asyncio.sleep(direct_site.RESUBMIT_DELAY_MS / 1000)
    submission, _ = context.jobs[0]
    _submit_to(context, 0, submission)
    await asyncio.sleep(0)


async def _restart_agents(site, ms):
    end_ms = site.clock.now_ms() + ms
    restarted = set()
    while site.clock.now_ms() < end_ms:
        await asyncio.sleep(_POLL_S)
        for index, node in enumerate(site.nodes):
            if not node.worker.silent:
                restarted.discard(index)
            elif index not in restarted:
                restarted.add(index)
                await site.restart_node(index)


async def _for_each_start(context, times, fault, delay_s):
    """Play a fault on each worker that runs a task, once it has run for some time."""
    workers = [node.worker for node in context.site.nodes]
    _, answer = context.jobs[0]
    for _ in range(times):
        while not any(worker.running for worker in workers):
            if answer.done():
                return
            await asyncio.sleep(_POLL_S)
        await asyncio.sleep(delay_s)
        busy = next(worker for worker in workers if worker.running)
        asyncio.get_running_loop().create_task(fault(busy))
        while busy.running:
            await asyncio.sleep(_POLL_S)


async def _fall_silent(simulated, ms):
    simulated.silent = True
    await asyncio.sleep(ms / 1000)
    simulated.silent = False


async def _leave(simulated):
    """Drain, leave while a task runs, and be back as another incarnation."""
    simulated.draining = True
    simulated.report()
    await asyncio.sleep(0.1)
    simulated.leave()
    simulated.silent = True
    await asyncio.sleep(0.5)
    simulated.draining = False
    simulated.silent = False
    simulated.report()


async def _resize(simulated, cores):
    simulated.resize(cores * 1000)
    await asyncio.sleep(0)


async def _restart_with_old_copy(site, index, cores):
    """Restart an agent that gets its worker's last report from the store only."""
    simulated = site.nodes[index].worker
    report = _report(simulated, report_cache.STORED_SEQUENCE)
    simulated.loses_reports = True
    simulated.resize(cores * 1000)
    await site.lose_agent(index)
    await asyncio.sleep(_AGENT_DOWN_S)
    await site.restart_node(index)
    site.nodes[index].runner.on_report(report)
    await asyncio.sleep(0.5)


async def _delay_report(node, cores, ms):
    """Deliver a report that a worker made before it shrank."""
    report = _report(node.worker, _LATEST_SEQUENCE)
    node.worker.loses_reports = True
    node.worker.resize(cores * 1000)
    await asyncio.sleep(ms / 1000)
    node.runner.on_report(report)
    await asyncio.sleep(0.1)


def _report(simulated, sequence):
    """Make the report that a worker would send now."""
    return worker.Report(
        simulated.instance,
        sequence,
        simulated.service,
        simulated.labels,
        simulated.total,
        False,
        simulated.clock_ms,
    )


async def _prove_late(context, number, ms):
    """Tell the entry of crashes under a task of a job that has ended as done."""
    await asyncio.sleep(ms / 1000)
    done = next(
        task
        for task in context.site.witness.done
        if task.job_id == context.jobs[number][0].job_id
    )
    told = (
        contract.Crash("w/1", (done,), (done,), ()),
        contract.Crash("w/2", (done,), (done,), (done,)),
    )
    node = context.site.nodes[0]
    node.announcer.send_to_all(contract.Crashes(told))
    await asyncio.sleep(0)
