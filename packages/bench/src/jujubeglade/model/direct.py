"""Direct jobs: no task runs twice at one time, no worker runs more than its room.

A worker has room for one task, which runs only while the worker's lease lasts; its
clock may be slow. The agent beside the worker starts and stops tasks and polls it,
which renews the lease. The answer to a start may be lost, and the start carried out
later. An agent may die, freeze, or lose its link to the owner. An owner places a task
again when it is certain that the task no longer runs: the agent has reported so, or the
owner has waited long enough. Time passes in ticks, in which all waiting times are
counted.
"""

import dataclasses
import functools

from jujubeglade.model import _direct_attempts as attempts
from jujubeglade.model import _direct_failures as failures
from jujubeglade.model import _direct_records as records
from jujubeglade.model import _direct_time as time
from jujubeglade.model import spec

Bounds = records.Bounds
Rules = records.Rules


def initial(setting):
    """Return the state in which no task is placed."""
    bounds = setting.bounds
    return records.State(
        (records.Worker(),) * bounds.workers,
        ((records.Attempt(),) * bounds.tasks,) * bounds.workers,
        (records.UNPLACED,) * bounds.tasks,
        (0,) * bounds.tasks,
        bounds.faults,
        False,
    )


def no_task_runs_twice(fields):
    """Tell whether no task runs twice at one time."""
    for runs in zip(*fields["attempts"], strict=True):
        if sum(attempt.runs for attempt in runs) > 1:
            return False
    return True


def within_room(fields):
    """Tell whether no worker runs more than one task."""
    return all(sum(attempt.runs for attempt in row) <= 1 for row in fields["attempts"])


def has_ended(fields):
    """Tell whether some task has ended by itself."""
    return fields["task_ended"]


_TWICE = Bounds(workers=2, tasks=1, faults=2)
_ROOM = Bounds(workers=1, tasks=2, faults=2)

SPECIFICATION = spec.register(
    spec.Specification(
        name="direct",
        rules=Rules(),
        bounds={
            "small": (
                Bounds(workers=2, tasks=1, faults=1),
                Bounds(workers=1, tasks=2, faults=1),
            ),
            "full": (_TWICE, _ROOM),
        },
        mutation_bounds=_TWICE,
        progress_bounds=(Bounds(workers=2, tasks=1, faults=1),),
        actions=(*attempts.ACTIONS, *failures.ACTIONS, *time.ACTIONS),
        initial=initial,
        invariants={
            "no task runs twice at one time": no_task_runs_twice,
            "no worker runs more than its room": within_room,
        },
        goal=has_ended,
        witnesses={
            "a task runs again after its agent died": lambda fields: (
                any(not worker.alive for worker in fields["workers"])
                and any(attempt.runs for row in fields["attempts"] for attempt in row)
                and fields["faults"] == 0
            ),
        },
    )
)

_mutation = functools.partial(spec.mutation, "direct")


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})


_mutation("a restarted agent does not wait for the worker's list", _ROOM)(
    _off("waits_until_clean")
)
_mutation("a lost answer does not raise the token", _TWICE)(
    lambda rules: dataclasses.replace(
        rules, raises_token=False, needs_higher_token=False
    )
)
_mutation("a start without an answer counts as refused")(_off("resolves_unknown"))
_mutation("a start does not expire")(_off("starts_expire"))
_mutation("an owner places again without waiting for the lease")(
    _off("waits_for_lease")
)
_mutation("an owner's wait does not allow for a slow clock")(_off("allows_slow_clock"))
_mutation("an agent keeps the tasks of a silent owner running")(
    _off("drops_silent_owner")
)
_mutation("the time of a freeze does not count as silence")(_off("counts_suspension"))
_mutation("room is free as soon as the stop is sent", _ROOM)(_off("keeps_room"))
