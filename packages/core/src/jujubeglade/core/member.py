"""Members: the agents an entry hears from, and what the two tell each other.

Membership is soft state. An agent dials every entry and sends each a
`Heartbeat` now and then; the entry answers with a `Permit`. Nothing of it is stored.
"""

import dataclasses

from jujubeglade.core import contract, message


@message.register(40)
class Member:
    """An agent, as others reach it.

    Attributes:
      incarnation: A string, this life of the agent.
      name: A string, from its settings.
      host: A string, an IP number.
      port: An integer, of its streams.
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
      sent_ms: A float, the agent's monotonic clock at sending.
      period_ms: An integer, when the next one is to be expected.
      member: A Member.
      load: A Load.
      leaving: A boolean, whether it takes no new work.
      revision: An integer, the highest revision it has applied.
      records: Bytes, audit records as `journal.pack` makes them; may be empty.
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
    """A short right to start tasks.

    Attributes:
      sent_ms: A float, copied from the heartbeat it answers.
      revision: An integer, of the configuration it was granted under.
      remaining_ms: An integer, the time it lasts, counted from `sent_ms`.
      stored_sequence: An integer, the sequence of the agent's last audit record that
        the store holds.
    """

    sent_ms: float
    revision: int
    remaining_ms: int
    stored_sequence: int


@message.register(43)
class Configuration:
    """The configuration, as an entry hands it to agents.

    Attributes:
      revision: An integer.
      document: Bytes, a JSON text.
    """

    revision: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """What an entry last heard of a member.

    Attributes:
      member: A Member.
      load: A Load.
      leaving: A boolean.
      revision: An integer.
    """

    member: Member
    load: contract.Load
    leaving: bool
    revision: int
