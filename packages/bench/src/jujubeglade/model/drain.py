"""Drains: entries that confirm a revision, permits, and an agent that may freeze.

Revision 0 lets the agent start tasks, revision 1 drains its zone.  Time is a tick that
counts every timer down at once, so the states are finite without a horizon.  A process
that cannot reach the store, or is slow, is one whose steps do not come: every step is
optional.  A freeze of the agent is a tick between its check and its act.

Two reductions keep the states few.  Entries are interchangeable, so states that differ
by their order are one; labels number them as they stand at that step.  An entry drops
its former view when it begins to confirm again: a wrong start needs one wrong permit,
and the grants that its entry gave before are not needed for it.  For the same reason
the last vote, or a read, ends a confirmation at once: the view counts from the begin,
so a delay only wastes freshness.  A mutation of that rule makes the end its own step.

    confirm: begin (the timer starts) -> votes, or a read of the store
    permit:  ask (the timer starts) -> grant -> receive
    start:   check -> act at the upstream, which knows the Start-By
"""

import dataclasses

from jujubeglade.model import _drain_agent as agent
from jujubeglade.model import _drain_entries as entries
from jujubeglade.model import _drain_records as records
from jujubeglade.model import spec

Bounds = records.Bounds
Rules = records.Rules


def initial(setting):
    """Return the state in which all entries know revision 0 and count."""
    return records.State(
        stored=0,
        entries=(records.Entry(),) * records.ENTRIES,
        wait=None,
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
    """Tell whether no agent went back to an older revision."""
    return not fields["reverted"]


def goes_on(fields):
    """Tell whether the drain is in force, or starts go on during an outage."""
    return fields["in_force"] or (fields["outage"] and fields["agent"].permit > 0)


_CALM = Bounds(permit=1, restarts=0)
_SMALL = Bounds(permit=1, restarts=1)
_FULL = Bounds(permit=1, restarts=2)
_LONG = Bounds(permit=2, restarts=0)
_OUTAGE = Bounds(permit=2, restarts=0, outage=True)

SPECIFICATION = spec.register(
    spec.Specification(
        name="drain",
        rules=Rules(),
        bounds={"small": (_SMALL,), "full": (_FULL, _LONG)},
        mutation_bounds=_SMALL,
        progress_bounds=(_SMALL, _OUTAGE),
        actions=(*entries.ACTIONS, *agent.ACTIONS),
        initial=initial,
        invariants={
            "no start after in force": no_late_start,
            "a revision never reverts": never_reverts,
        },
        goal=goes_on,
        witnesses={
            "the drain is in force": lambda fields: fields["in_force"],
            "a freeze outlasts the permit": lambda fields: fields["agent"].flight == 0,
            "an entry is back after a restart": lambda fields: (
                fields["restarts"] > 0
                and all(entry.counted for entry in fields["entries"])
            ),
        },
        canonical=records.canonical,
    )
)


def _off(field):
    """Return a change that switches one mechanism off."""
    return lambda rules: dataclasses.replace(rules, **{field: False})


def _mutation(name, field, bounds=_CALM):
    spec.mutation("drain", name, bounds)(_off(field))


_mutation("a drain is accepted without a majority", "majority_accepts")
_mutation("the writer counts what it was told before", "writer_applied", _SMALL)
_mutation("an entry that started afresh is counted", "amnesiacs_excluded", _SMALL)
_mutation("fresh entries let each other join", "joins_by_counted", _FULL)
_mutation("a fresh entry joins by one other entry", "joins_by_all", _SMALL)
_mutation("a permit counts from the answer", "counts_from_question")
_mutation("a view counts from the end of its confirmation", "confirms_from_begin")
_mutation("the upstream has no Start-By check", "upstream_checks")
_mutation("a drain is in force once it is accepted", "waits_permit")
_mutation("an agent acknowledges over a start", "acknowledges_settled", _LONG)
_mutation("an agent's revision may go down", "revision_rises")
