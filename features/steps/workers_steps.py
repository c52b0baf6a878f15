"""Steps for the workers that a home keeps in memory."""

import asyncio
import dataclasses

from behave import then, when

from jujubeglade.bench import loopback
from jujubeglade.tools import client

_TASK_WAIT_S = 1.0
_LINK_TIMEOUT_MS = 2000
_DIAL_WAIT_S = 0.5
_EARLIER_INCARNATION = "0" * 10


@when(
    "a client submits a task of {run:d} ms there, and its workers' last use is made "
    "{older:d} ms older"
)
def step_older(context, run, older):
    context.runner.run(_submit(context.cluster, run))
    (context.home,) = [
        agent.home for agent in context.cluster.agents if agent.home.jobs
    ]
    for worker in context.home.workers.values():
        # The last use is made older, as the cluster's clock can't be advanced.
        worker.last_used_ms -= older
    context.runner.run(_tick(context.home))


@when("a home uses a worker and then dials an earlier incarnation at its address")
def step_dial_earlier(context):
    context.runner.run(_dial_earlier(context))


@then("the home's link to the present incarnation is still open")
def step_still_open(context):
    assert context.present.link is context.link
    assert context.link.is_open


@then("the home gives up the earlier incarnation")
def step_given_up(context):
    assert context.earlier.gone


@then("the home has {count:d} workers")
def step_count(context, count):
    assert len(context.home.workers) == count, context.home.workers


async def _submit(cluster, run_ms):
    token = loopback.CALLER_TOKENS["workshop"]
    task = {"service": "parts", "payload": {"ms": run_ms}, "repeatable": True}
    async with client.open_client(cluster.entry_urls, token) as caller:
        (ticket,) = (await caller.tickets()).unwrap()
        (await caller.submit({"id": ticket, "tasks": [task]})).unwrap()
        await asyncio.sleep(_TASK_WAIT_S)


async def _dial_earlier(context):
    (entry, *_) = context.cluster.entries
    home_agent, other = context.cluster.agents
    (member,) = [
        presence.member
        for presence in entry.membership.live_agents()
        if presence.member.incarnation == other.identity.incarnation
    ]
    context.present = home_agent.home.worker_for(member)
    context.link = await context.present.wait_for_link(_LINK_TIMEOUT_MS)
    earlier = dataclasses.replace(member, incarnation=_EARLIER_INCARNATION)
    context.earlier = home_agent.home.worker_for(earlier)
    await asyncio.sleep(_DIAL_WAIT_S)


async def _tick(home):
    home.tick(0)
