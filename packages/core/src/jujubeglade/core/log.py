"""Structured logs: one line of `name=value` fields for each event.

    _log = log.get(__name__)
    _log.info("job accepted", job=key, tenant="acme")

writes, after `setup` was called,

    time=2026-01-01T12:00:00.010Z level=info role=agent name=agent-3
    logger=jujubeglade.agent.home event="job accepted" job=... tenant=acme

on one line. The event is a fixed text; values that vary are fields. Lines below the
level are not formatted.
"""

import json
import re

import logbook

from jujubeglade.core import _log_queue

LEVELS = ("debug", "info", "warning", "error")
_PLAIN_TEXT = re.compile(r"[\w.:/+-]+", re.ASCII)
_MICROSECONDS_PER_MILLISECOND = 1000

_group = logbook.LoggerGroup(level=logbook.WARNING)
_handlers = []


def get(name):
    """Make the logger of a module.

    Args:
      name: A string, the module's `__name__`.

    Returns:
      A logbook.Logger whose level is set by `setup`.
    """
    logger = logbook.Logger(name)
    _group.add_logger(logger)
    return logger


def setup(level, stream, role, name, style="text"):
    """Write logs to a stream from now on, instead of the former one.

    Args:
      level: A string, one of `LEVELS`.
      stream: A text stream.
      role: A string, agent or entry.
      name: A string, the name of the process in its settings.
      style: A string: `text` writes lines of `name=value` at once, `json` queues lines
        of JSON objects and never blocks.
    """
    while _handlers:
        former = _handlers.pop()
        former.close()
        former.pop_application()
    fields = {"role": role, "name": name}
    if style == "json":
        handler = _log_queue.QueueHandler(stream, fields)
    else:
        head = _render(fields)
        handler = logbook.StreamHandler(stream)
        handler.formatter = lambda record, _: _line(record, head)
    handler.push_application()
    _handlers.append(handler)
    set_level(level)


def flush():
    """Write the queued lines, before the process ends."""
    for handler in _handlers:
        handler.flush()


def set_level(level):
    """Set the lowest level of the lines written.

    Args:
      level: A string, one of `LEVELS`.
    """
    _group.level = logbook.lookup_level(level.upper())


def _line(record, head):
    """Render a log record on one line."""
    when = record.time
    milliseconds = when.microsecond // _MICROSECONDS_PER_MILLISECOND
    moment = f"{when:%Y-%m-%dT%H:%M:%S}.{milliseconds:03d}Z"
    level = record.level_name.lower()
    fields = {"logger": record.channel, "event": record.msg, **record.kwargs}
    if record.exc_info:
        fields["traceback"] = record.formatted_exception
    return f"time={moment} level={level} {head} {_render(fields)}"


def _render(fields):
    """Render fields as `name=value`, with values quoted where necessary."""
    return " ".join(f"{name}={_quote(value)}" for name, value in fields.items())


def _quote(value):
    """Render one value; as a JSON string if it has other than plain characters."""
    text = str(value)
    return text if _PLAIN_TEXT.fullmatch(text) else json.dumps(text)
