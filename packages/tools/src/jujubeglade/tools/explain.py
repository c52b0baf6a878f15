"""The story of one request, told from the logs of many processes.

Reads JSON lines as `jujubegladed` writes them, keeps those that touch one job and
those that tell what the processes believed meanwhile, and names what is missing.
"""

import dataclasses
import datetime
import json

#: Fields that every line has, or that the first columns show.
_COMMON = ("time", "level", "role", "name", "logger", "event", "job", "task")
#: Events that change what a process believes; they concern every request.
_BELIEFS = (
    "operator state applied",
    "entry lost",
    "entry reached",
    "leaving",
    "owner lost",
    "settings reloaded",
    "started",
    "stopped",
    "store lost",
    "store regained",
    "was suspended",
    "worker answers",
    "worker draining",
    "worker lost",
    "worker reached",
    "worker reports",
    "worker silent",
)
_SENT = "attempt sent"
_ENDED = ("attempt ended", "attempt not started")
_ANSWERED = ("job answered", "request refused")
#: Beliefs are shown from this long before the request, in ms.
_BEFORE_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    Attributes:
      at_ms: A number, milliseconds since 1970.
      process: A string.
      event: A string.
      subject: A string, the job or the attempt; empty for a belief.
      details: A string, the other fields.
      dropped: An integer, lines missing before this one.
    """

    at_ms: float
    process: str
    event: str
    subject: str
    details: str
    dropped: int


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """What the logs tell of a request.

    Attributes:
      lines: A tuple of Lines, in order of time.
      gaps: A tuple of strings, what the logs do not tell.
    """

    lines: tuple
    gaps: tuple


def build_timeline(job_id, texts):
    """Tell the story of a request.

    Args:
      job_id: A string.
      texts: An iterable of strings, log lines in any order.

    Returns:
      A Timeline; without lines when the logs do not know the request.
    """
    read = [found for found in map(_read, texts) if found is not None]
    read.sort(key=lambda pair: pair[0].at_ms)
    own = [line for line, job in read if job == job_id]
    if not own:
        return Timeline((), (f"no line names {job_id}",))
    first_ms = own[0].at_ms - _BEFORE_MS
    last_ms = own[-1].at_ms
    involved = {line.process for line in own}
    shown = [
        line
        for line, job in read
        if job == job_id
        or (
            line.event in _BELIEFS
            and line.process in involved
            and first_ms <= line.at_ms <= last_ms
        )
    ]
    return Timeline(tuple(shown), tuple(_gaps(own, read, first_ms, last_ms)))


def _read(text):
    """Read a line.

    Returns:
      A pair of a Line and the id of the job it names, or None.
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
        f"{name}={value}" for name, value in fields.items() if name not in _COMMON
    )
    line = Line(at_ms, process, event, task or job, details, fields.get("dropped", 0))
    return line, job


def _milliseconds(text):
    """Read a time such as 2026-01-01T12:00:00.010Z, as ms since 1970."""
    moment = datetime.datetime.fromisoformat(text)
    return moment.timestamp() * 1000


def _gaps(own, read, first_ms, last_ms):
    """Name what the lines leave open."""
    events = [line.event for line in own]
    if not any(event in _ANSWERED for event in events):
        yield "no line tells the answer: the entry was killed, or its log is missing"
    sent = _runs(own, (_SENT,))
    ended = _runs(own, _ENDED)
    for subject, run in sorted(sent - ended):
        yield f"attempt {subject} {run} has no end in the logs"
    for line, _ in read:
        if line.dropped and first_ms <= line.at_ms <= last_ms:
            yield f"{line.process} dropped {line.dropped} lines before {line.event!r}"


def _runs(lines, events):
    """List the attempts that events name, as pairs of a task and `run=N`."""
    return {
        (line.subject, word)
        for line in lines
        if line.event in events
        for word in line.details.split()
        if word.startswith("run=")
    }


def _rows(story):
    """Write a story as rows of a table, with times from its first line."""
    begin_ms = story.lines[0].at_ms
    return [
        (
            f"{line.at_ms - begin_ms:.0f}",
            line.process,
            line.event,
            line.subject,
            line.details,
        )
        for line in story.lines
    ]


def show(job_id, texts, report):
    """Show the story of a request.

    Args:
      job_id: A string.
      texts: An iterable of strings.
      report: A Report.

    Returns:
      A boolean, whether the logs know the request.
    """
    story = build_timeline(job_id, texts)
    if story.lines:
        report.rows(("ms", "process", "event", "about", "inputs"), _rows(story))
    for gap in story.gaps:
        report.note(f"gap: {gap}")
    return bool(story.lines)
