"""Membership: the agents that this entry hears from.

It is soft state, made of heartbeats and open links only. An agent that falls
silent is left out of new tickets; nothing else follows from its absence.
"""

import dataclasses

from jujubeglade.core import journal as audit
from jujubeglade.core import link, log, member

_LATE_MS = 1000

_log = log.get(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Presence:
    """An agent this entry hears from.

    Attributes:
      sighting: A MemberStatus, from its last heartbeat.
      link: A Link.
      due_ms: A float, the monotonic time by which the next heartbeat is due.
    """

    sighting: member.MemberStatus
    link: link.Link
    due_ms: float

    @property
    def member(self):
        """Return the agent as others reach it."""
        return self.sighting.member


class Membership:
    """The agents present at one entry."""

    __slots__ = ("_clock", "_journal", "_present")

    def __init__(self, clock, journal):
        """Start with nobody.

        Args:
          clock: A Clock.
          journal: A Journal.
        """
        self._clock = clock
        self._journal = journal
        self._present = {}

    def __len__(self):
        """Count the agents present."""
        return len(self._present)

    def note(self, opened, heartbeat):
        """Take a heartbeat.

        Args:
          opened: The Link it came by.
          heartbeat: A Heartbeat.

        Returns:
          A boolean, whether the agent has just joined.
        """
        incarnation = heartbeat.member.incarnation
        joined = incarnation not in self._present
        sighting = member.MemberStatus(
            heartbeat.member, heartbeat.load, heartbeat.leaving, heartbeat.revision
        )
        due_ms = self._clock.now_ms() + heartbeat.period_ms + _LATE_MS
        self._present[incarnation] = Presence(sighting, opened, due_ms)
        if joined:
            _log.info(
                "worker joined",
                worker=heartbeat.member.name,
                incarnation=incarnation,
                zone=heartbeat.member.zone,
            )
            self._journal.record(
                audit.Kind.MEMBER_JOINED,
                heartbeat.member.name,
                incarnation=incarnation,
                zone=heartbeat.member.zone,
            )
        return joined

    def lose(self, opened):
        """Strike the agent whose link has closed.

        Args:
          opened: The Link.
        """
        for incarnation, presence in list(self._present.items()):
            if presence.link is opened:
                self._strike(incarnation)

    def find(self, incarnation):
        """Find an agent that can be asked now.

        Args:
          incarnation: A string.

        Returns:
          A Presence, or None.
        """
        presence = self._present.get(incarnation)
        if presence is None or not presence.link.is_open:
            return None
        if self._is_silent(presence):
            return None
        return presence

    def live_agents(self):
        """List the agents that are heard from.

        Returns:
          A list of Presences, in no order.
        """
        return [each for each in self._present.values() if not self._is_silent(each)]

    def sweep(self):
        """Close the links of agents that have been silent for long."""
        for presence in list(self._present.values()):
            if self._is_silent(presence):
                presence.link.close()

    def _is_silent(self, presence):
        return self._clock.now_ms() > presence.due_ms

    def _strike(self, incarnation):
        presence = self._present.pop(incarnation)
        _log.warning(
            "worker left",
            worker=presence.member.name,
            incarnation=incarnation,
            leaving=presence.sighting.leaving,
        )
        self._journal.record(
            audit.Kind.MEMBER_LEFT, presence.member.name, incarnation=incarnation
        )
