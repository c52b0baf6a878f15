"""The story of a job, task, refusal or command, from its records.

A story says only what a record says. It closes with one line for each stretch
of records that is missing and could have held a part of it, or with `recorded`
when there is none. Of the processes whose journal is still open only those count
that the story names: its authors, the executors of its answer and the candidates
of its acceptance (`candidates`, separated by commas).

    2026-01-01 12:00:00.010 agent-1/aa accepted job-1: tasks=2 (record 2)
    2026-01-01 12:00:00.015 agent-2/bb started job-1: task 0 attempt 1 (record 7)
    not recorded; gap in agent-3/cc from 41 to 57
"""

import datetime
import re

from jujubeglade.core import _journal_record, _journal_tasks, _journal_verify

_SETTLE_MS = 5000
_MILLISECONDS_PER_SECOND = 1000
_TASK = re.compile(r"(?P<job>.+)-(?P<index>\d+)\.(?P<attempt>\d+)")
_FINAL_KINDS = frozenset({"answered", "refused", "command", "drained", "restored"})
_ATTEMPT_KINDS = frozenset({"started", "rejected", "finished"})
_OWN_WORDS = frozenset(
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
    _journal_record.Kind.MEMBER_JOINED: "hears from",
    _journal_record.Kind.MEMBER_LEFT: "no longer hears from",
    _journal_record.Kind.COMMAND: "executed command",
    _journal_record.Kind.OPENED: "opened the journal of",
    _journal_record.Kind.CLOSED_JOURNAL: "closed the journal of",
}


def explain(records, subject, key=b"", index=None):
    """Tell what the records say of a subject.

    Args:
      records: An iterable of Records, of all processes that could know of it; the
        chains of one incarnation in their order.
      subject: A string: a job, a task (JOB-INDEX.ATTEMPT), a zone, a command.
      key: Bytes, the cluster key.
      index: An integer, the only task of a job to tell of; None for all.

    Returns:
      A list of lines. The last says `recorded` when nothing that could belong to
      the story is missing.
    """
    records = tuple(records)
    wanted, task = _parse_subject(records, subject)
    if index is not None:
        task = (index, None)
    story = _story(records, wanted, task)
    findings = _journal_verify.verify(records, key)
    lines = [_sentence(record, task) for record in story]
    lines.extend(_doubts(story, findings))
    return lines or [f"recorded: no record names {subject}, and none is missing"]


def is_about(record, subject):
    """Say whether a record belongs to a subject's story.

    Args:
      record: A Record.
      subject: A string, as `explain` takes it.

    Returns:
      A boolean.
    """
    match = _TASK.fullmatch(subject)
    return record.subject == subject or bool(match and record.subject == match["job"])


def _parse_subject(records, subject):
    """Split a task's id into its job and index, unless a record has that subject."""
    match = _TASK.fullmatch(subject)
    if match is None or any(record.subject == subject for record in records):
        return subject, None
    return match["job"], (int(match["index"]), int(match["attempt"]))


def _story(records, wanted, task):
    """List the records of a subject once each, in the order of their time."""
    chosen = {
        (record.source, record.sequence, record.hash): record
        for record in records
        if record.subject == wanted and _concerns(record, task)
    }
    return sorted(chosen.values(), key=lambda record: record.wall_ms)


def _concerns(record, task):
    """Say whether a job's record has to do with a task."""
    if task is None or record.kind not in _ATTEMPT_KINDS:
        return True
    attempts = _journal_tasks.unpack_attempts(record.detail.get("attempts", ""))
    return any(_is_of(attempt, task) for attempt in attempts)


def _is_of(attempt, task):
    """Say whether an attempt is the one wanted, or any of the task wanted."""
    return attempt[0] == task[0] and task[1] in (None, attempt[1])


def _doubts(story, findings):
    """List what may be missing from a story; `recorded` when it is whole."""
    if not story:
        return _doubts_without_story(findings)
    ended = any(record.kind in _FINAL_KINDS for record in story)
    begin_ms = story[0].wall_ms - _SETTLE_MS
    end_ms = story[-1].wall_ms + _SETTLE_MS if ended else float("inf")
    named = _named_sources(story)
    doubts = []
    for finding in findings:
        unknown_author = not finding.last and finding.source not in named
        if _is_within(finding, begin_ms, end_ms) and not unknown_author:
            doubts.append(_doubt(finding))
    whole = "recorded" if ended else "recorded so far; no end is recorded"
    return doubts or [whole]


