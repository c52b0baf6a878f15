"""Checked settings of a process.

A process reads one file of JSON with comments. The result is either a frozen record
of all settings, or all problems of the file.

    match settings.load("entry-1.json5"):
        case result.Ok(loaded): ...
        case result.Err(problems): ...

docs/SETTINGS.md is rendered from the same fields by `settings_page`.
"""

import dataclasses
import re

import json5
import result

from jujubeglade.core import _settings_check as check
from jujubeglade.core import _settings_direct as direct
from jujubeglade.core import _settings_inbound as inbound_
from jujubeglade.core import _settings_records as records
from jujubeglade.core import _settings_relations as relations
from jujubeglade.core import _settings_rules as rules

Address = records.Address
AgentSettings = records.AgentSettings
DirectAgentSettings = direct.DirectAgentSettings
DirectEntrySettings = direct.DirectEntrySettings
EntryAddress = records.EntryAddress
EntrySettings = records.EntrySettings
Inbound = inbound_.Inbound
Limits = records.Limits
Settings = records.Settings
Store = records.Store

# Importing the relations registers them.
_RELATIONS = relations

# Unlike a listener, a peer can't have port 0.
_PEER = rules.Rule("listener", "Address of a peer.", 1, 65_535)
_MAX_FILE_BYTES = 1024 * 1024
_LINE_PATTERN = re.compile(r"^<string>:(?P<line>\d+) (?P<cause>.*)$", re.DOTALL)


def read_address(text, source):
    """Parse the address of a peer, in the format of the settings.

    Args:
      text: A string, such as "10.0.0.1:7100".
      source: A string, the origin of the text, which problems name.

    Returns:
      A Result: Ok of an Address, or Err of a tuple of Problems.
    """
    report = check.Report(source)
    address = check.read_value(text, _PEER, "", report)
    return result.Err(report.problems) if report.problems else result.Ok(address)


def load(path):
    """Read and check a settings file.

    Args:
      path: A string or a pathlib.Path.

    Returns:
      A Result: Ok of the settings record of the role, or Err of a tuple of
      Problems, whose places name the file and the key path.
    """
    report = check.Report(str(path))
    try:
        with open(path, "rb") as file:
            data = file.read(_MAX_FILE_BYTES + 1)
    except OSError as error:
        report.add("", f"can't be read: {error.strerror}", "check the path and rights")
        return result.Err(report.problems)
    return loads(data, str(path))


def loads(data, source):
    """Check the bytes of a settings file.

    Args:
      data: Bytes, JSON with comments in UTF-8.
      source: A string, the file's name.

    Returns:
      A Result, as `load` returns it.
    """
    report = check.Report(source)
    if len(data) > _MAX_FILE_BYTES:
        report.add("", "longer than a megabyte", "name a settings file")
        return result.Err(report.problems)
    try:
        mapping = json5.loads(data.decode("utf-8"), allow_duplicate_keys=False)
    except UnicodeDecodeError as error:
        report.add("", f"byte {error.start} isn't UTF-8", "save the file as UTF-8")
        return result.Err(report.problems)
    except RecursionError:
        report.add("", "nested too deep", "correct the JSON")
        return result.Err(report.problems)
    except ValueError as error:
        _report_json(report, str(error).replace("\n", "end of line"))
        return result.Err(report.problems)
    return from_mapping(mapping, source)


def from_mapping(mapping, source):
    """Check settings from a mapping instead of a file.

    Args:
      mapping: A dict, as decoded from a file.
      source: A string, the origin of the settings, which problems name.

    Returns:
      A Result, as `load` returns it.
    """
    report = check.Report(source)
    role = mapping.get("role") if isinstance(mapping, dict) else None
    record = check.ROLES.get(role) if isinstance(role, str) else None
    if record is None:
        record = records.Settings
        mapping = _without_roles(mapping)
    loaded = check.read_record(record, mapping, "", report)
    if report.problems:
        return result.Err(report.problems)
    return result.Ok(loaded)


def live_limits():
    """Return the names of the limits that operators may change by a command.

    Returns:
      A tuple of strings.
    """
    fields = dataclasses.fields(Limits)
    return tuple(field.name for field in fields if rules.rule_of(field).live)


def limit_range(name):
    """Return the range of a limit.

    Args:
      name: A string, a field of Limits.

    Returns:
      A pair of integers, the lowest and the highest value allowed.
    """
    (field,) = (field for field in dataclasses.fields(Limits) if field.name == name)
    rule = rules.rule_of(field)
    return rule.low, rule.high


def limits_in_force(configured, overrides):
    """Override the limits of the settings by those that operators set.

    Args:
      configured: The Limits of the settings.
      overrides: A mapping from names of limits to numbers. Names that are no live
        limit are ignored, because another release may have more of them.

    Returns:
      A Limits.
    """
    live = {name: int(overrides[name]) for name in live_limits() if name in overrides}
    return dataclasses.replace(configured, **live)


def _without_roles(mapping):
    """Remove the settings that only one role has, when the role isn't known."""
    if not isinstance(mapping, dict):
        return mapping
    common = {field.name for field in dataclasses.fields(records.Settings)}
    all_names = {
        field.name
        for record in check.ROLES.values()
        for field in dataclasses.fields(record)
    }
    return {key: mapping[key] for key in mapping if key not in all_names - common}


def _report_json(report, message):
    """Report an error of the JSON parser, with its line if it has one."""
    match = _LINE_PATTERN.match(message)
    if not match:
        report.add("", message, "correct the JSON")
        return
    report.add(f"line {match['line']}", match["cause"], "correct the JSON here")
