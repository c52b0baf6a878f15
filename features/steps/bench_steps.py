"""Steps for the arithmetic of the bench; the measurements themselves are no tests."""

import statistics

from behave import then, when

from jujubeglade.bench import capacity, client, ideal, load, report, tally
from jujubeglade.fakes import upstream


def arrival(at_ms, urgency, runs, repeatable=True):
    """Return an arrival of tasks with the given run times in ms."""
    runs = tuple(int(run_ms) for run_ms in runs)
    return load.Arrival(at_ms, "alpha", "match", urgency, repeatable, runs, runs)


@when("the bench draws {rate:d} jobs a second for {seconds:d} s with seed {seed:d}")
def step_draw(context, rate, seconds, seed):
    context.arguments = (load.ASSOCIATION, rate, seconds * 1000, seed)
    context.arrivals = load.draw(*context.arguments)


@then("the bench draws the same load again")
def step_same(context):
    assert load.draw(*context.arguments) == context.arrivals


@then(
    "the bench has drawn from {low:d} to {high:d} jobs of {least:d} to {most:d} tasks"
)
def step_drawn(context, low, high, least, most):
    assert low <= len(context.arrivals) <= high, len(context.arrivals)
    sizes = [len(drawn.run_ms) for drawn in context.arrivals]
    assert (min(sizes), max(sizes)) == (least, most), (min(sizes), max(sizes))


@then(
    "the bench drew run times from {low:d} to {high:d} ms, "
    "on average {least:d} to {most:d}"
)
def step_runs(context, low, high, least, most):
    runs = [run_ms for drawn in context.arrivals for run_ms in drawn.run_ms]
    assert low <= min(runs) and max(runs) <= high
    assert least <= statistics.mean(runs) <= most, statistics.mean(runs)
    assert least <= load.mean_run_ms() <= most


@then("the bench's ideal response time of {runs} on {slots:d} slots is {expected:g} ms")
def step_ideal(context, runs, slots, expected):
    actual_ms = ideal.response_ms(arrival(0, "normal", runs.split()), slots)
    assert actual_ms == expected, actual_ms


@when("the bench queues on {slots:d} slot")
def step_queue(context, slots):
    arrivals = [
        arrival(float(row["at"]), row["class"], row["runs"].split())
        for row in context.table
    ]
    context.response_ms = ideal.best_queue(arrivals, slots)


@then("the bench's best queue takes {expected} ms")
def step_taken(context, expected):
    assert context.response_ms == [float(ms) for ms in expected.split()], (
        context.response_ms
    )


@when("a {kind} job of 2 tasks ended {state} with outcomes {outcomes}")
def step_ended(context, kind, state, outcomes):
    context.arrival = arrival(0, "normal", (50, 50), kind == "repeatable")
    task_outcomes = tuple(outcomes.split(","))
    context.result = client.JobResult(
        "1-a", 0, 0.0, 0.0, state, "", task_outcomes, True, 1
    )


@when("its tasks started {starts} times")
def step_started(context, starts):
    context.starts = [
        upstream.Started(0, "1-a", index, attempt, "a", "worker-1", "")
        for index, count in enumerate(starts.split(","))
        for attempt in range(int(count))
    ]


@then(
    "the bench's judge finds {doubled:d} doubled, {untrue:d} untrue "
    "and {inexact:d} inexact"
)
def step_judged(context, doubled, untrue, inexact):
    verdict = tally.compare([context.arrival], [context.result], context.starts)
    assert (verdict.doubled, verdict.untrue, verdict.inexact) == (
        doubled,
        untrue,
        inexact,
    ), verdict


@then("the bench shows {value:g} against {bound} {target:g} as {verdict}")
def step_verdict(context, value, bound, target, verdict):
    outcome = report.Outcome("some", "of one run")
    outcome.add("figure", value, **{bound: target})
    row = report.render(outcome).splitlines()[-1]
    assert row.split("|")[-2].strip() == verdict, row


@then("the bench's slope through {points} is {expected:g}")
def step_slope(context, points, expected):
    pairs = (point.split(":") for point in points.split())
    actual = capacity.slope({float(x): float(y) for x, y in pairs})
    assert abs(actual - expected) < 1e-9, actual
