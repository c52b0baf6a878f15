"""Steps for the clock."""

from behave import given, then, when

from jujubeglade.core import clock


@given("a manual clock at {start:d} ms")
def step_manual_clock(context, start):
    context.clock = clock.ManualClock(start)


@when("the clock advances by {duration:d} ms")
def step_advance(context, duration):
    context.clock.advance(duration)


@then("the clock reads {expected:d} ms")
def step_reads(context, expected):
    assert context.clock.now_ms() == expected
