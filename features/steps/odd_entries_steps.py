"""Steps for records that come from other writers and from strangers."""

import asyncio
import json
import logging.handlers
import random

import logbook
from behave import given, then, when
from features import odd_values

from jujubeglade.core import message
from jujubeglade.direct import job, report_cache

_TIMEOUT_S = 5.0
#: Random values use these seeds; a longer run gives -D seeds=N.
_DEFAULT_SEEDS = 2
_LOOP_EVENTS = ("loop broke off", "task broke off", "link broke off")
_SPECIAL_VALUES = {
    "negative resources": job.Resources(-1, 1, 0),
    "resources of texts": job.Resources("16000", "much", None),
}


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
