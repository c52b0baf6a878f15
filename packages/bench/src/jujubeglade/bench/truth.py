"""Whether the audit records are true: they are set against the upstreams' own logs.

The upstreams write down every start. A record that says otherwise is false; a start
that no record tells of is a loss, which must have a name: a gap, or the tail of a
process that did not end in order.

| kind               | what was found                                                  |
|--------------------|-----------------------------------------------------------------|
| `untold`           | a start that no record and no named loss accounts for           |
| `false_started`    | a recorded start, of a process that ended in order, never seen  |
| `false_rejected`   | a start of an attempt that was recorded as never to start       |
| `false_not_run`    | a start of a task whose recorded end is `not_run`               |
| `false_ran`        | a task whose recorded end is `ran`, never seen                  |
| `started_closed`   | a recorded start after the same executor had closed the job     |
| `broken_chain`     | records that were changed, forged, reordered or don't follow    |

    truth.examine(records, starts, key)    # a tuple of Discrepancies
"""

import collections
import dataclasses
import enum

from jujubeglade.core import journal

_NAMED_LOSSES = (
    journal.FindingKind.GAP,
    journal.FindingKind.TAIL,
    journal.FindingKind.MISSING,
)


class Kind(enum.StrEnum):
    """What was found; see the module's table."""

    UNTOLD = "untold"
    FALSE_STARTED = "false_started"
    FALSE_REJECTED = "false_rejected"
    FALSE_NOT_RUN = "false_not_run"
    FALSE_RAN = "false_ran"
    STARTED_CLOSED = "started_closed"
    BROKEN_CHAIN = "broken_chain"


@dataclasses.dataclass(frozen=True, slots=True)
class Discrepancy:
    """One statement of the records that does not hold.

    Attributes:
      kind: A Kind.
      source: A string, PROCESS/INCARNATION, or the upstream's name.
      subject: A string, the task or attempt concerned.
    """

    kind: Kind
    source: str
    subject: str

    def __str__(self):
        """Say it in one line."""
        return f"{self.kind}: {self.source}: {self.subject}"


def examine(records, starts, key=b""):
    """Set records against the upstreams' logs.

    Args:
      records: A sequence of Records of all processes.
      starts: A sequence of upstream.Started; an upstream bears its worker's name.
      key: Bytes, the cluster key.

    Returns:
      A tuple of Discrepancies.
    """
    findings = journal.verify(records, key)
    evidence = _Evidence(records, starts, findings)
    return (
        *_broken(findings),
        *_untold(evidence),
        *_false_attempts(evidence),
        *_false_ends(evidence),
        *_started_closed(evidence),
    )


class _Evidence:
    """Records and logs, arranged for the comparisons."""

    def __init__(self, records, starts, findings):
        self.seen = {(start.key, start.index, start.attempt) for start in starts}
        self.tasks = {(start.key, start.index) for start in starts}
        self.starts = starts
        self.lossy = {
            finding.source.split("/")[0]
            for finding in findings
            if finding.kind in _NAMED_LOSSES
        }
        self.records = records
        self.told = collections.defaultdict(set)
        for record in records:
            for index, attempt in attempts(record):
                name = (record.subject, index, attempt)
                self.told[record.kind].add(name)


def attempts(record):
    """List the attempts that a record tells of.

    Args:
      record: A Record.

    Returns:
      A tuple of pairs of a task's index and the attempt's number.
    """
    return journal.unpack_attempts(record.detail.get("attempts", ""))


def _broken(findings):
    for finding in findings:
        if finding.kind not in _NAMED_LOSSES:
            yield Discrepancy(Kind.BROKEN_CHAIN, finding.source, str(finding))


def _untold(evidence):
    told = evidence.told[journal.Kind.STARTED]
    for start in evidence.starts:
        name = (start.key, start.index, start.attempt)
        if name not in told and start.name not in evidence.lossy:
            yield Discrepancy(Kind.UNTOLD, start.name, _attempt_text(name))


def _false_attempts(evidence):
    """Compare recorded starts and rejects with what was seen."""
    rejected = evidence.told[journal.Kind.REJECTED]
    for record in evidence.records:
        for index, attempt in attempts(record):
            name = (record.subject, index, attempt)
            seen = name in evidence.seen
            if record.kind is journal.Kind.REJECTED and seen:
                yield Discrepancy(
                    Kind.FALSE_REJECTED, record.source, _attempt_text(name)
                )
            excused = name in rejected or record.process in evidence.lossy
            if record.kind is journal.Kind.STARTED and not (seen or excused):
                yield Discrepancy(
                    Kind.FALSE_STARTED, record.source, _attempt_text(name)
                )


def _false_ends(evidence):
    """Compare the recorded ends of tasks with what was seen."""
    for record in evidence.records:
        if record.kind is not journal.Kind.ANSWERED:
            continue
        for index, end in enumerate(journal.unpack_ends(record.detail)):
            started = (record.subject, index) in evidence.tasks
            task = f"{record.subject} task {index}"
            if end.outcome == "not_run" and started:
                yield Discrepancy(Kind.FALSE_NOT_RUN, record.source, task)
            if end.outcome == "ran" and not started:
                yield Discrepancy(Kind.FALSE_RAN, record.source, task)


def _started_closed(evidence):
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
