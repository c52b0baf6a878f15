"""Checks that settings are consistent with each other.

| fields                                  | relation                              |
|-----------------------------------------|---------------------------------------|
| `heartbeat_ms`, `permit_ms`             | two heartbeats within a permit        |
| `max_payload_bytes`, `max_body_bytes`   | a payload fits in a body              |
| `stream`, `http`, `metrics`, `announce` | no address twice                      |
| `name`, `entries`, `stream`             | an entry is listed, an agent isn't    |
| `entries`                               | no address twice                      |
| `caller_tokens`, `operator_tokens`      | no token twice                        |
"""

from jujubeglade.core import _settings_check as check
from jujubeglade.core import _settings_records as records

_MIN_HEARTBEATS_PER_PERMIT = 2


@check.relation(records.Limits, "heartbeat_ms", "permit_ms")
def _permit_spans_heartbeats(report, path, heartbeat_ms, permit_ms):
    if heartbeat_ms * _MIN_HEARTBEATS_PER_PERMIT > permit_ms:
        cause = f"{permit_ms} ms is less than two heartbeats of {heartbeat_ms} ms"
        remedy = "raise permit_ms or lower heartbeat_ms"
        report.add(f"{path}.permit_ms", cause, remedy)


@check.relation(records.Limits, "max_payload_bytes", "max_body_bytes")
def _payload_fits_body(report, path, max_payload_bytes, max_body_bytes):
    if max_payload_bytes > max_body_bytes:
        cause = f"{max_payload_bytes} is more than max_body_bytes ({max_body_bytes})"
        remedy = "lower it, or raise max_body_bytes"
        report.add(f"{path}.max_payload_bytes", cause, remedy)


@check.relation(records.EntrySettings, "stream", "http", "metrics")
def _entry_addresses_differ(report, path, **addresses):
    _report_duplicates(report, addresses)


@check.relation(records.AgentSettings, "stream", "http", "metrics", "announce")
def _agent_addresses_differ(report, path, **addresses):
    _report_duplicates(report, addresses)


@check.relation(records.EntrySettings, "name", "entries", "stream")
def _entry_is_listed(report, path, name, entries, stream):
    listed = {entry.name: entry for entry in entries}
    if name not in listed:
        cause = f"this entry, {name}, isn't listed"
        return report.add("entries", cause, f'add "{name}" with its stream address')
    if stream.port not in (0, listed[name].port):
        cause = f"port {listed[name].port}, but stream listens on {stream.port}"
        return report.add(f"entries.{name}", cause, "make the two ports the same")
    return None


@check.relation(records.AgentSettings, "name", "entries")
def _agent_is_not_listed(report, path, name, entries):
    if any(entry.name == name for entry in entries):
        cause = f"this agent, {name}, has the name of an entry"
        report.add("name", cause, "give the agent another name")


@check.relation(records.Settings, "entries")
def _entries_differ(report, path, entries):
    by_address = {}
    for entry in entries:
        first = by_address.setdefault((entry.host, entry.port), entry.name)
        if first != entry.name:
            cause = f"the address of {first} too"
            report.add(f"entries.{entry.name}", cause, "give each entry its own")


@check.relation(records.EntrySettings, "caller_tokens", "operator_tokens")
def _tokens_differ(report, path, caller_tokens, operator_tokens):
    owners = {}
    for group, tokens in (
        ("caller_tokens", caller_tokens),
        ("operator_tokens", operator_tokens),
    ):
        for name, token in tokens.items():
            place = f"{group}.{name}"
            first = owners.setdefault(token, place)
            if first != place:
                report.add(place, f"the same token as {first}", "give each its own")


def _report_duplicates(report, addresses):
    """Report each address that two settings have."""
    seen = {}
    for name, address in addresses.items():
        if address is None or address.port == 0:
            continue
        first = seen.setdefault(address, name)
        if first != name:
            report.add(name, f"the address of {first} too", "give each its own port")
