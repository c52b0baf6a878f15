"""The records that hold the settings of the processes of direct jobs."""

import dataclasses

from jujubeglade.core import _settings_inbound as inbound_
from jujubeglade.core import _settings_records as records
from jujubeglade.core import _settings_rules as rules


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DirectSettings:
    """The settings that every process of direct jobs has."""

    role: str = rules.choice(
        ("direct-entry", "direct-agent"), "The role of the process."
    )
    name: str = rules.name("Name of the process, unique in the deployment.")
    zone: str = rules.name("Availability zone of the VM.")
    platform: str = rules.name("Name of the adapter that connects to the platform.")
    cluster_key: str = rules.secret(
        records.MIN_SECRET_CHARACTERS,
        "Key that authenticates streams; the same everywhere.",
    )
    log_level: str = rules.choice(
        ("debug", "info", "notice", "warning", "error"),
        "Least level of the log lines written.",
        "info",
    )
    stream: records.Address = rules.listener(
        "Where agents reach an entry; the port is the same for all entries."
    )
    metrics: records.Address | None = rules.listener(
        "Where metrics are served; if absent, they are not.", None
    )
    seeds: tuple[str, ...] = rules.hosts(
        "Hosts of entries to dial until the store has listed any; may be out of date."
    )
    store: records.Store = rules.nested(
        records.Store, "The platform's key-value store.", required=True
    )
    hold_ms: int = rules.integer(
        100, 60_000, "Worker lease: how long a worker goes on without its agent.", 1_000
    )
    grace_ms: int = rules.integer(
        1_000, 600_000, "How long a process may take to end after SIGTERM.", 6_000
    )
    coordinate_from: int = rules.integer(
        0,
        1_000,
        "The number of entries from which entries and agents coordinate how they use "
        "scarce room; 0 for never.",
        0,
    )
    inbound: inbound_.Inbound = rules.nested(
        inbound_.Inbound, inbound_.DOC, required=False
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DirectEntrySettings(DirectSettings):
    """The settings of an entry of direct jobs."""

    clients: records.Address = rules.listener("Where clients connect.")
    readiness: records.Address = rules.listener(
        "Where the load balancer checks readiness."
    )
    remote_penalty: float = rules.number(
        1,
        100,
        "How many times longer a task runs outside of the rack of its data; 1 if that "
        "makes no difference.",
        1,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DirectAgentSettings(DirectSettings):
    """The settings of an agent of direct jobs."""

    resubmit_ms: int = rules.integer(
        200,
        600_000,
        "How long after their connection broke clients submit again, to any entry; "
        "what runs for an entry that may be lost ends before that.",
        1_300,
    )
    contact_timeout_ms: int = rules.integer(
        1_000,
        600_000,
        "How long a worker's report is relied on after the next one was due; the "
        "worker may have fewer resources by then.",
        3_000,
    )
    report_interval_ms: int = rules.integer(
        100, 600_000, "The interval of the worker's reports.", 1_500
    )
    control: records.Address = rules.listener("Where the worker reports.")
    worker: records.Address = rules.listener("Where the worker accepts calls.")


ROLES = {"direct-entry": DirectEntrySettings, "direct-agent": DirectAgentSettings}
