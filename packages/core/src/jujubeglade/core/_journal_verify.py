"""Checks that a set of records is complete and unchanged.

| finding     | meaning                                                             |
|-------------|---------------------------------------------------------------------|
| `gap`       | the process recorded that it dropped these records                  |
| `missing`   | these records are absent and no gap covers them                     |
| `changed`   | the hash of the record is not that of its contents                  |
| `broken`    | the record does not refer to the previous one                       |
| `forged`    | two different records have the same sequence                        |
| `reordered` | the record is placed after one with a higher sequence               |
| `tail`      | the journal was not closed; later records may be lost or to come    |

A changed record breaks the chain at its successor only if its hash was changed too.
Without the cluster key a valid hash can't be computed.
"""

import dataclasses
import enum

from jujubeglade.core import _journal_record


class FindingKind(enum.StrEnum):
    """What is wrong or unknown about the records; see the module's table."""

    GAP = "gap"
    MISSING = "missing"
    CHANGED = "changed"
    BROKEN = "broken"
    FORGED = "forged"
    REORDERED = "reordered"
    TAIL = "tail"


_MESSAGES = {
    FindingKind.GAP: "gap in {source} from {first} to {last}",
    FindingKind.MISSING: "missing in {source} from {first} to {last}",
    FindingKind.CHANGED: "changed: {source} record {first}",
    FindingKind.BROKEN: "broken: {source} record {first} does not follow {before}",
    FindingKind.FORGED: "forged: {source} has two records {first}",
    FindingKind.REORDERED: "reordered: {source} record {first} stands too late",
    FindingKind.TAIL: "{source}: tail may be lost after {before}",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One defect of a set of records.

    Attributes:
      kind: A FindingKind.
      source: A string, PROCESS/INCARNATION.
      first: An integer, the first sequence concerned.
      last: An integer, the last sequence concerned; 0 if it is not known.
      first_ms: An integer, the wall time before which nothing is missing.
      last_ms: An integer, the wall time after which nothing is missing; 0 if it is
        not known.
    """

    kind: FindingKind
    source: str
    first: int
    last: int
    first_ms: int
    last_ms: int

    def __str__(self):
        """Render the finding on one line."""
        before = self.first - 1
        return _MESSAGES[self.kind].format(
            source=self.source, first=self.first, last=self.last, before=before
        )


class _Chain:
    """Checks the records of one incarnation, one after another."""

    __slots__ = ("_by_sequence", "_findings", "_key", "_last", "_source")

    def __init__(self, source, key):
        self._source = source
        self._key = key
        self._last = None
        self._by_sequence = {}
        self._findings = []

    def add(self, record):
        """Check the next record; an identical copy of an earlier one is ignored."""
        earlier = self._by_sequence.get(record.sequence)
        if earlier is not None:
            if earlier != record:
                self._add_finding(FindingKind.FORGED, record)
            return
        self._by_sequence[record.sequence] = record
        if _journal_record.expected_hash(record, self._key) != record.hash:
            self._add_finding(FindingKind.CHANGED, record)
        if self._last and record.sequence <= self._last.last_sequence:
            self._add_finding(FindingKind.REORDERED, record)
            return
        self._check_predecessor(record)
        if record.kind is _journal_record.Kind.GAP:
            self._add_finding(FindingKind.GAP, record, record.last_sequence)
        self._last = record

    def finish(self):
        """Return all findings, that of the tail last."""
        last = self._last
        if last and last.kind is not _journal_record.Kind.CLOSED_JOURNAL:
            first = last.last_sequence + 1
            kind = FindingKind.TAIL
            finding = Finding(kind, self._source, first, 0, last.last_ms, 0)
            self._findings.append(finding)
        return self._findings

    def _check_predecessor(self, record):
        """Check that a record refers to the previous one."""
        expected = self._last.last_sequence + 1 if self._last else 1
        if record.sequence > expected:
            self._add_missing(expected, record)
            return
        previous = self._last.hash if self._last else _journal_record.GENESIS_HASH
        before_ms = self._last.last_ms if self._last else 0
        if (record.previous_ms, record.previous_hash) != (before_ms, previous):
            self._add_finding(FindingKind.BROKEN, record)

    def _add_missing(self, first, record):
        """Add a finding for the records missing before a record."""
        first_ms = self._last.wall_ms if self._last else 0
        last = record.sequence - 1
        kind = FindingKind.MISSING
        last_ms = record.previous_ms
        finding = Finding(kind, self._source, first, last, first_ms, last_ms)
        self._findings.append(finding)

    def _add_finding(self, kind, record, last=None):
        """Add a finding about a record."""
        self._findings.append(
            Finding(
                kind,
                self._source,
                record.sequence,
                last or record.sequence,
                record.wall_ms,
                record.last_ms,
            )
        )


def verify(records, key=b""):
    """Check records of any number of incarnations.

    Args:
      records: An iterable of Records; those of one incarnation in their order.
      key: Bytes, the cluster key under which they were recorded.

    Returns:
      A tuple of Findings, grouped by incarnation; empty if the records are complete
      and unchanged.
    """
    chains = {}
    for record in records:
        chain = chains.get(record.source)
        if chain is None:
            chain = chains[record.source] = _Chain(record.source, key)
        chain.add(record)
    return tuple(finding for chain in chains.values() for finding in chain.finish())
