"""Ownership of a job with one task, and its starts, of which there is at most one.

The state consists of the candidates of a ticket, the owners (the home and the
successors), and the set of all messages sent so far.  Each message may be delivered at
any later time, repeatedly, or never; this covers delay, reordering, duplicates and
loss.  An owner reads a reply by looking it up in the set.  Whatever an owner does
without a reply models a timeout, which may occur at any time.

Each message has a field for its kind, because named tuples with equal fields are equal.

    candidate 0 is the agent of successor 1, candidate 1 that of successor 2, ...

A candidate that is ``None`` has crashed or restarted.  A restart counts as a crash: the
new incarnation refuses requests for the old one, and so reports nothing about it.
"""

import dataclasses
import functools

from jujubeglade.model import _ownership_executors as executors
from jujubeglade.model import _ownership_owners as owners
from jujubeglade.model import _ownership_records as records
from jujubeglade.model import spec

Bounds = records.Bounds
Rules = records.Rules


def initial(setting):
    """Return the state before the job is submitted."""
    bounds = setting.bounds
    return records.State(
        executors=(records.Executor(),) * bounds.candidates,
        owners=(records.Owner(),) * len(bounds.attempts),
        messages=frozenset(),
        answers=frozenset(),
        starts=0,
        started_attempts=frozenset(),
        finished=False,
        crashes=0,
        failures_ended=False,
    )


def at_most_one_start(fields):
    """Tell whether the task has started at most once."""
    return fields["starts"] <= 1


def not_run_is_true(fields):
    """Tell whether nothing started if an owner answered `not_run`."""
    return records.NOT_RUN not in fields["answers"] or not fields["started_attempts"]


def ran_is_true(fields):
    """Tell whether the task finished or failed if an owner answered that it did."""
    if records.RAN_AND_FAILED in fields["answers"] and not fields["started_attempts"]:
        return False
    return records.RAN not in fields["answers"] or fields["finished"]


def answers_agree(fields):
    """Tell whether no two final answers contradict each other."""
    ran = fields["answers"] & {records.RAN, records.RAN_AND_FAILED}
    return not (ran and records.NOT_RUN in fields["answers"])


def answered(fields):
    """Tell whether some owner or entry has given a final answer."""
    return bool(fields["answers"])


_SMALL = Bounds(candidates=2, attempts=(2, 1), crashes=1)
_REPEATABLE = Bounds(candidates=2, attempts=(2, 1), crashes=1, repeatable=True)

SPECIFICATION = spec.register(
    spec.Specification(
        name="ownership",
        rules=Rules(),
        bounds={
            "small": (_SMALL, _REPEATABLE),
            "full": (
                Bounds(candidates=2, attempts=(2, 1), crashes=3),
                Bounds(candidates=3, attempts=(1, 1), crashes=3),
                Bounds(candidates=2, attempts=(1, 1, 1), crashes=2),
                Bounds(candidates=2, attempts=(2, 1), crashes=2, repeatable=True),
            ),
        },
        mutation_bounds=_SMALL,
        progress_bounds=(
            Bounds(candidates=2, attempts=(1, 1), crashes=1),
            Bounds(candidates=2, attempts=(1, 1), crashes=3),
            Bounds(candidates=2, attempts=(1, 1), crashes=2, repeatable=True),
        ),
        actions=(*owners.ACTIONS, *executors.ACTIONS),
        initial=initial,
        invariants={
            "at most one start": at_most_one_start,
            "not_run is true": not_run_is_true,
            "ran is true": ran_is_true,
            "answers agree": answers_agree,
        },
        goal=answered,
        witnesses={
            "a successor starts the task": lambda fields: any(
                attempt.generation == 1 for attempt in fields["started_attempts"]
            ),
            "both owners answer": lambda fields: (
                records.RAN in fields["answers"]
                and all(owner.phase == records.OVER for owner in fields["owners"])
            ),
            "not_run after a crash": lambda fields: (
                records.NOT_RUN in fields["answers"] and fields["crashes"] > 0
            ),
            "a second attempt runs": lambda fields: (
                records.Attempt(0, 2) in fields["started_attempts"]
            ),
        },
    )
)


_mutation = functools.partial(spec.mutation, "ownership")


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})


_mutation("a refused attempt may start later (no tombstone)")(_off("tombstones"))
_mutation("a successor places without the answers of all candidates")(
    _off("needs_all_answers")
)
_mutation("a claim does not raise the fence")(_off("raises_fence"))
_mutation("an attempt below the fence is accepted")(_off("checks_fence"))
_mutation("a close below the fence is accepted")(_off("close_checks_fence"))
_mutation("a restarted agent answers for its earlier incarnation")(
    _off("rejects_other_incarnation")
)
_mutation("the next attempt is placed after a timeout")(_off("resolves_attempts"))
_mutation("the home places the task on itself")(_off("home_places_elsewhere"))
_mutation("not_run is answered without a close")(_off("closes_before_not_run"))
_mutation("a candidate ignores its own close of the job")(_off("obeys_close"))
_mutation("a claim's answer omits a failed attempt", _REPEATABLE)(
    _off("reports_failures")
)
spec.relaxation("ownership", "an executor accepts a second attempt")(
    _off("accepts_once")
)
spec.relaxation("ownership", "a successor places the task on itself")(
    _off("successor_places_elsewhere")
)
