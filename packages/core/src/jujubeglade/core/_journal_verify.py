"""Checks that a set of records is whole and unaltered.

| finding     | what was seen                                                       |
|-------------|---------------------------------------------------------------------|
| `gap`       | the process says that it dropped these records                      |
| `missing`   | these records are absent and no gap names them                      |
| `changed`   | the record does not have the hash of its contents                   |
| `broken`    | the record does not follow from the one before it                   |
| `forged`    | two different records claim the same place                          |
| `reordered` | the record stands after one with a higher sequence                  |
| `tail`      | the journal was not closed; later records may be lost, or to come   |

A record that was changed breaks the chain at its successor only when its hash
was changed with it; with the cluster key unknown to the forger it can't be
made right.
"""

import dataclasses
import enum

from jujubeglade.core import _journal_record


class FindingKind(enum.StrEnum):
    """What is wrong, or not known; see the module's table."""

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
    """One thing that the records do not show.

    Attributes:
      kind: A FindingKind.
      source: A string, PROCESS/INCARNATION.
      first: An integer, the first sequence concerned.
      last: An integer, the last sequence concerned; 0 when it is open.
      first_ms: An integer, the wall clock before which nothing is missing.
      last_ms: An integer, the wall clock after which nothing is missing; 0 when it
        is open.
    """

    kind: FindingKind
    source: str
    first: int
    last: int
    first_ms: int
    last_ms: int

    def __str__(self):
        """Say it in one line."""
        before = self.first - 1
        return _MESSAGES[self.kind].format(
            source=self.source, first=self.first, last=self.last, before=before
        )


class _Chain:
    """The check of one incarnation, record by record in the order given."""

    __slots__ = ("_findings", "_key", "_last", "_seen", "_source")

    def __init__(self, source, key):
        self._source = source
        self._key = key
        self._last = None
        self._seen = {}
        self._findings = []

    def add(self, record):
        """Check the next record; the same record again is nothing new."""
        known = self._seen.get(record.sequence)
        if known is not None:
            if known != record:
                self._note(FindingKind.FORGED, record)
            return
        self._seen[record.sequence] = record
        if _journal_record.expected_hash(record, self._key) != record.hash:
            self._note(FindingKind.CHANGED, record)
        if self._last and record.sequence <= self._last.last_sequence:
            self._note(FindingKind.REORDERED, record)
            return
        self._check_link(record)
        if record.kind is _journal_record.Kind.GAP:
            self._note(FindingKind.GAP, record, record.last_sequence)
        self._last = record

    def finish(self):
        """List the findings, with that of the tail at the end."""
        last = self._last
        if last and last.kind is not _journal_record.Kind.CLOSED_JOURNAL:
            first = last.last_sequence + 1
            kind = FindingKind.TAIL
            finding = Finding(kind, self._source, first, 0, last.last_ms, 0)
            self._findings.append(finding)
        return self._findings

    def _check_link(self, record):
        """Check that a record follows the one before it."""
        expected = self._last.last_sequence + 1 if self._last else 1
        if record.sequence > expected:
            self._note_missing(expected, record)
            return
        previous = self._last.hash if self._last else _journal_record.GENESIS_HASH
        before_ms = self._last.last_ms if self._last else 0
        if (record.previous_ms, record.previous_hash) != (before_ms, previous):
            self._note(FindingKind.BROKEN, record)

    def _note_missing(self, first, record):
        """Add a finding for the records before one."""
        first_ms = self._last.wall_ms if self._last else 0
        last = record.sequence - 1
        kind = FindingKind.MISSING
        last_ms = record.previous_ms
        finding = Finding(kind, self._source, first, last, first_ms, last_ms)
        self._findings.append(finding)

    def _note(self, kind, record, last=None):
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
      key: Bytes, the cluster key they were made with.

    Returns:
      A tuple of Findings, by incarnation; empty when all is whole.
    """
    chains = {}
    for record in records:
        chain = chains.get(record.source)
        if chain is None:
            chain = chains[record.source] = _Chain(record.source, key)
        chain.add(record)
    return tuple(finding for chain in chains.values() for finding in chain.finish())
