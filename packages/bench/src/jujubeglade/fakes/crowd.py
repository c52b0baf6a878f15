"""A crowd of clients that send input without end, or almost whole, and stay open.

    python -m jujubeglade.fakes.crowd 127.0.1.1:23001 tiny-chunks --count 100

Each client opens a connection to a listener on loopback, sends what its kind sends, and
keeps the connection open. One that is closed connects again, until the time is over. A
line on standard output says when each has connected once. The decorator registers the
kinds of clients by name.
"""

import asyncio
import contextlib
import dataclasses
import functools
import ipaddress
import json
import resource
import secrets
import sys
import zlib

import typer

KINDS = {}
#: The line that says that each client has connected once.
ALL_CONNECTED = "all have connected"

_HOST = "parts.example"
_KIB = 1024
_PIECE_BYTES = 4 * _KIB
_CHUNK_BYTES = 64 * _KIB
_HEADER_LINE_BYTES = 900
#: The size of the bodies that the compressed ones decompress to.
_DECOMPRESSED_BYTES = 8 * _KIB * _KIB
_MANY_STEPS = 10_000
_MAX_CONNECTING = 50
_MANY_REQUESTS = 64
#: One client of this many completes its request.
_COMPLETE_EVERY = 10
_PIECE_INTERVAL_S = 0.01
_RECONNECT_S = 0.2
_MAX_RUN_S = 600.0
_ANSWER_BYTES = 64 * _KIB


@dataclasses.dataclass(frozen=True, slots=True)
class Sender:
    """What one client sends to.

    Attributes:
      method: A string, the method of the requests with a body.
      prefix: A string, the path up to the id.
      authorization: A string, the value of that header.
      body_bytes: An integer, the size of a body.
      is_complete: A boolean, whether this client sends the end of its body.
    """

    method: str
    prefix: str
    authorization: str
    body_bytes: int
    is_complete: bool

    def head(self, *lines, method=None, path=None):
        """Build the head of a request, without the empty line at its end.

        Args:
          *lines: Strings, further header lines.
          method: A string; None for the sender's.
          path: A string; None for the prefix with a new id.
        """
        target = path or f"{self.prefix}{secrets.token_hex(8)}"
        first = f"{method or self.method} {target} HTTP/1.1"
        common = (f"Host: {_HOST}", f"Authorization: {self.authorization}")
        return "\r\n".join((first, *common, *lines, "")).encode()

    def sized_head(self, size):
        """Build the whole head of a request with a body of `size` bytes."""
        return self.head(f"Content-Length: {size}") + b"\r\n"

    def chunked_head(self):
        """Build the whole head of a request with a body in chunks."""
        return self.head("Transfer-Encoding: chunked") + b"\r\n"

    def body(self):
        """Build a small job, padded with blanks to `body_bytes`."""
        return _padded(self.body_bytes)


#: What the stand-in workers run: thousandths of a core, and milliseconds.
_SPEC = "1000 50"
_SMALL_JOB = json.dumps(
    {"bestEffort": True, "spec": _SPEC, "steps": [{"cpu": 1000}]}
).encode()


@functools.cache
def _padded(size):
    return _SMALL_JOB.ljust(size)


def kind(function):
    """Register a kind of client.

    Args:
      function: A generator function of a Sender that yields the pieces to send, as
        bytes. The connection stays open after the last one.

    Returns:
      The function.
    """
    KINDS[function.__name__.replace("_", "-")] = function
    return function


def _without_end(sender, data, end_bytes=1):
    """Cut the end of a request off, unless the client completes it."""
    return data if sender.is_complete else data[:-end_bytes]


@kind
def silent(sender):
    """Send nothing."""
    yield from ()


@kind
def idle(sender):
    """Complete one request that starts no job."""
    yield sender.head(method="GET", path=sender.prefix) + b"\r\n"


@kind
def whole_body(sender):
    """Send a body less its last byte, at once."""
    body = sender.body()
    yield sender.sized_head(len(body)) + _without_end(sender, body)


@kind
def body_in_pieces(sender):
    """Send a body less its last byte, in pieces."""
    body = sender.body()
    yield sender.sized_head(len(body))
    body = _without_end(sender, body)
    for start in range(0, len(body), _PIECE_BYTES):
        yield body[start : start + _PIECE_BYTES]


@kind
def large_chunks(sender):
    """Send a body in large chunks; the end of the last one is missing."""
    yield sender.chunked_head()
    yield _without_end(sender, _chunks(sender.body(), _CHUNK_BYTES), 6)


@kind
def tiny_chunks(sender):
    """Send a body in chunks of one byte; the end of the last one is missing."""
    yield sender.chunked_head()
    yield _without_end(sender, _chunks(sender.body(), 1), 6)


@kind
def endless_chunk_extension(sender):
    """Send a chunk whose extension never ends."""
    yield sender.chunked_head() + b"1;a="
    while True:
        yield b"x" * _PIECE_BYTES


@kind
def endless_head(sender):
    """Send header lines without end."""
    yield sender.head()
    number = 0
    while True:
        number += 1
        yield f"X-Line-{number}: ".encode().ljust(_HEADER_LINE_BYTES, b"x") + b"\r\n"


@kind
def large_head(sender):
    """Send the longest header lines that are read, as many as are read, but the end."""
    yield sender.head()
    for number in range(120):
        yield f"X-Line-{number}: ".encode().ljust(8 * _KIB - 20, b"x") + b"\r\n"


