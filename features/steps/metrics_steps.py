"""Steps for metrics."""

from behave import given, then, when

from jujubeglade.core import metrics


def samples(context):
    """Return the sorted sample lines of the rendered metrics, without comments."""
    body, content_type = context.metrics.render()
    assert content_type.startswith("text/plain")
    lines = body.decode("utf-8").splitlines()
    return sorted(line for line in lines if line and not line.startswith("#"))


@given("metrics with at most {count:d} tenants")
def step_metrics(context, count):
    context.metrics = metrics.open_metrics(max_tenants=count)


@when("the metrics count")
def step_count(context):
    for row in context.table:
        counter = metrics.Counter(row["counter"])
        values = row["labels"].split()
        context.metrics.count(counter, *values, amount=int(row["amount"]))


@when("the metrics set {gauge} to {value:d}")
def step_set(context, gauge, value):
    context.metrics.set(metrics.Gauge(gauge), value)


@when("jobs of {tenant} and class {class_} take {durations} ms")
def step_observe(context, tenant, class_, durations):
    for duration in durations.split():
        context.metrics.observe_latency(tenant, class_, float(duration))


@then("the metrics show")
def step_show(context):
    actual = samples(context)
    assert actual == context.text.splitlines(), "\n".join(actual)


@then("the metrics include")
def step_include(context):
    actual = samples(context)
    missing = [line for line in context.text.splitlines() if line not in actual]
    assert not missing, "\n".join(actual)


@then("two reads of the metrics are equal")
def step_twice(context):
    assert samples(context) == samples(context)
