"""The commands of operators: run and shell."""

import secrets
import sys

from jujubeglade.core import clock

_PROMPT = "jujubeglade> "
_EXIT_WORDS = ("exit", "quit")
_RANDOM_BYTES = 5


async def run(client, report, text, command_id=""):
    """Send one command and print its answer.

    Args:
      client: A Client.
      report: A Report.
      text: A string, in the operators' language.
      command_id: A string; if empty, a new one is made. It is printed, so that a
        command whose answer was lost can be sent again.

    Returns:
      An Exit.
    """
    command_id = command_id or _new_id()
    report.note(f"id {command_id}")
    return report.command(await client.command(command_id, text))


def _new_id():
    """Make the id of a command.

    It starts with the time, which the command `why` needs.
    """
    wall_ms = clock.system_clock().wall_ms()
    return f"{wall_ms:x}-{secrets.token_hex(_RANDOM_BYTES)}"


async def shell(client, report, lines):
    """Send one command for each line.

    Args:
      client: A Client.
      report: A Report.
      lines: An iterable of strings; empty lines and `#` comments are skipped.

    Returns:
      The highest Exit of the commands.
    """
    worst_status = 0
    for line in lines:
        text = line.strip()
        if text in _EXIT_WORDS:
            break
        if text and not text.startswith("#"):
            worst_status = max(worst_status, await run(client, report, text))
    return worst_status


def read_lines():
    """Yield the lines of standard input, with a prompt if it is a terminal."""
    if not sys.stdin.isatty():
        yield from sys.stdin
        return
    while True:
        try:
            yield input(_PROMPT)
        except (EOFError, KeyboardInterrupt):
            print()
            return
