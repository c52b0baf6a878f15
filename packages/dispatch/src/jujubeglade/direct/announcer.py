"""Announcements: when an agent sends its owners the room of its worker.

The room is the same for all owners, but not all need each change at once. Whether the
worker accepts attempts is announced soon. An owner accounts for its own attempts by
itself; the starts and ends of other owners' attempts are announced at an interval that
grows with the number of owners, so that the message rate of an agent does not. An owner
whose attempt was refused has an outdated view and gets the room with the refusal.

Where entries coordinate, `offers` decides how much of the room an owner is shown.
"""

import asyncio

from jujubeglade.core import clock
from jujubeglade.direct import contract, offers, sharing

#: Changes of the worker's state within this time are sent in one message.
_STATE_INTERVAL_MS = 2
#: Changes of the room are sent at most once per this time multiplied by the owners.
_ROOM_INTERVAL_PER_OWNER_MS = 10


class Announcer:
    """Sends owners the room."""

    __slots__ = (
        "_clock",
        "_coordinates",
        "_describe",
        "_due_ms",
        "_offers",
        "_owners",
        "_timer",
        "_sent_ms",
    )

    def __init__(self, clock, owners, describe, coordinates, metrics):
        """Create an announcer with nothing to send.

        Args:
          clock: A Clock.
          owners: A dict whose values are the Owners.
          describe: A function without arguments that returns the Room.
          coordinates: A function without arguments that returns whether the entries
            coordinate how they use scarce room.
          metrics: A Metrics.
        """
        self._coordinates = coordinates
        self._offers = offers.Offers(clock, owners, describe, metrics)
        self._clock = clock
        self._owners = owners
        self._describe = describe
        self._timer = None
        # When the timer fires, and when the room was last sent to all owners.
        self._due_ms = 0.0
        self._sent_ms = 0.0

    def on_state_change(self):
        """Announce soon that the worker starts or stops accepting attempts."""
        self._send_within(_STATE_INTERVAL_MS)

    def on_room_change(self):
        """Announce at the next interval that the free room has changed."""
        interval_ms = min(
            contract.HEARTBEAT_INTERVAL_MS,
            _ROOM_INTERVAL_PER_OWNER_MS * len(self._owners),
        )
        self._send_within(interval_ms)

    def offer(self, owner):
        """Offer the room of an ended attempt to one owner before the others.

        Args:
          owner: An Owner, that of the attempt.

        Returns:
          An Owner. If it is not that of the attempt, the room has been sent to it.
        """
        reachable = [other for other in self._owners.values() if other.link.is_open]
        first = sharing.most_urgent_owner(owner, reachable)
        if self._coordinates():
            self._offers.on_freed(first)
        if first is not owner:
            self.send_room(first)
        return first

    def on_beat(self, owner, beat):
        """Handle a Beat, and offer free room to another owner if that is due.

        Args:
          owner: An Owner.
          beat: A Beat.
        """
        previous_need_ms = owner.room_needed_by_ms
        owner.note_beat(beat, self._clock.now_ms())
        if self._coordinates():
            self._offers.on_need(owner, previous_need_ms)

    def send_heartbeats(self):
        """Send the room to all owners, unless that was done within the interval."""
        if self._clock.now_ms() - self._sent_ms >= contract.HEARTBEAT_INTERVAL_MS:
            self._send_to_all()

    def send_room(self, owner):
        """Send the room to one owner now.

        Args:
          owner: An Owner.
        """
        if owner.link.is_open:
            room = self._describe()
            if self._coordinates():
                room = self._offers.shown(owner, room)
            owner.send_room(room)

    def send_to_all(self, body):
        """Send a message to all owners that can be reached.

        Args:
          body: A message of `contract`.
        """
        for owner in self._owners.values():
            if owner.link.is_open:
                owner.send(body)

    def _send_within(self, interval_ms):
        due_ms = self._clock.now_ms() + interval_ms
        if self._timer is not None:
            if self._due_ms <= due_ms:
                return
            self._timer.cancel()
        self._due_ms = due_ms
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(clock.seconds(interval_ms), self._send_to_all)

    def _send_to_all(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._sent_ms = self._clock.now_ms()
        room = self._describe()
        rooms = ((owner, room) for owner in self._owners.values())
        if self._coordinates():
            rooms = self._offers.announced(room)
        for owner, visible in rooms:
            if owner.link.is_open:
                owner.send_room(visible)


def new_announcer(clock, owners, describe, coordinates, metrics):
    """Make the announcer of an agent.

    Args:
      clock: A Clock.
      owners: A dict whose values are the Owners.
      describe: A function without arguments that returns the Room.
      coordinates: A function without arguments that returns whether the entries
        coordinate how they use scarce room.
      metrics: A Metrics.

    Returns:
      An Announcer.
    """
    return Announcer(clock, owners, describe, coordinates, metrics)
