"""The language of the operators' commands.

An entry parses the text of a command to one of the records of `commands`, or to a
Problem that shows the line with a caret:

    match query.parse("drain zone rennes if revision 7"):
        case result.Ok(command): ...
        case result.Err(problem): ...

`change_of` converts a command that changes the configuration to a named change.
docs/LANGUAGE.md is the reference page. Agents never import this package.
"""

from jujubeglade.query import _changes, _parser

change_of = _changes.change_of
is_change = _changes.is_change
is_read_only = _changes.is_read_only
parse = _parser.parse
