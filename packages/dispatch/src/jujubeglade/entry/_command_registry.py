"""The registry of what serves each command of the operators' language.

A server is registered for its kinds of command and gets the entry and the order:

    @registry.serves(commands.ShowZones)
    async def show_zones(entry, order): ...     # a Result of a Reply

Whatever a command asked of other processes and did not get is a line of the reply.
"""

import dataclasses

import result

from jujubeglade.core import problem

DONE = "done"
FAILED = "failed"
UNKNOWN = "unknown"

_servers = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One command, as an operator sent it.

    Attributes:
      command_id: A string, chosen by the operator; a repetition carries the same.
      text: A string, as it was written.
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
      lines: A sequence of strings.
      status: A string; docs/LANGUAGE.md, "Answers", lists them.
      revision: An integer, of the configuration.
    """

    lines: tuple
    status: str = DONE
    revision: int = 0


def serves(*kinds):
    """Register the server of commands.

    Args:
      *kinds: Record classes of `query.commands`.

    Returns:
      A decorator for a coroutine function of an Entry and an Order, to a Result of
      a Reply or of a Problem.
    """

    def register(server):
        for kind in kinds:
            _servers[kind] = server
        return server

    return register


def served():
    """List the kinds of command that are served.

    Returns:
      A frozenset of record classes.
    """
    return frozenset(_servers)


async def serve(entry, order):
    """Serve a command.

    Args:
      entry: The Entry.
      order: An Order.

    Returns:
      A Result of a Reply, or of a Problem.
    """
    server = _servers.get(type(order.command))
    if server is None:
        return result.Err(
            problem.Problem(
                kind=problem.Kind.BAD_REQUEST,
                message=f"{type(order.command).__name__} is not served",
                remedy="run the same version of jujubeglade everywhere",
                outcome=problem.Outcome.NOT_RUN,
            )
        )
    return await server(entry, order)
