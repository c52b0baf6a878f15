"""Steps for clients that leave while their entry stands still.

Entry and client share one event loop. What a client does in one call of a function is
over before the entry reads any of it, as after a suspension.
"""

import asyncio
import json
import socket
import struct

from behave import then, when

from jujubeglade.fakes import platform_site

_TIMEOUT_S = 5.0
_RUN_MS = 100
#: Closing a socket with this option resets its connection.
_NO_LINGER = struct.pack("ii", 1, 0)
_leavings = {}


def leaving(name):
    """Return a decorator that registers how a client leaves."""

    def register(function):
        _leavings[name] = function
        return function

    return register


@leaving("closes it")
def close(connection, path):
    """Close the connection in order."""
    connection.close()


@leaving("resets it")
def reset(connection, path):
    """Reset the connection."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    connection.close()


@leaving("closes it behind another request")
def close_behind_request(connection, path):
    """Send the head of another request, and close the connection."""
    connection.sendall(_head("GET", path, 0))
    connection.close()


@when(
    "{count:d} clients send a job on a connection that is {connection} and {leaves} "
    "while the entry stands still"
)
def step_leave(context, count, connection, leaves):
    context.starts = len(context.site.witness.log)

    async def send_and_leave():
        clients = await _connect(context, count, connection)
        # The event loop gets no turn between the first request and the last leave.
        paths = [_send(context, client) for client in clients]
        for client, path in zip(clients, paths, strict=True):
            _leavings[leaves](client, path)

    context.runner.run(send_and_leave())


@when(
    "a client that stays sends a job on a connection that is {connection} while the "
    "entry stands still"
)
def step_stays(context, connection):
    (context.client,) = context.runner.run(_connect(context, 1, connection))
    _send(context, context.client)


@then("no task starts within {ms:d} ms")
def step_no_start(context, ms):
    context.runner.run(asyncio.sleep(ms / 1000))
    started = context.site.witness.log[context.starts :]
    assert not started, started


@then("the client that stayed is answered with a completed job")
def step_answered(context):
    text = context.runner.run(asyncio.to_thread(_read, context.client))
    assert text.startswith(b"HTTP/1.1 200"), text
    assert b"completed" in text, text


async def _connect(context, count, connection):
    """Open connections to the entry, and use them before if that is asked for.

    Returns:
      A list of sockets.
    """
    address = context.site.client_address(0)
    clients = []
    for _ in range(count):
        # The system completes the connection before the entry accepts it.
        client = socket.create_connection(address, _TIMEOUT_S)
        context.closers.append(client.close)
        clients.append(client)
        if connection == "open before":
            client.sendall(_head("GET", platform_site.PREFIX, 0))
            await asyncio.to_thread(_read, client)
    return clients


def _send(context, client):
    """Send a job, and return its path."""
    context.ids += 1
    path = f"{platform_site.PREFIX}{context.ids:016x}"
    body = json.dumps(platform_site.job(2, 1, _RUN_MS)).encode()
    client.sendall(_head("POST", path, len(body)) + body)
    return path


def _head(method, path, length):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {platform_site.HOST}",
        "X-Deadline-Ms: 1500",
        f"Content-Length: {length}",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def _read(client):
    return client.recv(1 << 16)
