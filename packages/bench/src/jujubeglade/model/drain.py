"""Drains: entries that confirm a revision, permits, and an agent that may freeze.

Revision 0 lets the agent start tasks, revision 1 drains its zone.  Time passes in ticks
that count all timers down together, so the number of states is finite without a limit
of time.  Every step is optional: a process that is slow, or cannot reach the store,
takes none for a while.  A freeze of the agent is a tick between its check and its act.

Two reductions limit the number of states:

- Entries are interchangeable, so states that differ only by their order count as one.
  Labels number the entries by their order at that step.
- An entry drops its previous confirmation when it starts another: a wrong start needs
  only one wrong permit, and not the grants that its entry gave before.  For the same
  reason the last vote, or a read of the store, ends a confirmation at once: a permit is
  counted from the begin of the confirmation, so a delay only shortens it.  A mutation
  of that rule makes the end a step of its own.

    confirm: begin (the timer starts) -> votes, or a read of the store
    permit:  ask (the timer starts) -> grant -> receive
    start:   check -> act at the upstream, which is given the Start-By
"""

import dataclasses

from jujubeglade.model import _drain_agent as agent
from jujubeglade.model import _drain_entries as entries
from jujubeglade.model import _drain_records as records
from jujubeglade.model import spec

Bounds = records.Bounds
Rules = records.Rules


def initial(setting):
    """Return the state in which all entries have revision 0 and their votes count."""
    return records.State(
        stored_revision=0,
        entries=(records.Entry(),) * records.ENTRIES,
        in_force_wait=None,
        in_force=False,
        agent=records.Agent(),
        late_start=False,
        reverted=False,
        restarts=0,
        outage=setting.bounds.outage,
    )


def no_late_start(fields):
    """Tell whether nothing started in the zone after the drain was in force."""
    return not fields["late_start"]


def never_reverts(fields):
    """Tell whether the agent never returned to an older revision."""
    return not fields["reverted"]


def drained_or_permitted(fields):
    """Tell whether the drain is in force, or the agent has a permit in an outage."""
    return fields["in_force"] or (fields["outage"] and fields["agent"].permit > 0)


_NO_RESTARTS = Bounds(permit=1, restarts=0)
_SMALL = Bounds(permit=1, restarts=1)
_FULL = Bounds(permit=1, restarts=2)
_LONG_PERMIT = Bounds(permit=2, restarts=0)
_OUTAGE = Bounds(permit=2, restarts=0, outage=True)

SPECIFICATION = spec.register(
    spec.Specification(
        name="drain",
        rules=Rules(),
        bounds={"small": (_SMALL,), "full": (_FULL, _LONG_PERMIT)},
        mutation_bounds=_SMALL,
        progress_bounds=(_SMALL, _OUTAGE),
        actions=(*entries.ACTIONS, *agent.ACTIONS),
        initial=initial,
        invariants={
            "no start after the drain is in force": no_late_start,
            "a revision never reverts": never_reverts,
        },
        goal=drained_or_permitted,
        witnesses={
            "the drain is in force": lambda fields: fields["in_force"],
            "a freeze outlasts the permit": lambda fields: (
                fields["agent"].start_remaining == 0
            ),
            "the vote of a restarted entry counts again": lambda fields: (
                fields["restarts"] > 0
                and all(entry.votes_count for entry in fields["entries"])
            ),
        },
        canonical=records.canonical,
    )
)


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})


def _mutation(name, field, bounds=_NO_RESTARTS):
    spec.mutation("drain", name, bounds)(_off(field))


_mutation("a drain is accepted without a majority", "majority_accepts")
_mutation("the writer counts earlier acknowledgements", "writer_applies_first", _SMALL)
_mutation("the vote of a restarted entry counts", "excludes_restarted", _SMALL)
_mutation(
    "restarted entries rejoin by each other's votes", "joins_by_counting_votes", _FULL
)
_mutation("a restarted entry rejoins by one vote", "joins_by_all_votes", _SMALL)
_mutation("a permit's lifetime counts from the answer", "counts_from_request")
_mutation(
    "an entry's permits count from the end of a confirmation", "confirms_from_begin"
)
_mutation("the upstream has no Start-By check", "upstream_checks_start_by")
_mutation("a drain is in force once it is accepted", "waits_permit_lifetime")
_mutation(
    "an agent acknowledges while a start is in flight",
    "acknowledges_without_starts",
    _LONG_PERMIT,
)
_mutation("an agent's revision may decrease", "revision_never_decreases")
