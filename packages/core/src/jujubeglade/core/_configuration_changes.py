"""The kinds of change that commands make, in a registry by name.

Each kind is a record with a subject and a method that applies it. The operators'
language builds changes by name, with the fields parsed from the command::

    configuration.build("drain_zone", {"zone": "east"})

Two changes conflict only if they have the same subject.
"""

import dataclasses

import result

from jujubeglade.core import _configuration_document as documents
from jujubeglade.core import problem

_changes = {}


def change(name):
    """Register a kind of change.

    Args:
      name: A string, used in commands and audit records.

    Returns:
      A decorator for a record class with a `subject` property and a method
      `applied_to` that takes a Document and returns a Result of a Document.
    """

    def register(kind):
        _changes[name] = kind
        kind.change_name = name
        return kind

    return register


def change_names():
    """List the names of the registered kinds of change.

    Returns:
      A sorted tuple of strings.
    """
    return tuple(sorted(_changes))


def build(name, values):
    """Build a change from its name and its fields.

    Args:
      name: A string.
      values: A dict of field names to values.

    Returns:
      A Result of a change or of a Problem.
    """
    kind = _changes.get(name)
    if kind is None:
        remedy = f"use one of: {', '.join(change_names())}"
        return _refuse(f"there is no change {name!r}", remedy)
    expected = tuple(field.name for field in dataclasses.fields(kind))
    if set(values) != set(expected):
        remedy = f"give exactly: {', '.join(expected)}"
        return _refuse(f"{name} has other fields", remedy)
    return result.Ok(kind(**values))


def describe(a_change):
    """Render a change as one line, for example ``drain_zone zone=east``.

    Args:
      a_change: A change.

    Returns:
      A string.
    """
    values = [
        f"{field.name}={getattr(a_change, field.name)}"
        for field in dataclasses.fields(a_change)
    ]
    return " ".join([a_change.change_name, *values])


def _refuse(message, remedy):
    """Return the problem of a change that can't be built."""
    return result.Err(problem.Problem(problem.Kind.BAD_REQUEST, message, remedy))


@change("drain_zone")
@dataclasses.dataclass(frozen=True, slots=True)
class DrainZone:
    """Take a zone out of service.

    Attributes:
      zone: A string.
    """

    zone: str

    @property
    def subject(self):
        """The item that this change sets, a string."""
        return f"zone {self.zone}"

    def applied_to(self, document):
        """Apply this change; see `configuration.drain_zone`."""
        return documents.drain_zone(document, self.zone)


@change("restore_zone")
@dataclasses.dataclass(frozen=True, slots=True)
class RestoreZone:
    """Bring a zone back into service.

    Attributes:
      zone: A string.
    """

    zone: str

    @property
    def subject(self):
        """The item that this change sets, a string."""
        return f"zone {self.zone}"

    def applied_to(self, document):
        """Apply this change; see `configuration.restore_zone`."""
        return documents.restore_zone(document, self.zone)


@change("drain_worker")
@dataclasses.dataclass(frozen=True, slots=True)
class DrainWorker:
    """Take a worker out of service.

    Attributes:
      worker: A string.
    """

    worker: str

    @property
    def subject(self):
        """The item that this change sets, a string."""
        return f"worker {self.worker}"

    def applied_to(self, document):
        """Apply this change; see `configuration.drain_worker`."""
        return documents.drain_worker(document, self.worker)


@change("restore_worker")
@dataclasses.dataclass(frozen=True, slots=True)
class RestoreWorker:
    """Bring a worker back into service.

    Attributes:
      worker: A string.
    """

    worker: str

    @property
    def subject(self):
        """The item that this change sets, a string."""
        return f"worker {self.worker}"

    def applied_to(self, document):
        """Apply this change; see `configuration.restore_worker`."""
        return documents.restore_worker(document, self.worker)


@change("set_quota")
@dataclasses.dataclass(frozen=True, slots=True)
class SetQuota:
    """Set the quota of a tenant; see `configuration.Quota`.

    Attributes:
      tenant: A string.
      starts_per_s: A number.
      weight: A number.
    """

    tenant: str
    starts_per_s: float
    weight: float

    @property
    def subject(self):
        """The item that this change sets, a string."""
        return f"quota {self.tenant}"

    def applied_to(self, document):
        """Apply this change; see `configuration.set_quota`."""
        quota = documents.Quota(self.starts_per_s, self.weight)
        return documents.set_quota(document, self.tenant, quota)


@change("clear_quota")
@dataclasses.dataclass(frozen=True, slots=True)
class ClearQuota:
    """Remove a tenant's quota.

    Attributes:
      tenant: A string.
    """

    tenant: str

    @property
    def subject(self):
        """The item that this change sets, a string."""
        return f"quota {self.tenant}"

    def applied_to(self, document):
        """Apply this change; see `configuration.clear_quota`."""
        return documents.clear_quota(document, self.tenant)


@change("set_limit")
@dataclasses.dataclass(frozen=True, slots=True)
class SetLimit:
    """Set a limit.

    Attributes:
      name: A string.
      value: A number.
    """

    name: str
    value: float

    @property
    def subject(self):
        """The item that this change sets, a string."""
        return f"limit {self.name}"

    def applied_to(self, document):
        """Apply this change; see `configuration.set_limit`."""
        return documents.set_limit(document, self.name, self.value)


@change("clear_limit")
@dataclasses.dataclass(frozen=True, slots=True)
class ClearLimit:
    """Remove a limit.

    Attributes:
      name: A string.
    """

    name: str

    @property
    def subject(self):
        """The item that this change sets, a string."""
        return f"limit {self.name}"

    def applied_to(self, document):
        """Apply this change; see `configuration.clear_limit`."""
        return documents.clear_limit(document, self.name)


@change("set_rule")
@dataclasses.dataclass(frozen=True, slots=True)
class SetRule:
    """Set the choice of a rule.

    Attributes:
      name: A string.
      value: A string.
    """

    name: str
    value: str

    @property
    def subject(self):
        """The item that this change sets, a string."""
        return f"rule {self.name}"

    def applied_to(self, document):
        """Apply this change; see `configuration.set_rule`."""
        return documents.set_rule(document, self.name, self.value)


@change("clear_rule")
@dataclasses.dataclass(frozen=True, slots=True)
class ClearRule:
    """Go back to a rule's default.

    Attributes:
      name: A string.
    """

    name: str

    @property
    def subject(self):
        """The item that this change sets, a string."""
        return f"rule {self.name}"

    def applied_to(self, document):
        """Apply this change; see `configuration.clear_rule`."""
        return documents.clear_rule(document, self.name)
