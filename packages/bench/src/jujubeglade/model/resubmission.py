"""Direct jobs that a client submits again: no task runs twice at one time."""

import dataclasses
import functools

from jujubeglade.model import _resubmission_agents as agents
from jujubeglade.model import _resubmission_owners as owners
from jujubeglade.model import _resubmission_records as records
from jujubeglade.model import _resubmission_time as time
from jujubeglade.model import spec

Bounds = records.Bounds
Rules = records.Rules


def initial(setting):
    """Return the state in which the first owner has sent the task to a worker."""
    bounds = setting.bounds
    begin = records.Message(records.BEGIN)
    others = (records.Worker(),) * (bounds.workers - 1)
    return records.State(
        workers=(records.Worker(mail=(begin,)), *others),
        first=records.Owner(place=0),
        client=records.CONNECTED,
        second=records.UNPLACED,
        faults=bounds.faults,
    )


def no_task_runs_twice(fields):
    """Tell whether no task runs twice at one time."""
    return sum(worker.runs != records.NOBODY for worker in fields["workers"]) <= 1


def runs_for_client(fields):
    """Tell whether the task runs for the owner to which the client is connected."""
    owner = records.SECOND if fields["client"] == 0 else records.FIRST
    return any(worker.runs == owner for worker in fields["workers"])


_SMALL = Bounds(workers=2, faults=1)
_FULL = Bounds(workers=2, faults=2)

SPECIFICATION = spec.register(
    spec.Specification(
        name="resubmission",
        rules=Rules(),
        bounds={"small": (_SMALL,), "full": (_FULL,)},
        mutation_bounds=_FULL,
        progress_bounds=(_SMALL,),
        actions=(*owners.ACTIONS, *agents.ACTIONS, *time.ACTIONS),
        initial=initial,
        invariants={"no task runs twice at one time": no_task_runs_twice},
        goal=runs_for_client,
        witnesses={
            "the second owner runs the task": lambda fields: any(
                worker.runs == records.SECOND for worker in fields["workers"]
            ),
        },
    )
)

_mutation = functools.partial(spec.mutation, "resubmission")


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})
