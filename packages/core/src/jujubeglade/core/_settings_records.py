"""The records that hold the settings of a process.

Each field has its rule, default and documentation; see `_settings_rules`.
"""

import dataclasses

from jujubeglade.core import _settings_inbound as inbound_
from jujubeglade.core import _settings_rules as rules

_KIB = 1024
_MIB = 1024 * 1024
MIN_SECRET_CHARACTERS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port.

    Attributes:
      host: A string, an IP number.
      port: An integer.
    """

    host: str
    port: int

    def __str__(self):
        """Render the address in the format of settings files."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """The address where one entry accepts streams.

    Attributes:
      name: A string, the name of the entry in its own settings.
      host: A string, an IP number.
      port: An integer.
    """

    name: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """The limits of a process."""

    max_body_bytes: int = rules.integer(
        _KIB, 64 * _MIB, "Largest body of an HTTP request.", 4 * _MIB
    )
    max_tasks_per_job: int = rules.integer(
        1, 5500, "Most tasks that one job may have.", 550, live=True
    )
    max_payload_bytes: int = rules.integer(
        1, 16 * _MIB, "Largest payload of one task.", 256 * _KIB, live=True
    )
    result_bytes: int = rules.integer(
        1,
        16 * _MIB,
        "Largest result of one task; a longer one fails it.",
        256 * _KIB,
        live=True,
    )
    held_result_bytes: int = rules.integer(
        64 * _KIB,
        1024 * _MIB,
        "Bytes of results an agent keeps for resubmissions, and again for successors.",
        4 * _MIB,
    )
    max_jobs: int = rules.integer(
        1, 1_000_000, "Most jobs a process keeps at a time.", 20_000, live=True
    )
    max_queue_tasks: int = rules.integer(
        1, 1_000_000, "Most tasks that wait in one agent's queue.", 5_500, live=True
    )
    max_connections: int = rules.integer(
        1, 65_535, "Most connections a process accepts at a time.", 4_096, live=True
    )
    window_ms: int = rules.integer(
        5_000, 3_600_000, "How long a ticket is valid after its issue.", 120_000
    )
    permit_ms: int = rules.integer(
        200,
        4_000,
        "How long a permit to start tasks is valid; the same at all entries.",
        2_500,
    )
    heartbeat_ms: int = rules.integer(
        50, 2_000, "Time between two heartbeats of an agent to one entry.", 1_000
    )
    connect_ms: int = rules.integer(
        50, 30_000, "Longest wait for a connection to open.", 1_000
    )
    max_wait_ms: int = rules.integer(
        0,
        600_000,
        "Longest time a request may ask to wait for an answer.",
        30_000,
        live=True,
    )
    candidates: int = rules.integer(
        2, 64, "Agents that a ticket names for the tasks of a job.", 16
    )
    tickets_per_request: int = rules.integer(
        1, 10_000, "Most tickets issued by one request.", 1_000, live=True
    )
    audit_records: int = rules.integer(
        100, 1_000_000, "Audit records buffered while the store is unavailable.", 10_000
    )
    drain_grace_ms: int = rules.integer(
        0,
        600_000,
        "How long a shutdown waits for requests in progress.",
        30_000,
        live=True,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Store:
    """The connection to the platform's key-value store."""

    driver: str = rules.choice(
        ("etcd", "platform"),
        "The driver: `etcd` for the JSON gateway of etcd version 3, `platform` for the"
        " store that the platform's adapter connects to.",
        "etcd",
    )
    address: str = rules.url("Base URL of the service.")
    timeout_ms: int = rules.integer(50, 30_000, "Longest wait for an answer.", 2_000)
    token: str = rules.secret(
        1, "Whole value of the header `Authorization`; empty to send none.", ""
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """The settings that every process has."""

    role: str = rules.choice(("entry", "agent"), "The role of the process.")
    name: str = rules.name("Name of the process, unique in the deployment.")
    zone: str = rules.name("Availability zone of the machine.")
    rack: str = rules.name("Rack of the machine.")
    cluster_key: str = rules.secret(
        MIN_SECRET_CHARACTERS,
        "Key that signs tickets and authenticates streams; the same everywhere.",
    )
    log_level: str = rules.choice(
        ("debug", "info", "notice", "warning", "error"),
        "Least level of the log lines written.",
        "info",
    )
    stream: Address = rules.listener("Where other processes connect.")
    http: Address = rules.listener("Where HTTP requests are served.")
    metrics: Address | None = rules.listener(
        "Where metrics are served; if absent, they are not.", None
    )
    entries: tuple[EntryAddress, ...] = rules.peers(
        "The streams of all entries, by the entry's name; three are recommended."
    )
    limits: Limits = rules.nested(Limits, "Bounds; each has a default.", required=False)
    inbound: inbound_.Inbound = rules.nested(
        inbound_.Inbound, inbound_.DOC, required=False
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings(Settings):
    """The settings of an entry."""

    store: Store = rules.nested(Store, "The platform's key-value store.", required=True)
    caller_tokens: dict[str, str] = rules.secrets(
        MIN_SECRET_CHARACTERS, "The token of each tenant's clients, by tenant."
    )
    operator_tokens: dict[str, str] = rules.secrets(
        MIN_SECRET_CHARACTERS, "The token of each operator, by the operator's name."
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings(Settings):
    """The settings of an agent."""

    announce: Address = rules.loopback(
        "Where the upstreams of this machine announce themselves."
    )
    advertise: Address | None = rules.listener(
        "Where other agents reach `stream`, if at another address, as behind NAT.", None
    )


ROLES = {"entry": EntrySettings, "agent": AgentSettings}
