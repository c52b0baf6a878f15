"""Commands of callers: submit, status, cancel."""

import json
import math
import sys

import result

from jujubeglade.core import problem
from jujubeglade.tools import report as reports

WAIT_MS = 20_000


def read_submission(path):
    """Read a job file.

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
            text, parse_constant=_refuse_constant, parse_float=_finite
        )
    except OSError as error:
        return _wrong(path, error.strerror, "check the path and rights")
    except (ValueError, RecursionError) as error:
        return _wrong(path, str(error), "correct the JSON")
    if not isinstance(submission, dict):
        return _wrong(path, "not an object", 'write {"tenant": …, "tasks": […]}')
    return result.Ok(submission)


async def submit(caller, report, submission, wait_ms):
    """Submit a job, with a fresh ticket unless it has an id.

    Args:
      caller: A Client.
      report: A Report.
      submission: A dict.
      wait_ms: An integer, how long to wait for the whole answer.

    Returns:
      An Exit.
    """
    if not submission.get("id"):
        tickets = await caller.tickets(1)
        if tickets.is_err():
            return report.refusal(tickets.err())
        submission = {**submission, "id": tickets.ok()[0]}
    report.note(f"id {submission['id']}")
    return report.job(await caller.submit(submission, wait_ms))


async def status(caller, report, job, *, wait):
    """Show a job.

    Args:
      caller: A Client.
      report: A Report.
      job: A string.
      wait: A boolean, True to wait until it no longer runs.

    Returns:
      An Exit.
    """
    if wait:
        return report.job(await caller.wait(job, WAIT_MS))
    return report.job(await caller.status(job))


async def cancel(caller, report, job):
    """Cancel a job.

    Args:
      caller: A Client.
      report: A Report.
      job: A string.

    Returns:
      An Exit.
    """
    answer = await caller.cancel(job)
    if answer.is_err():
        return report.refusal(answer.err())
    report.job(answer)
    return reports.Exit.DONE


def _refuse_constant(name):
    raise ValueError(f"{name} isn't JSON")


def _finite(text):
    """Read a number, which JSON can't write when it is too large for a float."""
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text} is too large; write it as a string")
    return number


def _wrong(path, message, remedy):
    """Refuse a job file; nothing was sent."""
    kind = problem.Kind.BAD_REQUEST
    outcome = problem.Outcome.REQUEST_NOT_RUN
    return result.Err(problem.Problem(kind, message, remedy, path, outcome))
