"""One connection of a client, and how far its current request is from being whole.

It stands between the transport and the HTTP library: it reads a little at a time, lets
`ReadPacer` decide when that is parsed, and knows what has been received of a request.
"""

import asyncio
import enum

_HEAD_END = b"\r\n\r\n"
_LINE_END_BYTES = b"\r\n"
_HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
#: The missing share of a body of unknown length.
_UNKNOWN_SHARE = 0.5
#: The shortest input of a large request: more than one read of a usual one.
_LARGE_BYTES = 8 * 1024


class Phase(enum.Enum):
    """What a connection is doing."""

    #: It was opened, and nothing was received.
    NEW = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    #: The request is whole, and its handler works on it.
    SERVING = enum.auto()
    #: The request was answered before it was whole; what follows is dropped.
    ANSWERED_EARLY = enum.auto()
    #: It waits for the next request.
    IDLE = enum.auto()


_UNFINISHED = (Phase.NEW, Phase.HEAD, Phase.BODY, Phase.ANSWERED_EARLY)


class PauseReason(enum.Flag):
    """Why a connection is not read at the moment."""

    NONE = 0
    #: The HTTP library has enough.
    LIBRARY = enum.auto()
    #: What was read waits for its turn.
    TURN = enum.auto()
    #: What was read belongs to the request after the one that is served.
    SERVING = enum.auto()


