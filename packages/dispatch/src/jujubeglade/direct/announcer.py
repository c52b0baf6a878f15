"""Announcements: how an agent tells its owners the room of its worker.

What changes the room of one owner changes it for all, but not all need to know at once.
Whether the worker takes attempts is told soon. An owner counts its own attempts itself,
and learns of their ends anyway; what others start and end is told at a pace that
lengthens with the number of owners, so that the messages of an agent do not grow with
it. An owner whose attempt was refused has an old view and is told with the refusal.
"""

import asyncio

from jujubeglade.core import clock
from jujubeglade.direct import contract, sharing

#: Changes of the worker's state within this time leave in one message.
_STATE_PACE_MS = 2
#: Changes of the room leave at most this often, for each owner there is.
_ROOM_PACE_MS = 10


class Announcer:
    """Tells owners the room."""

    __slots__ = ("_clock", "_describe", "_due_ms", "_owners", "_timer", "_told_ms")

    def __init__(self, wall, owners, describe):
        """Begin with nothing to tell.

        Args:
          wall: A Clock.
          owners: A dict whose values are the Owners.
          describe: A function from an Owner to its Room.
        """
        self._clock = wall
        self._owners = owners
        self._describe = describe
        self._timer = None
        # When the timer runs out, and when all were told last.
        self._due_ms = 0.0
        self._told_ms = 0.0

    def on_state_change(self):
        """Note that the worker begins or ceases to take attempts."""
        self._tell_within(_STATE_PACE_MS)

    def on_room_change(self):
        """Note that the free room has changed."""
        pace_ms = min(contract.BEAT_MS, _ROOM_PACE_MS * len(self._owners))
        self._tell_within(pace_ms)

    def offer(self, owner):
        """Offer the room of an attempt that has ended to one owner first.

        Args:
          owner: An Owner, of the attempt.

        Returns:
          An Owner; when it is not the one of the attempt, it has been told.
        """
        reached = [each for each in self._owners.values() if each.link.is_open]
        heir = sharing.most_urgent_owner(owner, reached)
        if heir is not owner:
            self.send_room(heir)
        return heir

    def send_heartbeats(self):
        """Tell everyone, unless that was done within the last heartbeat."""
        if self._clock.now_ms() - self._told_ms >= contract.BEAT_MS:
            self._tell_all()

    def send_room(self, owner):
        """Tell one owner now.

        Args:
          owner: An Owner.
        """
        if owner.link.is_open:
            owner.send(self._describe(owner))

    def _tell_within(self, pace_ms):
        due_ms = self._clock.now_ms() + pace_ms
        if self._timer is not None:
            if self._due_ms <= due_ms:
                return
            self._timer.cancel()
        self._due_ms = due_ms
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(clock.seconds(pace_ms), self._tell_all)

    def _tell_all(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._told_ms = self._clock.now_ms()
        for owner in self._owners.values():
            self.send_room(owner)


def new_announcer(wall, owners, describe):
    """Make the announcer of an agent.

    Args:
      wall: A Clock.
      owners: A dict whose values are the Owners.
      describe: A function from an Owner to its Room.

    Returns:
      An Announcer.
    """
    return Announcer(wall, owners, describe)
