"""Audit records of one process.

A process records what it did and refused; entries collect the records and store
them. A chain of hashes reveals records that were changed or removed later, and
records dropped by a full buffer are replaced by a gap record. See docs/RECORDS.md
for kinds, encoding and cost.

    records = journal.open_journal("agent-3", "ab12", clock, key=cluster_key)
    records.record(journal.Kind.ACCEPTED, job, tenant="acme", tasks=100)
    batch = records.pending(max_records=500, max_bytes=65536, after=last_sent)
    records.acknowledge(batch[-1].sequence)
"""

from jujubeglade.core._journal_attempts import AttemptLog, open_attempt_log
from jujubeglade.core._journal_buffer import Journal, open_journal
from jujubeglade.core._journal_codec import pack, unpack
from jujubeglade.core._journal_explain import explain, is_about
from jujubeglade.core._journal_record import Kind, Record
from jujubeglade.core._journal_tasks import (
    TaskEnd,
    pack_attempts,
    pack_ends,
    pack_indexes,
    unpack_attempts,
    unpack_ends,
    unpack_indexes,
)
from jujubeglade.core._journal_verify import Finding, FindingKind, verify

__all__ = [
    "AttemptLog",
    "Finding",
    "FindingKind",
    "Journal",
    "Kind",
    "Record",
    "TaskEnd",
    "explain",
    "is_about",
    "open_attempt_log",
    "open_journal",
    "pack",
    "pack_attempts",
    "pack_ends",
    "pack_indexes",
    "unpack",
    "unpack_attempts",
    "unpack_ends",
    "unpack_indexes",
    "verify",
]
