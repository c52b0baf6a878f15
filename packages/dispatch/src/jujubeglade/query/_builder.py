"""Builds the record of a command from its parsed parts.

The builder has a method for each rule of operators.lark that creates a value. It also
checks the words that the grammar can't check, such as the name of a limit, and raises
`InvalidWordError`, which contains the position of the word.
"""

import dataclasses
import difflib
import json
import math

import lark

from jujubeglade.core import clock, job, rules, settings
from jujubeglade.query import commands

_MAX_TASKS = settings.limit_range("max_tasks_per_job")[1]
_MAX_DEADLINE_MS = 3_600_000
_MAX_RATE_PER_S = 1_000_000
_MAX_WEIGHT = 1_000
_MAX_REVISION = 2**53
_MAX_TASK_INDEX = _MAX_TASKS - 1
_MAX_INTEGER_DIGITS = 18
_MAX_NUMBER_CHARACTERS = 64
_UNITS_MS = {"ms": 1, "s": clock.MILLISECONDS_PER_SECOND, "m": 60_000}


class InvalidWordError(Exception):
    """A word that the grammar allows but that has no valid meaning."""

    def __init__(self, token, cause, remedy):
        """Create the error for a word.

        Args:
          token: A lark.Token, the word.
          cause: A string.
          remedy: A string.
        """
        super().__init__(cause)
        self.token = token
        self.cause = cause
        self.remedy = remedy


def integer(token, low, high):
    """Parse a whole number and check its range.

    Args:
      token: A lark.Token of digits.
      low: An integer.
      high: An integer.

    Returns:
      An integer.

    Raises:
      InvalidWordError: It is out of range.
    """
    value = int(token) if len(token) <= _MAX_INTEGER_DIGITS else high + 1
    return _check_range(token, value, low, high, "a whole number")


def duration_ms(token, low, high):
    """Parse a duration such as `500ms`, `2s` or `1m`, and check its range.

    Args:
      token: A lark.Token.
      low: An integer, in milliseconds.
      high: An integer, in milliseconds.

    Returns:
      An integer, milliseconds.

    Raises:
      InvalidWordError: It is out of range.
    """
    number = token.rstrip("ms")
    exact_ms = float(number) * _UNITS_MS[token[len(number) :]]
    value = round(exact_ms) if math.isfinite(exact_ms) else high + 1
    return _check_range(token, value, low, high, "a duration", "ms")


def _check_range(token, value, low, high, what, unit=""):
    if low <= value <= high:
        return value
    remedy = f"write {what} from {low}{unit} to {high}{unit}"
    raise InvalidWordError(token, f"{token[:40]} is out of range", remedy)


def _check_name(token, names, what):
    """Check that a word is one of some names.

    Args:
      token: A lark.Token, the word.
      names: Strings.
      what: A string, what the names stand for, such as "limit".

    Returns:
      A string, the name.

    Raises:
      InvalidWordError: The word is none of the names.
    """
    if token in names:
        return str(token)
    similar = difflib.get_close_matches(token, names, 1)
    hint = f"did you mean {similar[0]}? " if similar else ""
    plural = f"{what}es" if what.endswith("s") else f"{what}s"
    remedy = f"{hint}the {plural} are {', '.join(names)}"
    raise InvalidWordError(token, f"there is no {what} {token[:40]}", remedy)


def _text(token):
    return "" if token is None else str(token)


def _string(token):
    """Parse a JSON string; refuse one with half of a surrogate pair."""
    value = json.loads(token)
    try:
        value.encode("utf-8")
    except UnicodeEncodeError:
        cause = "the string holds half of a surrogate pair"
        raise InvalidWordError(token, cause, "write both halves") from None
    return value


def _number(token):
    """Parse a JSON number; refuse one that a message can't contain exactly."""
    value = math.inf
    if len(token) <= _MAX_NUMBER_CHARACTERS:
        value = json.loads(token)
    if -(2**63) <= value < 2**64:
        return value
    cause = "the number is too large to be kept exactly"
    raise InvalidWordError(token, cause, "write it as a string")


def _class(token):
    """Check the class of a job; None means the default."""
    if token is None:
        return ""
    return _check_name(token, tuple(str(urgency) for urgency in job.Urgency), "class")


