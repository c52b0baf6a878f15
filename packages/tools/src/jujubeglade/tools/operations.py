"""Commands of operators: run and shell."""

import secrets
import sys

from jujubeglade.core import clock

_PROMPT = "jujubeglade> "
_ENDS = ("exit", "quit")
_RANDOM_BYTES = 5


async def run(operator, report, text, command_id=""):
    """Send one command.

    Args:
      operator: A Client.
      report: A Report.
      text: A string, in the operators' language.
      command_id: A string; empty makes one. It is shown, so that a command whose
        answer was lost can be sent again.

    Returns:
      An Exit.
    """
    command_id = command_id or _new_id()
    report.note(f"id {command_id}")
    return report.command(await operator.command(command_id, text))


def _new_id():
    """Make the id of a command; its beginning says when, which `why` needs."""
    wall_ms = clock.system_clock().wall_ms()
    return f"{wall_ms:x}-{secrets.token_hex(_RANDOM_BYTES)}"


async def shell(operator, report, lines):
    """Send commands line by line.

    Args:
      operator: A Client.
      report: A Report.
      lines: An iterable of strings; empty lines and `#` comments are passed over.

    Returns:
      The highest Exit of the commands.
    """
    worst = 0
    for line in lines:
        text = line.strip()
        if text in _ENDS:
            break
        if text and not text.startswith("#"):
            worst = max(worst, await run(operator, report, text))
    return worst


def read_lines():
    """Yield the lines that the operator writes, with a prompt on a terminal."""
    if not sys.stdin.isatty():
        yield from sys.stdin
        return
    while True:
        try:
            yield input(_PROMPT)
        except (EOFError, KeyboardInterrupt):
            print()
            return
