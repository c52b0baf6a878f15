"""The issuer: makes tickets for the agents this entry hears from."""

import random

import result

from jujubeglade.core import problem, ticket
from jujubeglade.entry import cell

_REFRESH_MS = 200
_RETRY_AFTER_MS = 500


class Issuer:
    """Issues tickets for one entry."""

    __slots__ = (
        "_clock",
        "_cluster_key",
        "_groups",
        "_groups_until_ms",
        "_is_drained",
        "_membership",
        "_size",
    )

    def __init__(self, clock, cluster_key, membership, size, is_drained):
        """Start without groups.

        Args:
          clock: A Clock.
          cluster_key: Bytes.
          membership: A Membership.
          size: An integer, about how many agents a cell has.
          is_drained: A function of a Member that tells whether it is drained.
        """
        self._clock = clock
        self._cluster_key = cluster_key
        self._membership = membership
        self._size = size
        self._is_drained = is_drained
        self._groups = []
        self._groups_until_ms = 0.0

    def issue(self, count):
        """Issue tickets.

        Args:
          count: An integer, at least 1.

        Returns:
          A Result of a list of Tickets, or of a Problem of kind NO_WORKER.
        """
        groups = self._current()
        if not groups:
            return result.Err(
                problem.Problem(
                    kind=problem.Kind.NO_WORKER,
                    message="no worker is connected to this entry",
                    remedy="come back later, or ask another entry",
                    outcome=problem.Outcome.NOT_RUN,
                    retry_after_ms=_RETRY_AFTER_MS,
                )
            )
        wall_ms = self._clock.wall_ms()
        issued = [
            ticket.issue(self._cluster_key, wall_ms, random.choice(groups))
            for _ in range(count)
        ]
        return result.Ok(issued)

    def forget(self):
        """Compute the groups afresh when they are next needed."""
        self._groups_until_ms = 0.0

    def _current(self):
        now_ms = self._clock.now_ms()
        if now_ms >= self._groups_until_ms:
            self._groups = self._compute()
            self._groups_until_ms = now_ms + _REFRESH_MS
        return self._groups

    def _compute(self):
        serving = [
            presence.member
            for presence in self._membership.live_agents()
            if not presence.sighting.leaving and presence.link.is_open
        ]
        return [
            tuple(member.incarnation for member in cell.group(members, chosen))
            for members in cell.cells(serving, self._size)
            for chosen in self._homes(members)
        ]

    def _homes(self, members):
        """Choose the places of a cell's homes: in service and ranked first."""
        places = range(len(members))
        preferred = sorted(places, key=lambda at: self._is_drained(members[at]))
        return preferred[: cell.HOMES_PER_CELL]
