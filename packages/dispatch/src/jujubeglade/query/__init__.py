"""The operators' language.

An entry parses the text of a command into one of the records of `commands`, or
into a Problem that shows the line with a caret:

    match query.parse("drain zone rennes if revision 7"):
        case result.Ok(command): ...
        case result.Err(problem): ...

A command that changes the configuration becomes a named change by `change_of`.
docs/LANGUAGE.md is the reference page. Agents never import this package.
"""

from jujubeglade.query import _changes, _parser

change_of = _changes.change_of
is_change = _changes.is_change
is_reading = _changes.is_reading
parse = _parser.parse
