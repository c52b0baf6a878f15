"""Steps for owners and executors when messages are late, doubled or lost."""

import asyncio
import collections
import pathlib
import tempfile

import result
from behave import given, step, then, when
from features import owners_rig

from jujubeglade.core import clock, contract, problem, routing, ticket
from jujubeglade.core import settings as settings_module
from jujubeglade.entry import router

_STEP_TIMEOUT_S = 5


def _run(context, coroutine):
    async def bounded():
        async with asyncio.timeout(_STEP_TIMEOUT_S):
            outcome = await coroutine
            await context.rig.settle()
            return outcome

    return context.rig_loop.run_until_complete(bounded())


def _settle(context):
    _run(context, asyncio.sleep(0))


async def _open_rig(names, folder, slots):
    return owners_rig.Rig(names, folder, slots)


@given("the owners' agents {names} with {slots:d} slots")
def _given_agents(context, names, slots):
    folder = tempfile.TemporaryDirectory()
    loop = asyncio.new_event_loop()
    context.rig_loop = loop
    opening = _open_rig(names.split(), pathlib.Path(folder.name), slots)
    context.rig = loop.run_until_complete(opening)

    def close():
        loop.run_until_complete(context.rig.close())
        loop.close()
        folder.cleanup()

    context.closers = [close]


@given("each owners' message is delivered {deliveries:d} times")
def _given_deliveries(context, deliveries):
    context.rig.deliveries = deliveries


@step("owners' messages of kind {kind} are lost")
def _given_lost(context, kind):
    context.rig.lost_messages.add(kind)


@when("{name} receives an owners' job of {tasks:d} {kind} tasks")
def _when_submit(context, name, tasks, kind):
    context.submission = context.rig.submit(name, tasks, kind == "repeatable")
    context.owner = name
    _run(context, asyncio.sleep(0.02))


@when("{name} receives the owners' job of {tasks:d} tasks {count:d} more times")
def _when_again(context, tasks, name, count):
    for _ in range(count):
        context.rig.submit(name, tasks, False)
    _settle(context)


@when("another owners' job begins")
def _when_other(context):
    context.rig.renew_ticket()


@when("owners' requests are delayed")
def _when_delayed(context):
    context.rig.requests_pass.clear()


@when("owners' requests are delivered")
def _when_delivered(context):
    context.rig.requests_pass.set()
    _settle(context)


@when("the owners' agent {name} becomes unreachable")
def _when_unreachable(context, name):
    context.rig.unreachable.add(name)


@when("{name} receives a cancel of the owners' job")
def _when_cancel(context, name):
    _settle(context)
    context.cancel_task = _run(context, _start(context.rig.cancel, name))


async def _start(function, *arguments):
    task = function(*arguments)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return task


@when("the link of the cancelling client breaks")
def _when_client_is_lost(context):
    context.cancel_task.cancel()
    _settle(context)


@when("all owners' tasks {verdict}")
def _when_end(context, verdict):
    verdicts = {"succeed": contract.Verdict.SUCCEEDED, "fail": contract.Verdict.FAILED}
    context.rig.end_tasks(verdicts[verdict])
    _settle(context)


@when("the upstream of {name} leaves")
def _when_leaves(context, name):
    context.rig.upstreams[name].leaving = True
    _run(context, _tick(context.rig.agents[name].executor))


async def _answer(context, name):
    home = context.rig.agents[name].home
    return await home.query(routing.Query(context.rig.ticket.key, "", 4000))


async def _tick(executor):
    executor.tick(0)


@then("{name} answers the owners' job as {state}: {outcomes}")
def _then_answer(context, name, state, outcomes):
    answer = _run(context, _answer(context, name))
    actual = [str(task.outcome) for task in answer.tasks]
    assert str(answer.state) == state, answer
    assert actual == outcomes.split(), answer


@then("{name} answers that the owners' job moved")
def _then_moved(context, name):
    answer = _run(context, _answer(context, name))
    assert isinstance(answer, routing.Moved), answer


@then("the owners' starts are {text}")
def _then_starts(context, text):
    _settle(context)
    expected = [] if text == "none" else text.split()
    actual = sorted(f"{name}:{index}" for name, index in context.rig.starts())
    assert actual == sorted(expected), actual


@then("no owners' task started twice, and {count:d} started")
def _then_once(context, count):
    counts = collections.Counter(index for _, index in context.rig.starts())
    assert sorted(counts.values()) == [1] * count, counts


@then("no owners' link broke")
def _then_no_errors(context):
    assert not context.rig.errors, context.rig.errors


_ANSWERS = {
    "silent": problem.Problem(
        problem.Kind.HOME_LOST, "", "", outcome=problem.Outcome.UNKNOWN
    ),
    "leaving": problem.Problem(problem.Kind.SHUTTING_DOWN, "", ""),
    "full": problem.Problem(problem.Kind.OVERLOADED, "", ""),
    "moved": routing.Moved("", 1),
}


@when("a router's three owners answer {first}, {second} and {third}")
def _when_route(context, first, second, third):
    group = [ticket.new_incarnation() for _ in range(3)]
    router_clock = clock.system_clock()
    job_ticket = ticket.issue(owners_rig.KEY, router_clock.wall_ms(), group)
    scripted = [_ANSWERS[name] for name in (first, second, third)]
    answers = {
        name: result.Ok(answer)
        if isinstance(answer, routing.Moved)
        else result.Err(answer)
        for name, answer in zip(group, scripted, strict=True)
    }
    limits = settings_module.Limits()
    entry_router = router.Router(
        router_clock, owners_rig.ScriptedMembership(answers), limits
    )
    context.refusal = asyncio.run(entry_router.submit(None, job_ticket, 0)).err_value


@then("the router's refusal has the outcome {outcome}")
def _then_refusal(context, outcome):
    assert str(context.refusal.outcome) == outcome, context.refusal
