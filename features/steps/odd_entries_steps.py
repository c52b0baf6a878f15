"""Steps for records that come from other writers and from strangers."""

import asyncio
import logging.handlers

import logbook
from behave import given, then, when
from features import odd_values

_TIMEOUT_S = 5.0
_LOOP_EVENTS = ("loop broke off", "task broke off", "link broke off")


@when("a stranger sends entry {index:d} messages that are nested {depth:d} deep")
def step_nested(context, index, depth):
    host, _ = context.site.client_address(index)
    _, _, port = context.site.entry_settings(0)["stream"].rpartition(":")
    data = odd_values.handshake_frame(odd_values.nested(depth))
    context.runner.run(_connect_and_send((host, int(port)), data))


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
