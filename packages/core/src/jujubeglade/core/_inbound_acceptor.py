"""Accepts the connections of one listening address, a few in each turn of the loop."""

import asyncio
import errno
import socket

from jujubeglade.core import clock, log

#: Connections that the system completes before they are accepted.
_BACKLOG = 512
#: Few, so that those of one turn fit into the descriptors that are kept free.
_MAX_ACCEPTED_PER_TURN = 16
_EXHAUSTED_PAUSE_MS = 100
_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

_log = log.get(__name__)


class Acceptor:
    """One listening socket."""

    __slots__ = (
        "_loop",
        "_new_protocol",
        "_on_exhausted",
        "_opening",
        "_receive_buffer_bytes",
        "_socket",
    )

    def __init__(self, new_protocol, on_exhausted, receive_buffer_bytes=None):
        """Create an acceptor; `open` starts it.

        Args:
          new_protocol: A function without arguments that returns the protocol of an
            accepted connection.
          on_exhausted: A function without arguments that is called when the system has
            no descriptor or memory for a connection.
          receive_buffer_bytes: An integer, the size of the system's buffer for what was
            received and not read; None for its usual size.
        """
        self._new_protocol = new_protocol
        self._on_exhausted = on_exhausted
        self._receive_buffer_bytes = receive_buffer_bytes
        self._loop = asyncio.get_running_loop()
        self._socket = None
        # The tasks that open the accepted connections.
        self._opening = set()

    @property
    def port(self):
        """Return the port."""
        return self._socket.getsockname()[1]

    def open(self, host, port):
        """Listen.

        Args:
          host: A string, an IP number.
          port: An integer; 0 lets the system choose.

        Raises:
          OSError: The address is not available.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.socket(family, socket.SOCK_STREAM)
        try:
            listening.setblocking(False)
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._limit_buffer(listening)
            listening.bind((host, port))
            listening.listen(_BACKLOG)
        except OSError:
            listening.close()
            raise
        self._socket = listening
        self._loop.add_reader(listening, self._accept_some)

    def close(self, *, accepts_rest):
        """Stop listening; closing twice does nothing.

        Args:
          accepts_rest: A boolean, whether the connections that were not accepted yet
            are accepted first. Otherwise the system resets them.
        """
        if self._socket is None:
            return
        self._loop.remove_reader(self._socket)
        while accepts_rest and self._accept_one():
            pass
        self._socket.close()
        self._socket = None

    def _limit_buffer(self, listening):
        """Set the size of the receive buffer, which accepted connections inherit."""
        size = self._receive_buffer_bytes
        if size is None:
            return
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        except OSError as error:
            _log.warning("receive buffer not limited", cause=error)

    def _accept_some(self):
        for _ in range(_MAX_ACCEPTED_PER_TURN):
            if not self._accept_one():
                return

    def _accept_one(self):
        """Accept a connection; return whether there may be more."""
        try:
            connection, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionAbortedError:
            return True
        except OSError as error:
            if error.errno not in _EXHAUSTED:
                raise
            self._pause()
            return False
        opening = self._loop.create_task(self._open_connection(connection))
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)
        return True

    async def _open_connection(self, connection):
        protocol = self._new_protocol()
        try:
            await self._loop.connect_accepted_socket(lambda: protocol, connection)
        except OSError as error:
            connection.close()
            protocol.connection_lost(error)
            _log.debug("connection not opened", cause=error)

    def _pause(self):
        """Accept nothing for a while, as the system has no room."""
        self._on_exhausted()
        self._loop.remove_reader(self._socket)
        self._loop.call_later(clock.seconds(_EXHAUSTED_PAUSE_MS), self._resume)

    def _resume(self):
        if self._socket is not None:
            self._loop.add_reader(self._socket, self._accept_some)
