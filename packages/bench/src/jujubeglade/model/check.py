"""Runs of the specifications under the checker.

A run of the unchanged rules must be exhaustive.  A run of a mutation ends at the first
state that breaks a property, which breadth-first search makes a nearest one.  Progress
is checked as "from every reachable state the goal can still be reached" (AG EF): the
library sweeps at most 200,000 states for it, hence the smaller bounds.
"""

import dataclasses
import time

import minicheck

from jujubeglade.model import spec


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one run found.

    Attributes:
      states: The number of distinct states visited.
      exhaustive: Whether every reachable state was visited.
      seconds: The time of the run.
      failures: A dict of broken property names to counterexamples; each is a list of
        action labels.
      properties: The names of all properties of the run.
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
      stop_after: The number of broken invariants at which to stop, or None.

    Returns:
      An Outcome.
    """
    setting = spec.Setting(rules or specification.rules, bounds)
    protocol = _protocol(specification, setting)
    if stop_after is not None:
        protocol = _stopping(protocol, stop_after)
    began = time.perf_counter()
    verdict = minicheck.check_safety(protocol, spec.MAX_STATES)
    seconds = time.perf_counter() - began
    failures = {
        name: _labels(found["counterexample"])
        for name, found in verdict["properties"].items()
        if found["holds"] is False
    }
    return Outcome(
        verdict["reachable_states"],
        verdict["exhaustive"] and not (stop_after is not None and failures),
        seconds,
        failures,
        tuple(specification.invariants),
    )


def unreached(specification, bounds):
    """Look for the witnesses of a specification.

    Args:
      specification: The Specification.
      bounds: One bounds record.

    Returns:
      A tuple of the names of witnesses that no state meets.
    """
    avoids = {
        name: lambda fields, meets=meets: not meets(fields)
        for name, meets in specification.witnesses.items()
    }
    inverted = dataclasses.replace(specification, invariants=avoids)
    found = safety(inverted, bounds, stop_after=len(avoids)).failures
    return tuple(name for name in avoids if name not in found)


def progress(specification, bounds, rules=None):
    """Check that the goal stays reachable from every state.

    Args:
      specification: The Specification.
      bounds: One bounds record.
      rules: A changed rules record, or None for the specification's own.

    Returns:
      An Outcome with the single property "progress".
    """
    setting = spec.Setting(rules or specification.rules, bounds, progress=True)
    began = time.perf_counter()
    verdict = minicheck.check_liveness(_protocol(specification, setting))
    seconds = time.perf_counter() - began
    failures = {}
    if verdict["holds"] is False:
        failures["progress"] = _labels(verdict["counterexample"])
    states = verdict.get("reachable_states", 0)
    exhaustive = verdict["holds"] is not None
    return Outcome(states, exhaustive, seconds, failures, ("progress",))


def _protocol(specification, setting):
    initial = specification.initial(setting)

    canonical = specification.canonical or _same

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


def _same(state):
    return state


def _stopping(protocol, count):
    """Return a copy of a protocol that ends once enough invariants are broken."""
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
    """Check a specification under a mutation or a relaxation.

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
    """Tell whether a mutation came out as its registration says.

    Args:
      mutation: The Mutation.
      outcome: The Outcome of its run.

    Returns:
      A boolean; a relaxation must also be exhaustive.
    """
    if mutation.expect_failure:
        return bool(outcome.failures)
    return outcome.exhaustive and not outcome.failures
