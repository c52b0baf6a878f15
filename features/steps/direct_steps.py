"""Steps for direct jobs on a simulated site in virtual time."""

import asyncio
import random

from behave import given, then, when
from features import direct_mutants, direct_situations

from jujubeglade.direct import job
from jujubeglade.fakes import direct_site, virtual

_CLIENT_TIMEOUT_MS = 5000
_RESUBMIT_DELAY_MS = 1300


@given("a site of {entries:d} entries and {workers:d} workers of {cores:d} cores")
def step_site(context, entries, workers, cores):
    _open_site(context, entries, workers, cores, 1)


@given(
    "a site of {entries:d} entries and {workers:d} workers of {cores:d} cores "
    "with seed {seed:d}"
)
def step_seeded_site(context, entries, workers, cores, seed):
    _open_site(context, entries, workers, cores, seed)


@given('the rule "{rule}" is left out')
def step_mutant(context, rule):
    context.closers.append(direct_mutants.leave_out(rule))


@given("worker {index:d} fails all its tasks")
def step_failing(context, index):
    context.site.nodes[index].worker.failure_share = 1.0


@given("tasks on worker {index:d} take {factor:d} times as long")
def step_slow(context, index, factor):
    context.site.nodes[index].worker.slowdown = factor


@when(
    "jobs of {count:d} tasks of {cores:d} cores for {ms:d} ms arrive every "
    "{gap_ms:d} ms for {seconds:d} s"
)
def step_load(context, count, cores, ms, gap_ms, seconds):
    context.runner.run(_load(context, (count, cores, ms), gap_ms, seconds))


@then("at least {share:d} % of the jobs are completed within their objective")
def step_in_time(context, share):
    outcomes = [
        context.runner.run(_outcome(context, i)) for i in range(len(context.jobs))
    ]
    timely = 0
    for (submission, _), (outcome, took_ms) in zip(context.jobs, outcomes, strict=True):
        objective_ms = direct_site.ROUTE.objective_ms(submission.steps[0].estimate_ms)
        timely += outcome.state is job.State.COMPLETED and took_ms <= objective_ms
    assert timely >= len(outcomes) * share / 100, f"{timely} of {len(outcomes)}"


@then("at least {share:d} % of the refusals arrive within {ms:d} ms")
def step_refusals(context, share, ms):
    outcomes = [
        context.runner.run(_outcome(context, i)) for i in range(len(context.jobs))
    ]
    refused = [
        took_ms for outcome, took_ms in outcomes if outcome.state is job.State.REFUSED
    ]
    early = sum(took_ms <= ms for took_ms in refused)
    assert refused
    assert early >= len(refused) * share / 100, f"{early} of {len(refused)}"


@given("all workers leave {share:d} % of the starts unanswered and execute them late")
def step_losing(context, share):
    for node in context.site.nodes:
        node.worker.late_start_share = share / 100
        node.worker.lost_poll_share = share / 500
        node.worker.lost_stop_share = share / 100


@when("entry {entry:d} gets a job of {count:d} tasks of {cores:d} cores for {ms:d} ms")
def step_job(context, entry, count, cores, ms):
    context.runner.run(_submit(context, entry, 1, (count, cores, ms)))


@when(
    "each entry gets {jobs:d} jobs of {count:d} tasks of {cores:d} cores for {ms:d} ms,"
    " whose clients wait {timeout_ms:d} ms"
)
def step_each_entry(context, jobs, count, cores, ms, timeout_ms):
    for entry in range(len(context.site.entries)):
        context.runner.run(
            _submit(context, entry, jobs, (count, cores, ms), timeout_ms)
        )


@when(
    "entry {entry:d} gets {jobs:d} jobs of {count:d} tasks of {cores:d} cores "
    "for {ms:d} ms at once"
)
def step_burst(context, entry, jobs, count, cores, ms):
    context.runner.run(_submit(context, entry, jobs, (count, cores, ms)))


@when("the client of job {index:d} disconnects after {ms:d} ms")
def step_disconnect(context, index, ms):
    context.runner.run(_disconnect(context, index, ms))


@when("the client of job {index:d} resubmits it at once")
def step_resubmit(context, index):
    context.runner.run(_resubmit(context, index))


@when("worker {index:d} crashes after {ms:d} ms")
def step_crash(context, index, ms):
    context.runner.run(_crash(context, index, ms))


@when('the situation that depends on "{rule}" occurs')
def step_situation(context, rule):
    context.runner.run(direct_situations.find(rule)(context.site))


@when(
    "random jobs arrive for {seconds:d} s while agents, entries and workers are "
    "restarted"
)
def step_chaos(context, seconds):
    context.runner.run(_chaos(context.site, context.seed, seconds))


@then("job {index:d} is {state} within {ms:d} ms")
def step_state(context, index, state, ms):
    outcome, took_ms = context.runner.run(_outcome(context, index))
    assert str(outcome.state) == state, outcome
    assert took_ms <= ms, f"{took_ms} ms"


@then("all jobs are completed")
def step_all_completed(context):
    for index in range(len(context.jobs)):
        outcome, _ = context.runner.run(_outcome(context, index))
        assert outcome.state is job.State.COMPLETED, outcome


