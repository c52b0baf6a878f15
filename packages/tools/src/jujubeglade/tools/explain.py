"""The timeline of one request, built from the logs of several processes.

Reads the JSON lines that `jujubegladed` writes. Keeps the lines of one job and those
that show how the cluster state of the involved processes changed at the time, and
lists what is missing from the logs.
"""

import dataclasses
import datetime
import json

#: Fields that every line has or that have their own column; they are no details.
_COLUMN_FIELDS = ("time", "level", "role", "name", "logger", "event", "job", "task")
#: Events that change the cluster state of a process, and so concern every request.
_STATE_EVENTS = (
    "configuration applied",
    "configuration not fetched",
    "entry lost",
    "entry reached",
    "evacuations applied",
    "leaving",
    "link broke off",
    "loop broke off",
    "owner left to other agents",
    "owner lost",
    "roster received",
    "settings reloaded",
    "started",
    "stopped",
    "store lost",
    "store regained",
    "was suspended",
    "worker answers",
    "worker crashed",
    "worker draining",
    "worker gone",
    "worker lease expired",
    "worker lost",
    "worker reached",
    "worker reports",
    "worker resized",
    "worker silent",
)
_SENT_EVENT = "attempt sent"
_END_EVENTS = ("attempt ended", "attempt not started")
_ANSWER_EVENTS = ("job answered", "request refused")
#: State events are shown from this long before the first line of the request.
_STATE_EVENTS_BEFORE_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    Attributes:
      at_ms: A number, milliseconds since 1970.
      process: A string.
      event: A string.
      subject: A string, the job or the task; empty for a state event.
      details: A string, the other fields.
      dropped: An integer, how many lines the process dropped before this one.
    """

    at_ms: float
    process: str
    event: str
    subject: str
    details: str
    dropped: int


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """What the logs show of a request.

    Attributes:
      lines: A tuple of Lines, in order of time.
      gaps: A tuple of strings, what is missing from the logs.
    """

    lines: tuple
    gaps: tuple


def build_timeline(job_id, texts):
    """Build the timeline of a request.

    Args:
      job_id: A string.
      texts: An iterable of strings, log lines in any order.

    Returns:
      A Timeline; without lines when no log line names the request.
    """
    parsed = [pair for pair in map(_parse, texts) if pair is not None]
    parsed.sort(key=lambda pair: pair[0].at_ms)
    job_lines = [line for line, job in parsed if job == job_id]
    if not job_lines:
        return Timeline((), (f"no line names {job_id}",))
    first_ms = job_lines[0].at_ms - _STATE_EVENTS_BEFORE_MS
    last_ms = job_lines[-1].at_ms
    involved = {line.process for line in job_lines}
    shown = [
        line
        for line, job in parsed
        if job == job_id
        or (
            line.event in _STATE_EVENTS
            and line.process in involved
            and first_ms <= line.at_ms <= last_ms
        )
    ]
    return Timeline(tuple(shown), tuple(_gaps(job_lines, parsed, first_ms, last_ms)))


def _parse(text):
    """Parse a log line.

    Returns:
      A pair of a Line and the id of the job it names, empty when it names none; or
      None when the text is not a log line.
    """
    try:
        fields = json.loads(text[text.index("{") :])
        at_ms = _milliseconds(fields["time"])
        process, event = fields["name"], fields["event"]
    except (ValueError, KeyError, TypeError):
        return None
    task = fields.get("task", "")
    job = fields.get("job") or task.partition(".")[0]
    details = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in _COLUMN_FIELDS
    )
    line = Line(at_ms, process, event, task or job, details, fields.get("dropped", 0))
    return line, job


def _milliseconds(text):
    """Convert a time such as 2026-01-01T12:00:00.010Z to ms since 1970."""
    time = datetime.datetime.fromisoformat(text)
    return time.timestamp() * 1000


def _gaps(job_lines, parsed, first_ms, last_ms):
    """Yield a text for each thing that is missing from the logs."""
    events = [line.event for line in job_lines]
    if not any(event in _ANSWER_EVENTS for event in events):
        yield "no line tells the answer: the entry was killed, or its log is missing"
    sent = _runs(job_lines, (_SENT_EVENT,))
    ended = _runs(job_lines, _END_EVENTS)
    for subject, run in sorted(sent - ended):
        yield f"attempt {subject} {run} has no end in the logs"
    for line, _ in parsed:
        if line.dropped and first_ms <= line.at_ms <= last_ms:
            yield f"{line.process} dropped {line.dropped} lines before {line.event!r}"


def _runs(lines, events):
    """Return the attempts of some events, as pairs of a task and `run=N`."""
    return {
        (line.subject, word)
        for line in lines
        if line.event in events
        for word in line.details.split()
        if word.startswith("run=")
    }


def _rows(timeline):
    """Return the rows of a table, with times relative to the first line."""
    begin_ms = timeline.lines[0].at_ms
    return [
        (
            f"{line.at_ms - begin_ms:.0f}",
            line.process,
            line.event,
            line.subject,
            line.details,
        )
        for line in timeline.lines
    ]


def show(job_id, texts, report):
    """Print the timeline of a request and its gaps.

    Args:
      job_id: A string.
      texts: An iterable of strings, log lines in any order.
      report: A Report.

    Returns:
      A boolean, whether a log line names the request.
    """
    timeline = build_timeline(job_id, texts)
    if timeline.lines:
        report.rows(("ms", "process", "event", "about", "inputs"), _rows(timeline))
    for gap in timeline.gaps:
        report.note(f"gap: {gap}")
    return bool(timeline.lines)
