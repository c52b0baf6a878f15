"""Compact texts for the outcomes and attempts of the tasks of a job.

An answer encodes how each task ended as one character of `ends`, in the order of
the tasks; the character stands for the position of an entry in `legend`:

    ends    !!"!
    legend  agent-1/aa ran 1;agent-2/bb may_have_run 2

means that tasks 0, 1 and 3 ran on agent-1/aa at their first attempt and task 2 may
have run on agent-2/bb at its second. Attempts are ranges of task indexes, followed by
a dot and the number of the attempt: `0-8.1 12.2`. Sets of tasks are ranges of
indexes: `0-8 12`.
"""

import dataclasses

# Characters are printable: those of ASCII from `!` on, then those from U+00A1 on.
_FIRST_CODE_POINT = 33
_ASCII_POSITIONS = 94
_SECOND_RANGE_CODE_POINT = 0xA1
_NO_EXECUTOR = "-"
_MALFORMED_ERRORS = (AttributeError, IndexError, KeyError, TypeError, ValueError)


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnd:
    """How one task ended.

    Attributes:
      outcome: A string, ran, not_run or may_have_run.
      executor: A string, PROCESS/INCARNATION; empty if the task was never placed.
      attempt: An integer, the last attempt; 0 if the task was never placed.
    """

    outcome: str
    executor: str = ""
    attempt: int = 0


def pack_ends(ends):
    """Encode the ends of all tasks of a job.

    Args:
      ends: An iterable of TaskEnd, in the order of the tasks.

    Returns:
      A dict with the strings `ends` and `legend`, for the detail of a record.
    """
    legend = {}
    characters = [_character(legend.setdefault(end, len(legend))) for end in ends]
    entries = (
        f"{end.executor or _NO_EXECUTOR} {end.outcome} {end.attempt}" for end in legend
    )
    return {"ends": "".join(characters), "legend": ";".join(entries)}


def unpack_ends(detail):
    """Decode the ends of all tasks of a job.

    Args:
      detail: A mapping with the items that `pack_ends` returned, among others.

    Returns:
      A tuple of TaskEnd, in the order of the tasks; empty if there are none or the
      detail is malformed, as after a change of the record.
    """
    if not detail.get("ends"):
        return ()
    try:
        legend = [_parse_end(entry) for entry in detail["legend"].split(";")]
        return tuple(legend[_position(character)] for character in detail["ends"])
    except _MALFORMED_ERRORS:
        return ()


def pack_attempts(attempts):
    """Encode a set of attempts.

    Args:
      attempts: An iterable of pairs of the index of a task and the number of an
        attempt.

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
      text: A string that `pack_attempts` returned.

    Returns:
      A tuple of pairs of the index of a task and the number of an attempt; empty if
      the text is malformed.
    """
    try:
        return tuple(_parse_attempts(text))
    except _MALFORMED_ERRORS:
        return ()


def pack_indexes(indexes):
    """Encode a set of tasks.

    Args:
      indexes: An iterable of integers, the indexes of the tasks.

    Returns:
      A string of ranges such as `0-8 12`.
    """
    return pack_attempts((index, 0) for index in indexes).replace(".0", "")


def unpack_indexes(text):
    """Decode a set of tasks.

    Args:
      text: A string that `pack_indexes` returned.

    Returns:
      A frozenset of integers; empty if the text is malformed.
    """
    attempts = unpack_attempts(" ".join(f"{part}.0" for part in text.split()))
    return frozenset(index for index, _ in attempts)


def _parse_attempts(text):
    """Yield the attempts encoded in a text."""
    for part in text.split():
        bounds, attempt = part.split(".")
        first, _, last = bounds.partition("-")
        for index in range(int(first), int(last or first) + 1):
            yield index, int(attempt)


def _range_text(first, last, attempt):
    """Encode one range."""
    bounds = f"{first}-{last}" if last > first else f"{first}"
    return f"{bounds}.{attempt}"


def _parse_end(entry):
    """Decode one entry of a legend."""
    executor, outcome, attempt = entry.split(" ")
    return TaskEnd(outcome, "" if executor == _NO_EXECUTOR else executor, int(attempt))


def _character(position):
    """Return the character for a position in the legend."""
    if position < _ASCII_POSITIONS:
        return chr(_FIRST_CODE_POINT + position)
    return chr(_SECOND_RANGE_CODE_POINT + position - _ASCII_POSITIONS)


def _position(character):
    """Return the position in the legend for a character."""
    code = ord(character)
    if code < _SECOND_RANGE_CODE_POINT:
        return code - _FIRST_CODE_POINT
    return code - _SECOND_RANGE_CODE_POINT + _ASCII_POSITIONS
