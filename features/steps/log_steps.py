"""Steps for structured logs."""

import contextlib
import io
import json
import os
import sys
import time

from behave import given, then, when

from jujubeglade.core import log

#: Up to 1 s until the clock's next second begins, and 0.5 s for 200 lines.
_MAX_DURATION_S = 1.5


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


@then("the log line after its time is")
def step_line(context):
    time_field, rest = context.stream.getvalue().rstrip("\n").split(" ", 1)
    assert time_field.startswith("time=20") and time_field.endswith("Z"), time_field
    assert rest == context.text, rest


@then("the log is empty")
def step_empty(context):
    assert context.stream.getvalue() == ""


@then("the log has {count:d} line")
def step_lines(context, count):
    assert len(context.stream.getvalue().splitlines()) == count


@given("JSON logs of {role} {name} at level {level}")
def step_json_logs(context, role, name, level):
    context.stream = io.StringIO()
    _set_up_json(context, context.stream, role, name, level)


@given("JSON logs to a full pipe of {role} {name} at level {level}")
def step_full_pipe(context, role, name, level):
    read_end, write_end = os.pipe()
    context.read_end = read_end
    os.set_blocking(write_end, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(write_end, b" " * 4096)
    os.set_blocking(write_end, True)
    _set_up_json(context, os.fdopen(write_end, "w"), role, name, level)


@when('the module {module} logs {count:d} lines "{event}" in one second')
def step_log_many(context, module, count, event):
    context.module = module
    started = time.monotonic()
    # The limit counts lines per second of the clock: start when a second begins.
    time.sleep(1 - time.time() % 1)
    for number in range(count):
        log.get(module).info(event, job=number)
    context.duration_s = time.monotonic() - started


@when("the reader reads all available bytes")
def step_read(context):
    context.received = b""
    os.set_blocking(context.read_end, False)
    for _ in range(100):
        with contextlib.suppress(BlockingIOError):
            context.received += os.read(context.read_end, 1 << 16)
        log.flush()


@then("{count:d} lines are written")
def step_written(context, count):
    log.flush()
    assert len(context.stream.getvalue().splitlines()) == count


@then("the reader has received {count:d} lines")
def step_received(context, count):
    assert context.received.count(b"\n") == count, context.received.count(b"\n")


@then("a line of another event reports {count:d} dropped lines")
def step_dropped(context, count):
    log.get(context.module).info("started")
    log.flush()
    last = json.loads(context.stream.getvalue().splitlines()[-1])
    assert last["dropped"] == count, last


@then("the process was not delayed")
def step_not_delayed(context):
    assert context.duration_s < _MAX_DURATION_S, context.duration_s


def _set_up_json(context, stream, role, name, level):
    log.setup(level, stream, role, name, "json")
    context.closers = [lambda: log.setup("error", sys.stderr, "test", "test")]
