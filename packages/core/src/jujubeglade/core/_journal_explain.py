"""Explains a job, task, refusal or command from the audit records.

An explanation has one line for each record of the subject. Then it has one line for
each range of records that is missing and could be about the subject, or `recorded` if
there is none. A journal that is not closed may lack its latest records. It gets a line
only if its process occurs in the explanation: as the author of a record, as an executor
in the answer, or as a candidate at the acceptance (`candidates`, separated by commas).

    2026-01-01 12:00:00.010 agent-1/aa accepted job-1: tasks=2 (record 2)
    2026-01-01 12:00:00.015 agent-2/bb started job-1: task 0 attempt 1 (record 7)
    not recorded; gap in agent-3/cc from 41 to 57
"""

import datetime
import re

from jujubeglade.core import _journal_record, _journal_tasks, _journal_verify

#: A missing record may belong to the subject if its time is this close to the others.
_MARGIN_MS = 5000
_MILLISECONDS_PER_SECOND = 1000
_TASK_PATTERN = re.compile(r"(?P<job>.+)-(?P<index>\d+)\.(?P<attempt>\d+)")
_FINAL_KINDS = frozenset({"answered", "refused", "command", "drained", "restored"})
_ATTEMPT_KINDS = frozenset({"started", "rejected", "finished"})
_UNLISTED_FIELDS = frozenset(
    {
        "ends",
        "legend",
        "attempts",
        "first_ms",
        "group",
        "last_ms",
        "permit_revision",
        "permit_until_ms",
        "repeatable",
    }
)
_TIMED_KINDS = frozenset({"gap", "missing", "tail"})
_PHRASES = {
    _journal_record.Kind.REFUSED: "refused a request for",
    _journal_record.Kind.REJECTED: "promised never to start tasks of",
    _journal_record.Kind.FINISHED: "has the upstream's answer for",
    _journal_record.Kind.CLAIMED: "asked the candidates what had started of",
    _journal_record.Kind.FENCED: "refuses older owners of",
    _journal_record.Kind.CLOSED: "closed",
    _journal_record.Kind.RETRIED: "placed again",
    _journal_record.Kind.HEDGED: "placed a second attempt of",
    _journal_record.Kind.CONFIGURATION: "applied configuration",
    _journal_record.Kind.MEMBER_JOINED: "added member",
    _journal_record.Kind.MEMBER_LEFT: "removed member",
    _journal_record.Kind.COMMAND: "executed command",
    _journal_record.Kind.OPENED: "opened the journal of",
    _journal_record.Kind.CLOSED_JOURNAL: "closed the journal of",
}


def explain(records, subject, key=b"", index=None):
    """Explain a subject from the records about it.

    Args:
      records: An iterable of Records, of all processes that could have recorded
        something about it; those of one incarnation in their order.
      subject: A string: a job, a task (JOB-INDEX.ATTEMPT), a zone, a command.
      key: Bytes, the cluster key.
      index: An integer, the only task of a job to explain; None for all.

    Returns:
      A list of lines. The last one starts with `recorded` if no record is missing
      that could be about the subject.
    """
    records = tuple(records)
    record_subject, task = _parse_subject(records, subject)
    if index is not None:
        task = (index, None)
    subject_records = _records_about(records, record_subject, task)
    findings = _journal_verify.verify(records, key)
    lines = [_record_line(record, task) for record in subject_records]
    lines.extend(_completeness_lines(subject_records, findings))
    return lines or [f"recorded: no record names {subject}, and none is missing"]


def is_about(record, subject):
    """Tell whether a record belongs to the explanation of a subject.

    Args:
      record: A Record.
      subject: A string, as in `explain`.

    Returns:
      A boolean.
    """
    match = _TASK_PATTERN.fullmatch(subject)
    return record.subject == subject or bool(match and record.subject == match["job"])


def _parse_subject(records, subject):
    """Split a task's id into job and attempt, unless a record has that subject."""
    match = _TASK_PATTERN.fullmatch(subject)
    if match is None or any(record.subject == subject for record in records):
        return subject, None
    return match["job"], (int(match["index"]), int(match["attempt"]))


def _records_about(records, record_subject, task):
    """Return the records of a subject without copies, ordered by time."""
    distinct = {
        (record.source, record.sequence, record.hash): record
        for record in records
        if record.subject == record_subject and _is_about_task(record, task)
    }
    return sorted(distinct.values(), key=lambda record: record.wall_ms)


def _is_about_task(record, task):
    """Tell whether a record of a job is about a task."""
    if task is None or record.kind not in _ATTEMPT_KINDS:
        return True
    attempts = _journal_tasks.unpack_attempts(record.detail.get("attempts", ""))
    return any(_matches_task(attempt, task) for attempt in attempts)


def _matches_task(attempt, task):
    """Tell whether an attempt is the given one, or any of the given task."""
    return attempt[0] == task[0] and task[1] in (None, attempt[1])


