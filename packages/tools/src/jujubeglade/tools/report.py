"""What the commands print, and the exit status.

| status | meaning                                                    |
|--------|------------------------------------------------------------|
| 0      | done; the job complete, the records whole                  |
| 1      | refused, failed, wrong, or findings                        |
| 2      | wrong usage; or not known, because no entry answered or a  |
|        | change is recorded only                                    |

Answers go to the standard output, problems and ids to the standard error. With
`--json` an answer or a problem is one line of JSON on the standard output.
"""

import dataclasses
import enum
import json
import sys

from jujubeglade.core import problem, table

_LOST = ("lost", "refused", "failed")
_UNKNOWN = ("recorded", "unknown")


class Exit(enum.IntEnum):
    """The exit status; see the module's table."""

    DONE = 0
    REFUSED = 1
    UNKNOWN = 2


class Report:
    """Prints for people or for programs."""

    __slots__ = ("_as_json",)

    def __init__(self, as_json):
        """Choose the reader.

        Args:
          as_json: A boolean.
        """
        self._as_json = as_json

    def note(self, text):
        """Tell something beside the answer, such as an id to keep.

        Args:
          text: A string.
        """
        print(text, file=sys.stderr, flush=True)

    def refusal(self, found):
        """Print a problem.

        Args:
          found: A Problem.

        Returns:
          An Exit.
        """
        if self._as_json:
            print(json.dumps(dataclasses.asdict(found)))
        else:
            for line in _refusal_lines(found):
                print(line, file=sys.stderr)
        unknown = found.outcome is problem.Outcome.UNKNOWN
        unanswered = found.kind is problem.Kind.UNREACHABLE
        return Exit.UNKNOWN if unknown or unanswered else Exit.REFUSED

    def job(self, answer):
        """Print the answer of a job.

        Args:
          answer: A Result of a JobAnswer, or of a Problem.

        Returns:
          An Exit.
        """
        if answer.is_err():
            return self.refusal(answer.err())
        found = answer.ok()
        self._print(found, _job_lines(found))
        return Exit.REFUSED if found.state == "failed" else Exit.DONE

    def command(self, answer):
        """Print the answer to a command.

        Args:
          answer: A Result of a CommandAnswer, or of a Problem.

        Returns:
          An Exit.
        """
        if answer.is_err():
            return self.refusal(answer.err())
        found = answer.ok()
        self._print(found, [*found.lines, f"{found.status} at {found.revision}"])
        if found.status in _UNKNOWN:
            return Exit.UNKNOWN
        return Exit.REFUSED if found.status in _LOST else Exit.DONE

    def rows(self, head, rows):
        """Print a table.

        Args:
          head: A sequence of strings.
          rows: A sequence of sequences of strings.
        """
        if self._as_json:
            print(json.dumps([dict(zip(head, row, strict=True)) for row in rows]))
            return
        if rows:
            print("\n".join(table.render(head, rows)))

    def _print(self, record, lines):
        """Print a record, or the lines that show it."""
        if self._as_json:
            lines = [json.dumps(dataclasses.asdict(record))]
        print("\n".join(lines))


def _refusal_lines(found):
    """Show a problem, its remedy, and what it says of starts."""
    place = f"{found.place}: " if found.place else ""
    yield f"{place}{found.message}"
    yield f"{found.kind}, {found.outcome}: {found.remedy}"
    if found.retry_after_ms:
        yield f"come back in {found.retry_after_ms} ms"


def _job_lines(answer):
    """Show a job: its state, then its tasks."""
    reason = f": {answer.reason}" if answer.reason else ""
    lines = [f"{answer.id} {answer.state}{reason}"]
    if not answer.tasks:
        return lines
    rows = [
        (index, task.outcome, task.error or json.dumps(task.result))
        for index, task in enumerate(answer.tasks)
    ]
    return [*lines, *table.render(("task", "outcome", "result"), rows)]
