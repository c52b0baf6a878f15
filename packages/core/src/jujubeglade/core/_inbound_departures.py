"""Which clients have closed their connections, as the system knows it at this moment.

The event loop reads the end of a connection after all that came before it, in turns of
its own. A process that stood still reads requests whose clients left long ago, and acts
on them before it reads that. The system has noted the end when it arrived.
"""

import select

#: The client has closed or reset the connection, also behind unread input.
_DEPARTED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class Departures:
    """The open connections of a process, and which of them their clients have left."""

    __slots__ = ("_connections", "_epoll")

    def __init__(self):
        """Start without connections."""
        # Edge-triggered, so that each departure is found once.
        self._epoll = select.epoll()
        self._connections = {}

    def add(self, descriptor, connection):
        """Watch a connection that has been opened.

        Args:
          descriptor: An integer, of its socket.
          connection: An object with `on_departure()`.
        """
        self._connections[descriptor] = connection
        self._epoll.register(descriptor, _DEPARTED | select.EPOLLET)

    def remove(self, descriptor):
        """Forget a connection whose socket is about to be closed.

        Args:
          descriptor: An integer.
        """
        del self._connections[descriptor]
        self._epoll.unregister(descriptor)

    def collect(self):
        """Tell the connections whose clients have left since the last call.

        Returns:
          A boolean, whether there are any.
        """
        has_found = False
        # One call returns a limited number.
        while found := self._epoll.poll(0):
            has_found = True
            for descriptor, _ in found:
                self._connections[descriptor].on_departure()
        return has_found
