"""Steps for the replay of real runs against the rules of the model."""

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
    held = context.held
    context.key = loopback.CLUSTER_KEY.encode()
    context.site = trial.Site(
        held.entry_urls,
        loopback.CALLER_TOKENS["workshop"],
        loopback.OPERATOR_TOKENS["duty"],
        context.key,
    )
    context.logs = lambda: replay.Logs(
        tuple(start for fake in held.upstreams for start in fake.started),
        tuple(end for fake in held.upstreams for end in fake.ended),
    )


@when(
    "the replay's site runs {count:d} jobs by seed {seed:d}, drains, and loses a home"
)
def step_load(context, count, seed):
    _open_site(context)
    context.runner.run(_load(context, count, random.Random(seed)))


async def _load(context, count, chance):
    held, site = context.held, context.site
    killed = []

    async def kill(parsed):
        home = _agent(held, parsed.group[0])
        killed.append(home.identity.name)
        await held.kill_agent(home)

    async with asyncio.TaskGroup() as running:
        for _ in range(count):
            running.create_task(trial.run_job(site, chance))
        running.create_task(trial.drain(site, "north"))
    async with client.open_client(site.urls, site.caller_token) as caller:
        # More tasks than the other zones have slots: the restored one starts some.
        (text,) = (await caller.tickets()).unwrap()
        await trial.submit(caller, {"id": text, "tasks": [trial.task(200)] * 80})
        await _cancelled(held, site, caller)
        await _suspected(held, site, caller)
    await trial.lose(site, kill)
    context.records = await trial.read(site, context.logs, killed)


def _agent(held, incarnation):
    (found,) = [
        each for each in held.agents if each.identity.incarnation == incarnation
    ]
    return found


async def _take_over(held, parsed, count):
    """Submit a job to the first successor, as an entry does on a suspicion."""
    members = tuple(each.member() for each in held.agents)
    tasks = (job.Task("parts", b'{"ms": 300}', False, 300),) * count
    submission = job.Submission(parsed.text, "workshop", "normal", 60_000, tasks)
    await _agent(held, parsed.group[1]).home.submit(
        routing.Submit(submission, 1, members, _WAIT_MS)
    )


@then("the replay breaks no rule, and the records are true")
def step_clean(context):
    logs = context.logs()
    context.events = replay.events(context.records, logs)
    violations = trace.check(context.events)
    assert violations == (), violations
    found = truth.examine(context.records, logs.starts, context.key)
    assert found == (), list(map(str, found))


@then('the replay has events "{kinds}"')
def step_kinds(context, kinds):
    found = {event.kind for event in context.events}
    missing = [kind for kind in kinds.split(", ") if kind not in found]
    assert not missing, missing


_CHANGES = {}


def _change(name):
    """Return a decorator for a change of the events that must be found."""

    def decorate(function):
        _CHANGES[name] = function
        return function

    return decorate


def _first(events, kind, where=lambda event: True):
    return next(event for event in events if event.kind == kind and where(event))


def _single(event):
    return not event.repeatable


@_change("a task starts again elsewhere")
def _again(events):
    start = _first(events, _KINDS.STARTED, _single)
    again = dataclasses.replace(start, process="other", attempt=start.attempt + 1)
    return [
        *events,
        dataclasses.replace(again, kind=_KINDS.PERMIT, until_ms=1 << 60),
        again,
    ]


@_change("a start was rejected")
def _rejected(events):
    start = _first(events, _KINDS.STARTED)
    return [dataclasses.replace(start, kind=_KINDS.REJECTED), *events]


@_change("a start moves behind the close of its job")
def _behind_close(events):
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
    return _moved(events, start, len(events))


@_change("a start of an older generation moves behind the claim")
def _behind_claim(events):
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
    return _moved(events, start, len(events))


def _moved(events, event, place):
    left = list(events)
    left.remove(event)
    left.insert(place, event)
    return left


@_change("the home placed a task on itself")
def _on_itself(events):
    placed = _first(
        events, _KINDS.PLACED, lambda event: _single(event) and not event.generation
    )
    return [*events, dataclasses.replace(placed, target=placed.process)]


@_change("a task that started was answered as not run")
def _not_run(events):
    started = {event.attempt_key[:2] for event in events if event.kind == "started"}
    answered = _first(
        events, _KINDS.ANSWERED, lambda event: event.attempt_key[:2] in started
    )
    changed = dataclasses.replace(answered, outcome="not_run")
    return [changed if event is answered else event for event in events]


@_change("the upstream's answer to a task that ran is dropped")
def _not_finished(events):
    ran = _first(events, _KINDS.ANSWERED, lambda event: event.outcome == "ran")
    return [
        event
        for event in events
        if event.kind != "finished" or event.attempt_key[:2] != ran.attempt_key[:2]
    ]


@_change("an answer lacks a task")
def _partial(events):
    answered = _first(events, _KINDS.ANSWERED)
    return [event for event in events if event is not answered]


@_change("a revision goes down")
def _lower(events):
    last = [event for event in events if event.kind == "revision"][-1]
    return [*events, dataclasses.replace(last, revision=last.revision - 1)]


@_change("the permit of a start ended before it")
def _expired(events):
    start = _first(events, _KINDS.STARTED)
    return [
        dataclasses.replace(event, until_ms=0)
        if event.kind == "permit"
        and event.process_incarnation == start.process_incarnation
        else event
        for event in events
    ]


@_change("a drain in force was not accepted")
def _not_accepted(events):
    return [event for event in events if event.kind != "drained"]


@_change("a zone was never restored")
def _not_restored(events):
    return [event for event in events if event.kind != "restored"]


