"""Members: the agents connected to an entry, and the messages between the two.

Membership is soft state. An agent dials every entry and sends each a `Heartbeat`
at intervals; the entry answers with a `Permit`. None of this is stored.
"""

import dataclasses

from jujubeglade.core import contract, message


@message.register(40)
class Member:
    """An agent and its address.

    Attributes:
      incarnation: A string, the incarnation of the agent.
      name: A string, from its settings.
      host: A string, an IP number.
      port: An integer, the port where it accepts streams.
      zone: A string, its availability zone.
      rack: A string.
      services: A tuple of strings, the services of its live upstreams.
      slots: An integer, how many tasks it may run at once.
    """

    incarnation: str
    name: str
    host: str
    port: int
    zone: str
    rack: str
    services: tuple[str, ...]
    slots: int

    @property
    def address(self):
        """Return the pair of host and port."""
        return (self.host, self.port)


@message.register(41)
class Heartbeat:
    """An agent's report, which also asks for a permit.

    Attributes:
      sent_ms: A float, the time of sending by the agent's monotonic clock.
      period_ms: An integer, the time until the agent's next heartbeat.
      member: A Member.
      load: A Load.
      leaving: A boolean, whether the agent shuts down and accepts no new work.
      revision: An integer, the highest configuration revision that it has applied.
      records: Bytes, audit records encoded by `journal.pack`; may be empty.
    """

    sent_ms: float
    period_ms: int
    member: Member
    load: contract.Load
    leaving: bool
    revision: int
    records: bytes


@message.register(42)
class Permit:
    """A right to start tasks for a short time.

    Attributes:
      sent_ms: A float, copied from the heartbeat that it answers.
      revision: An integer, the configuration revision under which it was granted.
      remaining_ms: An integer, how long it is valid, counted from `sent_ms`.
      stored_sequence: An integer, the sequence of the agent's last audit record that
        the store holds.
    """

    sent_ms: float
    revision: int
    remaining_ms: int
    stored_sequence: int


@message.register(43)
class Configuration:
    """The configuration, as an entry sends it to agents.

    Attributes:
      revision: An integer, the revision of the document.
      document: Bytes, a JSON text.
    """

    revision: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """The last state of an agent that an entry received.

    Attributes:
      member: A Member.
      load: A Load.
      leaving: A boolean, as in Heartbeat.
      revision: An integer, as in Heartbeat.
    """

    member: Member
    load: contract.Load
    leaving: bool
    revision: int
