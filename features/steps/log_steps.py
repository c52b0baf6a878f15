"""Steps for structured logs."""

import io

from behave import given, then, when

from jujubeglade.core import log


@given("logs of {role} {name} at level {level}")
def step_logs(context, role, name, level):
    context.stream = io.StringIO()
    log.setup(level, context.stream, role, name)


@when('the module {module} logs {level} "{event}" with')
def step_log(context, module, level, event):
    fields = {row["field"]: row["value"].replace("\\n", "\n") for row in context.table}
    getattr(log.get(module), level)(event, **fields)


@when("the module {module} logs an exception")
def step_exception(context, module):
    try:
        raise ValueError("two\nlines")
    except ValueError:
        log.get(module).exception("unexpected")


@then("the log says, after the time,")
def step_says(context):
    time, rest = context.stream.getvalue().rstrip("\n").split(" ", 1)
    assert time.startswith("time=20") and time.endswith("Z"), time
    assert rest == context.text, rest


@then("the log is empty")
def step_empty(context):
    assert context.stream.getvalue() == ""


@then("the log has {count:d} line")
def step_lines(context, count):
    assert len(context.stream.getvalue().splitlines()) == count
