"""Steps for the concurrency limit of upstreams."""

from behave import given, then, when

from jujubeglade.agent import concurrency
from jujubeglade.bench import loopback
from jujubeglade.tools import client

_WAIT_MS = 20_000


@given("the {choice} concurrency of {slots:d} slots")
def step_window(context, choice, slots):
    context.window = concurrency.open_concurrency(slots, choice)


@when("the concurrency handles: {events}")
def step_events(context, events):
    for event in events.split(", "):
        words = event.split()
        if words[0] == "throttled":
            context.window.throttled(int(words[2]))
        elif words[-1] == "succeeded":
            for _ in range(int(words[0])):
                context.window.succeeded()


@then("at most {limit:d} tasks run at once")
def step_limit(context, limit):
    assert context.window.limit == limit, context.window.limit


@given("the rule concurrency of the cluster is {choice}")
def step_rule(context, choice):
    context.runner.run(_command(context.cluster, f"set rule concurrency {choice}"))


@when(
    "one upstream accepts at most {most:d} tasks, and {count:d} tasks of {run:d} ms "
    "are submitted"
)
def step_load(context, most, count, run):
    context.cluster.upstreams[0].set_faults(most=most)
    context.answer = context.runner.run(_submit(context.cluster, count, run))


@then("that upstream throttled at most {most:d} tasks and the job is complete")
def step_few(context, most):
    throttled = context.cluster.upstreams[0].refused_over_limit
    assert throttled <= most, throttled
    assert context.answer.state == "complete", context.answer.reason


@then("that upstream throttled more than {count:d} tasks")
def step_many(context, count):
    throttled = context.cluster.upstreams[0].refused_over_limit
    assert throttled > count, throttled


async def _command(cluster, text):
    token = loopback.OPERATOR_TOKENS["duty"]
    async with client.open_client(cluster.entry_urls, token) as operator:
        (await operator.command("concurrency-1", text)).unwrap()


async def _submit(cluster, count, run_ms):
    token = loopback.CALLER_TOKENS["workshop"]
    task = {"service": "parts", "payload": {"ms": run_ms}, "repeatable": True}
    async with client.open_client(cluster.entry_urls, token) as caller:
        (ticket,) = (await caller.tickets()).unwrap()
        job = {"id": ticket, "tasks": [task] * count}
        return (await caller.submit(job, _WAIT_MS)).unwrap()
