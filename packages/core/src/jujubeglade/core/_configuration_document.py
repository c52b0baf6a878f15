"""The records of the configuration and the functions that change one field.

Other packages import `jujubeglade.core.configuration` instead. The functions here
don't change the revision; it rises when a command is applied.
"""

import dataclasses
import enum
import math
import re
import types

import result

from jujubeglade.core import problem, rules

MAX_OUTCOMES = 500
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,99}")


def _empty():
    """Make an empty read-only mapping."""
    return types.MappingProxyType({})


class Status(enum.StrEnum):
    """The outcome of a command; see `jujubeglade.core.configuration`."""

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """The quota of one tenant.

    Attributes:
      starts_per_s: A number, the starts per second that are always admitted.
      weight: A number, the tenant's share of the remaining starts, relative to the
        weights of other tenants.
    """

    starts_per_s: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one command.

    Attributes:
      command_id: A string, chosen by the operator's client.
      text: A string, the command as the operator wrote it.
      status: A Status.
      revision: An integer, the revision that recorded this outcome.
      by: A string, the operator.
      wall_ms: An integer, the time of the command in milliseconds since 1970.
      subject: A string, the item that the command sets, for example ``zone east``.
      lost_to: A string, for a lost command the id of the one that came first; else
        empty.
      lost_to_revision: An integer, the revision of that command; else 0.
    """

    command_id: str
    text: str
    status: Status
    revision: int
    by: str
    wall_ms: int
    subject: str
    lost_to: str = ""
    lost_to_revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """The whole configuration at one revision.

    Attributes:
      revision: An integer, 0 before the first command; it only rises.
      drained_zones: A frozenset of zone names.
      drained_workers: A frozenset of worker names.
      quotas: A read-only mapping from tenant to Quota.
      limits: A read-only mapping from the name of a limit to a number.
      rules: A read-only mapping from the name of a rule to its choice.
      outcomes: A tuple of Outcome records, oldest first, `MAX_OUTCOMES` at most.
    """

    revision: int = 0
    drained_zones: frozenset = frozenset()
    drained_workers: frozenset = frozenset()
    quotas: types.MappingProxyType = dataclasses.field(default_factory=_empty)
    limits: types.MappingProxyType = dataclasses.field(default_factory=_empty)
    rules: types.MappingProxyType = dataclasses.field(default_factory=_empty)
    outcomes: tuple = ()


def drain_zone(document, zone):
    """Take a zone out of service; draining it twice is a success.

    Args:
      document: A Document.
      zone: A string.

    Returns:
      A Result of a Document or of a Problem.
    """
    return _with_name(document, "drained_zones", zone)


def restore_zone(document, zone):
    """Bring a zone back; see `drain_zone`."""
    return _without_name(document, "drained_zones", zone)


def drain_worker(document, worker):
    """Take a worker out of service; see `drain_zone`."""
    return _with_name(document, "drained_workers", worker)


def restore_worker(document, worker):
    """Bring a worker back; see `drain_zone`."""
    return _without_name(document, "drained_workers", worker)


def set_quota(document, tenant, quota):
    """Set the quota of a tenant.

    Args:
      document: A Document.
      tenant: A string.
      quota: A Quota.

    Returns:
      A Result of a Document or of a Problem.
    """
    if not _is_amount(quota.starts_per_s):
        return _bad("starts_per_s", quota.starts_per_s, "give a number, 0 or more")
    if not _is_amount(quota.weight) or quota.weight == 0:
        return _bad("weight", quota.weight, "give a number above 0")
    return _with_item(document, "quotas", tenant, quota)


def clear_quota(document, tenant):
    """Remove a tenant's quota; see `drain_zone`."""
    return _without_item(document, "quotas", tenant)


def set_limit(document, name, value):
    """Set a limit.

    Args:
      document: A Document.
      name: A string.
      value: A number, 0 or more.

    Returns:
      A Result of a Document or of a Problem.
    """
    if not _is_amount(value):
        return _bad("value", value, "give a number, 0 or more")
    return _with_item(document, "limits", name, value)


def clear_limit(document, name):
    """Remove a limit; see `drain_zone`."""
    return _without_item(document, "limits", name)


def set_rule(document, name, value):
    """Set the choice of a rule.

    Args:
      document: A Document.
      name: A string, one of `rules.RULES`.
      value: A string, one of the rule's choices.

    Returns:
      A Result of a Document or of a Problem.
    """
    rule = rules.RULES.get(name)
    if rule is None:
        return _bad("rule", name, f"name one of: {', '.join(rules.RULES)}")
    if value not in rule.choices:
        return _bad(name, value, f"choose one of: {', '.join(rule.choices)}")
    return _with_item(document, "rules", name, value)


def clear_rule(document, name):
    """Go back to a rule's default; see `drain_zone`."""
    return _without_item(document, "rules", name)


def check_name(name):
    """Check the name of a zone, worker, tenant or limit.

    Args:
      name: Any value.

    Returns:
      A Result of the name or of a Problem.
    """
    if isinstance(name, str) and _NAME_PATTERN.fullmatch(name):
        return result.Ok(name)
    return _bad("name", name, "use up to 100 letters, digits and . _ : -")


def _is_amount(value):
    """Tell whether a value is a finite number of 0 or more."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and math.isfinite(value) and value >= 0


def _bad(place, value, remedy):
    """Return the problem of a value that is not allowed."""
    message = f"{value!r} is not allowed"
    refusal = problem.Problem(problem.Kind.BAD_REQUEST, message, remedy, place=place)
    return result.Err(refusal)


def _with_name(document, field, name):
    """Add a name to a set."""
    names = getattr(document, field) | {name}
    return _replace(document, field, name, names)


def _without_name(document, field, name):
    """Remove a name from a set."""
    names = getattr(document, field) - {name}
    return _replace(document, field, name, names)


def _with_item(document, field, name, value):
    """Set an item of a mapping."""
    items = dict(getattr(document, field)) | {name: value}
    return _replace(document, field, name, types.MappingProxyType(items))


def _without_item(document, field, name):
    """Remove an item from a mapping."""
    items = {
        key: value for key, value in getattr(document, field).items() if key != name
    }
    return _replace(document, field, name, types.MappingProxyType(items))


def _replace(document, field, name, value):
    """Replace the value of a field if the name that it concerns is allowed."""
    checked = check_name(name)
    if checked.is_err():
        return checked
    return result.Ok(dataclasses.replace(document, **{field: value}))
