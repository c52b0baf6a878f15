"""Owners: the entries for which an agent runs attempts.

An owner is one life of one entry. What runs for it is stopped when it has not been
heard for `contract.SILENCE_MS`, on a clock that also counts a suspension of this VM.
"""

import collections
import math

from jujubeglade.direct import contract

#: How many ends are kept for an owner whose link may have been cut.
_MAX_ENDED = 512


class Owner:
    """One life of an entry, as an agent sees it."""

    __slots__ = (
        "_ended",
        "_link",
        "begun",
        "last_received_ms",
        "identity",
        "known",
        "room_needed_by_ms",
    )

    def __init__(self, opened, now_ms):
        """Begin with an open link.

        Args:
          opened: A Link.
          now_ms: A number, the elapsed clock.
        """
        self.identity = opened.remote
        self.last_received_ms = now_ms
        #: The number of the last Begin on the link.
        self.begun = 0
        #: The revisions that the owner holds, of its operators' state and members.
        self.known = (0, 0)
        #: By when it needs room, on the monotonic clock; infinite if it needs none.
        self.room_needed_by_ms = math.inf
        self._link = opened
        self._ended = collections.deque(maxlen=_MAX_ENDED)

    @property
    def link(self):
        """Return the link, which may be closed."""
        return self._link

    @property
    def ended(self):
        """Return the latest ends, as a tuple of Ended."""
        return tuple(self._ended)

    def relink(self, opened, now_ms):
        """Go on with a new link; what was under way on the former one is gone.

        Args:
          opened: A Link.
          now_ms: A number, the elapsed clock.
        """
        self._link = opened
        self.last_received_ms = now_ms
        self.begun = 0
        self.known = (0, 0)
        self.room_needed_by_ms = math.inf

    def is_silent(self, now_ms):
        """Tell whether the owner is to be taken as lost.

        Args:
          now_ms: A number, the elapsed clock.
        """
        return now_ms - self.last_received_ms > contract.SILENCE_MS

    def send(self, body):
        """Send a message, and remember an end in case it is lost.

        Args:
          body: A message of `contract`.
        """
        if isinstance(body, contract.Ended):
            self._ended.append(body)
        self._link.send(body)
