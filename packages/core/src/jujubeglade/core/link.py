"""Links: authenticated streams of messages between two processes.

A link carries one-way messages (`send`) and questions (`ask`). One task reads
each link and hands its messages to a handler. Messages sent within one turn of
the event loop leave in one write. A link that fails is closed and stays closed:
its owner dials another, and both ends are told by `wait_closed`.
"""

import asyncio
import collections
import contextlib

import msgpack
import result

from jujubeglade.core import _handshake, clock, message, problem

Identity = _handshake.Identity

HANDSHAKE_TIMEOUT_MS = 2000
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
_MAX_UNSENT_BYTES = 32 * 1024 * 1024
_READ_BYTES = 64 * 1024
_PING_MS = 500
_PONG_MS = 1000

#: Messages sent by this process, by the name of their type.
sent_counts = collections.Counter()


class Link:
    """One stream to another process."""

    __slots__ = (
        "_asked",
        "_closed",
        "_handler",
        "_last_received_ms",
        "_loop",
        "_next_number",
        "_reader",
        "_serving",
        "_unsent",
        "_writer",
        "local",
        "remote",
    )

    def __init__(self, reader, writer, local, remote, handler):
        """Take over an open stream; use `dial` or `serve` instead.

        Args:
          reader: An asyncio.StreamReader.
          writer: An asyncio.StreamWriter.
          local: An Identity, of this process.
          remote: An Identity, of the other one.
          handler: An object with `on_message(link, body)` and the coroutine
            `on_request(link, body)` that returns the answer's body.
        """
        self.local = local
        self.remote = remote
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._asked = {}
        self._next_number = 0
        self._unsent = []
        self._serving = set()
        self._closed = self._loop.create_future()
        self._last_received_ms = self._now_ms()

    @property
    def is_open(self):
        """Tell whether messages can still be sent."""
        return not self._closed.done()

    @property
    def last_received_ms(self):
        """Return when the other side was heard last, on the event loop's clock."""
        return self._last_received_ms

    @property
    def has_pending_requests(self):
        """Tell whether a question is unanswered."""
        return bool(self._asked)

    def send(self, body, encoded=None):
        """Send a one-way message.

        Args:
          body: A registered message.
          encoded: Bytes, the body as `message.encode` gives it, when it goes to many.

        Returns:
          A boolean, false when the link is closed.
        """
        if self._closed.done():
            return False
        sent_counts[_name(body)] += 1
        if not self._unsent:
            self._loop.call_soon(self._flush)
        self._unsent.append(encoded or message.encode(body))
        return True

    async def ask(self, body, timeout_ms):
        """Ask a question and wait for its answer.

        Args:
          body: A registered message.
          timeout_ms: A number, how long to wait; None waits until the link
            closes.

        Returns:
          A Result of the answer's body. The problem of a lost answer says
          that the outcome is unknown.
        """
        self._next_number += 1
        number = self._next_number
        answered = self._loop.create_future()
        self._asked[number] = answered
        if not self.send(message.Request(number, body)):
            del self._asked[number]
            return result.Err(_lost(self.remote.name))
        timeout = None if timeout_ms is None else clock.seconds(timeout_ms)
        try:
            reply = await asyncio.wait_for(answered, timeout)
        except TimeoutError:
            return result.Err(_lost(self.remote.name))
        finally:
            self._asked.pop(number, None)
        if isinstance(reply, message.Refusal):
            return result.Err(message.problem_of(reply))
        if reply is None:
            return result.Err(_lost(self.remote.name))
        return result.Ok(reply)

    async def run(self):
        """Read the link until it closes; the one task of this connection."""
        decoder = message.decoder(MAX_MESSAGE_BYTES)
        try:
            while data := await self._reader.read(_READ_BYTES):
                self._last_received_ms = self._now_ms()
                decoder.feed(data)
                for record in decoder:
                    self._take(record)
        except (OSError, ValueError, TypeError, msgpack.UnpackException):
            # A peer that breaks the protocol loses its link and nothing else.
            pass
        finally:
            self.close()

    async def watch(self, is_needed):
        """Close the link when the other side falls silent while it is needed.

        Args:
          is_needed: A function without arguments that tells whether an answer is
            awaited; an unneeded link is left alone and costs no message.
        """
        while self.is_open:
            await asyncio.sleep(clock.seconds(_PING_MS))
            if not is_needed() or self._now_ms() - self._last_received_ms < _PING_MS:
                continue
            answered = await self.ask(message.Ping(), _PONG_MS)
            if answered.is_err():
                self.close()

    def close(self):
        """Close the link at once; unanswered questions end as lost."""
        if self._closed.done():
            return
        self._flush()
        self._closed.set_result(None)
        for answered in self._asked.values():
            if not answered.done():
                answered.set_result(None)
        for task in self._serving:
            task.cancel()
        self._writer.close()

    def abort(self):
        """Close the link and drop what the other side has not received yet."""
        if not self._closed.done():
            self._unsent.clear()
            self._writer.transport.abort()
            self.close()

    async def wait_closed(self):
        """Wait until the link is closed by either side."""
        await asyncio.shield(self._closed)

    def _take(self, record):
        if isinstance(record, message.Reply):
            answered = self._asked.get(record.number)
            if answered is not None and not answered.done():
                answered.set_result(record.body)
        elif isinstance(record, message.Request):
            task = self._loop.create_task(self._answer(record))
            self._serving.add(task)
            task.add_done_callback(self._serving.discard)
        else:
            self._handler.on_message(self, record)

    def _now_ms(self):
        return self._loop.time() * clock.MILLISECONDS_PER_SECOND

    async def _answer(self, request):
        if isinstance(request.body, message.Ping):
            body = request.body
        else:
            body = await self._handler.on_request(self, request.body)
        if isinstance(body, problem.Problem):
            body = message.refusal_of(body)
        self.send(message.Reply(request.number, body))

    def _flush(self):
        if self._unsent and not self._closed.done():
            self._writer.write(b"".join(self._unsent))
            self._unsent.clear()
            if self._writer.transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
                # The peer has stopped reading: memory is bounded first.
                self._writer.transport.abort()


