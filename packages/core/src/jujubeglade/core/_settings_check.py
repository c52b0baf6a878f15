"""The check of settings, which converts a mapping to a record or reports problems.

The `reader` decorator registers a reader for each kind of rule. Readers report a
problem and go on, so that one run shows all mistakes of a file.
"""

import dataclasses
import difflib
import ipaddress
import re

from jujubeglade.core import _settings_direct as direct
from jujubeglade.core import _settings_records as records
from jujubeglade.core import _settings_rules as rules
from jujubeglade.core import problem

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9.-]*")
_ADDRESS_PATTERN = re.compile(
    r"(?:\[(?P<v6>[^\]]+)\]|(?P<v4>[^:\[\]]+)):(?P<port>[0-9]{1,5})"
)
_SCHEMES = ("http", "https")
_MIN_SIMILARITY = 0.75
_ADDRESS_REMEDY = 'write an IP number and a port, such as "10.0.0.1:7100"'

ROLES = records.ROLES | direct.ROLES

_readers = {}
_relations = {}


class _Unreadable:
    """The type of the marker that replaces a value with a problem."""


_UNREADABLE = _Unreadable()


class Report:
    """The problems of one source, such as a file."""

    __slots__ = ("_problems", "_source")

    def __init__(self, source):
        """Make a report without problems.

        Args:
          source: A string, the file's name.
        """
        self._source = source
        self._problems = []

    @property
    def problems(self):
        """All problems, as a tuple of Problems."""
        return tuple(self._problems)

    def add(self, path, cause, remedy):
        """Record a problem.

        Args:
          path: A string, the key path; empty for the whole file.
          cause: A string.
          remedy: A string.

        Returns:
          The marker of an unreadable value, for a reader to return.
        """
        place = f"{self._source}: {path}" if path else self._source
        kind = problem.Kind.SETTINGS
        self._problems.append(problem.Problem(kind, cause, remedy, place))
        return _UNREADABLE


def reader(kind):
    """Register the reader of a kind of rule.

    Args:
      kind: A string.

    Returns:
      A decorator for functions of (value, rule, path, report) that return the
      value, or the marker that `Report.add` returned.
    """

    def register(function):
        _readers[kind] = function
        return function

    return register


def relation(record, *needs):
    """Register a check that fields of one record are consistent.

    Args:
      record: A dataclass.
      needs: Strings, the fields that must be readable for the check to run.

    Returns:
      A decorator for functions of (report, path, **fields).
    """

    def register(function):
        _relations.setdefault(record, []).append((needs, function))
        return function

    return register


def read_record(record, mapping, path, report):
    """Read a mapping as a record.

    Args:
      record: A dataclass whose fields have rules.
      mapping: The value, a dict if it is well-formed.
      path: A string, the key path of the record; empty at the top.
      report: A Report.

    Returns:
      The record, or the marker of an unreadable value.
    """
    if not isinstance(mapping, dict):
        return report.add(path, f"{_render(mapping)} isn't an object", "write { … }")
    fields = {field.name: field for field in dataclasses.fields(record)}
    _report_unknown(mapping, fields, path, report)
    values = {
        name: _read_field(field, mapping, _join(path, name), report)
        for name, field in fields.items()
    }
    readable = {
        name: value for name, value in values.items() if value is not _UNREADABLE
    }
    _check_relations(record, readable, path, report)
    return record(**values) if len(readable) == len(values) else _UNREADABLE


def _report_unknown(mapping, fields, path, report):
    """Report the keys that are no field, with the most similar name."""
    for key in mapping:
        if key in fields:
            continue
        similar = difflib.get_close_matches(str(key), fields, 1, _MIN_SIMILARITY)
        remedy = f"did you mean {similar[0]}?" if similar else "remove it"
        report.add(_join(path, key), _why_unknown(key, path), remedy)


def _why_unknown(key, path):
    """Return why a key is unknown: a setting of another role, or no setting."""
    for role, record in ROLES.items():
        names = {field.name for field in dataclasses.fields(record)}
        if not path and key in names:
            return f"a setting of role {role} only"
    return "no such setting"


def read_value(value, rule, path, report):
    """Read one value.

    Args:
      value: The value, of any type.
      rule: A Rule.
      path: A string, the key path of the value.
      report: A Report.

    Returns:
      The value, or the marker of an unreadable one.
    """
    return _readers[rule.kind](value, rule, path, report)


def _read_field(field, mapping, path, report):
    """Read one field, or its default."""
    rule = rules.rule_of(field)
    if field.name in mapping:
        return read_value(mapping[field.name], rule, path, report)
    if rules.is_required(field):
        return report.add(path, "missing", _missing_remedy(rule.doc))
    if field.default is not dataclasses.MISSING:
        return field.default
    return field.default_factory()


def _check_relations(record, readable, path, report):
    """Run the checks registered for the record and its base classes."""
    for base in reversed(record.__mro__):
        for needs, check in _relations.get(base, ()):
            if all(name in readable for name in needs):
                check(report, path, **{name: readable[name] for name in needs})


def _missing_remedy(doc):
    return f"add it ({doc[0].lower()}{doc[1:].rstrip('.')})"


def _join(path, key):
    return f"{path}.{key}" if path else str(key)


