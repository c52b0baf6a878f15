"""Links: authenticated streams of messages between two processes.

A link carries one-way messages (`send`) and requests (`ask`). One task reads
each link and passes its messages to a handler. Messages sent within one turn of
the event loop go out in one write. A link that fails is closed and stays closed:
its owner dials another. `wait_closed` returns at both ends when it is closed.
"""

import asyncio
import collections
import contextlib

import msgpack
import result

from jujubeglade.core import _handshake, clock, inbound, message, problem
from jujubeglade.core import _inbound_acceptor as acceptor

Identity = _handshake.Identity

HANDSHAKE_TIMEOUT_MS = 2000
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
_MAX_UNSENT_BYTES = 32 * 1024 * 1024
_READ_BYTES = 64 * 1024
_PING_INTERVAL_MS = 500
_PONG_TIMEOUT_MS = 1000

#: Messages sent by this process, by the class name of the message.
sent_counts = collections.Counter()


class Link:
    """One stream to another process."""

    __slots__ = (
        "_answer_tasks",
        "_closed",
        "_handler",
        "_last_received_ms",
        "_loop",
        "_next_number",
        "_pending_replies",
        "_reader",
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
            `on_request(link, body)`, which returns the body of the reply.
        """
        self.local = local
        self.remote = remote
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._pending_replies = {}
        self._next_number = 0
        self._unsent = []
        self._answer_tasks = set()
        self._closed = self._loop.create_future()
        self._last_received_ms = self._now_ms()

    @property
    def is_open(self):
        """Tell whether messages can still be sent."""
        return not self._closed.done()

    @property
    def last_received_ms(self):
        """Return when data last arrived from the peer, by the event loop's clock."""
        return self._last_received_ms

    @property
    def has_pending_requests(self):
        """Tell whether a request has no reply yet."""
        return bool(self._pending_replies)

    def send(self, body, encoded=None):
        """Send a one-way message.

        Args:
          body: A registered message.
          encoded: Bytes, the result of `message.encode` for the body, to encode a
            message only once that goes to several links; None to encode it here.

        Returns:
          A boolean, false when the link is closed.
        """
        if self._closed.done():
            return False
        sent_counts[_type_name(body)] += 1
        if not self._unsent:
            self._loop.call_soon(self._flush)
        self._unsent.append(encoded or message.encode(body))
        return True

    async def ask(self, body, timeout_ms):
        """Send a request and wait for its reply.

        Args:
          body: A registered message.
          timeout_ms: A number, how long to wait; None to wait until the link
            closes.

        Returns:
          A Result of the body of the reply, or of a Problem. When no reply
          arrives, the outcome of the problem is unknown.
        """
        self._next_number += 1
        number = self._next_number
        pending = self._loop.create_future()
        self._pending_replies[number] = pending
        if not self.send(message.Request(number, body)):
            del self._pending_replies[number]
            return result.Err(_no_answer(self.remote.name))
        timeout = None if timeout_ms is None else clock.seconds(timeout_ms)
        try:
            reply = await asyncio.wait_for(pending, timeout)
        except TimeoutError:
            return result.Err(_no_answer(self.remote.name))
        finally:
            self._pending_replies.pop(number, None)
        if isinstance(reply, message.Refusal):
            return result.Err(message.problem_of(reply))
        if reply is None:
            return result.Err(_no_answer(self.remote.name))
        return result.Ok(reply)

    async def run(self):
        """Read messages until the link closes; run this as one task per link."""
        decoder = message.decoder(MAX_MESSAGE_BYTES)
        try:
            while data := await self._reader.read(_READ_BYTES):
                self._last_received_ms = self._now_ms()
                decoder.feed(data)
                for record in decoder:
                    if not message.is_message(record):
                        raise ValueError("the peer sent what is no message")
                    self._dispatch(record)
        except (OSError, ValueError, TypeError, msgpack.UnpackException):
            # A peer that breaks the protocol loses only this link.
            pass
        finally:
            self.close()

    async def watch(self, is_needed):
        """Close the link when the peer stops answering while the link is needed.

        Args:
          is_needed: A function without arguments that tells whether an answer is
            awaited; no ping is sent while it returns false.
        """
        while self.is_open:
            await asyncio.sleep(clock.seconds(_PING_INTERVAL_MS))
            if (
                not is_needed()
                or self._now_ms() - self._last_received_ms < _PING_INTERVAL_MS
            ):
                continue
            pong = await self.ask(message.Ping(), _PONG_TIMEOUT_MS)
            if pong.is_err():
                self.close()

    def close(self):
        """Close the link at once; requests without a reply end with a problem."""
        if self._closed.done():
            return
        self._flush()
        self._closed.set_result(None)
        for pending in self._pending_replies.values():
            if not pending.done():
                pending.set_result(None)
        for task in self._answer_tasks:
            task.cancel()
        self._writer.close()

    def abort(self):
        """Close the link and drop the messages that the peer has not received."""
        if not self._closed.done():
            self._unsent.clear()
            self._writer.transport.abort()
            self.close()

    async def wait_closed(self):
        """Wait until the link is closed by either side."""
        await asyncio.shield(self._closed)

    def _dispatch(self, record):
        if isinstance(record, message.Reply):
            pending = self._pending_replies.get(record.number)
            if pending is not None and not pending.done():
                pending.set_result(record.body)
        elif isinstance(record, message.Request):
            task = self._loop.create_task(self._answer(record))
            self._answer_tasks.add(task)
            task.add_done_callback(self._answer_tasks.discard)
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
                # The peer does not read; closing the link bounds the memory used.
                self._writer.transport.abort()


async def dial(
    address, cluster_key, identity, handler, connect_ms=None, incarnation=None
):
    """Open a link to another process.

    Args:
      address: A pair of a host and a port.
      cluster_key: Bytes.
      identity: An Identity, of this process.
      handler: The handler of the link's messages.
      connect_ms: An integer, the timeout of the TCP connection; None to bound it
        only by the timeout of the whole handshake.
      incarnation: A string, the only incarnation of the peer to accept; None for any.

    Returns:
      A Result of a Link whose `run` the caller must start, or of a Problem: of kind
      CONFLICT if another incarnation runs there.
    """
    writer = None
    try:
        async with asyncio.timeout(clock.seconds(HANDSHAKE_TIMEOUT_MS)):
            async with asyncio.timeout(
                clock.seconds(connect_ms or HANDSHAKE_TIMEOUT_MS)
            ):
                reader, writer = await asyncio.open_connection(*address)
            remote = await _handshake.dial(
                reader, writer, cluster_key, identity, incarnation
            )
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        if writer is not None:
            writer.close()
        return result.Err(_unreachable(address, error))
    if remote.is_err():
        writer.close()
        return remote
    return result.Ok(Link(reader, writer, identity, remote.ok_value, handler))


class Listener:
    """Accepts links from other processes.

    A connection becomes a link when its handshake is done. Of those before it only the
    newest are kept: a process of this system needs milliseconds for its handshake, so
    connections that stay silent don't keep it out.
    """

    __slots__ = ("_acceptor", "_handshakes", "_inbound", "_links", "_max_links")

    def __init__(self, max_links, process_inbound):
        """Make a listener that is not open yet; use `serve` instead.

        Args:
          max_links: An integer, the most links that may be open at a time.
          process_inbound: The Inbound of the process.
        """
        self._inbound = process_inbound
        self._links = set()
        self._max_links = max_links
        self._acceptor = None
        # The streams whose handshakes are not done, oldest first.
        self._handshakes = {}

    @property
    def port(self):
        """Return the port that this listener is bound to."""
        return self._acceptor.port

    def open(self, address, cluster_key, identity, handler):
        """Start to listen; see `serve` for the arguments."""

        async def accept(reader, writer):
            if len(self._links) >= self._max_links:
                self._note_closed("links")
                writer.close()
                return
            link = await self._shake_hands(
                writer, _accept(reader, writer, cluster_key, identity, handler)
            )
            if link is not None:
                await self._run(link, handler)

        def new_protocol():
            return asyncio.StreamReaderProtocol(asyncio.StreamReader(), accept)

        self._acceptor = acceptor.Acceptor(
            new_protocol, lambda: self._note_closed("exhausted")
        )
        self._acceptor.open(*address)

    async def close(self):
        """Stop listening and close the accepted links."""
        self._acceptor.close(accepts_rest=False)
        for link in list(self._links):
            link.close()
        # The tasks that read the links end in the next turns of the event loop.
        while self._links:
            await asyncio.sleep(0)

    async def _shake_hands(self, writer, handshake):
        """Return the link of a new connection, or None."""
        if len(self._handshakes) >= self._inbound.bounds.handshakes:
            oldest = next(iter(self._handshakes))
            del self._handshakes[oldest]
            oldest.transport.abort()
            self._note_closed("handshakes")
        self._handshakes[writer] = None
        try:
            return await handshake
        finally:
            self._handshakes.pop(writer, None)

    def _note_closed(self, cause):
        self._inbound.closures.note("stream", cause)

    async def _run(self, link, handler):
        self._links.add(link)
        try:
            handler.on_link(link)
            await link.run()
        finally:
            self._links.discard(link)


async def serve(  # noqa: PLR0913
    address, cluster_key, identity, handler, max_links, process_inbound=None
):
    """Accept links from other processes.

    Args:
      address: A pair of a host and a port.
      cluster_key: Bytes.
      identity: An Identity, of this process.
      handler: The handler of the links' messages; its `on_link(link)` is
        called when a link is open.
      max_links: An integer, the most links that may be open at a time.
      process_inbound: The Inbound of the process; None for one of its own.

    Returns:
      A Listener.
    """
    listener = Listener(max_links, process_inbound or inbound.default_inbound())
    listener.open(address, cluster_key, identity, handler)
    return listener


async def _accept(reader, writer, cluster_key, identity, handler):
    remote = None
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(clock.seconds(HANDSHAKE_TIMEOUT_MS)):
            remote = await _handshake.accept(reader, writer, cluster_key, identity)
    if remote is None or remote.is_err():
        writer.close()
        return None
    return Link(reader, writer, identity, remote.ok_value, handler)


def _type_name(record):
    if isinstance(record, message.Request | message.Reply):
        return type(record.body).__name__
    return type(record).__name__


def _no_answer(name):
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