class Connection(asyncio.BufferedProtocol):
    """One connection; the protocol of its transport."""

    __slots__ = (
        "_blocked_since_ms",
        "_body_bytes",
        "_descriptor",
        "_head_bytes",
        "_input",
        "_is_aborted",
        "_is_blank",
        "_is_first",
        "_length",
        "_owner",
        "_pauses",
        "_tail",
        "_transport",
        "_began_ms",
        "has_departed",
        "held_bytes",
        "listener",
        "phase",
        "protocol",
    )

    def __init__(self, owner, listener, protocol):
        """Create a connection that is not open yet.

        Args:
          owner: The Inbound of the process.
          listener: The HttpListener.
          protocol: The protocol of the HTTP library.
        """
        self._owner = owner
        self.listener = listener
        self.protocol = protocol
        self._transport = None
        # Of the socket; None while its departure is not watched.
        self._descriptor = None
        self._pauses = PauseReason.NONE
        # What was read and not parsed yet.
        self._input = b""
        self._blocked_since_ms = None
        self._began_ms = owner.now_ms()
        self._is_first = True
        self._is_aborted = False
        #: Whether the client had closed the connection when departures were collected.
        self.has_departed = False
        self.phase = Phase.NEW
        #: Bytes received of the current request.
        self.held_bytes = 0
        self._body_bytes = 0
        self._length = None
        self._start_head()

    @property
    def is_open(self):
        """Return whether the connection has neither ended nor been closed."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_unfinished(self):
        """Return whether a request is not whole, or an answer is not being read.

        A request that is being served is not touched, whatever else happens.
        """
        is_blocked = self._blocked_since_ms is not None
        return self.phase in _UNFINISHED or (
            is_blocked and self.phase is not Phase.SERVING
        )

    @property
    def is_large(self):
        """Return whether much of the current request was received already."""
        return self.held_bytes > _LARGE_BYTES

    @property
    def since_ms(self):
        """Return when the current request began, by the monotonic clock."""
        if self._blocked_since_ms is not None:
            return self._blocked_since_ms
        return self._began_ms

    @property
    def due_ms(self):
        """Return until when the current request may take, by the monotonic clock."""
        limit_ms = self._owner.bounds.request_ms
        first_ms = self.listener.first_request_ms
        if self._is_first and first_ms is not None:
            limit_ms = min(limit_ms, first_ms)
        return self.since_ms + limit_ms

    @property
    def missing_share(self):
        """Return how much of the current request is missing, from above 0 to 1."""
        if self.phase is not Phase.BODY:
            return 1.0
        if not self._length:
            return _UNKNOWN_SHARE
        missing = 1 - self._body_bytes / self._length
        return max(missing, self._owner.min_missing_share)

    def connection_made(self, transport):
        """Begin; see asyncio.BaseProtocol."""
        self._transport = transport
        if self._is_aborted:
            transport.abort()
            return
        self._descriptor = transport.get_extra_info("socket").fileno()
        self._owner.departures.add(self._descriptor, self)
        self.protocol.connection_made(_LibraryTransport(self, transport))

    def connection_lost(self, exc):
        """End; see asyncio.BaseProtocol."""
        if self._descriptor is not None:
            self._owner.departures.remove(self._descriptor)
        self._transport = None
        self._input = b""
        self._owner.remove(self)
        self.protocol.connection_lost(exc)

    def pause_writing(self):
        """Note that the client doesn't read; see asyncio.BaseProtocol."""
        self._blocked_since_ms = self._owner.now_ms()
        self.protocol.pause_writing()

    def resume_writing(self):
        """Note that the client reads again; see asyncio.BaseProtocol."""
        self._blocked_since_ms = None
        self.protocol.resume_writing()

    def eof_received(self):
        """Pass the end of the client's input on; see asyncio.BufferedProtocol."""
        return self.protocol.eof_received()

    def get_buffer(self, sizehint):
        """Return where to read to: all connections share one buffer."""
        return self._owner.buffer

    def buffer_updated(self, nbytes):
        """Take what was read; see asyncio.BufferedProtocol."""
        self._input += self._owner.buffer[:nbytes]
        if self.phase is Phase.SERVING:
            self._hold(nbytes)
            self.pause_reading(PauseReason.SERVING)
            return
        if self.phase is Phase.IDLE:
            self._began_ms = self._owner.now_ms()
        if self.phase in (Phase.NEW, Phase.IDLE):
            self.phase = Phase.HEAD
        self._hold(nbytes)
        if self.is_open:
            self._owner.pacer.offer(self)

    def pause(self):
        """Read no more until `resume`; see `ReadPacer`."""
        self.pause_reading(PauseReason.TURN)

    def resume(self):
        """Process what was read, and read again; see `ReadPacer`."""
        self.process()
        self.resume_reading(PauseReason.TURN)

    def process(self):
        """Parse what was read."""
        data = self._input
        self._input = b""
        if not self.is_open or not data:
            return
        if self.phase is Phase.BODY:
            self._body_bytes += len(data)
        elif self.phase is Phase.HEAD and not self._scan_head(data):
            self._owner.note_closed(self, "head")
            self._transport.write(_HEAD_TOO_LARGE)
            self._transport.close()
            return
        self.protocol.data_received(data)

    def on_request(self, content, length):
        """Note that the head of a request has arrived, and follow its body.

        Args:
          content: The aiohttp.StreamReader of its body.
          length: An integer, the size of its body; None if that is not known.
        """
        if self.phase is Phase.IDLE:
            # It was received together with an earlier request.
            self._began_ms = self._owner.now_ms()
        self._is_first = False
        self._length = length
        self.phase = Phase.BODY
        content.on_eof(self._on_whole)

    def on_departure(self):
        """Note that the client has closed the connection; see `Departures`.

        The end of a connection that isn't read at the moment is not noticed otherwise,
        and its request would be served until it times out.
        """
        self.has_departed = True
        if self.phase is Phase.SERVING:
            self.abort()

    def on_answer(self):
        """Note that the handler of the current request has ended."""
        if self.phase is Phase.BODY:
            self.phase = Phase.ANSWERED_EARLY
        elif self.phase is Phase.SERVING:
            self._wait_for_request()

    def abort(self):
        """Close the connection at once, also one that is not open yet."""
        self._is_aborted = True
        self.release()
        if self._transport is not None:
            self._transport.abort()

    def release(self):
        """Hold nothing any more."""
        self._owner.release(self.held_bytes)
        self.held_bytes = 0

    def resume_reading(self, reason):
        """Read again unless there is another reason not to.

        Args:
          reason: A PauseReason that has ended.
        """
        self._pauses &= ~reason
        if not self._pauses and self._transport is not None:
            self._transport.resume_reading()

    def pause_reading(self, reason):
        """Read no more until there is no reason for that.

        Args:
          reason: A PauseReason.
        """
        self._pauses |= reason
        if self._transport is not None:
            self._transport.pause_reading()

    def _hold(self, nbytes):
        self.held_bytes += nbytes
        self._owner.hold(nbytes)

    def _on_whole(self):
        if self.phase is Phase.ANSWERED_EARLY:
            self._wait_for_request()
        elif self.phase is Phase.BODY:
            self.phase = Phase.SERVING
            self.release()

    def _wait_for_request(self):
        self.release()
        self.phase = Phase.IDLE
        self._length = None
        self._body_bytes = 0
        self._start_head()
        if self._input:
            # A pipelined request.
            self.phase = Phase.HEAD
            self._began_ms = self._owner.now_ms()
            self._hold(len(self._input))
            self._owner.pacer.offer(self)
        self.resume_reading(PauseReason.SERVING)

    def _start_head(self):
        self._head_bytes = 0
        self._is_blank = True
        # The last bytes of the head so far, which may be a part of its end.
        self._tail = b""

    def _scan_head(self, data):
        """Look for the end of the head.

        Returns:
          A boolean, false if the head is too long.
        """
        self._head_bytes += len(data)
        if self._is_blank:
            # The HTTP library skips empty lines before a request.
            data = data.lstrip(_LINE_END_BYTES)
            self._is_blank = not data
        window = self._tail + data
        end = window.find(_HEAD_END)
        after = len(window) - end - len(_HEAD_END) if end >= 0 else 0
        if end >= 0:
            self.phase = Phase.BODY
            self._body_bytes = after
        self._tail = window[1 - len(_HEAD_END) :]
        return self._head_bytes - after <= self._owner.bounds.head_bytes


class _LibraryTransport:
    """The transport as the HTTP library has it.

    Its requests to pause and to resume reading are combined with those of this module.
    """

    __slots__ = ("_connection", "_transport")

    def __init__(self, connection, transport):
        self._connection = connection
        self._transport = transport

    def __getattr__(self, name):
        return getattr(self._transport, name)

    def pause_reading(self):
        """Read no more."""
        self._connection.pause_reading(PauseReason.LIBRARY)

    def resume_reading(self):
        """Read again."""
        self._connection.resume_reading(PauseReason.LIBRARY)
