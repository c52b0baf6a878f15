"""Steps for the check of recorded events."""

from behave import given, then, when

from jujubeglade.model import trace

_PERMITS = "0 a 1 permit - 0 0 0 until_ms=900; 0 b 1 permit - 0 0 0 until_ms=900"


@given('the trace columns "{columns}"')
def step_columns(context, columns):
    context.columns = columns.split()


def _event(columns, line):
    """Parse a line: a word for each column, then NAME=VALUE for other fields."""
    words = line.split()
    fields = dict(zip(columns, words, strict=False))
    fields.update(word.split("=") for word in words[len(columns) :])
    kind = trace.Kind(fields.pop("kind"))
    numbers = {name: int(text) for name, text in fields.items() if text.isdigit()}
    return trace.Event(kind=kind, **{**fields, **numbers})


@when("the trace is")
def step_trace(context):
    lines = context.text.splitlines()
    context.violations = trace.check(_event(context.columns, line) for line in lines)


@when('the trace with permits is "{events}"')
def step_permitted_trace(context, events):
    lines = f"{_PERMITS}; {events}".split("; ")
    context.violations = trace.check(_event(context.columns, line) for line in lines)


@then("the trace violates no rule")
def step_no_violation(context):
    assert context.violations == (), context.violations


@then('the trace violates "{rule}" with "{message}"')
def step_violates(context, rule, message):
    actual = [(violation.rule, violation.message) for violation in context.violations]
    assert actual == [(rule, message)], actual
