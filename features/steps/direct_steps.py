"""Steps for direct jobs on a site in virtual time."""

import asyncio
import random

from behave import given, then, when
from features import direct_mutants, direct_situations

from jujubeglade.direct import job
from jujubeglade.fakes import direct_site, virtual

_PATIENCE_MS = 5000
_RESEND_MS = 1300


@given("a site of {entries:d} entries and {workers:d} workers of {cores:d} cores")
def step_site(context, entries, workers, cores):
    _open(context, entries, workers, cores, 1)


@given(
    "a site of {entries:d} entries and {workers:d} workers of {cores:d} cores "
    "with seed {seed:d}"
)
def step_seeded_site(context, entries, workers, cores, seed):
    _open(context, entries, workers, cores, seed)


@given('the rule "{rule}" is left out')
def step_mutant(context, rule):
    context.closers.append(direct_mutants.leave_out(rule))


@given("worker {index:d} fails all its tasks")
def step_failing(context, index):
    context.site.nodes[index].worker.failing = 1.0


@given("tasks on worker {index:d} take {factor:d} times as long")
def step_slow(context, index, factor):
    context.site.nodes[index].worker.slowness = factor


@when(
    "jobs of {count:d} tasks of {cores:d} cores for {ms:d} ms come each {gap:d} ms "
    "for {seconds:d} s"
)
def step_load(context, count, cores, ms, gap, seconds):
    context.runner.run(_load(context, (count, cores, ms), gap, seconds))


@then("{share:d} % of the jobs are completed within their objective")
def step_in_time(context, share):
    ended = [context.runner.run(_outcome(context, i)) for i in range(len(context.jobs))]
    timely = 0
    for (submission, _), (outcome, took_ms) in zip(context.jobs, ended, strict=True):
        objective_ms = direct_site.ROUTE.objective_ms(submission.steps[0].estimate_ms)
        timely += outcome.state is job.State.COMPLETED and took_ms <= objective_ms
    assert timely >= len(ended) * share / 100, f"{timely} of {len(ended)}"


@then("{share:d} % of the refusals come within {ms:d} ms")
def step_refusals(context, share, ms):
    ended = [context.runner.run(_outcome(context, i)) for i in range(len(context.jobs))]
    refused = [took for outcome, took in ended if outcome.state is job.State.REFUSED]
    early = sum(took <= ms for took in refused)
    assert refused
    assert early >= len(refused) * share / 100, f"{early} of {len(refused)}"


@given("all workers lose {share:d} % of their orders and carry them out late")
def step_losing(context, share):
    for node in context.site.nodes:
        node.worker.losing = share / 100
        node.worker.losing_holds = share / 500
        # That a stop is lost five times in a row can't be answered by any agent.
        node.worker.losing_stops = share / 500


@when("entry {entry:d} gets a job of {count:d} tasks of {cores:d} cores for {ms:d} ms")
def step_job(context, entry, count, cores, ms):
    context.runner.run(_submit(context, entry, 1, (count, cores, ms)))


@when(
    "each entry gets {jobs:d} jobs of {count:d} tasks of {cores:d} cores for {ms:d} ms,"
    " whose clients wait {patience:d} ms"
)
def step_each(context, jobs, count, cores, ms, patience):
    for entry in range(len(context.site.entries)):
        context.runner.run(_submit(context, entry, jobs, (count, cores, ms), patience))


@when(
    "entry {entry:d} gets {jobs:d} jobs of {count:d} tasks of {cores:d} cores "
    "for {ms:d} ms at once"
)
def step_burst(context, entry, jobs, count, cores, ms):
    context.runner.run(_submit(context, entry, jobs, (count, cores, ms)))


@when("the client of job {index:d} leaves after {ms:d} ms")
def step_leave(context, index, ms):
    context.runner.run(_leave(context, index, ms))


@when("the client of job {index:d} submits it again at once")
def step_again(context, index):
    context.runner.run(_submit_again(context, index))


@when("worker {index:d} crashes after {ms:d} ms")
def step_crash(context, index, ms):
    context.runner.run(_crash(context, index, ms))


@when('the situation of "{rule}" comes about')
def step_situation(context, rule):
    context.runner.run(direct_situations.find(rule)(context.site))


@when(
    "random jobs come for {seconds:d} s while agents, entries and workers are restarted"
)
def step_chaos(context, seconds):
    context.runner.run(_chaos(context.site, context.seed, seconds))


@then("job {index:d} is {state} within {ms:d} ms")
def step_state(context, index, state, ms):
    outcome, took_ms = context.runner.run(_outcome(context, index))
    assert str(outcome.state) == state, outcome
    assert took_ms <= ms, f"{took_ms} ms"


@then("all jobs are completed")
def step_all(context):
    for index in range(len(context.jobs)):
        outcome, _ = context.runner.run(_outcome(context, index))
        assert outcome.state is job.State.COMPLETED, outcome


