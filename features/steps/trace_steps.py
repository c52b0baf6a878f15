"""Steps for the check of recorded events."""

from behave import given, then, when

from jujubeglade.model import trace

_PERMITS = "0 a 1 permit - 0 0 0 until_ms=900; 0 b 1 permit - 0 0 0 until_ms=900"


@given('trace columns "{columns}"')
def step_columns(context, columns):
    context.columns = columns.split()


def _event(columns, line):
    """Read one line: a word for each column, then NAME=VALUE for other fields."""
    words = line.split()
    fields = dict(zip(columns, words, strict=False))
    fields.update(word.split("=") for word in words[len(columns) :])
    kind = trace.Kind(fields.pop("kind"))
    numbers = {name: int(text) for name, text in fields.items() if text.isdigit()}
    return trace.Event(kind=kind, **{**fields, **numbers})


@when("the trace is")
def step_trace(context):
    lines = context.text.splitlines()
    context.found = trace.check(_event(context.columns, line) for line in lines)


@when('a permitted trace is "{events}"')
def step_permitted_trace(context, events):
    lines = f"{_PERMITS}; {events}".split("; ")
    context.found = trace.check(_event(context.columns, line) for line in lines)


@then("the trace breaks nothing")
def step_breaks_nothing(context):
    assert context.found == (), context.found


@then('the trace breaks "{rule}" with "{sentence}"')
def step_breaks(context, rule, sentence):
    found = [(each.rule, each.message) for each in context.found]
    assert found == [(rule, sentence)], found