def _completeness_lines(records, findings):
    """Return lines on what may be missing; only `recorded` if nothing is."""
    if not records:
        return _completeness_without_records(findings)
    ended = any(record.kind in _FINAL_KINDS for record in records)
    begin_ms = records[0].wall_ms - _MARGIN_MS
    end_ms = records[-1].wall_ms + _MARGIN_MS if ended else float("inf")
    named = _named_sources(records)
    lines = []
    for finding in findings:
        is_unrelated_tail = not finding.last and finding.source not in named
        if _is_within(finding, begin_ms, end_ms) and not is_unrelated_tail:
            lines.append(_finding_line(finding))
    conclusion = "recorded" if ended else "recorded so far; no end is recorded"
    return lines or [conclusion]


def _is_within(finding, begin_ms, end_ms):
    """Tell whether the records of a finding may be from a span of time."""
    if finding.kind not in _TIMED_KINDS:
        # The time of a changed record may be changed too.
        return True
    last_ms = finding.last_ms or float("inf")
    return finding.first_ms <= end_ms and last_ms >= begin_ms


def _completeness_without_records(findings):
    """Return lines on what may be missing when no record has the subject."""
    lines = [_finding_line(finding) for finding in findings if finding.last]
    unfinished = sum(not finding.last for finding in findings)
    if unfinished:
        lines.append(f"not recorded; {unfinished} journals are still open")
    return lines


def _named_sources(records):
    """Return the processes that occur in the records of a subject."""
    sources = {record.source for record in records}
    for record in records:
        sources.update(str(record.detail.get("candidates", "")).split(","))
        ends = _journal_tasks.unpack_ends(record.detail)
        sources.update(end.executor for end in ends)
    return sources


def _finding_line(finding):
    """Return the line for one finding."""
    if finding.kind is _journal_verify.FindingKind.TAIL:
        return f"not recorded; no record of {finding.source} after {finding.first - 1}"
    if finding.kind is _journal_verify.FindingKind.MISSING:
        bounds = f"from {finding.first} to {finding.last}"
        return f"not recorded; gap in {finding.source} {bounds}"
    if finding.kind is _journal_verify.FindingKind.GAP:
        return f"not recorded; {finding}"
    return f"not to be trusted; {finding}"


def _record_line(record, task):
    """Return the line for one record."""
    phrase = _PHRASES.get(record.kind, str(record.kind))
    details = ", ".join(_detail_phrases(record, task))
    details = f": {details}" if details else ""
    when = _time_text(record.wall_ms)
    head = f"{when} {record.source} {phrase} {record.subject}"
    return f"{head}{details} (record {record.sequence})"


def _detail_phrases(record, task):
    """Yield a phrase for each item in the detail of a record."""
    detail = record.detail
    has_legend = "legend" in detail
    unlisted = _UNLISTED_FIELDS if has_legend or "attempts" in detail else ()
    yield from (
        f"{name}={detail[name]}" for name in sorted(detail) if name not in unlisted
    )
    if has_legend:
        yield from _end_phrases(_journal_tasks.unpack_ends(detail), task)
    if "attempts" in detail:
        yield from _attempt_phrases(detail, task)


def _end_phrases(ends, task):
    """Yield how tasks ended, with equal ends in one phrase."""
    groups = {}
    for index, end in enumerate(ends):
        if task is None or index == task[0]:
            groups.setdefault(end, []).append(index)
    for end, indexes in groups.items():
        place = f" on {end.executor} at attempt {end.attempt}" if end.executor else ""
        yield f"{_tasks_text(indexes)} {end.outcome}{place}"


def _attempt_phrases(detail, task):
    """Yield the attempts of a record and their times."""
    by_attempt = {}
    for index, attempt in _journal_tasks.unpack_attempts(detail["attempts"]):
        if task is None or _matches_task((index, attempt), task):
            by_attempt.setdefault(attempt, []).append(index)
    for attempt, indexes in by_attempt.items():
        yield f"{_tasks_text(indexes)} attempt {attempt}"
    if "first_ms" in detail:
        first, last = (_time_text(detail[name]) for name in ("first_ms", "last_ms"))
        yield f"from {first} to {last}"


def _tasks_text(indexes):
    """Render task indexes as ranges."""
    text = _journal_tasks.pack_attempts((index, 1) for index in indexes)
    ranges = ", ".join(part.removesuffix(".1") for part in text.split())
    return f"{'task' if len(indexes) == 1 else 'tasks'} {ranges}"


def _time_text(wall_ms):
    """Render a wall time in UTC; an invalid one unchanged."""
    try:
        seconds, milliseconds = divmod(wall_ms, _MILLISECONDS_PER_SECOND)
        moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    except (OSError, OverflowError, TypeError, ValueError):
        return str(wall_ms)
    return f"{moment:%Y-%m-%d %H:%M:%S}.{milliseconds:03d}"
