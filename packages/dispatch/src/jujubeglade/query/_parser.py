"""The parser of the operators' language.

The grammar is operators.lark. An error becomes a Problem whose message shows the line
with a caret under the error, and whose remedy names what the grammar allows there.
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
_MAX_SHOWN_CHARACTERS = 72
_WORD = re.compile(r"[^\s,:{}\[\]]+|.", re.DOTALL)
_STRING = re.compile(r'"(?:[^"\\]|\\.)*"')

# The descriptions, in messages to operators, of the terminals that aren't keywords.
_TERMINAL_DESCRIPTIONS = {
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


def _load_parser():
    grammar = importlib.resources.files("jujubeglade.query") / "operators.lark"
    return lark.Lark(
        grammar.read_text(encoding="utf-8"),
        parser="lalr",
        maybe_placeholders=True,
        transformer=_builder.Builder(),
    )


_parser = _load_parser()


def parse(text):
    """Parse one command.

    Args:
      text: A string, the command as the operator wrote it.

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
        return result.Err(
            _problem_at(text, 0, "there is no command", _expected(_start_parser()))
        )
    parser = _start_parser(text)
    try:
        for _ in parser.iter_parse():
            pass
        return result.Ok(parser.feed_eof())
    except _builder.InvalidWordError as error:
        position = error.token.start_pos
        return result.Err(_problem_at(text, position, error.cause, error.remedy))
    except lark.exceptions.UnexpectedInput as error:
        return result.Err(_unexpected(text, error, parser))


def _start_parser(text=""):
    return _parser.parse_interactive(text)


def _unexpected(text, error, parser):
    """Build the problem for input that the grammar doesn't allow."""
    position = error.pos_in_stream
    token = getattr(error, "token", None)
    if token is not None and token.type == "$END":
        position = None
    if position is None:
        end = len(text.rstrip())
        return _problem_at(text, end, "the command isn't complete", _expected(parser))
    word = _WORD.match(text, position)[0]
    cause = f"{_printable(word[:40])} isn't right here"
    return _problem_at(text, position, cause, _expected(parser, word))


def _expected(parser, word=""):
    """Describe what the parser accepts next; suggest a keyword similar to the word."""
    terminals = sorted(parser.accepts())
    names = [
        _TERMINAL_DESCRIPTIONS.get(terminal, terminal.lower()) for terminal in terminals
    ]
    keywords = [
        terminal.lower()
        for terminal in terminals
        if terminal not in _TERMINAL_DESCRIPTIONS
    ]
    similar = difflib.get_close_matches(word.lower(), keywords, 1)
    if similar and len(names) == 1:
        return f"did you mean {similar[0]}?"
    hint = f"did you mean {similar[0]}? " if similar else ""
    return f"{hint}write {_join_alternatives(names)}"


def _join_alternatives(names):
    """Join names with commas and a final "or"."""
    if len(names) == 1:
        return names[0]
    return f"{', '.join(names[:-1])} or {names[-1]}"


def _problem_at(text, position, cause, remedy):
    """Build a problem that shows the line with a caret under the position."""
    line_start = text.rfind("\n", 0, position) + 1
    line = text[line_start:].split("\n", 1)[0]
    column = position - line_start
    number = text.count("\n", 0, position) + 1
    place = f"column {column + 1}"
    if number > 1:
        place = f"line {number}, {place}"
    excerpt, offset = _window(line, column)
    message = f"{cause}\n  {excerpt}\n  {' ' * offset}^"
    return _problem(message, remedy, place)


def _window(line, column):
    """Cut a long line to the part around a column; return it and the new column."""
    start = max(0, column - _MAX_SHOWN_CHARACTERS // 2)
    excerpt = line[start : start + _MAX_SHOWN_CHARACTERS]
    return _printable(excerpt), column - start


def _printable(text):
    """Replace characters that a terminal doesn't show as one column."""
    return "".join(character if character.isprintable() else " " for character in text)


def _problem(message, remedy, place):
    return problem.Problem(
        problem.Kind.SYNTAX, message, remedy, place, problem.Outcome.NOT_RUN
    )


def _depth(text):
    """Return the maximum nesting depth of brackets outside strings."""
    max_level = level = 0
    for character in _STRING.sub("", text):
        if character in "{[":
            level += 1
            max_level = max(max_level, level)
        elif character in "}]":
            level -= 1
    return max_level
