"""The issuer: issues tickets that name the agents connected to this entry."""

import random

import result

from jujubeglade.core import problem, ticket
from jujubeglade.entry import cell

_GROUPS_LIFETIME_MS = 200
_RETRY_AFTER_MS = 500


class Issuer:
    """Issues the tickets of one entry."""

    __slots__ = (
        "_cell_size",
        "_clock",
        "_cluster_key",
        "_groups",
        "_groups_until_ms",
        "_is_drained",
        "_membership",
    )

    def __init__(self, clock, cluster_key, membership, cell_size, is_drained):
        """Create an issuer; the groups are computed when the first ticket is issued.

        Args:
          clock: A Clock.
          cluster_key: Bytes.
          membership: A Membership.
          cell_size: An integer, the approximate number of agents in a cell.
          is_drained: A function of a Member that tells whether it is drained.
        """
        self._clock = clock
        self._cluster_key = cluster_key
        self._membership = membership
        self._cell_size = cell_size
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
        groups = self._current_groups()
        if not groups:
            return result.Err(
                problem.Problem(
                    kind=problem.Kind.NO_WORKER,
                    message="no worker is connected to this entry",
                    remedy="try again later, or ask another entry",
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

    def invalidate(self):
        """Discard the computed groups; the next use computes new ones."""
        self._groups_until_ms = 0.0

    def _current_groups(self):
        now_ms = self._clock.now_ms()
        if now_ms >= self._groups_until_ms:
            self._groups = self._compute_groups()
            self._groups_until_ms = now_ms + _GROUPS_LIFETIME_MS
        return self._groups

    def _compute_groups(self):
        serving_members = [
            agent.member
            for agent in self._membership.live_agents()
            if not agent.status.leaving and agent.link.is_open
        ]
        return [
            tuple(member.incarnation for member in cell.group(members, home))
            for members in cell.cells(serving_members, self._cell_size)
            for home in self._homes(members)
        ]

    def _homes(self, members):
        """Choose the homes of a cell: the first by rank, drained ones last.

        Returns:
          A list of integers, indexes into `members`.
        """
        indexes = range(len(members))
        ordered_indexes = sorted(
            indexes, key=lambda index: self._is_drained(members[index])
        )
        return ordered_indexes[: cell.HOMES_PER_CELL]
