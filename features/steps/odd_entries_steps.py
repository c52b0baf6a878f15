"""Steps for records that come from other writers and from strangers."""

import asyncio
import json
import logging.handlers
import socket
import tracemalloc
import zlib

import aiohttp
import logbook
import msgpack
from behave import given, then, when
from features import odd_values

from jujubeglade.core import _handshake, link, message, store
from jujubeglade.direct import contract, job, peer_entry, report_cache
from jujubeglade.entry import _command_submit
from jujubeglade.fakes import platform_site
from jujubeglade.platform import _operators, _store

_TIMEOUT_S = 5.0
#: Time for a change to reach all processes of the site.
_SETTLE_S = 0.3
_LOOP_EVENTS = ("loop broke off", "task broke off", "link broke off")
_LOSS_EVENTS = ("worker lost", "entry lost")
_UNEXPECTED = {
    "a message for agents": contract.Halt(job.TaskName("a" * 16, 0, 0), 1),
    "a message of a handshake": _handshake.Proof(b"0" * 32),
}
_RESOURCES = {
    "negative resources": job.Resources(-1, 1, 0),
    "resources of texts": job.Resources("16000", "much", None),
}


@when("a stranger sends entry {index:d} messages that are nested {depth:d} deep")
def step_nested(context, index, depth):
    data = odd_values.handshake_frame(odd_values.nested(depth))
    context.runner.run(_connect_and_send(_stream(context, index), data))


@when("a stranger sends entry {index:d} a first message with {field:w} {value}")
def step_odd_hello(context, index, field, value):
    identity = link.Identity("agent", "stranger", "0123456789", "zone-0")
    hello = _handshake.Hello(_handshake.PROTOCOL_VERSION, identity, b"0" * 16)
    object.__setattr__(hello, field, _odd_value(value))
    frame = odd_values.handshake_frame(message.encode(hello))
    # An answer invites the stranger's proof, which it can't give.
    proof = odd_values.handshake_frame(message.encode(_handshake.Proof(b"0" * 32)))
    context.closed = context.runner.run(
        _is_closed(_stream(context, index), frame, proof)
    )


@when("a peer with the key sends entry {index:d} {what}")
def step_odd_peer(context, index, what):
    data = msgpack.packb(7) if what == "a number" else message.encode(_UNEXPECTED[what])

    async def send():
        reader, writer = await asyncio.open_connection(*_stream(context, index))
        key = context.site.entry_settings(index)["cluster_key"].encode()
        identity = link.Identity("agent", "peer", "0123456789", "zone-0")
        (await _handshake.dial(reader, writer, key, identity)).unwrap()
        writer.write(data)
        return await _reaches_end(reader, writer)

    context.closed = context.runner.run(send())


@then("entry {index:d} closes that connection")
def step_closed(context, index):
    assert context.closed


@when("the copy of agent {index:d}'s worker has {field:w} {value}")
def step_odd_copy(context, index, field, value):
    report = context.site.agents[index]._runner.report
    copy = report_cache.Copy(
        report.instance.name,
        report.instance.started_ms,
        report.service,
        report.labels,
        report.total,
    )
    # The class is checked when it is decoded, not when it is made here.
    object.__setattr__(copy, field, _odd_value(value))
    _put_copy(context, index, message.encode(copy))


@when("the copy of agent {index:d}'s worker is messages that are nested {depth:d} deep")
def step_nested_copy(context, index, depth):
    _put_copy(context, index, odd_values.nested(depth))


@when("worker {index:d} refuses the next start with {body}")
def step_refusal(context, index, body):
    context.site.workers[index].next_refusal = json.loads(body)


@when("a client that goes on waiting sends {body}")
def step_wait(context, body):
    path = f"{platform_site.PREFIX}{'a' * 16}"
    request = context.site.request(0, "POST", path, body.encode())

    async def start():
        context.second_request = asyncio.create_task(request)

    context.runner.run(start())


@then("no link is lost")
def step_no_loss(context):
    lost = [item.msg for item in context.log.records if item.msg in _LOSS_EVENTS]
    assert not lost, lost


@when("another writer leaves {text} under {key}")
def step_leave(context, text, key):
    context.site.store.put_bytes(key, text.encode())
    context.runner.run(asyncio.sleep(_SETTLE_S))


@then('each process has logged "{event}" once at most')
def step_logged_once(context, event):
    count = sum(item.msg == event for item in context.log.records)
    processes = len(context.site.entries) + len(context.site.agents)
    assert count <= processes, count


@then('some process has logged "{event}"')
def step_logged(context, event):
    assert any(item.msg == event for item in context.log.records)


@when("the evacuations of these keys are read: {keys}")
def step_evacuations(context, keys):
    texts = [json.loads(f'"{key}"') for key in keys.split(", ")]
    context.evacuations = _operators.read_evacuations(texts, 7)


