"""Steps for the concurrency of upstreams."""

from behave import given, then, when

from jujubeglade.agent import concurrency
from jujubeglade.bench import loopback
from jujubeglade.tools import client

_WAIT_MS = 20_000


@given("the {choice} concurrency of {slots:d} slots")
def step_window(context, choice, slots):
    context.window = concurrency.open_concurrency(slots, choice)


@when("it hears: {events}")
def step_hears(context, events):
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


@given("the rule concurrency is {choice} there")
def step_rule(context, choice):
    context.runner.run(_command(context.held, f"set rule concurrency {choice}"))


@when(
    "one of its upstreams takes {most:d} tasks at most, and {count:d} tasks of "
    "{run:d} ms come"
)
def step_load(context, most, count, run):
    context.held.upstreams[0].set_faults(most=most)
    context.answer = context.runner.run(_submit(context.held, count, run))


@then("it turned away at most {most:d} and in the end no tasks")
def step_few(context, most):
    turned = context.held.upstreams[0].turned_away
    assert turned <= most, turned
    assert context.answer.state == "complete", context.answer.reason


@then("it turned away over {least:d} tasks")
def step_many(context, least):
    turned = context.held.upstreams[0].turned_away
    assert turned > least, turned


async def _command(held, text):
    token = loopback.OPERATOR_TOKENS["duty"]
    async with client.open_client(held.entry_urls, token) as operator:
        (await operator.command("concurrency-1", text)).unwrap()


async def _submit(held, count, run_ms):
    token = loopback.CALLER_TOKENS["workshop"]
    task = {"service": "parts", "payload": {"ms": run_ms}, "repeatable": True}
    async with client.open_client(held.entry_urls, token) as caller:
        (ticket,) = (await caller.tickets()).unwrap()
        job = {"id": ticket, "tasks": [task] * count}
        return (await caller.submit(job, _WAIT_MS)).unwrap()
