"""Intake: checks the submissions of clients and renders the answers of jobs.

All errors in a submission are collected and reported together, each with the field
that it is about:

    {"id": "...", "tasks": [{"service": "parts", "payload": {}, "repeatable": 1}]}
    tasks[0].repeatable: not a boolean [bad_request]; give true or false
"""

import json

import result

from jujubeglade.core import fields as fields_
from jujubeglade.core import job, problem

_DEFAULT_DEADLINE_MS = 30_000
_MAX_DEADLINE_MS = 600_000
_MAX_NAME_CHARACTERS = 100
_JOB_FIELDS = {"id", "tenant", "class", "deadline_ms", "wait_ms", "tasks"}
_TASK_FIELDS = {"service", "payload", "repeatable", "run_ms"}


class _Errors:
    """The errors found so far in a submission."""

    def __init__(self):
        self.problems = []

    def add(self, place, message, remedy):
        self.problems.append(
            problem.Problem(
                kind=problem.Kind.BAD_REQUEST,
                message=message,
                remedy=remedy,
                place=place,
            )
        )

    def read_integer(self, fields, name, default, low, high):
        value = fields.get(name, default)
        if type(value) is not int or not low <= value <= high:
            self.add(name, "not a whole number in range", f"give {low} to {high}")
            return default
        return value


def parse_submission(fields, tenant, limits):
    """Check and parse a submission.

    Args:
      fields: A value decoded from JSON.
      tenant: A string, the tenant whose token was used.
      limits: The limits of the settings.

    Returns:
      A Result of a pair of a Submission and an integer, how many ms the client waits
      for the answer, or of a tuple of Problems.
    """
    errors = _Errors()
    if not isinstance(fields, dict):
        errors.add("body", "not an object", "send a JSON object")
        return result.Err(tuple(errors.problems))
    _check_names(errors, "", fields, _JOB_FIELDS)
    if fields.get("tenant", tenant) != tenant:
        errors.add("tenant", "not the tenant of the token", f"give {tenant}")
    ticket_text = fields.get("id", "")
    if "id" in fields and not (ticket_text and isinstance(ticket_text, str)):
        errors.add("id", "not a ticket", "give a ticket, or omit the id to get one")
    urgency = fields.get("class", job.Urgency.NORMAL)
    if urgency not in tuple(job.Urgency):
        errors.add("class", "not a class", f"give one of {', '.join(job.Urgency)}")
    deadline_ms = errors.read_integer(
        fields, "deadline_ms", _DEFAULT_DEADLINE_MS, 1, _MAX_DEADLINE_MS
    )
    wait_ms = errors.read_integer(fields, "wait_ms", 0, 0, limits.max_wait_ms)
    tasks = _parse_tasks(errors, fields.get("tasks"), limits)
    if errors.problems:
        return result.Err(tuple(errors.problems))
    submission = job.Submission(ticket_text, tenant, urgency, deadline_ms, tasks)
    return result.Ok((submission, wait_ms))


def render_answer(ticket_text, answer):
    """Render an answer for the client.

    Args:
      ticket_text: A string, the ticket.
      answer: An Answer.

    Returns:
      A string, a JSON text.
    """
    head = json.dumps(
        {"id": ticket_text, "state": answer.state, "reason": answer.reason}
    )
    tasks = ", ".join(_render_task(task) for task in answer.tasks)
    retry_after_ms = answer.retry_after_ms
    return f'{head[:-1]}, "retry_after_ms": {retry_after_ms}, "tasks": [{tasks}]}}'


def _render_task(task):
    """Render a task; embed its result as JSON, or as a string if it isn't JSON."""
    head = {"outcome": task.outcome}
    if task.error:
        head["error"] = task.error
    if not task.result:
        return json.dumps(head)
    text = task.result.decode("utf-8", "replace")
    try:
        json.loads(text)
    except ValueError:
        text = json.dumps(text)
    return f'{json.dumps(head)[:-1]}, "result": {text}}}'


def _parse_tasks(errors, tasks, limits):
    if not isinstance(tasks, list) or not tasks:
        errors.add("tasks", "not a list of tasks", "give at least one task")
        return ()
    if len(tasks) > limits.max_tasks_per_job:
        limit = limits.max_tasks_per_job
        errors.add("tasks", f"{len(tasks)} tasks", f"split into jobs of {limit} tasks")
        return ()
    return tuple(
        _parse_task(errors, f"tasks[{index}]", task, limits)
        for index, task in enumerate(tasks)
    )


def _parse_task(errors, place, task, limits):
    if not isinstance(task, dict):
        errors.add(place, "not an object", "give service, payload and repeatable")
        return None
    _check_names(errors, f"{place}.", task, _TASK_FIELDS)
    service = task.get("service")
    if not _is_name(service):
        errors.add(f"{place}.service", "not a name", "name the service of an upstream")
    repeatable = task.get("repeatable", False)
    if type(repeatable) is not bool:
        errors.add(f"{place}.repeatable", "not a boolean", "give true or false")
    run_ms = task.get("run_ms", 0)
    if type(run_ms) is not int or not 0 <= run_ms <= _MAX_DEADLINE_MS:
        errors.add(f"{place}.run_ms", "not a run time", "give milliseconds")
    payload = _encode(task.get("payload"))
    if payload is None:
        errors.add(
            f"{place}.payload", "not JSON", "use numbers in range and less nesting"
        )
    elif len(payload) > limits.max_payload_bytes:
        limit = limits.max_payload_bytes
        errors.add(f"{place}.payload", "too long", f"give at most {limit} bytes")
    return job.Task(service, payload, repeatable, run_ms)


def _encode(payload):
    """Encode a payload as JSON; None if JSON can't represent it, such as 1e999."""
    try:
        return json.dumps(payload, allow_nan=False).encode("utf-8")
    except (ValueError, RecursionError):
        return None


def _check_names(errors, prefix, fields, expected):
    for name in sorted(set(fields) - expected):
        expected_names = ", ".join(sorted(expected))
        errors.add(f"{prefix}{name}", "not a known field", f"use {expected_names}")


def _is_name(value):
    return fields_.is_name(value) and len(value) <= _MAX_NAME_CHARACTERS
