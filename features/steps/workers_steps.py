"""Steps for the workers that a home knows."""

import asyncio

from behave import then, when

from jujubeglade.bench import loopback
from jujubeglade.tools import client

_ENDS_WITHIN_S = 1.0


@when(
    "a client submits a task of {run:d} ms there, and the home's clock stands "
    "{later:d} ms later"
)
def step_later(context, run, later):
    context.runner.run(_submit(context.cluster, run))
    (context.home,) = [each.home for each in context.cluster.agents if each.home.jobs]
    for worker in context.home.workers.values():
        # The time of the last use moves back, as the clock can't move on.
        worker.last_used_ms -= later
    context.runner.run(_tick(context.home))


@then("the home knows {count:d} workers")
def step_count(context, count):
    assert len(context.home.workers) == count, context.home.workers


async def _submit(cluster, run_ms):
    token = loopback.CALLER_TOKENS["workshop"]
    task = {"service": "parts", "payload": {"ms": run_ms}, "repeatable": True}
    async with client.open_client(cluster.entry_urls, token) as caller:
        (ticket,) = (await caller.tickets()).unwrap()
        (await caller.submit({"id": ticket, "tasks": [task]})).unwrap()
        await asyncio.sleep(_ENDS_WITHIN_S)


async def _tick(home):
    home.tick(0)
