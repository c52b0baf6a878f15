"""From the parts of a parsed command to its record.

A method of the builder stands for each rule of operators.lark that makes a
value. Words that the grammar can't judge, such as the name of a limit, are
checked here; `WrongWordError` then carries the column.
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
_MAX_INDEX = _MAX_TASKS - 1
_MAX_DIGITS = 18
_MAX_NUMBER_CHARACTERS = 64
_UNITS_MS = {"ms": 1, "s": clock.MILLISECONDS_PER_SECOND, "m": 60_000}


class WrongWordError(Exception):
    """A word that the grammar allows and its meaning doesn't."""

    def __init__(self, token, cause, remedy):
        """Point at a word.

        Args:
          token: A lark.Token.
          cause: A string.
          remedy: A string.
        """
        super().__init__(cause)
        self.token = token
        self.cause = cause
        self.remedy = remedy


def whole(token, low, high):
    """Read a whole number within bounds.

    Args:
      token: A lark.Token of digits.
      low: An integer.
      high: An integer.

    Returns:
      An integer.

    Raises:
      WrongWordError: It is out of range.
    """
    value = int(token) if len(token) <= _MAX_DIGITS else high + 1
    return _within(token, value, low, high, "a whole number")


def duration_ms(token, low, high):
    """Read a duration such as `500ms`, `2s` or `1m`.

    Args:
      token: A lark.Token.
      low: An integer, in milliseconds.
      high: An integer, in milliseconds.

    Returns:
      An integer, milliseconds.

    Raises:
      WrongWordError: It is out of range.
    """
    number = token.rstrip("ms")
    exact = float(number) * _UNITS_MS[token[len(number) :]]
    value = round(exact) if math.isfinite(exact) else high + 1
    return _within(token, value, low, high, "a duration", "ms")


def _within(token, value, low, high, what, unit=""):
    if low <= value <= high:
        return value
    remedy = f"write {what} from {low}{unit} to {high}{unit}"
    raise WrongWordError(token, f"{token[:40]} is out of range", remedy)


def _known(token, names, what):
    """Check that a name is known.

    Args:
      token: A lark.Token.
      names: Strings.
      what: A string, what the names name.

    Returns:
      A string.

    Raises:
      WrongWordError: It isn't.
    """
    if token in names:
        return str(token)
    near = difflib.get_close_matches(token, names, 1)
    hint = f"did you mean {near[0]}? " if near else ""
    plural = f"{what}es" if what.endswith("s") else f"{what}s"
    remedy = f"{hint}the {plural} are {', '.join(names)}"
    raise WrongWordError(token, f"there is no {what} {token[:40]}", remedy)


def _text(token):
    return "" if token is None else str(token)


def _string(token):
    """Read a JSON string; half of a surrogate pair is no character."""
    value = json.loads(token)
    try:
        value.encode("utf-8")
    except UnicodeEncodeError:
        cause = "the string holds half of a surrogate pair"
        raise WrongWordError(token, cause, "write both halves") from None
    return value


def _number(token):
    """Read a JSON number that every process can carry."""
    value = math.inf
    if len(token) <= _MAX_NUMBER_CHARACTERS:
        value = json.loads(token)
    if -(2**63) <= value < 2**64:
        return value
    cause = "the number is too large to be kept exactly"
    raise WrongWordError(token, cause, "write it as a string")


def _class(token):
    """Read the class of a job; None stands for the default."""
    if token is None:
        return ""
    return _known(token, tuple(str(each) for each in job.Urgency), "class")


@lark.v_args(inline=True)
class Builder(lark.Transformer):
    """Builds the record of a command."""

    def submit(self, *parts):
        """Build a Submit; keywords stand between the parts, None for absent ones."""
        _, service, payload, _, count, _, tenant, _, task_class, _, deadline, again = (
            parts
        )
        return commands.Submit(
            str(service),
            payload,
            1 if count is None else whole(count, 1, _MAX_TASKS),
            str(tenant),
            _class(task_class),
            0 if deadline is None else duration_ms(deadline, 1, _MAX_DEADLINE_MS),
            again is not None,
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
        """Add the revision that the change needs."""
        if number is None:
            return command
        revision = whole(number, 0, _MAX_REVISION)
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
        _within(rate, starts_per_s, 0, _MAX_RATE_PER_S, "a rate", "/s")
        share = 1 if weight is None else whole(weight, 1, _MAX_WEIGHT)
        return commands.SetQuota(str(tenant), starts_per_s, share)

    def set_limit(self, _set, _limit, name, amount):
        """Build a SetLimit."""
        known = _known(name, settings.live_limits(), "limit")
        low, high = settings.limit_range(known)
        if amount.type == "INT":
            return commands.SetLimit(known, whole(amount, low, high))
        if not known.endswith("_ms"):
            remedy = f"write a whole number from {low} to {high}"
            raise WrongWordError(amount, f"{known} isn't a duration", remedy)
        return commands.SetLimit(known, duration_ms(amount, low, high))

    def set_rule(self, _set, _rule, name, value):
        """Build a SetRule."""
        rule = rules.RULES[_known(name, tuple(rules.RULES), "rule")]
        choice = _known(value, rule.choices, f"{rule.name} choice")
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
        if len(index) > _MAX_DIGITS or int(index) > _MAX_INDEX:
            remedy = f"write JOB.INDEX with an index from 0 to {_MAX_INDEX}"
            raise WrongWordError(task, "there is no such task", remedy)
        return commands.WhyTask(job, int(index))

    def why_refusal(self, _why, _refusal, refusal):
        """Build a WhyRefusal."""
        return commands.WhyRefusal(str(refusal))

    def why_command(self, _why, _command, command):
        """Build a WhyCommand."""
        return commands.WhyCommand(str(command))

    def literal(self, token):
        """Read a JSON scalar."""
        if token.type == "STRING":
            return _string(token)
        if token.type == "NUMBER":
            return _number(token)
        return json.loads(token)

    def member(self, key, value):
        """Read a member of a JSON object."""
        return key, value

    def object(self, *members):
        """Read a JSON object."""
        found = {}
        for key, value in members:
            name = _string(key)
            if name in found:
                raise WrongWordError(
                    key, f"the key {key[:40]} stands twice", "remove one"
                )
            found[name] = value
        return found

    def array(self, *values):
        """Read a JSON array."""
        return list(values)
