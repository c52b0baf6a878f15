"""Steps that check recorded runs against the rules of the model."""

import asyncio
import dataclasses
import random
from unittest import mock

from behave import given, then, when

from jujubeglade.agent import executor, permit, scheduler, takeover
from jujubeglade.bench import cluster, loopback, replay, trial, truth
from jujubeglade.core import clock, contract, job, routing, ticket
from jujubeglade.model import trace
from jujubeglade.tools import client

_WAIT_MS = 10_000
_LATE_ATTEMPT = 500
_KINDS = trace.Kind


def _open_site(context):
    loopback_cluster = context.cluster
    context.key = loopback.CLUSTER_KEY.encode()
    context.site = trial.Site(
        loopback_cluster.entry_urls,
        loopback.CALLER_TOKENS["workshop"],
        loopback.OPERATOR_TOKENS["duty"],
        context.key,
    )
    context.logs = lambda: replay.Logs(
        tuple(start for fake in loopback_cluster.upstreams for start in fake.started),
        tuple(end for fake in loopback_cluster.upstreams for end in fake.ended),
    )


@when(
    "the replay's site runs {count:d} jobs by seed {seed:d}, drains, and loses a home"
)
def step_load(context, count, seed):
    _open_site(context)
    context.runner.run(_run_load(context, count, random.Random(seed)))


async def _run_load(context, count, rng):
    loopback_cluster, site = context.cluster, context.site
    killed = []

    async def kill(parsed):
        home = _agent(loopback_cluster, parsed.group[0])
        killed.append(home.identity.name)
        await loopback_cluster.kill_agent(home)

    async with asyncio.TaskGroup() as running:
        for _ in range(count):
            running.create_task(trial.run_job(site, rng))
        running.create_task(trial.drain(site, "north"))
    async with client.open_client(site.urls, site.caller_token) as caller:
        # More tasks than the other zones have slots, so that the restored zone starts
        # some.
        (text,) = (await caller.tickets()).unwrap()
        await trial.submit(caller, {"id": text, "tasks": [trial.task(200)] * 80})
        await _cancel_job(loopback_cluster, site, caller)
        await _suspect_home(loopback_cluster, site, caller)
    await trial.kill_during_job(site, kill)
    context.records = await trial.read_records(site, context.logs, killed)


def _agent(loopback_cluster, incarnation):
    (matching,) = [
        agent
        for agent in loopback_cluster.agents
        if agent.identity.incarnation == incarnation
    ]
    return matching


async def _take_over(loopback_cluster, parsed, count):
    """Submit a job to the first successor, as an entry that suspects the home."""
    members = tuple(agent.member() for agent in loopback_cluster.agents)
    tasks = (job.Task("parts", b'{"ms": 300}', False, 300),) * count
    submission = job.Submission(parsed.text, "workshop", "normal", 60_000, tasks)
    await _agent(loopback_cluster, parsed.group[1]).home.submit(
        routing.Submit(submission, 1, members, _WAIT_MS)
    )


@then("the replay finds no violation, and the records are true")
def step_clean(context):
    logs = context.logs()
    context.events = replay.events(context.records, logs)
    violations = trace.check(context.events)
    assert violations == (), violations
    findings = truth.examine(context.records, logs.starts, context.key)
    assert findings == (), list(map(str, findings))


@then('the replay has events "{kinds}"')
def step_kinds(context, kinds):
    actual = {event.kind for event in context.events}
    missing = [kind for kind in kinds.split(", ") if kind not in actual]
    assert not missing, missing


_CHANGES = {}


def _change(name):
    """Return a decorator that registers a change of the events."""

    def decorate(function):
        _CHANGES[name] = function
        return function

    return decorate


def _first(events, kind, where=lambda event: True):
    return next(event for event in events if event.kind == kind and where(event))


def _is_unrepeatable(event):
    return not event.repeatable


@_change("a task starts again elsewhere")
def _restart(events):
    start = _first(events, _KINDS.STARTED, _is_unrepeatable)
    again = dataclasses.replace(start, process="other", attempt=start.attempt + 1)
    return [
        *events,
        dataclasses.replace(again, kind=_KINDS.PERMIT, until_ms=1 << 60),
        again,
    ]


@_change("a start was rejected")
def _reject(events):
    start = _first(events, _KINDS.STARTED)
    return [dataclasses.replace(start, kind=_KINDS.REJECTED), *events]


