"""The document's form in the store: one JSON object.

Keys are sorted and spaces left out, so that equal documents are equal bytes.
"""

import dataclasses
import json
import types

import result

from jujubeglade.core import _configuration_document as fields
from jujubeglade.core import problem

_FIELDS = {field.name for field in dataclasses.fields(fields.Document)}


def dump(document):
    """Render a document.

    Args:
      document: A Document.

    Returns:
      Bytes.
    """
    quotas = {tenant: _values(quota) for tenant, quota in document.quotas.items()}
    values = {
        "revision": document.revision,
        "drained_zones": sorted(document.drained_zones),
        "drained_workers": sorted(document.drained_workers),
        "quotas": quotas,
        "limits": dict(document.limits),
        "rules": dict(document.rules),
        "outcomes": [_values(outcome) for outcome in document.outcomes],
    }
    return json.dumps(values, sort_keys=True, separators=(",", ":")).encode()


def parse(data, held_revision=0):
    """Read and check a document.

    Args:
      data: Bytes; no bytes at all stand for the empty document.
      held_revision: An integer, the revision that the reader holds already.

    Returns:
      A Result of a Document, or of a Problem if the data is malformed or its
      revision is below the one held.
    """
    try:
        document = _read(json.loads(data)) if data else fields.Document()
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return _refuse(f"the document is malformed: {error!r}")
    if document.revision < held_revision:
        return _refuse(f"revision {document.revision} is below {held_revision}")
    return result.Ok(document)


def without_outcomes(document):
    """Leave out what only operators need, to send a document to agents.

    Args:
      document: A Document.

    Returns:
      A Document.
    """
    return dataclasses.replace(document, outcomes=())


def _values(record):
    """List the fields of a flat record; `dataclasses.asdict` would copy each value."""
    return {name: getattr(record, name) for name in record.__slots__}


def _read(values):
    """Build a document from a decoded JSON object.

    Raises:
      ValueError: If a field has a value that is not allowed; other errors of
        Python's own for a field that is missing or of another type.
    """
    if set(values) != _FIELDS:
        raise ValueError(f"its fields are {sorted(values)}")
    quotas = {tenant: fields.Quota(**q) for tenant, q in values["quotas"].items()}
    document = fields.Document(
        revision=_whole(values["revision"]),
        drained_zones=_names(values["drained_zones"]),
        drained_workers=_names(values["drained_workers"]),
        quotas=types.MappingProxyType(quotas),
        limits=types.MappingProxyType(dict(values["limits"])),
        rules=types.MappingProxyType(dict(values["rules"])),
        outcomes=tuple(_outcome(outcome) for outcome in values["outcomes"]),
    )
    _check_items(document)
    return document


def _whole(value):
    """Check a whole number of 0 or more."""
    if type(value) is not int or value < 0:
        raise ValueError(f"revision {value!r}")
    return value


def _names(values):
    """Check a list of names."""
    return frozenset(_unwrap(fields.check_name(name)) for name in values)


def _outcome(values):
    """Build one outcome."""
    status = fields.Status(values["status"])
    revision = _whole(values["revision"])
    return fields.Outcome(**values | {"status": status, "revision": revision})


def _check_items(document):
    """Check quotas, limits and rules as commands are checked."""
    for tenant, quota in document.quotas.items():
        _unwrap(fields.set_quota(document, tenant, quota))
    for name, value in document.limits.items():
        _unwrap(fields.set_limit(document, name, value))
    for name, value in document.rules.items():
        _unwrap(fields.set_rule(document, name, value))


def _unwrap(checked):
    """Return the value of a check, or raise its problem."""
    if checked.is_err():
        raise ValueError(str(checked.err_value))
    return checked.ok_value


def _refuse(message):
    """Refuse a document."""
    remedy = "keep the document held; look who wrote this one"
    place = "configuration"
    return result.Err(problem.Problem(problem.Kind.STORE, message, remedy, place=place))
