"""The parser of the operators' language.

The grammar is operators.lark. An error becomes a Problem whose message shows
the line with a caret under the place, and whose remedy says what would be right
there.
"""

import difflib
import importlib.resources
import re

import lark
import result

from jujubeglade.core import problem
from jujubeglade.query import _builder

_MAX_CHARACTERS = 65_536
_MAX_DEPTH = 64
_SHOWN_CHARACTERS = 72
_WORD = re.compile(r"[^\s,:{}\[\]]+|.", re.DOTALL)
_STRING = re.compile(r'"(?:[^"\\]|\\.)*"')

# How the words of the grammar that aren't keywords are named to an operator.
_READABLE = {
    "NAME": "a name",
    "ID": "an id",
    "TASK_ID": "a task such as JOB.0",
    "INT": "a whole number",
    "DURATION": "a duration such as 500ms",
    "RATE": "a rate such as 50/s",
    "STRING": 'a string in "',
    "NUMBER": "a number",
    "LBRACE": "{",
    "RBRACE": "}",
    "LSQB": "[",
    "RSQB": "]",
    "COLON": ":",
    "COMMA": ",",
    "$END": "the end",
}


def _load():
    grammar = importlib.resources.files("jujubeglade.query") / "operators.lark"
    return lark.Lark(
        grammar.read_text(encoding="utf-8"),
        parser="lalr",
        maybe_placeholders=True,
        transformer=_builder.Builder(),
    )


_parser = _load()


def parse(text):
    """Parse one command.

    Args:
      text: A string, as the operator wrote it.

    Returns:
      A Result: Ok of a record of `commands`, or Err of a Problem of kind SYNTAX.
    """
    if len(text) > _MAX_CHARACTERS:
        cause = f"the command has {len(text)} characters"
        return result.Err(_problem(cause, f"stay within {_MAX_CHARACTERS}", ""))
    if _depth(text) > _MAX_DEPTH:
        remedy = f"nest within {_MAX_DEPTH} levels"
        return result.Err(_problem("the payload is nested too deep", remedy, ""))
    if not text.strip():
        return result.Err(_at(text, 0, "there is no command", _expected(_start())))
    reading = _start(text)
    try:
        for _ in reading.iter_parse():
            pass
        return result.Ok(reading.feed_eof())
    except _builder.WrongWordError as wrong:
        position = wrong.token.start_pos
        return result.Err(_at(text, position, wrong.cause, wrong.remedy))
    except lark.exceptions.UnexpectedInput as error:
        return result.Err(_unexpected(text, error, reading))


def _start(text=""):
    return _parser.parse_interactive(text)


def _unexpected(text, error, reading):
    """Say what stands in the wrong place and what would be right there."""
    position = error.pos_in_stream
    token = getattr(error, "token", None)
    if token is not None and token.type == "$END":
        position = None
    if position is None:
        end = len(text.rstrip())
        return _at(text, end, "the command isn't complete", _expected(reading))
    word = _WORD.match(text, position)[0]
    cause = f"{_printable(word[:40])} isn't right here"
    return _at(text, position, cause, _expected(reading, word))


def _expected(reading, word=""):
    """Name what the parser would take, the nearest keyword first."""
    accepted = sorted(reading.accepts())
    names = [_READABLE.get(each, each.lower()) for each in accepted]
    keywords = [each.lower() for each in accepted if each not in _READABLE]
    near = difflib.get_close_matches(word.lower(), keywords, 1)
    if near and len(names) == 1:
        return f"did you mean {near[0]}?"
    hint = f"did you mean {near[0]}? " if near else ""
    return f"{hint}write {_either(names)}"


def _either(names):
    """Join names as a sentence does."""
    if len(names) == 1:
        return names[0]
    return f"{', '.join(names[:-1])} or {names[-1]}"


def _at(text, position, cause, remedy):
    """Make a problem that shows the line with a caret."""
    first = text.rfind("\n", 0, position) + 1
    line = text[first:].split("\n", 1)[0]
    column = position - first
    number = text.count("\n", 0, position) + 1
    place = f"column {column + 1}"
    if number > 1:
        place = f"line {number}, {place}"
    shown, offset = _window(line, column)
    message = f"{cause}\n  {shown}\n  {' ' * offset}^"
    return _problem(message, remedy, place)


def _window(line, column):
    """Cut a long line to the part around a column."""
    start = max(0, column - _SHOWN_CHARACTERS // 2)
    shown = line[start : start + _SHOWN_CHARACTERS]
    return _printable(shown), column - start


def _printable(text):
    """Replace what a terminal would not show in one column."""
    return "".join(each if each.isprintable() else " " for each in text)


def _problem(message, remedy, place):
    return problem.Problem(
        problem.Kind.SYNTAX, message, remedy, place, problem.Outcome.NOT_RUN
    )


def _depth(text):
    """Count the deepest nesting of brackets outside strings."""
    deepest = level = 0
    for character in _STRING.sub("", text):
        if character in "{[":
            level += 1
            deepest = max(deepest, level)
        elif character in "}]":
            level -= 1
    return deepest
