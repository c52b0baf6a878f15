"""Compact text for what happened to the tasks of a job.

An answer names the outcome of each task by one character of `ends`, in the
order of the tasks; the character is the position of the entry in `legend`:

    ends    !!"!
    legend  agent-1/aa ran 1;agent-2/bb may_have_run 2

says that tasks 0, 1 and 3 ran on agent-1/aa at their first attempt and task 2
may have run on agent-2/bb at its second. Attempts are ranges of indexes, the
attempt behind a dot: `0-8.1 12.2`. Sets of tasks are ranges alone: `0-8 12`.
"""

import dataclasses

_FIRST_CHARACTER = 33
_ASCII_CHARACTERS = 94
_SECOND_PAGE = 0xA1
_NOBODY = "-"
_UNREADABLE = (AttributeError, IndexError, KeyError, TypeError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnd:
    """How one task ended.

    Attributes:
      outcome: A string, ran, not_run or may_have_run.
      executor: A string, PROCESS/INCARNATION; empty when it was never placed.
      attempt: An integer, the last attempt; 0 when it was never placed.
    """

    outcome: str
    executor: str = ""
    attempt: int = 0


def pack_ends(ends):
    """Encode the ends of all tasks of a job.

    Args:
      ends: An iterable of TaskEnd, in the order of the tasks.

    Returns:
      A dictionary with the strings `ends` and `legend`, for a record's detail.
    """
    legend = {}
    characters = [_character(legend.setdefault(end, len(legend))) for end in ends]
    entries = (
        f"{end.executor or _NOBODY} {end.outcome} {end.attempt}" for end in legend
    )
    return {"ends": "".join(characters), "legend": ";".join(entries)}


def unpack_ends(detail):
    """Decode the ends of all tasks of a job.

    Args:
      detail: A mapping that `pack_ends` made, other keys beside it.

    Returns:
      A tuple of TaskEnd, in the order of the tasks; empty when there are none or
      the detail was altered so that it can't be read.
    """
    if not detail.get("ends"):
        return ()
    try:
        legend = [_parse_end(entry) for entry in detail["legend"].split(";")]
        return tuple(legend[_position(character)] for character in detail["ends"])
    except _UNREADABLE:
        return ()


def pack_attempts(attempts):
    """Encode a set of attempts.

    Args:
      attempts: An iterable of pairs of a task's index and the attempt's number.

    Returns:
      A string of ranges such as `0-8.1 12.2`.
    """
    ranges = []
    for index, attempt in sorted(set(attempts), key=lambda pair: pair[::-1]):
        if ranges and ranges[-1][1:] == [index - 1, attempt]:
            ranges[-1][1] = index
        else:
            ranges.append([index, index, attempt])
    return " ".join(_range_text(*bounds) for bounds in ranges)


def unpack_attempts(text):
    """Decode a set of attempts.

    Args:
      text: A string that `pack_attempts` made.

    Returns:
      A tuple of pairs of a task's index and the attempt's number; empty when the
      text was altered so that it can't be read.
    """
    try:
        return tuple(_parse_attempts(text))
    except _UNREADABLE:
        return ()


def pack_indexes(indexes):
    """Encode a set of tasks.

    Args:
      indexes: An iterable of integers, the places of the tasks.

    Returns:
      A string of ranges such as `0-8 12`.
    """
    return pack_attempts((index, 0) for index in indexes).replace(".0", "")


def unpack_indexes(text):
    """Decode a set of tasks.

    Args:
      text: A string that `pack_indexes` made.

    Returns:
      A frozenset of integers; empty when the text was altered so that it can't be
      read.
    """
    attempts = unpack_attempts(" ".join(f"{part}.0" for part in text.split()))
    return frozenset(index for index, _ in attempts)


def _parse_attempts(text):
    """Yield the attempts of a text."""
    for part in text.split():
        bounds, attempt = part.split(".")
        first, _, last = bounds.partition("-")
        for index in range(int(first), int(last or first) + 1):
            yield index, int(attempt)


def _range_text(first, last, attempt):
    """Write one range."""
    bounds = f"{first}-{last}" if last > first else f"{first}"
    return f"{bounds}.{attempt}"


def _parse_end(entry):
    """Read one entry of a legend."""
    executor, outcome, attempt = entry.split(" ")
    return TaskEnd(outcome, "" if executor == _NOBODY else executor, int(attempt))


def _character(position):
    """Choose the character for a position in the legend."""
    if position < _ASCII_CHARACTERS:
        return chr(_FIRST_CHARACTER + position)
    return chr(_SECOND_PAGE + position - _ASCII_CHARACTERS)


def _position(character):
    """Find the position in the legend of a character."""
    code = ord(character)
    if code < _SECOND_PAGE:
        return code - _FIRST_CHARACTER
    return code - _SECOND_PAGE + _ASCII_CHARACTERS
