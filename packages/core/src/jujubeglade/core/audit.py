"""The messages that carry audit records between processes."""

from jujubeglade.core import journal, message

_MAX_ANSWER_RECORDS = 10_000
_MAX_ANSWER_BYTES = 2_000_000


@message.register(70)
class Batch:
    """Audit records of one process, sent to an entry that stores them.

    Attributes:
      records: Bytes, encoded by `journal.pack`.
    """

    records: bytes


@message.register(72)
class Ask:
    """Ask a process for its records that may not be stored yet.

    It is answered by a Batch, which is empty if none of those records is about the
    subject. Otherwise the batch contains all of them from the oldest on, because
    records left out of the chain would look like lost ones.

    Attributes:
      subject: A string, as in `journal.is_about`.
    """

    subject: str


def answer(request, own_journal):
    """Answer an Ask.

    Args:
      request: An Ask.
      own_journal: The Journal of this process.

    Returns:
      A Batch.
    """
    records = own_journal.pending(_MAX_ANSWER_RECORDS, _MAX_ANSWER_BYTES)
    if not any(journal.is_about(record, request.subject) for record in records):
        return Batch(b"")
    return Batch(journal.pack(records))
