"""Commands of operators: run and shell."""

import sys
import uuid

_PROMPT = "jujubeglade> "
_ENDS = ("exit", "quit")


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
    command_id = command_id or str(uuid.uuid4())
    report.note(f"id {command_id}")
    return report.command(await operator.command(command_id, text))


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
