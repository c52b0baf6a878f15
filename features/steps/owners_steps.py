"""Steps for owners and executors under late, doubled and missing frames."""

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

_WAIT_S = 5


def _run(context, coroutine):
    async def bounded():
        async with asyncio.timeout(_WAIT_S):
            answer = await coroutine
            await context.rig.turns()
            return answer

    return context.rig_loop.run_until_complete(bounded())


def _calm(context):
    _run(context, asyncio.sleep(0))


async def _make(names, folder, slots):
    return owners_rig.Rig(names, folder, slots)


@given("the owners' agents {names} with {slots:d} slots")
def _given_agents(context, names, slots):
    folder = tempfile.TemporaryDirectory()
    loop = asyncio.new_event_loop()
    context.rig_loop = loop
    made = _make(names.split(), pathlib.Path(folder.name), slots)
    context.rig = loop.run_until_complete(made)

    def close():
        loop.run_until_complete(context.rig.close())
        loop.close()
        folder.cleanup()

    context.closers = [close]


@given("each owners' frame arrives {copies:d} times")
def _given_copies(context, copies):
    context.rig.copies = copies


@step("owners' frames of kind {kind} are lost")
def _given_lost(context, kind):
    context.rig.lost_frames.add(kind)


@when("{name} is handed an owners' job of {tasks:d} {kind} tasks")
def _when_submit(context, name, tasks, kind):
    context.asked = context.rig.submit(name, tasks, kind == "repeatable")
    context.owner = name
    _run(context, asyncio.sleep(0.02))


@when("the owners' job of {tasks:d} tasks is handed to {name} {count:d} times more")
def _when_again(context, tasks, name, count):
    for _ in range(count):
        context.rig.submit(name, tasks, False)
    _calm(context)


@when("another owners' job begins")
def _when_other(context):
    context.rig.renew_ticket()


@when("owners' questions are held")
def _when_held(context):
    context.rig.questions.clear()


@when("owners' questions pass again")
def _when_pass(context):
    context.rig.questions.set()
    _calm(context)


@when("the owners' agent {name} falls silent")
def _when_silent(context, name):
    context.rig.silent.add(name)


@when("{name} is told to cancel the owners' job")
def _when_cancel(context, name):
    _calm(context)
    context.cancelling = _run(context, _begin(context.rig.cancel, name))


async def _begin(function, *arguments):
    begun = function(*arguments)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return begun


@when("the link of who cancels breaks")
def _when_asker_breaks(context):
    context.cancelling.cancel()
    _calm(context)


@when("all owners' tasks {verdict}")
def _when_end(context, verdict):
    ended = {"succeed": contract.Verdict.SUCCEEDED, "fail": contract.Verdict.FAILED}
    context.rig.end_tasks(ended[verdict])
    _calm(context)


@when("the upstream of {name} leaves")
def _when_leaves(context, name):
    context.rig.stages[name].leaving = True
    _run(context, _tick(context.rig.agents[name].executor))


async def _answer(context, name):
    home = context.rig.agents[name].home
    return await home.query(routing.Query(context.rig.ticket.key, "", 4000))


async def _tick(executor):
    executor.tick(0)


@then("{name} answers the owners' job as {state}: {outcomes}")
def _then_answer(context, name, state, outcomes):
    answer = _run(context, _answer(context, name))
    found = [str(task.outcome) for task in answer.tasks]
    assert str(answer.state) == state, answer
    assert found == outcomes.split(), answer


@then("{name} says that the owners' job moved")
def _then_moved(context, name):
    answer = _run(context, _answer(context, name))
    assert isinstance(answer, routing.Moved), answer


@then("the owners' starts are {text}")
def _then_starts(context, text):
    _calm(context)
    expected = [] if text == "none" else text.split()
    found = sorted(f"{name}:{index}" for name, index in context.rig.started())
    assert found == sorted(expected), found


@then("no owners' task started twice, and {count:d} started")
def _then_once(context, count):
    counts = collections.Counter(index for _, index in context.rig.started())
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


@when("a router finds its three owners {first}, {second} and {third}")
def _when_route(context, first, second, third):
    group = [ticket.new_incarnation() for _ in range(3)]
    wall = clock.system_clock()
    held = ticket.issue(owners_rig.KEY, wall.wall_ms(), group)
    scripted = [_ANSWERS[name] for name in (first, second, third)]
    answers = {
        name: result.Ok(answer)
        if isinstance(answer, routing.Moved)
        else result.Err(answer)
        for name, answer in zip(group, scripted, strict=True)
    }
    limits = settings_module.Limits()
    routed = router.Router(wall, owners_rig.OneLink(answers), limits)
    context.refused = asyncio.run(routed.submit(None, held, 0)).err_value


@then("the router's refusal says {outcome}")
def _then_refusal(context, outcome):
    assert str(context.refused.outcome) == outcome, context.refused
