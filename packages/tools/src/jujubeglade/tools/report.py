"""The output of the commands, and their exit status.

| status | meaning                                                    |
|--------|------------------------------------------------------------|
| 0      | done: job not failed, command accepted, records intact     |
| 1      | refused, job failed, settings wrong, or findings           |
| 2      | wrong usage; or outcome unknown, because no entry answered |
|        | or a change is recorded but not yet in force               |

Answers go to standard output, problems and ids to standard error. With `--json` an
answer or a problem is one line of JSON on standard output.
"""

import dataclasses
import enum
import json
import sys

from jujubeglade.core import problem, table

_FAILED_STATUSES = ("lost", "refused", "failed")
_UNKNOWN_STATUSES = ("recorded", "unknown")


class Exit(enum.IntEnum):
    """The exit status; see the module's table."""

    DONE = 0
    REFUSED = 1
    UNKNOWN = 2


class Report:
    """Prints answers as text or as JSON."""

    __slots__ = ("_as_json",)

    def __init__(self, as_json):
        """Create a report.

        Args:
          as_json: A boolean, whether to print lines of JSON.
        """
        self._as_json = as_json

    def note(self, text):
        """Print a text beside the answer, such as an id, to standard error.

        Args:
          text: A string.
        """
        print(text, file=sys.stderr, flush=True)

    def refusal(self, refusal):
        """Print a problem.

        Args:
          refusal: A Problem.

        Returns:
          An Exit.
        """
        if self._as_json:
            print(json.dumps(dataclasses.asdict(refusal)))
        else:
            for line in _refusal_lines(refusal):
                print(line, file=sys.stderr)
        unknown = refusal.outcome is problem.Outcome.UNKNOWN
        unanswered = refusal.kind is problem.Kind.UNREACHABLE
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
        job = answer.ok()
        self._print(job, _job_lines(job))
        return Exit.REFUSED if job.state == "failed" else Exit.DONE

    def command(self, answer):
        """Print the answer to a command.

        Args:
          answer: A Result of a CommandAnswer, or of a Problem.

        Returns:
          An Exit.
        """
        if answer.is_err():
            return self.refusal(answer.err())
        command = answer.ok()
        self._print(
            command, [*command.lines, f"{command.status} at {command.revision}"]
        )
        if command.status in _UNKNOWN_STATUSES:
            return Exit.UNKNOWN
        return Exit.REFUSED if command.status in _FAILED_STATUSES else Exit.DONE

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
        """Print lines, or with `--json` the record that they show."""
        if self._as_json:
            lines = [json.dumps(dataclasses.asdict(record))]
        print("\n".join(lines))


def _refusal_lines(refusal):
    """Yield the text of a problem, its outcome and its remedy."""
    place = f"{refusal.place}: " if refusal.place else ""
    yield f"{place}{refusal.message}"
    yield f"{refusal.kind}, {refusal.outcome}: {refusal.remedy}"
    if refusal.retry_after_ms:
        yield f"come back in {refusal.retry_after_ms} ms"


def _job_lines(answer):
    """Return the state of a job as a line, then its tasks as a table."""
    reason = f": {answer.reason}" if answer.reason else ""
    lines = [f"{answer.id} {answer.state}{reason}"]
    if not answer.tasks:
        return lines
    rows = [
        (index, task.outcome, task.error or json.dumps(task.result))
        for index, task in enumerate(answer.tasks)
    ]
    return [*lines, *table.render(("task", "outcome", "result"), rows)]