@_change("a start moves after the close of its job")
def _after_close(events):
    closed = {
        (*event.process_incarnation, event.job)
        for event in events
        if event.kind == "closed"
    }
    start = _first(
        events,
        _KINDS.STARTED,
        lambda event: (*event.process_incarnation, event.job) in closed,
    )
    return _move(events, start, len(events))


@_change("a start of an older generation moves after the claim")
def _after_claim(events):
    claimed = {
        (*event.process_incarnation, event.job)
        for event in events
        if event.kind == "claimed"
    }
    start = _first(
        events,
        _KINDS.STARTED,
        lambda event: (
            event.generation == 0 and (*event.process_incarnation, event.job) in claimed
        ),
    )
    return _move(events, start, len(events))


def _move(events, event, index):
    moved = list(events)
    moved.remove(event)
    moved.insert(index, event)
    return moved


@_change("the home placed a task on itself")
def _place_on_home(events):
    placed = _first(
        events,
        _KINDS.PLACED,
        lambda event: _is_unrepeatable(event) and not event.generation,
    )
    return [*events, dataclasses.replace(placed, target=placed.process)]


@_change("a task that started was answered as not run")
def _answer_not_run(events):
    started = {event.attempt_key[:2] for event in events if event.kind == "started"}
    answered = _first(
        events, _KINDS.ANSWERED, lambda event: event.attempt_key[:2] in started
    )
    changed = dataclasses.replace(answered, outcome="not_run")
    return [changed if event is answered else event for event in events]


@_change("the upstream's answer to a task that ran is dropped")
def _drop_finished(events):
    ran = _first(events, _KINDS.ANSWERED, lambda event: event.outcome == "ran")
    return [
        event
        for event in events
        if event.kind != "finished" or event.attempt_key[:2] != ran.attempt_key[:2]
    ]


@_change("an answer lacks a task")
def _drop_answer(events):
    answered = _first(events, _KINDS.ANSWERED)
    return [event for event in events if event is not answered]


@_change("a revision goes down")
def _lower_revision(events):
    last = [event for event in events if event.kind == "revision"][-1]
    return [*events, dataclasses.replace(last, revision=last.revision - 1)]


@_change("the permit of a start ended before it")
def _expire_permit(events):
    start = _first(events, _KINDS.STARTED)
    return [
        dataclasses.replace(event, until_ms=0)
        if event.kind == "permit"
        and event.process_incarnation == start.process_incarnation
        else event
        for event in events
    ]


@_change("a drain in force was not accepted")
def _drop_drained(events):
    return [event for event in events if event.kind != "drained"]


@_change("a zone was never restored")
def _drop_restored(events):
    return [event for event in events if event.kind != "restored"]


@then("the replay finds each of these changes of its events")
def step_changes(context):
    assert {row["change"] for row in context.table} == set(_CHANGES)
    for row in context.table:
        changed = _CHANGES[row["change"]](context.events)
        rules = {violation.rule for violation in trace.check(changed)}
        assert row["rule"] in rules, (row["change"], rules)


async def _late_start(loopback_cluster, parsed):
    """Deliver a delayed start of the home to a candidate."""
    task = job.Task("parts", b'{"ms": 50}', True, 50)
    late = contract.Start(
        parsed.key,
        parsed.issued_ms,
        0,
        "workshop",
        "normal",
        5000,
        (contract.StartTask(0, _LATE_ATTEMPT, task),),
    )
    _agent(loopback_cluster, parsed.group[1]).executor.start(None, late)
    await asyncio.sleep(clock.seconds(200))


async def _cancel_job(loopback_cluster, site, caller):
    """Cancel a running job, then deliver a late start of it."""
    (text,) = (await caller.tickets()).unwrap()
    (await caller.submit({"id": text, "tasks": [trial.task(600)] * 40})).unwrap()
    await asyncio.sleep(clock.seconds(100))
    await caller.cancel(text)
    parsed = ticket.parse(site.key, text).unwrap()
    await _late_start(loopback_cluster, parsed)
    return parsed.key


async def _suspect_home(loopback_cluster, site, caller):
    """Submit a job to its successor, then deliver a late start of its home."""
    (text,) = (await caller.tickets()).unwrap()
    (await caller.submit({"id": text, "tasks": [trial.task(300)] * 5})).unwrap()
    await asyncio.sleep(clock.seconds(100))
    parsed = ticket.parse(site.key, text).unwrap()
    await _take_over(loopback_cluster, parsed, 5)
    await _late_start(loopback_cluster, parsed)
    return parsed.key


