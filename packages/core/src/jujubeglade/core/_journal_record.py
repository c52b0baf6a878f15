"""Audit records, their kinds, and the hash that chains them.

The hash of a record covers its other fields and the hash of the previous record,
keyed with the cluster key. Changing, removing or adding a record without the key
breaks the chain at that record.
"""

import dataclasses
import enum
import hashlib

import msgpack

HASH_BYTES = 16
GENESIS_HASH = bytes(HASH_BYTES)
_MAX_KEY_BYTES = 64


class Kind(enum.StrEnum):
    """The event that a record describes; the subject is a job unless noted."""

    # The home accepted the job.
    ACCEPTED = "accepted"
    # A request was refused; the detail has the problem and its outcome.
    REFUSED = "refused"
    # The home fixed the answer of the job: state and outcome of each task.
    ANSWERED = "answered"
    # The executor sent these attempts to its upstream.
    STARTED = "started"
    # The executor promised never to start these attempts.
    REJECTED = "rejected"
    # The upstream's answer to these attempts reached the executor.
    FINISHED = "finished"
    # A client or the deadline cancelled the job.
    CANCELLED = "cancelled"
    # An operator throttled the running attempts of the job.
    THROTTLED = "throttled"
    # The home placed these attempts after an earlier one failed.
    RETRIED = "retried"
    # The home placed these attempts in addition to slow ones.
    HEDGED = "hedged"
    # A successor, or the home after a lost connection, asked what had started.
    CLAIMED = "claimed"
    # The executor raised the job's fence and refuses older generations.
    FENCED = "fenced"
    # The owner dropped the job, because a later generation owns it.
    MOVED = "moved"
    # The executor closed the job: none of its attempts starts there any more.
    CLOSED = "closed"
    # A zone or worker (the subject) was taken out of service.
    DRAINED = "drained"
    # A zone or worker (the subject) was brought back into service.
    RESTORED = "restored"
    # The process applied the configuration revision that the subject names.
    CONFIGURATION = "configuration"
    # An agent (the subject) became a member at this process.
    MEMBER_JOINED = "member_joined"
    # An agent (the subject) is no longer a member at this process.
    MEMBER_LEFT = "member_left"
    # An operator's command (the subject is its id) had this result.
    COMMAND = "command"
    # A range of records of this process was dropped, because the buffer was full.
    GAP = "gap"
    # The process was idle: nothing was recorded for some time before this.
    MARK = "mark"
    # The journal of this incarnation starts here (the subject is the process).
    OPENED = "opened"
    # The process closed the journal of this incarnation (the subject is the process).
    CLOSED_JOURNAL = "closed_journal"


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One audit record of one process.

    Attributes:
      process: A string, the name of the process in its settings.
      incarnation: A string, the incarnation of that process.
      sequence: An integer, 1 for the first record of an incarnation; for a gap, the
        first sequence that is missing.
      wall_ms: An integer, the time of the record by the wall clock of the process.
      kind: A Kind.
      subject: A string, what the record is about: a job, zone, command or process.
      detail: A mapping of strings to strings and integers.
      previous_ms: An integer, the `last_ms` of the previous record, so that the time
        of a missing record is known; 0 for the first.
      previous_hash: Bytes, the hash of the previous record.
      hash: Bytes, the hash of this record.
    """

    process: str
    incarnation: str
    sequence: int
    wall_ms: int
    kind: Kind
    subject: str
    detail: dict
    previous_ms: int
    previous_hash: bytes
    hash: bytes

    @property
    def source(self):
        """The process and incarnation, as PROCESS/INCARNATION."""
        return f"{self.process}/{self.incarnation}"

    @property
    def last_sequence(self):
        """The last sequence that the record covers; for a gap, that of its end."""
        if self.kind is Kind.GAP:
            last = self.detail.get("last")
            return last if isinstance(last, int) else self.sequence
        return self.sequence

    @property
    def last_ms(self):
        """The last wall time that the record covers; for a gap, that of its end."""
        if self.kind is Kind.GAP:
            last_ms = self.detail.get("last_ms")
            return last_ms if isinstance(last_ms, int) else self.wall_ms
        return self.wall_ms


def compute_hash(fields, previous_ms, previous_hash, key):
    """Hash one record.

    Args:
      fields: A tuple of process, incarnation, sequence, wall_ms, kind, subject and
        detail.
      previous_ms: An integer, the `last_ms` of the previous record.
      previous_hash: Bytes, the hash of the previous record.
      key: Bytes, the cluster key; may be empty.

    Returns:
      A pair of the hash and the size of the record in bytes.
    """
    *head, kind, subject, detail = fields
    items = sorted(detail.items())
    row = (*head, str(kind), subject, items, previous_ms, previous_hash)
    body = msgpack.packb(row)
    digest = hashlib.blake2b(body, digest_size=HASH_BYTES, key=key[:_MAX_KEY_BYTES])
    return digest.digest(), len(body)


def expected_hash(record, key):
    """Compute the hash that the record should have.

    Args:
      record: A Record.
      key: Bytes, the cluster key; may be empty.

    Returns:
      Bytes.
    """
    fields = (
        record.process,
        record.incarnation,
        record.sequence,
        record.wall_ms,
        record.kind,
        record.subject,
        record.detail,
    )
    return compute_hash(fields, record.previous_ms, record.previous_hash, key)[0]
