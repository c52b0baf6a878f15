"""Steps for the bounds on what clients hold, without a network."""

import asyncio
import collections
import dataclasses

import logbook
from aiohttp import web
from behave import given, then, when

from jujubeglade.core import _inbound_bounds as bounds
from jujubeglade.core import _inbound_closures as closures
from jujubeglade.core import _inbound_eviction as eviction
from jujubeglade.core import _inbound_pacing as pacing
from jujubeglade.core import clock, inbound, link, log, metrics, settings

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


class FakeLoop:
    """An event loop whose time passes only while input is parsed."""

    def __init__(self):
        """Start at 0."""
        self.now_s = 0.0
        self.scheduled = collections.deque()

    def time(self):
        """Return the time."""
        return self.now_s

    def call_soon(self, callback):
        """Call a function in the next turn."""
        self.scheduled.append(callback)


class FakeConnection:
    """A connection whose input takes a known time to parse."""

    def __init__(self, loop, name, cost_s, parsed, *, is_large):
        """Create a connection that appends its name to `parsed`."""
        self._loop = loop
        self._name = name
        self._cost_s = cost_s
        self._parsed = parsed
        self.is_large = is_large
        self.is_paused = False

    def pause(self):
        """Read no more."""
        self.is_paused = True

    def resume(self):
        """Parse, and read again."""
        assert self.is_paused
        self.process()
        self.is_paused = False

    def process(self):
        """Parse the input."""
        self._loop.now_s += self._cost_s
        self._parsed.append(self._name)


@given("a pacer whose turns are 10 ms")
def step_pacer(context):
    context.loop = FakeLoop()
    context.pacer = pacing.ReadPacer(context.loop)


@when("in one turn input of these connections arrives")
def step_arrives(context):
    parsed = []
    connections = [
        FakeConnection(
            context.loop,
            row["name"],
            int(row["ms"]) / 1000,
            parsed,
            is_large=row["large"] == "yes",
        )
        for row in context.table
    ]
    for connection in connections:
        context.pacer.offer(connection)
    context.turns = [tuple(parsed)]
    while context.loop.scheduled:
        parsed.clear()
        context.loop.scheduled.popleft()()
        context.turns.append(tuple(parsed))


@then("the turns parse")
def step_turns(context):
    expected = [tuple(row["names"].split()) for row in context.table]
    assert context.turns == expected, context.turns


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


class _Handler:
    """The handler of links on which nothing is sent."""

    def on_link(self, peer_link):
        """Do nothing."""

    def on_message(self, peer_link, body):
        """Do nothing."""


@when(
    "{count:d} processes dial a listener at once, beside {silent:d} silent connections"
)
def step_dial(context, count, silent):
    context.dialed = asyncio.run(_dial(count, silent))


async def _dial(count, silent):
    key, handler = b"cluster-key-of-a-test", _Handler()
    identity = link.Identity("entry", "entry", "1", "zone")
    server = await link.serve(("127.0.0.1", 0), key, identity, handler, count)
    address = ("127.0.0.1", server.port)
    streams = [await asyncio.open_connection(*address) for _ in range(silent)]
    dialer = link.Identity("agent", "agent", "1", "zone")
    dialed = await asyncio.gather(
        *(link.dial(address, key, dialer, handler) for _ in range(count))
    )
    for result in dialed:
        if result.is_ok():
            result.ok_value.abort()
    for _, writer in streams:
        writer.transport.abort()
    await server.close()
    return [result.is_ok() for result in dialed]


@then("all of them have a link")
def step_all_linked(context):
    assert all(context.dialed), context.dialed.count(False)


@given("a listener with one place, on which a request is being served")
def step_one_place(context):
    context.request = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"


@when("another client connects and sends a request")
def step_another(context):
    context.answers = asyncio.run(_fill_one_place(context.request))


async def _fill_one_place(request):
    """Return what the first and the second client get."""
    served, may_answer = asyncio.Event(), asyncio.Event()

    async def handle(_):
        served.set()
        await may_answer.wait()
        return web.Response(text="done")

    app = web.Application()
    app.router.add_post("/x", handle)
    options = inbound.ListenerOptions(lambda: 1)
    listener = inbound.default_inbound().new_listener("clients", app, options)
    await listener.open("127.0.0.1", 0)
    first_reader, first_writer = await asyncio.open_connection(
        "127.0.0.1", listener.port
    )
    first_writer.write(request)
    await served.wait()
    second_answer = await _exchange(listener.port, request)
    may_answer.set()
    first_answer = await first_reader.readline()
    first_writer.close()
    await listener.close()
    return first_answer, second_answer


async def _exchange(port, request):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request)
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


@then("that client gets no answer, and the first one is answered")
def step_no_answer(context):
    first, second = context.answers
    assert first.startswith(b"HTTP/1.1 200"), first
    assert second == b"", second
