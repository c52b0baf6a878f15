"""Steps for the workers that a home keeps in memory."""

import asyncio

from behave import then, when

from jujubeglade.bench import loopback
from jujubeglade.tools import client

_TASK_WAIT_S = 1.0


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


async def _tick(home):
    home.tick(0)
