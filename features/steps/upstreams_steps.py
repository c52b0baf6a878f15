"""Steps for the announcements of upstreams."""

import asyncio
import json

import aiohttp
from behave import given, then, when

from jujubeglade.bench import loopback


@given("an agent and its upstream desk")
def step_agent(context):
    context.runner = asyncio.Runner()
    context.opened = loopback.start(1, entries=1)
    held = context.runner.run(context.opened.__aenter__())
    context.desk_agent = held.agents[0]
    # The loopback's own upstream makes room for the one that the steps play.
    context.runner.run(held.upstreams[0].leave(_address(context)))
    context.closers = [lambda: _close(context)]


@when("the upstream posts {path} {body}")
def step_post(context, path, body):
    context.runner.run(_post(context, path, json.loads(body)))


@when("the upstream renews with the reports {reports}")
def step_renew(context, reports):
    lease = context.desk_answer["lease"]
    for running in reports.split():
        body = {"lease": lease, "running": int(running)}
        context.runner.run(_post(context, "/v1/renew", body))


@then("the agent offers {slots:d} slots")
def step_slots(context, slots):
    assert context.desk_agent.executor.load().slots == slots


@then("the upstream has a free slot")
def step_free(context):
    assert _upstream(context).has_free_slot


@then("the upstream has no free slot")
def step_taken(context):
    assert not _upstream(context).has_free_slot


@then("the desk answers {status:d}: {error}")
def step_refused(context, status, error):
    assert context.desk_status == status, context.desk_status
    assert context.desk_answer["error"].startswith(error), context.desk_answer


def _upstream(context):
    return context.desk_agent.executor.upstream(context.desk_answer["lease"])


def _address(context):
    return f"http://127.0.0.1:{context.desk_agent.announce_port}"


def _close(context):
    context.runner.run(context.opened.__aexit__(None, None, None))
    context.runner.close()


async def _post(context, path, body):
    async with (
        aiohttp.ClientSession() as session,
        session.post(_address(context) + path, json=body) as reply,
    ):
        context.desk_status = reply.status
        context.desk_answer = await reply.json()
