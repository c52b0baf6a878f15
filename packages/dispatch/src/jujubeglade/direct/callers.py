"""Callers: the clients that wait for the answers of an entry's jobs.

A client that has left submits its job again some time later, to any entry. So a task is
sent only while a caller of its job is known to wait, by what the system knows at that
moment: an entry that stood still reads the requests of clients that have left since.
The connections of `core.inbound` are such callers, and its departures are these.
"""

import abc


class Caller(abc.ABC):
    """The client of one request."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def has_departed(self):
        """Return whether it had left when departures were collected last."""


class Departures(abc.ABC):
    """The clients of an entry that have left."""

    __slots__ = ()

    @abc.abstractmethod
    def collect(self):
        """Note which clients have left by now.

        Returns:
          A boolean, whether there are any that had not left at the last call.
        """


class _Staying(Caller):
    """A caller that never leaves, such as another part of this process."""

    __slots__ = ()

    @property
    def has_departed(self):
        """Return false."""
        return False


class _NoDepartures(Departures):
    """The departures where all callers stay."""

    __slots__ = ()

    def collect(self):
        """Return false."""
        return False


STAYING = _Staying()
NO_DEPARTURES = _NoDepartures()
