"""Steps for the bench's own arithmetic; the measurements are no tests."""

import statistics

from behave import then, when

from jujubeglade.bench import capacity, client, ideal, load, report, tally
from jujubeglade.fakes import upstream


def arrival(at_ms, urgency, runs, repeatable=True):
    """Make an arrival of tasks that run so long."""
    runs = tuple(int(each) for each in runs)
    return load.Arrival(at_ms, "alpha", "match", urgency, repeatable, runs, runs)


@when("the bench draws {rate:d} jobs a second for {seconds:d} s with seed {seed:d}")
def step_draw(context, rate, seconds, seed):
    context.arguments = (load.ASSOCIATION, rate, seconds * 1000, seed)
    context.drawn = load.draw(*context.arguments)


@then("the bench draws the same again")
def step_same(context):
    assert load.draw(*context.arguments) == context.drawn


@then(
    "the bench has drawn from {low:d} to {high:d} jobs of {least:d} to {most:d} tasks"
)
def step_drawn(context, low, high, least, most):
    assert low <= len(context.drawn) <= high, len(context.drawn)
    sizes = [len(each.run_ms) for each in context.drawn]
    assert (min(sizes), max(sizes)) == (least, most), (min(sizes), max(sizes))


@then("the bench drew run times from {low:d} to {high:d} ms, on average {a:d} to {b:d}")
def step_runs(context, low, high, a, b):
    runs = [run_ms for each in context.drawn for run_ms in each.run_ms]
    assert low <= min(runs) and max(runs) <= high
    assert a <= statistics.mean(runs) <= b, statistics.mean(runs)
    assert a <= load.mean_run_ms() <= b


@then("the bench's ideal of {runs} on {slots:d} slots is {expected:g} ms")
def step_ideal(context, runs, slots, expected):
    found = ideal.response_ms(arrival(0, "normal", runs.split()), slots)
    assert found == expected, found


@when("the bench queues on {slots:d} slot")
def step_queue(context, slots):
    arrivals = [
        arrival(float(row["at"]), row["class"], row["runs"].split())
        for row in context.table
    ]
    context.taken = ideal.best_queue(arrivals, slots)


@then("the bench's best queue takes {expected} ms")
def step_taken(context, expected):
    assert context.taken == [float(each) for each in expected.split()], context.taken


@when("a {kind} job of 2 tasks ended {state} with outcomes {outcomes}")
def step_ended(context, kind, state, outcomes):
    context.arrival = arrival(0, "normal", (50, 50), kind == "repeatable")
    named = tuple(outcomes.split(","))
    context.result = client.JobResult("1-a", 0, 0.0, 0.0, state, "", named, True, 1)


@when("its tasks started {starts} times")
def step_started(context, starts):
    context.started = [
        upstream.Started(0, "1-a", index, attempt, "a", "worker-1", "")
        for index, count in enumerate(starts.split(","))
        for attempt in range(int(count))
    ]


@then("the bench's judge finds {d:d} doubled, {u:d} untrue and {i:d} inexact")
def step_judged(context, d, u, i):
    found = tally.compare([context.arrival], [context.result], context.started)
    assert (found.doubled, found.untrue, found.inexact) == (d, u, i), found


@then("the bench shows {value:g} against {bound} {target:g} as {verdict}")
def step_verdict(context, value, bound, target, verdict):
    outcome = report.Outcome("some", "of one run")
    outcome.add("figure", value, **{bound: target})
    row = report.render(outcome).splitlines()[-1]
    assert row.split("|")[-2].strip() == verdict, row


@then("the bench's slope through {points} is {expected:g}")
def step_slope(context, points, expected):
    pairs = (each.split(":") for each in points.split())
    found = capacity.slope({float(x): float(y) for x, y in pairs})
    assert abs(found - expected) < 1e-9, found
