"""The commands of callers: submit, status, cancel."""

import json
import math
import sys

import result

from jujubeglade.core import problem
from jujubeglade.tools import report as reports

WAIT_MS = 20_000


def read_submission(path):
    """Read the submission in a job file.

    Args:
      path: A string; `-` means the standard input.

    Returns:
      A Result of a dict, or of a Problem.
    """
    try:
        if path == "-":
            text = sys.stdin.read()
        else:
            with open(path, encoding="utf-8") as file:
                text = file.read()
        submission = json.loads(
            text, parse_constant=_refuse_constant, parse_float=_parse_finite
        )
    except OSError as error:
        return _invalid_file(path, error.strerror, "check the path and the permissions")
    except (ValueError, RecursionError) as error:
        return _invalid_file(path, str(error), "correct the JSON")
    if not isinstance(submission, dict):
        return _invalid_file(path, "not an object", 'write {"tenant": …, "tasks": […]}')
    return result.Ok(submission)


async def submit(client, report, submission, wait_ms):
    """Submit a job, with a new ticket as its id unless it has one.

    Args:
      client: A Client.
      report: A Report.
      submission: A dict.
      wait_ms: An integer, how long the entry waits for the job to end.

    Returns:
      An Exit.
    """
    if not submission.get("id"):
        tickets = await client.tickets(1)
        if tickets.is_err():
            return report.refusal(tickets.err())
        submission = {**submission, "id": tickets.ok()[0]}
    report.note(f"id {submission['id']}")
    return report.job(await client.submit(submission, wait_ms))


async def status(client, report, job, *, wait):
    """Print the answer of a job.

    Args:
      client: A Client.
      report: A Report.
      job: A string.
      wait: A boolean, whether to wait until the job no longer runs.

    Returns:
      An Exit.
    """
    if wait:
        return report.job(await client.wait(job, WAIT_MS))
    return report.job(await client.status(job))


async def cancel(client, report, job):
    """Cancel a job, and print its answer.

    Args:
      client: A Client.
      report: A Report.
      job: A string.

    Returns:
      An Exit.
    """
    answer = await client.cancel(job)
    if answer.is_err():
        return report.refusal(answer.err())
    report.job(answer)
    return reports.Exit.DONE


def _refuse_constant(name):
    raise ValueError(f"{name} isn't JSON")


def _parse_finite(text):
    """Parse a number; refuse one that overflows a float, as JSON has no infinity."""
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text} is too large; write it as a string")
    return number


def _invalid_file(path, message, remedy):
    """Return the Problem of an invalid job file, as a Result; nothing was sent."""
    kind = problem.Kind.BAD_REQUEST
    outcome = problem.Outcome.REQUEST_NOT_RUN
    return result.Err(problem.Problem(kind, message, remedy, path, outcome))