@then("the replay finds each of these changes of its events")
def step_changes(context):
    assert {row["change"] for row in context.table} == set(_CHANGES)
    for row in context.table:
        changed = _CHANGES[row["change"]](context.events)
        rules = {violation.rule for violation in trace.check(changed)}
        assert row["rule"] in rules, (row["change"], rules)


async def _late_start(held, parsed):
    """Deliver a start of the home that was delayed on its way, to a candidate."""
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
    _agent(held, parsed.group[1]).executor.start(None, late)
    await asyncio.sleep(clock.seconds(200))


async def _cancelled(held, site, caller):
    """Cancel a job while it runs; a start of it arrives late."""
    (text,) = (await caller.tickets()).unwrap()
    (await caller.submit({"id": text, "tasks": [trial.task(600)] * 40})).unwrap()
    await asyncio.sleep(clock.seconds(100))
    await caller.cancel(text)
    parsed = ticket.parse(site.key, text).unwrap()
    await _late_start(held, parsed)
    return parsed.key


async def _suspected(held, site, caller):
    """Hand a job to its successor; a start of its home arrives late."""
    (text,) = (await caller.tickets()).unwrap()
    (await caller.submit({"id": text, "tasks": [trial.task(300)] * 5})).unwrap()
    await asyncio.sleep(clock.seconds(100))
    parsed = ticket.parse(site.key, text).unwrap()
    await _take_over(held, parsed, 5)
    await _late_start(held, parsed)
    return parsed.key


async def _plain(held, site, caller):
    """Run a job of many short tasks."""
    (text,) = (await caller.tickets()).unwrap()
    await trial.submit(caller, {"id": text, "tasks": [trial.task(30)] * 60})
    return ticket.parse(site.key, text).unwrap().key


_real_claim = executor.Executor.claim
_real_able = scheduler.Scheduler._eligible_workers


def _unfenced(self, link, claim):
    answer = _real_claim(self, link, claim)
    self._jobs[claim.key].fence = 0
    return answer


def _ignoring(reason):
    real = executor.Executor._refusal

    def refusal(self, known, generation):
        found = real(self, known, generation)
        return None if found == reason else found

    return refusal


async def _no_close(home, known):
    return tuple(
        task.answer or job.TaskAnswer(job.TaskOutcome.NOT_RUN, b"", "")
        for task in known.tasks
    )


def _itself(self, lane):
    own = [each for each in lane.workers if self._home.is_local(each)]
    return own or _real_able(self, lane)


_MUTATIONS = {
    "none, cancelled": (_cancelled, None),
    "none, suspected": (_suspected, None),
    "none, plain": (_plain, None),
    "an executor ignores the fence": (
        _suspected,
        lambda: mock.patch.object(executor.Executor, "claim", _unfenced),
    ),
    "an executor starts after a close": (
        _cancelled,
        lambda: mock.patch.object(
            executor.Executor, "_refusal", _ignoring(contract.Reject.CLOSED)
        ),
    ),
    "a home answers not_run without a close": (
        _cancelled,
        lambda: mock.patch.object(takeover, "close_job", _no_close),
    ),
    "a home places on itself": (
        _plain,
        lambda: mock.patch.object(scheduler.Scheduler, "_eligible_workers", _itself),
    ),
}


@when("the replay's site runs a job under each of these mutations")
def step_mutations(context):
    _open_site(context)
    context.runner.run(_mutate(context))


async def _mutate(context):
    held, site = context.held, context.site
    keys = {}
    async with client.open_client(site.urls, site.caller_token) as caller:
        for row in context.table:
            drive, patch = _MUTATIONS[row["mutation"]]
            with patch() if patch else mock.MagicMock():
                key = await drive(held, site, caller)
            keys[key] = row["mutation"]
    records = await trial.read(site, context.logs)
    violations = replay.check(records, context.logs())
    context.broken = {name: set() for name in keys.values()}
    for violation in violations:
        context.broken[keys[violation.event.job]].add(violation.rule)


@then("the replay finds for each the rule that it breaks")
def step_mutations_found(context):
    for row in context.table:
        found = context.broken[row["mutation"]]
        if row["rule"]:
            assert row["rule"] in found, (row["mutation"], context.broken)
        else:
            assert not found, (row["mutation"], context.broken)


@when("an agent of the replay's site ignores a drain")
def step_ignored_drain(context):
    _open_site(context)
    context.runner.run(_ignore_drain(context))


async def _ignore_drain(context):
    held, site = context.held, context.site
    ignoring = mock.patch.object(permit.Permits, "is_drained", lambda *_: False)
    async with (
        client.open_client(site.urls, site.operator_token) as operator,
        client.open_client(site.urls, site.caller_token) as caller,
    ):
        with ignoring:
            await trial.command(operator, "drain-1", "drain zone north")
            await asyncio.sleep(clock.seconds(50))
            await _plain(held, site, caller)
    context.records = await trial.read(site, context.logs)


@then('the replay breaks "{rule}" alone')
def step_breaks_alone(context, rule):
    violations = replay.check(context.records, context.logs())
    assert {violation.rule for violation in violations} == {rule}, violations


@given("real processes of the replay: {workers:d} workers, {entries:d} entries")
def step_cluster(context, workers, entries):
    context.shape = cluster.Shape(workers=workers, entries=entries)


@when(
    "they run {count:d} jobs by seed {seed:d} while a home and an executor are killed"
)
def step_real_load(context, count, seed):
    outcome = asyncio.run(trial.run(seed, count, context.shape))
    context.records = outcome.records
    context.logs = lambda: outcome.logs
    context.key = cluster.CLUSTER_KEY.encode()