async def _run_job(loopback_cluster, site, caller):
    """Run a job of many short tasks."""
    (text,) = (await caller.tickets()).unwrap()
    await trial.submit(caller, {"id": text, "tasks": [trial.task(30)] * 60})
    return ticket.parse(site.key, text).unwrap().key


_real_claim = executor.Executor.claim
_real_eligible_workers = scheduler.Scheduler._eligible_workers


def _claim_without_fence(self, link, claim):
    answer = _real_claim(self, link, claim)
    self._jobs[claim.key].fence = 0
    return answer


def _ignore_refusal(reason):
    real_refusal = executor.Executor._refusal

    def refusal(self, job, generation):
        actual = real_refusal(self, job, generation)
        return None if actual == reason else actual

    return refusal


async def _answer_without_close(home, owned_job):
    return tuple(
        task.answer or job.TaskAnswer(job.TaskOutcome.NOT_RUN, b"", "")
        for task in owned_job.tasks
    )


def _local_workers(self, lane):
    local = [worker for worker in lane.workers if self._home.is_local(worker)]
    return local or _real_eligible_workers(self, lane)


_MUTATIONS = {
    "none, cancelled": (_cancel_job, None),
    "none, suspected": (_suspect_home, None),
    "none, plain": (_run_job, None),
    "an executor ignores the fence": (
        _suspect_home,
        lambda: mock.patch.object(executor.Executor, "claim", _claim_without_fence),
    ),
    "an executor starts after a close": (
        _cancel_job,
        lambda: mock.patch.object(
            executor.Executor, "_refusal", _ignore_refusal(contract.RejectReason.CLOSED)
        ),
    ),
    "a home answers not_run without a close": (
        _cancel_job,
        lambda: mock.patch.object(takeover, "close_job", _answer_without_close),
    ),
    "a home places a task on itself": (
        _run_job,
        lambda: mock.patch.object(
            scheduler.Scheduler, "_eligible_workers", _local_workers
        ),
    ),
}


@when("the replay's site runs a job under each of these mutations")
def step_mutations(context):
    _open_site(context)
    context.runner.run(_run_mutations(context))


async def _run_mutations(context):
    loopback_cluster, site = context.cluster, context.site
    keys = {}
    async with client.open_client(site.urls, site.caller_token) as caller:
        for row in context.table:
            run_case, patch = _MUTATIONS[row["mutation"]]
            with patch() if patch else mock.MagicMock():
                key = await run_case(loopback_cluster, site, caller)
            keys[key] = row["mutation"]
    records = await trial.read_records(site, context.logs)
    violations = replay.check(records, context.logs())
    context.violated_rules = {name: set() for name in keys.values()}
    for violation in violations:
        context.violated_rules[keys[violation.event.job]].add(violation.rule)


@then("the replay finds for each the rule that it violates")
def step_mutations_found(context):
    for row in context.table:
        rules = context.violated_rules[row["mutation"]]
        if row["rule"]:
            assert row["rule"] in rules, (row["mutation"], context.violated_rules)
        else:
            assert not rules, (row["mutation"], context.violated_rules)


@when("an agent of the replay's site ignores a drain")
def step_ignored_drain(context):
    _open_site(context)
    context.runner.run(_ignore_drain(context))


async def _ignore_drain(context):
    loopback_cluster, site = context.cluster, context.site
    patch = mock.patch.object(permit.Permits, "is_drained", lambda *_: False)
    async with (
        client.open_client(site.urls, site.operator_token) as operator,
        client.open_client(site.urls, site.caller_token) as caller,
    ):
        with patch:
            await trial.command(operator, "drain-1", "drain zone north")
            await asyncio.sleep(clock.seconds(50))
            await _run_job(loopback_cluster, site, caller)
    context.records = await trial.read_records(site, context.logs)


@then('the replay finds violations of "{rule}" only')
def step_violates_only(context, rule):
    violations = replay.check(context.records, context.logs())
    assert {violation.rule for violation in violations} == {rule}, violations


@given("real processes of the replay: {workers:d} workers, {entries:d} entries")
def step_shape(context, workers, entries):
    context.shape = cluster.Shape(workers=workers, entries=entries)


@when(
    "they run {count:d} jobs by seed {seed:d} while a home and an executor are killed"
)
def step_real_load(context, count, seed):
    outcome = asyncio.run(trial.run(seed, count, context.shape))
    context.records = outcome.records
    context.logs = lambda: outcome.logs
    context.key = cluster.CLUSTER_KEY.encode()