def _render(value):
    """Render a value in the file's syntax, shortened."""
    words = {True: "true", False: "false", None: "null"}
    if isinstance(value, bool) or value is None:
        return words[value]
    if isinstance(value, dict | list):
        return "an object" if isinstance(value, dict) else "a list"
    return f'"{value[:40]}"' if isinstance(value, str) else str(value)


@reader("integer")
def _read_integer(value, rule, path, report):
    remedy = f"write a whole number from {rule.low} to {rule.high}"
    if type(value) is not int:
        return report.add(path, f"{_render(value)} isn't a whole number", remedy)
    if not rule.low <= value <= rule.high:
        return report.add(path, f"{value} is out of range", remedy)
    return value


@reader("number")
def _read_number(value, rule, path, report):
    remedy = f"write a number from {rule.low} to {rule.high}"
    if type(value) not in (int, float):
        return report.add(path, f"{_render(value)} isn't a number", remedy)
    if not rule.low <= value <= rule.high:
        return report.add(path, f"{value} is out of range", remedy)
    return value


@reader("name")
def _read_name(value, rule, path, report):
    remedy = f"write {rule.low} to {rule.high} letters, digits, dots or dashes"
    if not isinstance(value, str) or not _NAME_PATTERN.fullmatch(value):
        return report.add(path, f"{_render(value)} isn't a name", remedy)
    if len(value) > rule.high:
        return report.add(path, f"a name of {len(value)} characters", remedy)
    return value


@reader("choice")
def _read_choice(value, rule, path, report):
    if value in rule.choices:
        return value
    similar = difflib.get_close_matches(str(value), rule.choices, 1)
    hint = f"did you mean {similar[0]}? " if similar else ""
    remedy = f"{hint}write one of {', '.join(rule.choices)}"
    return report.add(path, f"{_render(value)} isn't known", remedy)


@reader("secret")
def _read_secret(value, rule, path, report):
    remedy = f"write a string of {rule.low} to {rule.high} characters"
    if not isinstance(value, str):
        return report.add(path, "not a string", remedy)
    if not rule.low <= len(value) <= rule.high:
        return report.add(path, f"a length of {len(value)}", remedy)
    return value


@reader("secrets")
def _read_secrets(value, rule, path, report):
    return _read_mapping(value, rule, path, report, _read_secret)


@reader("peers")
def _read_peers(value, rule, path, report):
    addresses = _read_mapping(value, rule, path, report, _read_address)
    if addresses is _UNREADABLE:
        return _UNREADABLE
    if not addresses:
        return report.add(path, "empty", "name one entry at least")
    return tuple(
        records.EntryAddress(name, address.host, address.port)
        for name, address in addresses.items()
    )


def _read_mapping(value, rule, path, report, read_item):
    """Read a mapping from names to items."""
    if not isinstance(value, dict):
        return report.add(path, f"{_render(value)} isn't an object", "write { … }")
    name_rule = rules.Rule("name", "", 1, 63)
    items = {}
    for name, item in value.items():
        item_path = _join(path, name)
        read_name = _read_name(name, name_rule, item_path, report)
        items[read_name] = read_item(item, rule, item_path, report)
    return _UNREADABLE if _UNREADABLE in (*items, *items.values()) else items


@reader("url")
def _read_url(value, rule, path, report):
    text = value if isinstance(value, str) else ""
    scheme, _, rest = text.partition("://")
    if scheme not in _SCHEMES:
        cause = f"{_render(value)} isn't a URL"
        remedy = 'write one such as "http://10.0.0.9:2379"'
        return report.add(path, cause, remedy)
    address = _read_address(rest.rstrip("/"), rule, path, report)
    return _UNREADABLE if address is _UNREADABLE else f"{scheme}://{address}"


@reader("listener")
def _read_address(value, rule, path, report):
    match = _ADDRESS_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if not match:
        cause = f"{_render(value)} isn't an address"
        return report.add(path, cause, _ADDRESS_REMEDY)
    host = match["v6"] or match["v4"]
    port = int(match["port"])
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return report.add(path, f'"{host}" isn\'t an IP number', _ADDRESS_REMEDY)
    if not rule.low <= port <= rule.high:
        remedy = f"write a port from {rule.low} to {rule.high}"
        return report.add(path, f"port {port} is out of range", remedy)
    return records.Address(host, port)


@reader("loopback")
def _read_loopback(value, rule, path, report):
    address = _read_address(value, rule, path, report)
    if address is _UNREADABLE or ipaddress.ip_address(address.host).is_loopback:
        return address
    remedy = 'write a loopback address, such as "127.0.0.1:7300"'
    return report.add(path, f"{address.host} can be reached from outside", remedy)


@reader("hosts")
def _read_hosts(value, rule, path, report):
    if not isinstance(value, list):
        return report.add(path, f"{_render(value)} isn't a list", "write [ … ]")
    host_values = [
        _read_host(item, rule, f"{path}[{index}]", report)
        for index, item in enumerate(value)
    ]
    return _UNREADABLE if _UNREADABLE in host_values else tuple(host_values)


def _read_host(value, rule, path, report):
    """Read an IP number; a port after it is ignored."""
    host = str(value).rpartition(":")[0] or str(value)
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return report.add(path, f'"{host}" isn\'t an IP number', _ADDRESS_REMEDY)
    return host


@reader("record")
def _read_nested(value, rule, path, report):
    return read_record(rule.record, value, path, report)
