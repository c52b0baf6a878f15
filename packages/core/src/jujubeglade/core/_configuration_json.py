"""The encoding of the document in the store: one JSON object.

Keys are sorted and there are no spaces, so that equal documents are equal bytes.
"""

import dataclasses
import json
import types

import result

from jujubeglade.core import _configuration_document as documents
from jujubeglade.core import fields, problem

#: What another writer's bytes may raise as they are decoded.
_UNREADABLE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
)
_FIELDS = {field.name for field in dataclasses.fields(documents.Document)}


def dump(document):
    """Encode a document.

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


def parse(data, min_revision=0):
    """Decode and check a document.

    Args:
      data: Bytes; empty data stands for the empty document.
      min_revision: An integer, the least revision accepted: that of the document
        which the caller already has.

    Returns:
      A Result of a Document, or of a Problem if the data is malformed or its
      revision is below `min_revision`.
    """
    try:
        document = _read(json.loads(data)) if data else documents.Document()
    except _UNREADABLE_ERRORS as error:
        return _refuse(f"the document is malformed: {error!r}")
    if document.revision < min_revision:
        return _refuse(f"revision {document.revision} is below {min_revision}")
    return result.Ok(document)


def without_outcomes(document):
    """Remove the outcomes, which only operators need, to send a document to agents.

    Args:
      document: A Document.

    Returns:
      A Document.
    """
    return dataclasses.replace(document, outcomes=())


def _values(record):
    """Return the fields of a flat record; `dataclasses.asdict` copies each value."""
    return {name: getattr(record, name) for name in record.__slots__}


def _read(values):
    """Build a document from a decoded JSON object.

    Raises:
      ValueError: If a field has a value that is not allowed. A field that is missing
        or of another type raises a KeyError, TypeError or AttributeError.
    """
    if set(values) != _FIELDS:
        raise ValueError(f"its fields are {sorted(values)}")
    quotas = {tenant: documents.Quota(**q) for tenant, q in values["quotas"].items()}
    document = documents.Document(
        revision=_check_revision(values["revision"]),
        drained_zones=_names(values["drained_zones"]),
        drained_workers=_names(values["drained_workers"]),
        quotas=types.MappingProxyType(quotas),
        limits=types.MappingProxyType(dict(values["limits"])),
        rules=types.MappingProxyType(dict(values["rules"])),
        outcomes=tuple(_outcome(outcome) for outcome in values["outcomes"]),
    )
    _check_items(document)
    return document


def _check_revision(value):
    """Check that a revision is an integer of 0 or more."""
    if not fields.is_whole(value) or value < 0:
        raise ValueError(f"revision {value!r}")
    return value


def _names(values):
    """Check a list of names."""
    return frozenset(_unwrap(documents.check_name(name)) for name in values)


def _outcome(values):
    """Build an outcome from a decoded JSON object."""
    status = documents.Status(values["status"])
    revision = _check_revision(values["revision"])
    return documents.Outcome(**values | {"status": status, "revision": revision})


def _check_items(document):
    """Check quotas, limits and rules by the same functions as commands."""
    for tenant, quota in document.quotas.items():
        _unwrap(documents.set_quota(document, tenant, quota))
    for name, value in document.limits.items():
        _unwrap(documents.set_limit(document, name, value))
    for name, value in document.rules.items():
        _unwrap(documents.set_rule(document, name, value))


def _unwrap(checked):
    """Return the value of a result, or raise its problem as a ValueError."""
    if checked.is_err():
        raise ValueError(str(checked.err_value))
    return checked.ok_value


def _refuse(message):
    """Return the problem of a document that can't be used."""
    remedy = "the last valid document stays in use; find out who wrote this one"
    place = "configuration"
    return result.Err(problem.Problem(problem.Kind.STORE, message, remedy, place=place))
