"""The messages that carry audit records from agents to entries."""

from jujubeglade.core import message


@message.register(70)
class Batch:
    """Records of one process, for an entry to store.

    Attributes:
      records: Bytes, as `journal.pack` made them.
    """

    records: bytes


@message.register(71)
class Stored:
    """Tell a process that the store holds its records.

    Attributes:
      incarnation: A string, the life of the process.
      sequence: An integer, the last record held.
    """

    incarnation: str
    sequence: int
