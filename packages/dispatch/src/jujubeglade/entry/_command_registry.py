"""The registry of the handlers for the commands of the operators' language.

A handler is registered for one or more kinds of command. It gets the entry and the
invocation of the command:

    @registry.handles(commands.ShowZones)
    async def show_zones(entry, invocation): ...     # a Result of a Reply

If a handler needs an answer from other processes, the reply has a line for each process
that did not answer.
"""

import dataclasses

import result

from jujubeglade.core import problem

DONE = "done"
FAILED = "failed"
UNKNOWN = "unknown"

_handlers = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Invocation:
    """One command, as an operator sent it.

    Attributes:
      command_id: A string, chosen by the operator; a repetition has the same id.
      text: A string, the command as it was written.
      by: A string, the operator.
      command: A record of `query.commands`.
    """

    command_id: str
    text: str
    by: str
    command: object


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a command.

    Attributes:
      lines: A tuple of strings.
      status: A string; docs/LANGUAGE.md, "Answers", lists them.
      revision: An integer, of the configuration.
    """

    lines: tuple
    status: str = DONE
    revision: int = 0


def handles(*kinds):
    """Register the handler for some kinds of command.

    Args:
      *kinds: Record classes of `query.commands`.

    Returns:
      A decorator for a coroutine function of an Entry and an Invocation, to a Result
      of a Reply or of a Problem.
    """

    def register(handler):
        for kind in kinds:
            _handlers[kind] = handler
        return handler

    return register


def handled_kinds():
    """List the kinds of command that have a handler.

    Returns:
      A frozenset of record classes.
    """
    return frozenset(_handlers)


async def execute(entry, invocation):
    """Execute a command.

    Args:
      entry: The Entry.
      invocation: An Invocation.

    Returns:
      A Result of a Reply, or of a Problem.
    """
    handler = _handlers.get(type(invocation.command))
    if handler is None:
        return result.Err(
            problem.Problem(
                kind=problem.Kind.BAD_REQUEST,
                message=f"{type(invocation.command).__name__} is not supported",
                remedy="run the same version of jujubeglade everywhere",
                outcome=problem.Outcome.NOT_RUN,
            )
        )
    return await handler(entry, invocation)
