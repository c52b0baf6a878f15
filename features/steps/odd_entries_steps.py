"""Steps for records that come from other writers and from strangers."""

import asyncio
import json
import logging.handlers
import random
import socket

import aiohttp
import logbook
from behave import given, then, when
from features import odd_values

from jujubeglade.core import fields, message, store
from jujubeglade.direct import contract, job, report_cache, route
from jujubeglade.fakes import platform_site
from jujubeglade.platform import _body, _operators, _submission, _worker

_TIMEOUT_S = 5.0
#: Random values use these seeds; a longer run gives -D seeds=N.
_DEFAULT_SEEDS = 2
_LOOP_EVENTS = ("loop broke off", "task broke off", "link broke off")
_LOSS_EVENTS = ("worker lost", "entry lost")
_ROUTE = route.Route("r", "host", "/", "parts", 0, 3, 1.6, 60.0, False)
_SPECIAL_VALUES = {
    "negative resources": job.Resources(-1, 1, 0),
    "resources of texts": job.Resources("16000", "much", None),
}
_REPORT = {
    "service": "parts",
    "state": "ready",
    "capacity": {"cpu": 16_000, "requestedMemoryMb": 1 << 18, "gpu": 0},
    "labels": ["a", "r1-3"],
    "sequence": 4,
    "clockMs": 5000,
    "born": 1_700_000_000_000,
}
_POLL = {
    "clockMs": 5000,
    "born": 1_700_000_000_000,
    "running": [["0123456789abcdef.0.0.0", 1, "", 100]],
    "finished": [[1, "0123456789abcdef.0.0.1", 1, "done", ""]],
}
_CONFIGURATION = {
    "version": 3,
    "routes": [
        {"name": "r", "host": "h", "prefix": "/", "service": "s", "priority": 1}
        | {"maxAttempts": 3, "slackFactor": 1.6, "targetLatencyMs": 60}
    ],
    "services": [{"name": "s", "admissionCheck": False}],
    "limits": {"maxBodyBytes": 262144},
}
_checks = {}


@when("a stranger sends entry {index:d} messages that are nested {depth:d} deep")
def step_nested(context, index, depth):
    host, _ = context.site.client_address(index)
    _, _, port = context.site.entry_settings(0)["stream"].rpartition(":")
    data = odd_values.handshake_frame(odd_values.nested(depth))
    context.runner.run(_connect_and_send((host, int(port)), data))


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
    odd = _SPECIAL_VALUES.get(value)
    nested = b""
    if value == "messages 400 deep":
        nested = odd_values.nested(400)
        odd = 0
    elif odd is None:
        odd = json.loads(value)
    # The class is checked when it is decoded, not when it is made here.
    object.__setattr__(copy, field, tuple(odd) if isinstance(odd, list) else odd)
    data = nested or message.encode(copy)
    context.site.store.put_bytes(f"{report_cache.PREFIX}agent-{index}", data)


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


@given("{count:d} odd messages for each of the seeds")
def step_messages(context, count):
    context.inputs = [
        (seed, odd_values.encoded(rng))
        for seed, rng in _generators(context)
        for _ in range(count)
    ]


@then("each is refused or comes out of the codec as it went in")
def step_codec(context):
    accepted = 0
    for seed, data in context.inputs:
        decoded = message.decode(data)
        if decoded.is_err():
            continue
        accepted += 1
        again = message.decode(message.encode(decoded.ok_value))
        assert repr(again) == repr(decoded), (seed, data.hex())
    print(f"{accepted} of {len(context.inputs)} accepted")
    assert accepted


@given("{count:d} odd bodies of each kind for each of the seeds")
def step_bodies(context, count):
    context.inputs = [
        (seed, kind, odd_values.body(rng, usual))
        for seed, rng in _generators(context)
        for kind, (usual, _) in _checks.items()
        for _ in range(count)
    ]


@then("each is refused or what it leads to can be encoded")
def step_encoded(context):
    accepted = 0
    for seed, kind, data in context.inputs:
        _, check = _checks[kind]
        try:
            accepted += check(data)
        except Exception as error:
            raise AssertionError(f"{kind}, seed {seed}: {data}") from error
    print(f"{accepted} of {len(context.inputs)} accepted")
    assert accepted


def _kind(name, usual):
    """Return a decorator that registers the check of a kind of bodies."""

    def register(function):
        _checks[name] = (usual, function)
        return function

    return register


@_kind("report", _REPORT)
def _check_report(data):
    try:
        report = _worker._report("w-0", _body.loads(data))
    except (_body.MalformedError, fields.FieldError):
        return False
    copy = report_cache.unpack(report_cache.pack(report, 1 << 60))
    assert copy is not None
    assert copy.report() is None or copy.report().total == report.total
    room = contract.Room(
        *(report.service, report.labels, report.total, report.total, report.total),
        *(True, 0, 0, 0, 0, 0.0, False),
    )
    assert message.decode(message.encode(room)).is_ok()
    return True


@_kind("poll", _POLL)
def _check_poll(data):
    try:
        reply = _worker._poll_reply(_body.loads(data))
    except (_body.MalformedError, fields.FieldError):
        return False
    # As the runner computes with it.
    names = {task for task, _ in set(reply.running)}
    names |= {finished.task for finished in reply.finished}
    assert all(isinstance(name, job.TaskName) for name in names)
    assert max((finished.number for finished in reply.finished), default=0) >= 0
    return True


@_kind("submission", platform_site.job(2, 1, 30, after=[], requirements="a"))
def _check_submission(data):
    try:
        parsed = _submission.parse("0123456789abcdef", _ROUTE, data, 1500)
    except (_body.MalformedError, _submission.UnsupportedError):
        return False
    submission = parsed.submission
    for step in submission.steps:
        name = job.TaskName(submission.job_id, 0, 0)
        begin = contract.Begin(
            *(name, 1, "parts", submission.spec, step.needs, step.label),
            *(1, 1500.0, 0.0, False),
        )
        assert message.decode(message.encode(begin)).is_ok()
    return True


@_kind("configuration", _CONFIGURATION)
def _check_configuration(data):
    entry = store.Entry("op/config", data, 7)
    configuration = _operators.read_configuration(entry)
    if configuration is None:
        return False
    assert message.decode(message.encode(configuration)).ok_value == configuration
    return True


def _generators(context):
    """Yield each seed with its random.Random."""
    seeds = int(context.config.userdata.get("seeds", _DEFAULT_SEEDS))
    for seed in range(1, seeds + 1):
        yield seed, random.Random(seed)


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