@kind
def endless_line(sender):
    """Send a request line without end."""
    yield f"GET {sender.prefix}".encode()
    while True:
        yield b"x" * _PIECE_BYTES


@kind
def empty_lines(sender):
    """Send empty lines without end before a request."""
    while True:
        yield b"\r\n" * (_PIECE_BYTES // 2)


@kind
def many_steps(sender):
    """Complete a job of many steps without fields."""
    job = {"bestEffort": True, "spec": _SPEC, "steps": [{}] * _MANY_STEPS}
    body = json.dumps(job, separators=(",", ":")).encode()
    yield sender.sized_head(len(body)) + body


@kind
def many_tasks(sender):
    """Complete a job of one step with many tasks."""
    steps = [{"count": _MANY_STEPS, "cpu": 1000}]
    body = json.dumps({"bestEffort": True, "spec": _SPEC, "steps": steps}).encode()
    yield sender.sized_head(len(body)) + body


@kind
def compressed_body(sender):
    """Send a small compressed body that decompresses to a large one, less its end."""
    packed = zlib.compress(_SMALL_JOB.ljust(_DECOMPRESSED_BYTES))
    lines = (f"Content-Length: {len(packed)}", "Content-Encoding: deflate")
    yield sender.head(*lines) + b"\r\n" + packed[:-1]


@kind
def body_behind_request(sender):
    """Send a job that takes a while, but no room, and behind it a body less its end."""
    steps = [{"estimatedRuntimeMs": 100}]
    fields = {"bestEffort": True, "spec": "0 60000", "steps": steps}
    job = json.dumps(fields).encode()
    yield sender.sized_head(len(job)) + job
    body = sender.body()
    yield sender.sized_head(len(body)) + body[:-1]


@kind
def unread_answers(sender):
    """Send many requests at once; the answers are not read."""
    request = sender.head(method="GET", path=sender.prefix) + b"\r\n"
    while True:
        yield request * _MANY_REQUESTS


#: The kinds of clients that don't read.
_NOT_READING = frozenset(("unread-answers",))


@functools.cache
def _chunks(body, size):
    """Encode a body in chunks.

    Args:
      body: Bytes.
      size: An integer, the size of each chunk.
    """
    pieces = (body[start : start + size] for start in range(0, len(body), size))
    encoded = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    return encoded + b"0\r\n\r\n"


async def run(address, name, count, seconds, sender):
    """Run a crowd.

    Args:
      address: A pair of a host and a port, on loopback.
      name: A string, the kind of the clients.
      count: An integer, the number of clients.
      seconds: A number, how long they stay.
      sender: A Sender.
    """
    # Few at a time, as the system drops connections beyond the backlog of a listener.
    connecting = asyncio.Semaphore(_MAX_CONNECTING)
    arrival = _Arrival(count)
    clients = [
        _run_client(
            address,
            connecting,
            arrival,
            KINDS[name],
            dataclasses.replace(sender, is_complete=number % _COMPLETE_EVERY == 0),
            name not in _NOT_READING,
        )
        for number in range(count)
    ]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(min(seconds, _MAX_RUN_S)):
            await asyncio.gather(*clients)


class _Arrival:
    """Says when all clients have connected."""

    def __init__(self, count):
        self._missing = count

    def note(self):
        self._missing -= 1
        if not self._missing:
            print(ALL_CONNECTED, flush=True)


async def _run_client(  # noqa: PLR0913
    address, connecting, arrival, generate, sender, is_reading
):
    """Connect and send, again and again, until cancelled."""
    has_arrived = False
    while True:
        with contextlib.suppress(OSError):
            async with connecting:
                streams = await asyncio.open_connection(*address)
            if not has_arrived:
                has_arrived = True
                arrival.note()
            await _send(*streams, generate(sender), is_reading)
        await asyncio.sleep(_RECONNECT_S)


async def _send(reader, writer, pieces, is_reading):
    try:
        reading = asyncio.ensure_future(_read_all(reader) if is_reading else _never())
        sending = asyncio.ensure_future(_write_all(writer, pieces))
        try:
            await asyncio.wait((reading,))
        finally:
            reading.cancel()
            sending.cancel()
            await asyncio.gather(reading, sending, return_exceptions=True)
    finally:
        writer.transport.abort()


async def _write_all(writer, pieces):
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(_PIECE_INTERVAL_S)


async def _read_all(reader):
    while await reader.read(_ANSWER_BYTES):
        pass


async def _never():
    await asyncio.Event().wait()


def main(
    address: str,
    name: str,
    count: int = 100,
    seconds: float = 10,
    target: str = "POST /stock/",
    authorization: str = "none",
    body_bytes: int = 256 * _KIB,
):
    """Run a crowd of one kind against a listener on loopback."""
    ip, _, port = address.rpartition(":")
    if not ipaddress.ip_address(ip).is_loopback:
        sys.exit(f"{ip} isn't a loopback address; name one of 127.0.0.0/8")
    if name not in KINDS:
        sys.exit(f"{name} isn't a kind; use one of {', '.join(sorted(KINDS))}")
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    method, _, prefix = target.partition(" ")
    sender = Sender(method, prefix, authorization, body_bytes, is_complete=False)
    asyncio.run(run((ip, int(port)), name, count, seconds, sender))


if __name__ == "__main__":
    typer.run(main)
