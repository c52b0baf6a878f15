"""Steps for an agent that dials an entry in virtual time."""

import asyncio

import result
from behave import given, then, when

from jujubeglade.direct import background, dialing
from jujubeglade.fakes import virtual

_ADDRESS = "10.0.0.1:7100"


class _Agent:
    """Dials an entry that may have no power."""

    def __init__(self):
        self.has_power = False
        self.tries = 0
        self.reached = asyncio.Event()

    async def dial(self, address, connect_ms):
        self.tries += 1
        if self.has_power:
            return result.Ok(address)
        await asyncio.sleep(connect_ms / 1000)
        return result.Err(address)

    async def serve(self, opened):
        self.reached.set()
        await asyncio.sleep(3600)


@given("an agent that dials an entry in virtual time")
def step_agent(context):
    context.runner = asyncio.Runner(loop_factory=virtual.VirtualLoop)
    context.closers = [context.runner.close]
    context.runner.run(_open(context))


@when("the entry has no power for {ms:d} ms")
def step_dark(context, ms):
    context.runner.run(asyncio.sleep(ms / 1000))
    context.tries = context.agent.tries


@when("the store shows a change of the entries")
def step_news(context):
    context.agent.has_power = True
    context.runner.run(_follow(context, _ADDRESS))


@when("the store no longer lists the entry for {ms:d} ms")
def step_unlisted(context, ms):
    context.runner.run(_follow(context))
    context.runner.run(asyncio.sleep(ms / 1000))


@when("the entry is back unlisted for {ms:d} ms")
def step_back(context, ms):
    context.agent.has_power = True
    context.runner.run(asyncio.sleep(ms / 1000))


@then("the agent reaches it within {ms:d} ms of its return")
def step_reaches(context, ms):
    context.agent.has_power = True
    context.runner.run(asyncio.wait_for(context.agent.reached.wait(), ms / 1000))


@then("the agent tried at most {count:d} times")
def step_tries(context, count):
    assert 0 < context.tries <= count, context.tries


@then("the agent has not reached it")
def step_not_reached(context):
    assert not context.agent.reached.is_set()


async def _open(context):
    context.agent = _Agent()
    wall = virtual.VirtualClock(asyncio.get_running_loop())
    tasks = background.new_background()
    context.dialer = dialing.Dialer(wall, tasks, context.agent)
    context.dialer.follow((_ADDRESS,))


async def _follow(context, *addresses):
    context.dialer.follow(addresses)
