"""The commands of operators as immutable records.

| verb               | records                                                     |
|--------------------|-------------------------------------------------------------|
| `submit`           | Submit                                                      |
| `cancel`           | CancelJob, CancelTenant                                     |
| `throttle`         | ThrottleJob                                                 |
| `drain`, `restore` | DrainZone, DrainWorker, RestoreZone, RestoreWorker          |
| `set`              | SetQuota, SetLimit, SetRule                                 |
| `show`             | ShowJobs, ShowWorkers, ShowZones                            |
| `show`             | ShowConfiguration, ShowCommands                             |
| `why`, `explain`   | WhyJob, WhyTask, WhyRefusal, WhyCommand                     |

Commands that change the configuration have `if_revision`: an integer, the only revision
on which the change may be made, or None for any.
"""

import dataclasses

_record = dataclasses.dataclass(frozen=True, slots=True)


@_record
class Submit:
    """Create a job of identical tasks.

    Attributes:
      service: A string, the service that runs the tasks.
      payload: A JSON value, the payload of each task.
      count: An integer, the number of tasks.
      tenant: A string, the tenant charged for the job.
      task_class: A string, the class of the tasks; may be empty.
      deadline_ms: An integer; 0 means the default of the entry.
      repeatable: A boolean, True if a task may run more than once.
    """

    service: str
    payload: object
    count: int
    tenant: str
    task_class: str = ""
    deadline_ms: int = 0
    repeatable: bool = False


@_record
class CancelJob:
    """Cancel one job."""

    job: str


@_record
class CancelTenant:
    """Cancel every job of a tenant."""

    tenant: str


@_record
class ThrottleJob:
    """Ask the upstreams to throttle the running tasks of a job."""

    job: str


@_record
class DrainZone:
    """Take an availability zone out of service."""

    zone: str
    if_revision: int | None = None


@_record
class DrainWorker:
    """Take a worker out of service."""

    worker: str
    if_revision: int | None = None


@_record
class RestoreZone:
    """Return an availability zone to service."""

    zone: str
    if_revision: int | None = None


@_record
class RestoreWorker:
    """Return a worker to service."""

    worker: str
    if_revision: int | None = None


@_record
class SetQuota:
    """Set a tenant's quota.

    Attributes:
      tenant: A string.
      starts_per_s: A float, task starts per second.
      weight: An integer, the tenant's share when tenants compete.
      if_revision: See the module.
    """

    tenant: str
    starts_per_s: float
    weight: int = 1
    if_revision: int | None = None


@_record
class SetLimit:
    """Set a limit; settings.live_limits() lists the names."""

    name: str
    value: int
    if_revision: int | None = None


@_record
class SetRule:
    """Set the choice of a rule; rules.RULES lists the names."""

    name: str
    value: str
    if_revision: int | None = None


@_record
class ShowJobs:
    """List jobs; `tenant` and `state` restrict the list unless they are empty."""

    tenant: str = ""
    state: str = ""


@_record
class ShowWorkers:
    """List workers; `zone` restricts the list unless it is empty."""

    zone: str = ""


@_record
class ShowZones:
    """List availability zones."""


@_record
class ShowConfiguration:
    """Show the configuration in force."""


@_record
class ShowCommands:
    """List recent commands and their outcomes."""


@_record
class WhyJob:
    """Explain what happened to a job."""

    job: str


@_record
class WhyTask:
    """Explain what happened to one task of a job."""

    job: str
    index: int


@_record
class WhyRefusal:
    """Explain a refusal."""

    refusal: str


@_record
class WhyCommand:
    """Explain the outcome of a command."""

    command: str
