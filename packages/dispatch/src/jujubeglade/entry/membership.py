"""Membership: the agents that are connected to this entry.

It is soft state, derived only from heartbeats and open links. An agent whose heartbeats
stop is left out of new tickets; its absence has no other consequence.
"""

import dataclasses

from jujubeglade.core import journal as journal_
from jujubeglade.core import link, log, member

_HEARTBEAT_GRACE_MS = 1000

_log = log.get(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectedAgent:
    """An agent that is connected to this entry.

    Attributes:
      status: A MemberStatus, from its last heartbeat.
      link: A Link.
      due_ms: A float, the monotonic time by which the next heartbeat is due.
    """

    status: member.MemberStatus
    link: link.Link
    due_ms: float

    @property
    def member(self):
        """Return the Member, which holds the agent's name and address."""
        return self.status.member


class Membership:
    """The agents that are connected to one entry."""

    __slots__ = ("_agents", "_clock", "_journal")

    def __init__(self, clock, journal):
        """Create a membership without agents.

        Args:
          clock: A Clock.
          journal: A Journal.
        """
        self._clock = clock
        self._journal = journal
        self._agents = {}

    def __len__(self):
        """Count the connected agents, including those whose heartbeat is overdue."""
        return len(self._agents)

    def record_heartbeat(self, agent_link, heartbeat):
        """Record the heartbeat of an agent.

        Args:
          agent_link: The Link on which it arrived.
          heartbeat: A Heartbeat.

        Returns:
          A boolean, whether the agent has just joined.
        """
        incarnation = heartbeat.member.incarnation
        joined = incarnation not in self._agents
        status = member.MemberStatus(
            heartbeat.member, heartbeat.load, heartbeat.leaving, heartbeat.revision
        )
        due_ms = self._clock.now_ms() + heartbeat.period_ms + _HEARTBEAT_GRACE_MS
        self._agents[incarnation] = ConnectedAgent(status, agent_link, due_ms)
        if joined:
            _log.info(
                "worker joined",
                worker=heartbeat.member.name,
                incarnation=incarnation,
                zone=heartbeat.member.zone,
            )
            self._journal.record(
                journal_.Kind.MEMBER_JOINED,
                heartbeat.member.name,
                incarnation=incarnation,
                zone=heartbeat.member.zone,
            )
        return joined

    def remove_link(self, agent_link):
        """Remove the agent whose link has closed.

        Args:
          agent_link: The Link.
        """
        for incarnation, agent in list(self._agents.items()):
            if agent.link is agent_link:
                self._remove(incarnation)

    def find(self, incarnation):
        """Find an agent that can be sent a request now.

        Args:
          incarnation: A string.

        Returns:
          A ConnectedAgent, or None.
        """
        agent = self._agents.get(incarnation)
        if agent is None or not agent.link.is_open:
            return None
        if self._is_overdue(agent):
            return None
        return agent

    def live_agents(self):
        """List the agents whose heartbeat is not overdue.

        Returns:
          A list of ConnectedAgents, in no particular order.
        """
        return [agent for agent in self._agents.values() if not self._is_overdue(agent)]

    def close_overdue_links(self):
        """Close the links of agents whose heartbeat is overdue."""
        for agent in list(self._agents.values()):
            if self._is_overdue(agent):
                agent.link.close()

    def _is_overdue(self, agent):
        return self._clock.now_ms() > agent.due_ms

    def _remove(self, incarnation):
        agent = self._agents.pop(incarnation)
        _log.warning(
            "worker left",
            worker=agent.member.name,
            incarnation=incarnation,
            leaving=agent.status.leaving,
        )
        self._journal.record(
            journal_.Kind.MEMBER_LEFT, agent.member.name, incarnation=incarnation
        )
