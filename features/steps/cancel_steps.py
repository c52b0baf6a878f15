"""Steps for cancelled jobs."""

import asyncio

from behave import given, then, when

from jujubeglade.bench import loopback
from jujubeglade.tools import client

_WAIT_MS = 5000


@given("a loopback cluster of {workers:d} workers")
def step_loopback(context, workers):
    context.runner = asyncio.Runner()
    context.cluster_context = loopback.start(workers)
    context.cluster = context.runner.run(context.cluster_context.__aenter__())
    context.closers = [lambda: _close(context)]


@when(
    "a client submits a task of {run:d} ms and cancels it {delay:d} ms later, 5 times"
)
def step_cancel_one(context, run, delay):
    context.answers = [
        context.runner.run(_submit_and_cancel(context.cluster, 1, run, delay))
        for _ in range(5)
    ]


@when(
    "a client submits {count:d} tasks of {run:d} ms and cancels them {delay:d} ms "
    "later, 1 times"
)
def step_cancel_many(context, count, run, delay):
    coroutine = _submit_and_cancel(context.cluster, count, run, delay)
    context.answers = [context.runner.run(coroutine)]


@then("the answers report exactly the tasks that no upstream started as not run")
def step_true_outcomes(context):
    started = {
        (start.key, start.index)
        for upstream in context.cluster.upstreams
        for start in upstream.started
    }
    assert started
    for answer in context.answers:
        assert answer.state == "failed"
        key = answer.id.split(".")[0]
        for index, task in enumerate(answer.tasks):
            assert (task.outcome == "not_run") == ((key, index) not in started), task


@then("{count:d} tasks are answered as not run")
def step_count(context, count):
    (answer,) = context.answers
    outcomes = [task.outcome for task in answer.tasks]
    assert outcomes.count("not_run") == count, outcomes.count("not_run")


def _close(context):
    context.runner.run(context.cluster_context.__aexit__(None, None, None))
    context.runner.close()


async def _submit_and_cancel(cluster, count, run_ms, delay_ms):
    token = loopback.CALLER_TOKENS["workshop"]
    task = {"service": "parts", "payload": {"ms": run_ms}, "repeatable": True}
    async with client.open_client(cluster.entry_urls, token) as caller:
        (ticket,) = (await caller.tickets()).unwrap()
        job = {"id": ticket, "tasks": [task] * count}
        (await caller.submit(job)).unwrap()
        await asyncio.sleep(delay_ms / 1000)
        answer = (await caller.cancel(ticket)).unwrap()
        return (
            answer if answer.tasks else (await caller.status(ticket, _WAIT_MS)).unwrap()
        )
