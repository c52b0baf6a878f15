"""Steps for an agent that dials an entry in virtual time."""

import asyncio

import result
from behave import given, then, when

from jujubeglade.direct import background, dialing
from jujubeglade.fakes import virtual

#: The time to dial an entry that answers.
_REACH_S = 0.3
_ADDRESS = "10.0.0.1:7100"


class _Agent:
    """The agent of a Dialer, with one entry that may have no power."""

    def __init__(self):
        self.entry_has_power = False
        self.dial_count = 0
        self.serve_error = None
        self.reached = asyncio.Event()

    async def dial(self, address, connect_ms):
        self.dial_count += 1
        if self.entry_has_power:
            return result.Ok(address)
        await asyncio.sleep(connect_ms / 1000)
        return result.Err(address)

    async def serve(self, link, address):
        if self.serve_error is not None:
            error, self.serve_error = self.serve_error, None
            raise error
        self.reached.set()
        await asyncio.sleep(3600)


@given("an agent that dials an entry in virtual time")
def step_agent(context):
    context.runner = asyncio.Runner(loop_factory=virtual.VirtualLoop)
    context.closers = [context.runner.close]
    context.runner.run(_open_dialer(context))


@when("the entry has no power for {ms:d} ms")
def step_no_power(context, ms):
    context.runner.run(asyncio.sleep(ms / 1000))
    context.dial_count = context.agent.dial_count


@when("the next link to the entry ends with an error")
def step_serve_error(context):
    context.agent.serve_error = KeyError("unexpected")


@when("the entry is reached and left")
def step_reached_and_left(context):
    context.agent.entry_has_power = True
    context.runner.run(asyncio.sleep(_REACH_S))
    assert context.agent.serve_error is None


@when("the store shows a change of the entries")
def step_entries_changed(context):
    context.agent.entry_has_power = True
    context.runner.run(_follow(context, _ADDRESS))


@when("the store no longer lists the entry for {ms:d} ms")
def step_unlisted(context, ms):
    context.runner.run(_follow(context))
    context.runner.run(asyncio.sleep(ms / 1000))


@when("the entry is back but unlisted for {ms:d} ms")
def step_back(context, ms):
    context.agent.entry_has_power = True
    context.runner.run(asyncio.sleep(ms / 1000))


@then("the agent reaches it within {ms:d} ms of its return")
def step_reaches(context, ms):
    context.agent.entry_has_power = True
    context.runner.run(asyncio.wait_for(context.agent.reached.wait(), ms / 1000))


@then("the agent dialed it at most {count:d} times")
def step_dial_count(context, count):
    assert 0 < context.dial_count <= count, context.dial_count


@then("the agent has not reached it")
def step_not_reached(context):
    assert not context.agent.reached.is_set()


async def _open_dialer(context):
    context.agent = _Agent()
    clock = virtual.VirtualClock(asyncio.get_running_loop())
    tasks = background.new_background()
    context.dialer = dialing.Dialer(clock, tasks, context.agent)
    context.dialer.follow((_ADDRESS,))


async def _follow(context, *addresses):
    context.dialer.follow(addresses)
