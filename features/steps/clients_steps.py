"""Steps for crowds of clients that don't finish their requests."""

import asyncio
import json
import os

from behave import given, then, when
from features import crowd_rig

from jujubeglade.fakes import platform_site

#: How long a crowd sends before anything is checked.
_CROWD_S = 6.0
_PAUSE_S = 0.05
_PIECE_BYTES = 4096
_BODY_BYTES = 256 * 1024


@given("a platform site of processes on the smallest machines")
def step_platform_site(context):
    _open(context, crowd_rig.Site)


@given("a cluster of processes on the smallest machines")
def step_cluster(context):
    _open(context, crowd_rig.TicketSite)


@when("{count:d} clients of kind {kind} connect to the listener {listener} of {name}")
def step_crowd(context, count, kind, listener, name):
    context.crowd = crowd_rig.Crowd(context.site, name, listener, kind, count)
    context.closers.append(lambda: context.runner.run(context.crowd.close()))
    context.runner.run(context.crowd.start(_CROWD_S))


@then("the process lives within the memory and the descriptors of its machine")
def step_within(context):
    context.crowd.check()


@then("an ordinary job is completed and the entry is ready")
def step_ordinary(context):
    context.runner.run(context.site.complete_job())
    context.runner.run(context.site.check_ready())


@when("these clients have gone")
def step_gone(context):
    context.runner.run(context.crowd.end())


@when("one client sends the largest body at once")
def step_at_once(context):
    body = _body()
    _send(context, [_sized_head(len(body)) + body])


@when("one client sends the largest body in pieces with pauses")
def step_pieces(context):
    body = _body()
    starts = range(0, len(body), _PIECE_BYTES)
    pieces = [body[start : start + _PIECE_BYTES] for start in starts]
    _send(context, [_sized_head(len(body)), *pieces], _PAUSE_S)


@when("one client sends the largest body in chunks of {size:d} bytes")
@when("one client sends the largest body in chunks of {size:d} byte")
def step_chunks(context, size):
    body = _body()
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    head = _head("Transfer-Encoding: chunked")
    _send(context, [head + chunks + b"0\r\n\r\n"])


@when("one client submits a job of {count:d} steps without fields")
def step_many_steps(context, count):
    fields = {"bestEffort": True, "spec": "1000 1", "steps": [{}] * count}
    body = json.dumps(fields).encode()
    _send(context, [_sized_head(len(body)) + body])


@then("it is answered with a completed job")
def step_completed(context):
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer
    assert b"completed" in context.answer, context.answer


def _open(context, create):
    async def start():
        context.site = create()
        context.closers.append(lambda: context.runner.run(context.site.close()))
        await context.site.start()

    context.runner = asyncio.Runner()
    context.closers = [context.runner.close]
    context.runner.run(start())


def _body():
    fields = platform_site.job(1, 1, 30)
    return json.dumps(fields).encode().ljust(_BODY_BYTES)


def _sized_head(size):
    return _head(f"Content-Length: {size}")


def _head(line):
    path = f"{platform_site.PREFIX}{os.urandom(8).hex()}"
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {platform_site.HOST}",
        "X-Deadline-Ms: 60000",
        "Connection: close",
        line,
    )
    return "\r\n".join((*lines, "", "")).encode()


def _send(context, pieces, pause_s=0.0):
    context.answer = context.runner.run(_exchange(context, pieces, pause_s))


async def _exchange(context, pieces, pause_s):
    host, _, port = context.site.address("entry-0", "clients").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(pause_s)
    answer = await reader.read()
    writer.close()
    return answer