@then("some jobs are refused at once with a retry time")
def step_refused(context):
    outcomes = [
        context.runner.run(_outcome(context, i)) for i in range(len(context.jobs))
    ]
    refused = [pair for pair in outcomes if pair[0].state is job.State.REFUSED]
    assert refused
    assert any(took_ms < 50 and outcome.retry_after_ms for outcome, took_ms in refused)


@then("no refused job has started")
def step_refused_not_started(context):
    started = {task.job_id for task in context.site.witness.running}
    for index, (submission, _) in enumerate(context.jobs):
        outcome, _ = context.runner.run(_outcome(context, index))
        if outcome.state is job.State.REFUSED:
            assert submission.job_id not in started, submission.job_id


@then("no task runs {ms:d} ms later")
def step_no_task_runs(context, ms):
    context.runner.run(asyncio.sleep(ms / 1000))
    assert not any(node.worker.running for node in context.site.nodes)


@then("some worker recorded a violation")
def step_violations(context):
    assert context.site.witness.violations


@then("no worker recorded a violation")
def step_no_violations(context):
    assert not context.site.witness.violations, context.site.witness.violations[:5]


def _open_site(context, entries, workers, cores, seed):
    context.runner = asyncio.Runner(loop_factory=virtual.VirtualLoop)
    context.seed = seed
    context.jobs = []
    zones = tuple(f"zone-{index}" for index in range(entries))
    context.site = context.runner.run(
        direct_site.open_site(zones, workers, cores * 1000, seed)
    )
    context.closers = [*getattr(context, "closers", ()), context.runner.close]


async def _submit(context, entry, jobs, shape, timeout_ms=_CLIENT_TIMEOUT_MS):
    count, cores, run_ms = shape
    _, dispatcher = context.site.entries[entry]
    for _ in range(jobs):
        submission = context.site.submission(count, cores * 1000, run_ms, timeout_ms)
        answer_task = asyncio.create_task(_timed(context, dispatcher, submission))
        context.jobs.append((submission, answer_task))
    await asyncio.sleep(0)


async def _resubmit(context, index):
    submission, _ = context.jobs[index]
    _, dispatcher = context.site.entries[0]
    answer_task = asyncio.create_task(_timed(context, dispatcher, submission))
    context.jobs.append((submission, answer_task))
    await asyncio.sleep(0)


async def _load(context, shape, gap_ms, seconds):
    """Submit jobs at a fixed interval, to the entries in turn."""
    for number in range(seconds * 1000 // gap_ms):
        entry = number % len(context.site.entries)
        await _submit(context, entry, 1, shape)
        await asyncio.sleep(gap_ms / 1000)


async def _timed(context, dispatcher, submission):
    started_ms = context.site.clock.now_ms()
    outcome = await dispatcher.submit(submission, direct_site.ROUTE)
    return outcome, context.site.clock.now_ms() - started_ms


async def _outcome(context, index):
    return await context.jobs[index][1]


async def _disconnect(context, index, ms):
    await asyncio.sleep(ms / 1000)
    context.jobs[index][1].cancel()
    await asyncio.sleep(0)


async def _crash(context, index, ms):
    await asyncio.sleep(ms / 1000)
    context.site.nodes[index].worker.crash()


async def _chaos(site, seed, seconds):
    """Run clients that resubmit while agents, workers and entries restart."""
    rng = random.Random(seed)
    end_ms = site.clock.now_ms() + seconds * 1000
    clients = set()
    while site.clock.now_ms() < end_ms:
        await asyncio.sleep(rng.uniform(0.05, 0.3))
        run_ms = rng.choice((rng.uniform(50, 900), 2500))
        submission = site.submission(rng.randint(1, 6), 4000, run_ms)
        clients.add(asyncio.create_task(_client(site, rng, submission)))
        if rng.random() < 0.05:
            await site.restart_node(rng.randrange(len(site.nodes)))
        if rng.random() < 0.04:
            rng.choice(site.nodes).worker.crash()
        if rng.random() < 0.04:
            await _replace_entry(site, rng)
    await asyncio.wait(clients)


async def _replace_entry(site, rng):
    """Kill an entry with all its jobs and start another in its zone."""
    index = rng.randrange(len(site.entries))
    identity, _ = site.entries[index]
    site.lose_entry(index)
    site.add_entry(identity.zone)


async def _client(site, rng, submission):
    """Submit up to four times, until an answer has the job's outcome."""
    for _ in range(4):
        identity, entry = rng.choice(site.entries)
        answer = asyncio.ensure_future(entry.submit(submission, direct_site.ROUTE))
        killed = asyncio.ensure_future(site.killed[identity.incarnation].wait())
        timeout_s = submission.timeout_ms / 1000
        await asyncio.wait(
            (answer, killed), timeout=timeout_s, return_when="FIRST_COMPLETED"
        )
        killed.cancel()
        # A killed entry can't answer, and it does not notice that its client leaves, so
        # the submission is not cancelled.
        outcome = answer.result() if answer.done() else None
        if outcome is not None and outcome.state is not job.State.UNFINISHED:
            return
        await asyncio.sleep(_RESUBMIT_DELAY_MS / 1000)