def _is_within(finding, begin_ms, end_ms):
    """Say whether what a finding is about may lie in a span of time."""
    if finding.kind not in _TIMED_KINDS:
        # The time of an altered record may be altered too.
        return True
    last_ms = finding.last_ms or float("inf")
    return finding.first_ms <= end_ms and last_ms >= begin_ms


def _doubts_without_story(findings):
    """List what is missing when no record has the subject."""
    doubts = [_doubt(finding) for finding in findings if finding.last]
    unfinished = sum(not finding.last for finding in findings)
    if unfinished:
        doubts.append(f"not recorded; {unfinished} journals are still open")
    return doubts


def _named_sources(story):
    """Collect the processes that a story names."""
    sources = {record.source for record in story}
    for record in story:
        sources.update(str(record.detail.get("candidates", "")).split(","))
        ends = _journal_tasks.unpack_ends(record.detail)
        sources.update(end.executor for end in ends)
    return sources


def _doubt(finding):
    """Say what one finding means for a story."""
    if finding.kind is _journal_verify.FindingKind.TAIL:
        return f"not recorded; no record of {finding.source} after {finding.first - 1}"
    if finding.kind is _journal_verify.FindingKind.MISSING:
        bounds = f"from {finding.first} to {finding.last}"
        return f"not recorded; gap in {finding.source} {bounds}"
    if finding.kind is _journal_verify.FindingKind.GAP:
        return f"not recorded; {finding}"
    return f"not to be trusted; {finding}"


def _sentence(record, task):
    """Tell one record."""
    phrase = _PHRASES.get(record.kind, str(record.kind))
    facts = ", ".join(_facts(record, task))
    facts = f": {facts}" if facts else ""
    when = _time_text(record.wall_ms)
    who = f"{when} {record.source} {phrase} {record.subject}"
    return f"{who}{facts} (record {record.sequence})"


def _facts(record, task):
    """Yield the detail of a record as phrases."""
    detail = record.detail
    legend = "legend" in detail
    words = _OWN_WORDS if legend or "attempts" in detail else ()
    yield from (
        f"{name}={detail[name]}" for name in sorted(detail) if name not in words
    )
    if legend:
        yield from _end_facts(_journal_tasks.unpack_ends(detail), task)
    if "attempts" in detail:
        yield from _attempt_facts(detail, task)


def _end_facts(ends, task):
    """Yield how tasks ended, those alike together."""
    groups = {}
    for index, end in enumerate(ends):
        if task is None or index == task[0]:
            groups.setdefault(end, []).append(index)
    for end, indexes in groups.items():
        place = f" on {end.executor} at attempt {end.attempt}" if end.executor else ""
        yield f"{_tasks_text(indexes)} {end.outcome}{place}"


def _attempt_facts(detail, task):
    """Yield the attempts of a record, and when they were."""
    by_attempt = {}
    for index, attempt in _journal_tasks.unpack_attempts(detail["attempts"]):
        if task is None or _is_of((index, attempt), task):
            by_attempt.setdefault(attempt, []).append(index)
    for attempt, indexes in by_attempt.items():
        yield f"{_tasks_text(indexes)} attempt {attempt}"
    if "first_ms" in detail:
        first, last = (_time_text(detail[name]) for name in ("first_ms", "last_ms"))
        yield f"from {first} to {last}"


def _tasks_text(indexes):
    """Write task numbers as ranges."""
    text = _journal_tasks.pack_attempts((index, 1) for index in indexes)
    ranges = ", ".join(part.removesuffix(".1") for part in text.split())
    return f"{'task' if len(indexes) == 1 else 'tasks'} {ranges}"


def _time_text(wall_ms):
    """Write a wall clock reading in UTC; an altered one as it stands."""
    try:
        seconds, milliseconds = divmod(wall_ms, _MILLISECONDS_PER_SECOND)
        moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    except (OSError, OverflowError, TypeError, ValueError):
        return str(wall_ms)
    return f"{moment:%Y-%m-%d %H:%M:%S}.{milliseconds:03d}"