@lark.v_args(inline=True)
class Builder(lark.Transformer):
    """Builds the record of a command."""

    def submit(self, *parts):
        """Build a Submit; the parts include keywords, and None for absent parts."""
        _, service, payload, _, count, _, tenant, _, task_class, _, deadline, repeat = (
            parts
        )
        return commands.Submit(
            str(service),
            payload,
            1 if count is None else integer(count, 1, _MAX_TASKS),
            str(tenant),
            _class(task_class),
            0 if deadline is None else duration_ms(deadline, 1, _MAX_DEADLINE_MS),
            repeat is not None,
        )

    def cancel_job(self, _cancel, _job, job):
        """Build a CancelJob."""
        return commands.CancelJob(str(job))

    def cancel_tenant(self, _cancel, _tenant, tenant):
        """Build a CancelTenant."""
        return commands.CancelTenant(str(tenant))

    def throttle(self, _throttle, _job, job):
        """Build a ThrottleJob."""
        return commands.ThrottleJob(str(job))

    def change(self, command, _if, _revision, number):
        """Add the only revision on which the change may be made, if there is one."""
        if number is None:
            return command
        revision = integer(number, 0, _MAX_REVISION)
        return dataclasses.replace(command, if_revision=revision)

    def drain_zone(self, _drain, _zone, zone):
        """Build a DrainZone."""
        return commands.DrainZone(str(zone))

    def drain_worker(self, _drain, _worker, worker):
        """Build a DrainWorker."""
        return commands.DrainWorker(str(worker))

    def restore_zone(self, _restore, _zone, zone):
        """Build a RestoreZone."""
        return commands.RestoreZone(str(zone))

    def restore_worker(self, _restore, _worker, worker):
        """Build a RestoreWorker."""
        return commands.RestoreWorker(str(worker))

    def set_quota(self, _set, _quota, tenant, rate, _weight, weight):
        """Build a SetQuota."""
        starts_per_s = float(rate.removesuffix("/s"))
        _check_range(rate, starts_per_s, 0, _MAX_RATE_PER_S, "a rate", "/s")
        share = 1 if weight is None else integer(weight, 1, _MAX_WEIGHT)
        return commands.SetQuota(str(tenant), starts_per_s, share)

    def set_limit(self, _set, _limit, name, amount):
        """Build a SetLimit."""
        limit = _check_name(name, settings.live_limits(), "limit")
        low, high = settings.limit_range(limit)
        if amount.type == "INT":
            return commands.SetLimit(limit, integer(amount, low, high))
        if not limit.endswith("_ms"):
            remedy = f"write a whole number from {low} to {high}"
            raise InvalidWordError(amount, f"{limit} isn't a duration", remedy)
        return commands.SetLimit(limit, duration_ms(amount, low, high))

    def set_rule(self, _set, _rule, name, value):
        """Build a SetRule."""
        rule = rules.RULES[_check_name(name, tuple(rules.RULES), "rule")]
        choice = _check_name(value, rule.choices, f"{rule.name} choice")
        return commands.SetRule(rule.name, choice)

    def show_jobs(self, _show, _jobs, _tenant, tenant, _state, state):
        """Build a ShowJobs."""
        return commands.ShowJobs(_text(tenant), _text(state).lower())

    def show_workers(self, _show, _workers, _zone, zone):
        """Build a ShowWorkers."""
        return commands.ShowWorkers(_text(zone))

    def show_zones(self, _show, _zones):
        """Build a ShowZones."""
        return commands.ShowZones()

    def show_configuration(self, _show, _configuration):
        """Build a ShowConfiguration."""
        return commands.ShowConfiguration()

    def show_commands(self, _show, _commands):
        """Build a ShowCommands."""
        return commands.ShowCommands()

    def why_job(self, _why, _job, job):
        """Build a WhyJob."""
        return commands.WhyJob(str(job))

    def why_task(self, _why, _task, task):
        """Build a WhyTask."""
        job, _, index = task.rpartition(".")
        if len(index) > _MAX_INTEGER_DIGITS or int(index) > _MAX_TASK_INDEX:
            remedy = f"write JOB.INDEX with an index from 0 to {_MAX_TASK_INDEX}"
            raise InvalidWordError(task, "there is no such task", remedy)
        return commands.WhyTask(job, int(index))

    def why_refusal(self, _why, _refusal, refusal):
        """Build a WhyRefusal."""
        return commands.WhyRefusal(str(refusal))

    def why_command(self, _why, _command, command):
        """Build a WhyCommand."""
        return commands.WhyCommand(str(command))

    def literal(self, token):
        """Parse a JSON scalar."""
        if token.type == "STRING":
            return _string(token)
        if token.type == "NUMBER":
            return _number(token)
        return json.loads(token)

    def member(self, key, value):
        """Build a member of a JSON object."""
        return key, value

    def object(self, *members):
        """Build a JSON object; refuse a duplicate key."""
        members_by_name = {}
        for key, value in members:
            name = _string(key)
            if name in members_by_name:
                raise InvalidWordError(
                    key, f"the key {key[:40]} appears twice", "remove one"
                )
            members_by_name[name] = value
        return members_by_name

    def array(self, *values):
        """Build a JSON array."""
        return list(values)
