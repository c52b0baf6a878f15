"""Runs of the specifications under the model checker.

A run of the unchanged rules must be exhaustive.  A run of a mutation ends at the first
state that breaks an invariant; as the search is breadth-first, its counterexample is a
shortest one.  Progress means that the goal can be reached from every reachable state
(AG EF).  For this the library visits at most 200,000 states, so the bounds are smaller.
"""

import dataclasses
import time

import minicheck

from jujubeglade.model import spec


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one run.

    Attributes:
      states: The number of distinct states visited.
      exhaustive: Whether every reachable state was visited.
      seconds: The duration of the run.
      failures: A dict from the name of a broken property to its counterexample, a list
        of labels of steps.
      properties: A tuple of the names of all properties that were checked.
    """

    states: int
    exhaustive: bool
    seconds: float
    failures: dict
    properties: tuple


def safety(specification, bounds, rules=None, stop_after=None):
    """Check the invariants of a specification.

    Args:
      specification: The Specification.
      bounds: One bounds record.
      rules: A changed rules record, or None for the specification's own.
      stop_after: The number of broken invariants at which the run ends, or None.

    Returns:
      An Outcome.
    """
    setting = spec.Setting(rules or specification.rules, bounds)
    protocol = _protocol(specification, setting)
    if stop_after is not None:
        protocol = _stopping_early(protocol, stop_after)
    started_s = time.perf_counter()
    verdict = minicheck.check_safety(protocol, spec.MAX_STATES)
    seconds = time.perf_counter() - started_s
    failures = {
        name: _labels(result["counterexample"])
        for name, result in verdict["properties"].items()
        if result["holds"] is False
    }
    return Outcome(
        verdict["reachable_states"],
        verdict["exhaustive"] and not (stop_after is not None and failures),
        seconds,
        failures,
        tuple(specification.invariants),
    )


def unreached(specification, bounds):
    """Check which witnesses of a specification no reachable state meets.

    Args:
      specification: The Specification.
      bounds: One bounds record.

    Returns:
      A tuple of the names of these witnesses.
    """
    never_met = {
        name: lambda fields, meets=meets: not meets(fields)
        for name, meets in specification.witnesses.items()
    }
    inverted = dataclasses.replace(specification, invariants=never_met)
    reached = safety(inverted, bounds, stop_after=len(never_met)).failures
    return tuple(name for name in never_met if name not in reached)


def progress(specification, bounds, rules=None):
    """Check that the goal can be reached from every reachable state.

    Args:
      specification: The Specification.
      bounds: One bounds record.
      rules: A changed rules record, or None for the specification's own.

    Returns:
      An Outcome with the single property "progress".
    """
    setting = spec.Setting(rules or specification.rules, bounds, progress=True)
    started_s = time.perf_counter()
    verdict = minicheck.check_liveness(_protocol(specification, setting))
    seconds = time.perf_counter() - started_s
    failures = {}
    if verdict["holds"] is False:
        failures["progress"] = _labels(verdict["counterexample"])
    states = verdict.get("reachable_states", 0)
    exhaustive = verdict["holds"] is not None
    return Outcome(states, exhaustive, seconds, failures, ("progress",))


def _protocol(specification, setting):
    initial = specification.initial(setting)

    canonical = specification.canonical or _identity

    def transitions(state):
        return [
            (label, canonical(following))
            for action in specification.actions
            for label, following in action.apply(setting, state)
        ]

    return minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=type(initial)._fields,
        initial=initial,
        transitions=transitions,
        invariants=specification.invariants,
        goal=specification.goal,
    )


def _identity(state):
    return state


def _stopping_early(protocol, count):
    """Return a copy of a protocol without steps after `count` broken invariants."""
    broken = []

    def watch(predicate):
        def check(fields):
            holds = predicate(fields)
            if not holds:
                broken.append(True)
            return holds

        return check

    def transitions(state):
        return () if len(broken) >= count else protocol.transitions(state)

    invariants = {name: watch(test) for name, test in protocol.invariants.items()}
    return dataclasses.replace(protocol, transitions=transitions, invariants=invariants)


def _labels(counterexample):
    return [step["label"] for step in counterexample if step["label"]]


def mutated(specification, mutation):
    """Check the invariants of a specification under a mutation or a relaxation.

    Args:
      specification: The Specification.
      mutation: The Mutation.

    Returns:
      An Outcome; the run ends at the first broken invariant.
    """
    rules = mutation.change(specification.rules)
    bounds = mutation.bounds or specification.mutation_bounds
    return safety(specification, bounds, rules, stop_after=1)


def is_expected(mutation, outcome):
    """Tell whether the run of a mutation or relaxation had the expected result.

    Args:
      mutation: The Mutation.
      outcome: The Outcome of its run.

    Returns:
      A boolean; the run of a relaxation must also be exhaustive.
    """
    if mutation.expect_failure:
        return bool(outcome.failures)
    return outcome.exhaustive and not outcome.failures
