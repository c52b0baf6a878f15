"""Steps for the announcements of upstreams."""

import asyncio
import json
import types

import aiohttp
from behave import given, then, when

from jujubeglade.agent import upstream
from jujubeglade.bench import loopback
from jujubeglade.core import message


@given("an agent that accepts announcements of upstreams")
def step_agent(context):
    context.runner = asyncio.Runner()
    context.cluster_context = loopback.start(1, entries=1)
    cluster = context.runner.run(context.cluster_context.__aenter__())
    context.agent = cluster.agents[0]
    # The cluster's own upstream leaves, as the steps announce one instead.
    context.runner.run(cluster.upstreams[0].leave(_address(context)))
    context.closers = [lambda: _close(context)]


@when("the upstream posts {path} {body}")
def step_post(context, path, body):
    context.runner.run(_post(context, path, json.loads(body)))


@when("the upstream renews with the reports {reports}")
def step_renew(context, reports):
    lease = context.reply_fields["lease"]
    for running in reports.split():
        body = {"lease": lease, "running": int(running)}
        context.runner.run(_post(context, "/v1/renew", body))


@when("an upstream turns a task away with Retry-After {text}")
def step_throttled(context, text):
    reply = types.SimpleNamespace(status=429, headers={"Retry-After": text})
    context.call_result = upstream._outcome_of(reply, b"")


@then("the agent waits {ms:d} ms")
def step_waits(context, ms):
    assert context.call_result.retry_after_ms == ms, context.call_result


@then("the agent offers {slots:d} slots")
def step_slots(context, slots):
    assert context.agent.executor.load().slots == slots


@then("the entries can read its load")
def step_readable(context):
    load = context.agent.executor.load()
    decoded = message.decode(message.encode(load))
    assert decoded.is_ok(), decoded
    assert decoded.ok_value == load


@then("the upstream has a free slot")
def step_free_slot(context):
    assert _upstream(context).has_free_slot


@then("the upstream has no free slot")
def step_no_free_slot(context):
    assert not _upstream(context).has_free_slot


@then("the agent answers the upstream with {status:d}: {error}")
def step_refused(context, status, error):
    assert context.reply_status == status, context.reply_status
    assert context.reply_fields["error"].startswith(error), context.reply_fields


def _upstream(context):
    return context.agent.executor.upstream(context.reply_fields["lease"])


def _address(context):
    return f"http://127.0.0.1:{context.agent.announce_port}"


def _close(context):
    context.runner.run(context.cluster_context.__aexit__(None, None, None))
    context.runner.close()


async def _post(context, path, body):
    async with (
        aiohttp.ClientSession() as session,
        session.post(_address(context) + path, json=body) as reply,
    ):
        context.reply_status = reply.status
        context.reply_fields = await reply.json()