async def dial(address, cluster_key, identity, handler, connect_ms=None):
    """Open a link to another process.

    Args:
      address: A pair of a host and a port.
      cluster_key: Bytes.
      identity: An Identity, of this process.
      handler: The handler of the link's messages.
      connect_ms: An integer, how long the connection may take; None for as long as
        the whole handshake.

    Returns:
      A Result of a Link whose `run` the caller must start, or of a Problem.
    """
    writer = None
    try:
        async with asyncio.timeout(clock.seconds(HANDSHAKE_TIMEOUT_MS)):
            async with asyncio.timeout(
                clock.seconds(connect_ms or HANDSHAKE_TIMEOUT_MS)
            ):
                reader, writer = await asyncio.open_connection(*address)
            opened = await _handshake.dial(reader, writer, cluster_key, identity)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        if writer is not None:
            writer.close()
        return result.Err(_unreachable(address, error))
    if opened.is_err():
        writer.close()
        return opened
    return result.Ok(Link(reader, writer, identity, opened.ok_value, handler))


class Listener:
    """The accepting side of links."""

    __slots__ = ("_links", "_max_links", "_server")

    def __init__(self, max_links):
        """Start without links; use `serve`.

        Args:
          max_links: An integer, the bound of open links.
        """
        self._links = set()
        self._max_links = max_links
        self._server = None

    @property
    def port(self):
        """Return the port that is listened on."""
        return self._server.sockets[0].getsockname()[1]

    async def open(self, address, cluster_key, identity, handler):
        """Listen; `serve` gives the arguments."""

        async def accept(reader, writer):
            if len(self._links) >= self._max_links:
                writer.close()
                return
            opened = await _accept(reader, writer, cluster_key, identity, handler)
            if opened is not None:
                await self._run(opened, handler)

        self._server = await asyncio.start_server(accept, *address)

    async def close(self):
        """Stop listening and close the accepted links."""
        self._server.close()
        for opened in list(self._links):
            opened.close()
        # The tasks that read the links end on the next turns of the event loop.
        while self._links:
            await asyncio.sleep(0)

    async def _run(self, opened, handler):
        self._links.add(opened)
        try:
            handler.on_link(opened)
            await opened.run()
        finally:
            self._links.discard(opened)


async def serve(address, cluster_key, identity, handler, max_links):
    """Accept links from other processes.

    Args:
      address: A pair of a host and a port.
      cluster_key: Bytes.
      identity: An Identity, of this process.
      handler: The handler of the links' messages; its `on_link(link)` is
        called when a link is open.
      max_links: An integer, the bound of open links.

    Returns:
      A Listener.
    """
    listener = Listener(max_links)
    await listener.open(address, cluster_key, identity, handler)
    return listener


async def _accept(reader, writer, cluster_key, identity, handler):
    opened = None
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(clock.seconds(HANDSHAKE_TIMEOUT_MS)):
            opened = await _handshake.accept(reader, writer, cluster_key, identity)
    if opened is None or opened.is_err():
        writer.close()
        return None
    return Link(reader, writer, identity, opened.ok_value, handler)


def _name(record):
    if isinstance(record, message.Request | message.Reply):
        return type(record.body).__name__
    return type(record).__name__


def _lost(name):
    return problem.Problem(
        kind=problem.Kind.HOME_LOST,
        message=f"no answer from {name}",
        remedy="submit again with the same id",
        place=name,
        outcome=problem.Outcome.UNKNOWN,
    )


def _unreachable(address, error):
    host, port = address
    return problem.Problem(
        kind=problem.Kind.HOME_LOST,
        message=f"{host}:{port} cannot be reached: {error or 'timeout'}",
        remedy="check that the process runs and that the address is right",
        place=f"{host}:{port}",
    )
