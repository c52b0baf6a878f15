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
_LATE_CLIENT = Bounds(workers=2, faults=1, resubmission=5)
_UNSEEN = Bounds(workers=2, faults=1, unseen_breaks=True)

SPECIFICATION = spec.register(
    spec.Specification(
        name="resubmission",
        rules=Rules(),
        bounds={"small": (_SMALL,), "full": (_FULL, _LATE_CLIENT)},
        mutation_bounds=_SMALL,
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


_mutation("an agent forgets the attempts of an owner that it drops")(
    _off("keeps_dropped_owner")
)
_mutation("an owner does not repeat its halts on a new link", _FULL)(
    _off("repeats_halts")
)
_mutation("the lease outlives the client's wait")(_off("limits_lease_by_owner"))
_mutation("the lease outlives the owner's wait, the shorter one", _LATE_CLIENT)(
    _off("limits_lease_by_wait")
)
_mutation("a Begin that is read late proves that its owner is alive")(
    _off("begins_prove_age")
)
_mutation("a halt moves the limit of the lease")(_off("halt_keeps_limit"))
_mutation("an owner vouches for clients that it has not looked at", _FULL)(
    _off("vouches_for_clients")
)
_mutation("an owner sends an attempt without a look at its client", _FULL)(
    _off("looks_before_sending")
)
_mutation("a running owner overlooks that its client has left", _UNSEEN)(
    lambda rules: rules
)
spec.relaxation("resubmission", "the lease outlives the owner's wait, the longer one")(
    _off("limits_lease_by_wait")
)
spec.relaxation("resubmission", "an old Begin is accepted")(_off("refuses_old_begins"))
spec.relaxation("resubmission", "a duplicate is refused instead of held")(
    _off("holds_duplicates")
)
