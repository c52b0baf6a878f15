"""Intake: checks what clients submit and renders the answers of jobs.

All faults of a submission are collected and shown at once, each with the field
it concerns:

    {"id": "...", "tasks": [{"service": "parts", "payload": {}, "repeatable": 1}]}
    tasks[0].repeatable: not a boolean [bad_request]; give true or false
"""

import json

import result

from jujubeglade.core import job, problem

_DEFAULT_DEADLINE_MS = 30_000
_MAX_DEADLINE_MS = 600_000
_MAX_NAME_CHARACTERS = 100
_JOB_FIELDS = {"id", "tenant", "class", "deadline_ms", "wait_ms", "tasks"}
_TASK_FIELDS = {"service", "payload", "repeatable", "run_ms"}


class _Faults:
    """The faults found so far."""

    def __init__(self):
        self.found = []

    def add(self, place, message, remedy):
        self.found.append(
            problem.Problem(
                kind=problem.Kind.BAD_REQUEST,
                message=message,
                remedy=remedy,
                place=place,
            )
        )

    def whole(self, fields, name, default, low, high):
        value = fields.get(name, default)
        if type(value) is not int or not low <= value <= high:
            self.add(name, "not a whole number in range", f"give {low} to {high}")
            return default
        return value


def parse_submission(fields, tenant, limits):
    """Check a submission.

    Args:
      fields: A value decoded from JSON.
      tenant: A string, the tenant whose token was used.
      limits: The limits of the settings.

    Returns:
      A Result of a pair of a Submission and the time to wait in ms, or of a
      tuple of Problems.
    """
    faults = _Faults()
    if not isinstance(fields, dict):
        faults.add("body", "not an object", "send a JSON object")
        return result.Err(tuple(faults.found))
    _check_names(faults, "", fields, _JOB_FIELDS)
    if fields.get("tenant", tenant) != tenant:
        faults.add("tenant", "not the tenant of the token", f"give {tenant}")
    held = fields.get("id", "")
    if "id" in fields and not (held and isinstance(held, str)):
        faults.add("id", "not a ticket", "give a ticket, or no id to be given one")
    urgency = fields.get("class", job.Urgency.NORMAL)
    if urgency not in tuple(job.Urgency):
        faults.add("class", "not a class", f"give one of {', '.join(job.Urgency)}")
    deadline_ms = faults.whole(
        fields, "deadline_ms", _DEFAULT_DEADLINE_MS, 1, _MAX_DEADLINE_MS
    )
    wait_ms = faults.whole(fields, "wait_ms", 0, 0, limits.max_wait_ms)
    tasks = _parse_tasks(faults, fields.get("tasks"), limits)
    if faults.found:
        return result.Err(tuple(faults.found))
    submission = job.Submission(held, tenant, urgency, deadline_ms, tasks)
    return result.Ok((submission, wait_ms))


def render_answer(held, answer):
    """Render an answer as the client reads it.

    Args:
      held: A string, the ticket.
      answer: An Answer.

    Returns:
      A string, a JSON text.
    """
    head = json.dumps({"id": held, "state": answer.state, "reason": answer.reason})
    tasks = ", ".join(_render_task(task) for task in answer.tasks)
    after = answer.retry_after_ms
    return f'{head[:-1]}, "retry_after_ms": {after}, "tasks": [{tasks}]}}'


def _render_task(task):
    """Put the result in as the JSON text it is, or as a string if it is none."""
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


def _parse_tasks(faults, tasks, limits):
    if not isinstance(tasks, list) or not tasks:
        faults.add("tasks", "not a list of tasks", "give at least one task")
        return ()
    if len(tasks) > limits.max_tasks_per_job:
        most = limits.max_tasks_per_job
        faults.add("tasks", f"{len(tasks)} tasks", f"split into jobs of {most} tasks")
        return ()
    return tuple(
        _parse_task(faults, f"tasks[{index}]", task, limits)
        for index, task in enumerate(tasks)
    )


def _parse_task(faults, place, task, limits):
    if not isinstance(task, dict):
        faults.add(place, "not an object", "give service, payload and repeatable")
        return None
    _check_names(faults, f"{place}.", task, _TASK_FIELDS)
    service = task.get("service")
    if not _is_name(service):
        faults.add(f"{place}.service", "not a name", "name the service of an upstream")
    repeatable = task.get("repeatable", False)
    if type(repeatable) is not bool:
        faults.add(f"{place}.repeatable", "not a boolean", "give true or false")
    run_ms = task.get("run_ms", 0)
    if type(run_ms) is not int or not 0 <= run_ms <= _MAX_DEADLINE_MS:
        faults.add(f"{place}.run_ms", "not a run time", "give milliseconds")
    payload = _encode(task.get("payload"))
    if payload is None:
        faults.add(f"{place}.payload", "not JSON", "give numbers in range, nest less")
    elif len(payload) > limits.max_payload_bytes:
        most = limits.max_payload_bytes
        faults.add(f"{place}.payload", "too long", f"give at most {most} bytes")
    return job.Task(service, payload, repeatable, run_ms)


def _encode(payload):
    """Write a payload as JSON text; None when JSON can't hold it, such as 1e999."""
    try:
        return json.dumps(payload, allow_nan=False).encode("utf-8")
    except (ValueError, RecursionError):
        return None


def _check_names(faults, prefix, fields, expected):
    for name in sorted(set(fields) - expected):
        known = ", ".join(sorted(expected))
        faults.add(f"{prefix}{name}", "not a known field", f"use {known}")


def _is_name(value):
    if not isinstance(value, str) or not value.isprintable():
        return False
    return 0 < len(value) <= _MAX_NAME_CHARACTERS