@then("some jobs are refused at once with a time to come back")
def step_refused(context):
    ended = [context.runner.run(_outcome(context, i)) for i in range(len(context.jobs))]
    refused = [each for each in ended if each[0].state is job.State.REFUSED]
    assert refused
    assert any(took_ms < 50 and outcome.retry_after_ms for outcome, took_ms in refused)


@then("no refused job has started")
def step_true(context):
    started = {task.job_id for task in context.site.witness.running}
    for index, (submission, _) in enumerate(context.jobs):
        outcome, _ = context.runner.run(_outcome(context, index))
        if outcome.state is job.State.REFUSED:
            assert submission.job_id not in started, submission.job_id


@then("nothing runs {ms:d} ms later")
def step_nothing(context, ms):
    context.runner.run(asyncio.sleep(ms / 1000))
    assert not any(node.worker.running for node in context.site.nodes)


@then("some worker saw a task run twice at a time or more than its capacity")
def step_seen(context):
    assert context.site.witness.violations


@then("no worker saw anything wrong")
def step_clean(context):
    assert not context.site.witness.violations, context.site.witness.violations[:5]


def _open(context, entries, workers, cores, seed):
    context.runner = asyncio.Runner(loop_factory=virtual.VirtualLoop)
    context.seed = seed
    context.jobs = []
    zones = tuple(f"zone-{index}" for index in range(entries))
    context.site = context.runner.run(
        direct_site.open_site(zones, workers, cores * 1000, seed)
    )
    context.closers = [*getattr(context, "closers", ()), context.runner.close]


async def _submit(context, entry, jobs, shape, patience_ms=_PATIENCE_MS):
    count, cores, run_ms = shape
    _, dispatcher = context.site.entries[entry]
    for _ in range(jobs):
        made = context.site.submission(count, cores * 1000, run_ms, patience_ms)
        waiting = asyncio.create_task(_timed(context, dispatcher, made))
        context.jobs.append((made, waiting))
    await asyncio.sleep(0)


async def _submit_again(context, index):
    submission, _ = context.jobs[index]
    _, dispatcher = context.site.entries[0]
    waiting = asyncio.create_task(_timed(context, dispatcher, submission))
    context.jobs.append((submission, waiting))
    await asyncio.sleep(0)


async def _load(context, shape, gap_ms, seconds):
    """Submit a job now and then, to the entries in turn."""
    for number in range(seconds * 1000 // gap_ms):
        entry = number % len(context.site.entries)
        await _submit(context, entry, 1, shape)
        await asyncio.sleep(gap_ms / 1000)


async def _timed(context, dispatcher, submission):
    begun_ms = context.site.clock.now_ms()
    outcome = await dispatcher.submit(submission, direct_site.ROUTE)
    return outcome, context.site.clock.now_ms() - begun_ms


async def _outcome(context, index):
    return await context.jobs[index][1]


async def _leave(context, index, ms):
    await asyncio.sleep(ms / 1000)
    context.jobs[index][1].cancel()
    await asyncio.sleep(0)


async def _crash(context, index, ms):
    await asyncio.sleep(ms / 1000)
    context.site.nodes[index].worker.crash()


async def _chaos(site, seed, seconds):
    """Play clients that submit again, beside restarts of everything."""
    chance = random.Random(seed)
    end_ms = site.clock.now_ms() + seconds * 1000
    clients = set()
    while site.clock.now_ms() < end_ms:
        await asyncio.sleep(chance.uniform(0.05, 0.3))
        run_ms = chance.choice((chance.uniform(50, 900), 2500))
        made = site.submission(chance.randint(1, 6), 4000, run_ms)
        clients.add(asyncio.create_task(_client(site, chance, made)))
        if chance.random() < 0.05:
            await site.restart_node(chance.randrange(len(site.nodes)))
        if chance.random() < 0.04:
            chance.choice(site.nodes).worker.crash()
        if chance.random() < 0.04:
            await _replace_entry(site, chance)
    await asyncio.wait(clients)


async def _replace_entry(site, chance):
    """Kill an entry with all its jobs, and start another in its zone."""
    index = chance.randrange(len(site.entries))
    identity, _ = site.entries[index]
    site.lose_entry(index)
    site.add_entry(identity.zone)


async def _client(site, chance, submission):
    """Submit until there is an answer that tells the outcome."""
    for _ in range(4):
        identity, entry = chance.choice(site.entries)
        answered = asyncio.ensure_future(entry.submit(submission, direct_site.ROUTE))
        killed = asyncio.ensure_future(site.killed[identity.incarnation].wait())
        patience_s = submission.timeout_ms / 1000
        await asyncio.wait(
            (answered, killed), timeout=patience_s, return_when="FIRST_COMPLETED"
        )
        killed.cancel()
        # An entry that was killed can't answer; nor does it see that a client leaves.
        outcome = answered.result() if answered.done() else None
        if outcome is not None and outcome.state is not job.State.UNFINISHED:
            return
        await asyncio.sleep(_RESEND_MS / 1000)
