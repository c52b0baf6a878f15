"""Steps for the bounds on what clients hold, without a network."""

import dataclasses

import logbook
from behave import given, then, when

from jujubeglade.core import _inbound_bounds as bounds
from jujubeglade.core import _inbound_closures as closures
from jujubeglade.core import _inbound_eviction as eviction
from jujubeglade.core import clock, log, metrics, settings

_MIB = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An unfinished request; see `_inbound_eviction`."""

    name: str
    missing_share: float
    since_ms: float
    held_bytes: int


@given("unfinished requests at {now_ms:d} ms")
def step_requests(context, now_ms):
    context.now_ms = now_ms
    context.requests = [
        Request(
            row["name"], float(row["missing"]), float(row["since_ms"]), int(row["held"])
        )
        for row in context.table
    ]


@when("room is made for a connection with a bound of {bound:d}")
def step_room(context, bound):
    context.chosen = eviction.for_connections(context.requests, context.now_ms, bound)


@when("their bound is {bound:d} bytes")
def step_memory(context, bound):
    held = sum(request.held_bytes for request in context.requests)
    context.chosen = eviction.for_memory(context.requests, context.now_ms, held, bound)


@then("{names} give way")
def step_give_way(context, names):
    chosen = ", ".join(request.name for request in context.chosen) or "none"
    assert chosen == names, chosen


@when("the bounds are computed for {memory:d} MB and {descriptors:d} descriptors")
def step_bounds(context, memory, descriptors):
    mapping = settings.Inbound(memory_mb=memory, max_descriptors=descriptors)
    context.bounds = bounds.of_settings(mapping)


@then(
    "there are {connections:d} connections and {unfinished:d} MB of unfinished requests"
)
def step_computed(context, connections, unfinished):
    found = (context.bounds.connections, context.bounds.unfinished_bytes // _MIB)
    assert found == (connections, unfinished), found


@given("the closures of a process")
def step_closures(context):
    context.clock = clock.ManualClock()
    context.metrics = metrics.open_metrics()
    context.closures = closures.Closures(context.metrics, context.clock)


@when("{count:d} connections are closed over {seconds:d} seconds")
def step_close(context, count, seconds):
    log.set_level("warning")
    handler = logbook.TestHandler()
    with handler.applicationbound():
        for _ in range(count):
            context.closures.note("clients", "memory")
            context.clock.advance(seconds * 1000 / count)
    context.lines = [record.msg for record in handler.records]


@then("{count:d} are counted and {lines:d} lines are logged")
def step_counted(context, count, lines):
    body, _ = context.metrics.render()
    total = f'connections_closed_total{{cause="memory",listener="clients"}} {count}'
    assert total in body.decode(), body.decode()
    assert len(context.lines) == lines, context.lines
