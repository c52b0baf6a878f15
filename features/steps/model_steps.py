"""Steps for the model checks."""

import pathlib

from behave import then, when

from jujubeglade.model import check, registry, spec

_FEATURE = pathlib.Path(__file__).parent.parent / "model.feature"


def _specification(name):
    registry.specifications()
    return spec.SPECIFICATIONS[name]


@when('the model checks the small bounds of "{name}"')
def step_small_bounds(context, name):
    specification = _specification(name)
    context.outcomes = [
        check.safety(specification, bounds) for bounds in specification.bounds["small"]
    ]


@when('the model looks for the witnesses of "{name}"')
def step_witnesses(context, name):
    specification = _specification(name)
    bounds = specification.bounds["small"][0]
    context.unreached = check.unreached(specification, bounds)


@then("the model finds them all")
def step_all_reached(context):
    assert context.unreached == (), context.unreached


@when('the model checks the progress of "{name}"')
def step_progress(context, name):
    specification = _specification(name)
    bounds = specification.progress_bounds[0]
    context.outcomes = [check.progress(specification, bounds)]


@when('the model checks the progress of "{name}" in an outage')
def step_progress_in_outage(context, name):
    specification = _specification(name)
    (bounds,) = [each for each in specification.progress_bounds if each.outage]
    context.outcomes = [check.progress(specification, bounds)]


@when('the model checks "{name}" where "{change}"')
def step_mutated(context, name, change):
    specification = _specification(name)
    (mutation,) = [
        each
        for each in spec.MUTATIONS
        if (each.specification, each.name) == (name, change)
    ]
    context.outcomes = [check.mutated(specification, mutation)]


@then("the model is exhaustive and every property holds")
def step_holds(context):
    for outcome in context.outcomes:
        assert outcome.exhaustive, outcome
        assert not outcome.failures, outcome.failures


@then('the model finds "{name}" broken in {steps:d} steps')
def step_broken(context, name, steps):
    (outcome,) = context.outcomes
    found = outcome.failures
    assert list(found) == [name], found
    assert len(found[name]) == steps, found


@then("the model's feature names every mutation and relaxation")
def step_all_listed(context):
    registry.specifications()
    text = _FEATURE.read_text(encoding="utf-8")
    missing = [
        each.name
        for each in spec.MUTATIONS
        if f"| {each.specification} | {each.name} |" not in text
    ]
    assert not missing, missing


@then('the model\'s actions name functions that exist, but for "{nowhere}"')
def step_functions_exist(context, nowhere):
    missing = [
        name
        for _, name, place in registry.actions()
        if not registry.is_implemented(place)
    ]
    assert missing == [nowhere], missing


@then('the model finds "{place}" to be {found}')
def step_function_found(context, place, found):
    assert registry.is_implemented(place) is (found == "there")
