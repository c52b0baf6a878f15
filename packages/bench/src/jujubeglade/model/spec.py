"""The records and registries that all specifications share.

A specification is a small state machine: states are named tuples, and one function
stands for each action.  The mechanisms of the design are the fields of a *rules*
record, all of them on.  A mutation switches one off and must give a counterexample;
if it gives none, the mechanism is unneeded or the model too small.  A relaxation
switches off what the model shows to be unneeded for safety, and must give none.

    @spec.mutation("ownership", "retry on a timeout")
    def _retry_on_timeout(rules):
        return dataclasses.replace(rules, resolve_before_retry=False)
"""

import dataclasses
import typing

MAX_STATES = 4_000_000
#: Of an action that the product does without.
NOWHERE = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """One action of a specification.

    Attributes:
      name: The label's first word in a counterexample.
      implemented_by: Where the action is carried out, as MODULE:FUNCTION or
        MODULE:CLASS.METHOD; of a failure what brings it about in tests; NOWHERE.
      apply: A function of (setting, state) that yields (label, next state).
    """

    name: str
    implemented_by: str
    apply: typing.Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """What one run of a specification is bound to.

    Attributes:
      rules: The mechanisms that are on.
      bounds: The sizes of the run.
      progress: Whether failures may end, for the check of progress.
    """

    rules: typing.Any
    bounds: typing.Any
    progress: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Specification:
    """One specification with all that a run of it needs.

    Attributes:
      name: The name that mutations and the command use.
      rules: The rules record with every mechanism on.
      bounds: A dict of named bounds to tuples of bounds records.
      mutation_bounds: The bounds under which the mutations run.
      progress_bounds: The bounds under which progress is checked.
      actions: The actions, in a fixed order.
      initial: A function of a setting that returns the first state.
      invariants: A dict of property names to predicates over a state's fields.
      goal: A predicate over a state's fields that progress must keep reachable.
      witnesses: A dict of names to predicates, each of which some state must meet; they
        show that the properties do not hold for want of behaviour.
      canonical: A function from a state to the one that stands for all states like it,
        or None.
    """

    name: str
    rules: typing.Any
    bounds: dict
    mutation_bounds: typing.Any
    progress_bounds: tuple
    actions: tuple
    initial: typing.Callable
    invariants: dict
    goal: typing.Callable
    witnesses: dict
    canonical: typing.Callable | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """A named change of one specification's rules.

    Attributes:
      specification: The name of the specification that is changed.
      name: What is changed, in words.
      change: A function from rules to rules.
      expect_failure: Whether a counterexample must be found.
      bounds: The bounds of its run, or None for the specification's usual ones.
    """

    specification: str
    name: str
    change: typing.Callable
    expect_failure: bool
    bounds: typing.Any = None


SPECIFICATIONS = {}
MUTATIONS = []


def register(specification):
    """Add a specification to the registry.

    Args:
      specification: The Specification to add.

    Returns:
      The same specification.
    """
    SPECIFICATIONS[specification.name] = specification
    return specification


def action(table, name, implemented_by):
    """Return a decorator that files a function as an action.

    Args:
      table: The list that receives the action.
      name: The name of the action.
      implemented_by: Where it is carried out; see `Action`.
    """

    def decorate(function):
        table.append(Action(name, implemented_by, function))
        return function

    return decorate


def mutation(specification, name, bounds=None):
    """Return a decorator for a change that must give a counterexample.

    Args:
      specification: The name of the specification that is changed.
      name: What is changed, in words.
      bounds: The bounds of its run, or None for the specification's usual ones.
    """
    return _change(specification, name, True, bounds)


def relaxation(specification, name):
    """Return a decorator for a change that must leave every property intact.

    Args:
      specification: The name of the specification that is changed.
      name: What is changed, in words.
    """
    return _change(specification, name, False, None)


def _change(specification, name, expect_failure, bounds):
    def decorate(function):
        change = Mutation(specification, name, function, expect_failure, bounds)
        MUTATIONS.append(change)
        return function

    return decorate