@then("the evacuated zones are {zones}")
def step_zones(context, zones):
    assert context.evacuations.zones == tuple(zones.split(", "))


@then("a peer can read these evacuations")
def step_readable(context):
    encoded = message.encode(context.evacuations)
    assert message.decode(encoded).ok_value == context.evacuations


@when("the store answers a page with {body}")
def step_page(context, body):
    context.page = _store._decode(200, json.loads(body), _store._page)


@then("the page is refused")
def step_page_refused(context):
    assert context.page.is_err(), context.page


@when("the key of a command's id holds {value}")
def step_claim(context, value):
    data = b"[" * 100_000 if value == "lists 100000 deep" else value.encode()
    entry = store.Entry("commands/c", data, 3)
    claim = _command_submit._Claim("ticket", "show zones", "duty")
    context.ticket = _command_submit._existing_ticket(entry, claim)


@then("the id is refused with the remedy: {remedy}")
def step_claim_refused(context, remedy):
    assert context.ticket.is_err(), context.ticket
    assert context.ticket.err_value.remedy == remedy, context.ticket


@when("a peer answers with {size:d} MB of zeros, compressed")
def step_large(context, size):
    data = zlib.compress(bytes(size << 20))
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    body = contract.CompressedConfiguration(data)
    context.configuration = peer_entry._decompress(body)


@then("the configuration of the peer is refused, and takes less than {size:d} MB")
def step_large_refused(context, size):
    _, peak = tracemalloc.get_traced_memory()
    assert context.configuration.is_err(), context.configuration
    assert peak < size << 20, peak


@when("a report arrives under the id {name}")
def step_odd_id(context, name):
    address = context.site.agent_settings(0)["control"]
    body = context.site.workers[0].report(1)

    async def send():
        async with aiohttp.ClientSession() as session:
            url = f"http://{address}/jujubeglade/instances/{name}"
            async with session.put(url, json=body) as response:
                return response.status

    context.report_status = context.runner.run(send())


@when("a client sends bytes that name the host {text}")
def step_odd_host(context, text):
    head = b"GET / HTTP/1.1\r\nHost: " + bytes.fromhex(text) + b"\r\n\r\n"

    def exchange():
        address = context.site.client_address(0)
        with socket.create_connection(address, _TIMEOUT_S) as client:
            client.sendall(head)
            return client.recv(1 << 12)

    context.answer = context.runner.run(asyncio.to_thread(exchange))


@then("it gets an answer")
def step_answer(context):
    assert context.answer.startswith(b"HTTP/1.1 4"), context.answer


@given("errors are recorded")
def step_record(context):
    context.log = logbook.TestHandler()
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)
    # What a callback of the event loop raises is logged by the library.
    context.library_log = logging.handlers.BufferingHandler(capacity=1 << 30)
    logger = logging.getLogger("asyncio")
    logger.addHandler(context.library_log)
    context.add_cleanup(lambda: logger.removeHandler(context.library_log))


@then("no loop has broken off")
def step_no_break(context):
    broken = [item for item in context.log.records if item.msg in _LOOP_EVENTS]
    assert not broken, [(item.msg, item.kwargs) for item in broken]
    errors = [item.getMessage() for item in context.library_log.buffer]
    assert not errors, errors


def _stream(context, index):
    """Return the address of an entry for agents, as a pair of host and port."""
    host, _ = context.site.client_address(index)
    _, _, port = context.site.entry_settings(0)["stream"].rpartition(":")
    return host, int(port)


async def _is_closed(address, *frames):
    """Send frames on a connection, and return whether the peer closes it."""
    reader, writer = await asyncio.open_connection(*address)
    for frame in frames:
        writer.write(frame)
    return await _reaches_end(reader, writer)


async def _reaches_end(reader, writer):
    """Return whether the peer closes a connection within a while."""
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            while await reader.read(1 << 16):
                pass
    except TimeoutError:
        return False
    except OSError:
        return True
    finally:
        writer.close()
    return True


def _odd_value(text):
    """Return the value of a field that an example gives, as JSON or by its name."""
    if text in _RESOURCES:
        return _RESOURCES[text]
    value = json.loads(text)
    return tuple(value) if isinstance(value, list) else value


def _put_copy(context, index, data):
    context.site.store.put_bytes(f"{report_cache.PREFIX}agent-{index}", data)


async def _connect_and_send(address, data):
    """Send bytes on a connection of their own, once the port is open."""
    async with asyncio.timeout(_TIMEOUT_S):
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address)
                break
            except OSError:
                await asyncio.sleep(0.05)
        writer.write(data)
        await writer.drain()
        await reader.read()
        writer.close()
