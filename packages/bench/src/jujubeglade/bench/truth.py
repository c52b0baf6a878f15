"""Compares the audit records with the upstreams' own logs.

The upstreams log every start. A record that contradicts them is false. A start without
a record is a loss, which the records themselves must show: as a gap, or as the missing
tail of a process that did not shut down in order.

| kind               | what was found                                                  |
|--------------------|-----------------------------------------------------------------|
| `untold`           | a start that has no record and falls in no known loss           |
| `false_started`    | a recorded start that no upstream saw, of a process whose       |
|                    | records are complete                                            |
| `false_rejected`   | a start of an attempt that was recorded as rejected             |
| `false_not_run`    | a start of a task whose recorded end is `not_run`               |
| `false_ran`        | a task whose recorded end is `ran`, but that no upstream saw    |
| `started_closed`   | a recorded start after the same executor had closed the job     |
| `broken_chain`     | records that were changed, forged, reordered or don't follow    |

    truth.examine(records, starts, key)    # a tuple of Discrepancies
"""

import collections
import dataclasses
import enum

from jujubeglade.core import journal

_KNOWN_LOSSES = (
    journal.FindingKind.GAP,
    journal.FindingKind.TAIL,
    journal.FindingKind.MISSING,
)


class Kind(enum.StrEnum):
    """The kinds of discrepancies; see the module's table."""

    UNTOLD = "untold"
    FALSE_STARTED = "false_started"
    FALSE_REJECTED = "false_rejected"
    FALSE_NOT_RUN = "false_not_run"
    FALSE_RAN = "false_ran"
    STARTED_CLOSED = "started_closed"
    BROKEN_CHAIN = "broken_chain"


@dataclasses.dataclass(frozen=True, slots=True)
class Discrepancy:
    """One disagreement between the records and the upstreams' logs.

    Attributes:
      kind: A Kind.
      source: A string, PROCESS/INCARNATION, or the upstream's name.
      subject: A string, the task or attempt concerned.
    """

    kind: Kind
    source: str
    subject: str

    def __str__(self):
        """Render on one line."""
        return f"{self.kind}: {self.source}: {self.subject}"


def examine(records, starts, key=b""):
    """Compare records with the upstreams' logs.

    Args:
      records: A sequence of Records of all processes.
      starts: A sequence of upstream.Started; an upstream has its worker's name.
      key: Bytes, the cluster key.

    Returns:
      A tuple of Discrepancies.
    """
    findings = journal.verify(records, key)
    evidence = _Evidence(records, starts, findings)
    return (
        *_broken_chains(findings),
        *_unrecorded_starts(evidence),
        *_false_attempts(evidence),
        *_false_ends(evidence),
        *_starts_after_close(evidence),
    )


class _Evidence:
    """Records and logs, indexed for the comparisons."""

    def __init__(self, records, starts, findings):
        self.started_attempts = {
            (start.key, start.index, start.attempt) for start in starts
        }
        self.started_tasks = {(start.key, start.index) for start in starts}
        self.starts = starts
        self.lossy_processes = {
            finding.source.split("/")[0]
            for finding in findings
            if finding.kind in _KNOWN_LOSSES
        }
        self.records = records
        self.recorded = collections.defaultdict(set)
        for record in records:
            for index, attempt in attempts(record):
                name = (record.subject, index, attempt)
                self.recorded[record.kind].add(name)


def attempts(record):
    """List the attempts that a record covers.

    Args:
      record: A Record.

    Returns:
      A tuple of pairs of a task's index and the attempt's number.
    """
    return journal.unpack_attempts(record.detail.get("attempts", ""))


def _broken_chains(findings):
    for finding in findings:
        if finding.kind not in _KNOWN_LOSSES:
            yield Discrepancy(Kind.BROKEN_CHAIN, finding.source, str(finding))


def _unrecorded_starts(evidence):
    recorded = evidence.recorded[journal.Kind.STARTED]
    for start in evidence.starts:
        name = (start.key, start.index, start.attempt)
        if name not in recorded and start.name not in evidence.lossy_processes:
            yield Discrepancy(Kind.UNTOLD, start.name, _attempt_text(name))


def _false_attempts(evidence):
    """Compare recorded starts and rejections with the logged starts."""
    rejected = evidence.recorded[journal.Kind.REJECTED]
    for record in evidence.records:
        for index, attempt in attempts(record):
            name = (record.subject, index, attempt)
            was_seen = name in evidence.started_attempts
            if record.kind is journal.Kind.REJECTED and was_seen:
                yield Discrepancy(
                    Kind.FALSE_REJECTED, record.source, _attempt_text(name)
                )
            is_excused = name in rejected or record.process in evidence.lossy_processes
            if record.kind is journal.Kind.STARTED and not (was_seen or is_excused):
                yield Discrepancy(
                    Kind.FALSE_STARTED, record.source, _attempt_text(name)
                )


def _false_ends(evidence):
    """Compare the recorded ends of tasks with the logged starts."""
    for record in evidence.records:
        if record.kind is not journal.Kind.ANSWERED:
            continue
        for index, end in enumerate(journal.unpack_ends(record.detail)):
            was_started = (record.subject, index) in evidence.started_tasks
            task = f"{record.subject} task {index}"
            if end.outcome == "not_run" and was_started:
                yield Discrepancy(Kind.FALSE_NOT_RUN, record.source, task)
            if end.outcome == "ran" and not was_started:
                yield Discrepancy(Kind.FALSE_RAN, record.source, task)


def _starts_after_close(evidence):
    closed = {
        (record.source, record.subject): record.wall_ms
        for record in reversed(evidence.records)
        if record.kind is journal.Kind.CLOSED
    }
    for record in evidence.records:
        if record.kind is not journal.Kind.STARTED:
            continue
        closed_ms = closed.get((record.source, record.subject))
        if closed_ms is not None and record.detail.get("last_ms", 0) > closed_ms:
            yield Discrepancy(Kind.STARTED_CLOSED, record.source, record.subject)


def _attempt_text(name):
    key, index, attempt = name
    return f"{key} task {index} attempt {attempt}"
