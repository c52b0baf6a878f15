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


@when('the model searches for the witnesses of "{name}"')
def step_witnesses(context, name):
    specification = _specification(name)
    bounds = specification.bounds["small"][0]
    context.unreached = check.unreached(specification, bounds)


@then("the model reaches every witness")
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
    (bounds,) = [bounds for bounds in specification.progress_bounds if bounds.outage]
    context.outcomes = [check.progress(specification, bounds)]


@when('the model checks "{name}" where "{change}"')
def step_mutated(context, name, change):
    specification = _specification(name)
    (mutation,) = [
        candidate
        for candidate in spec.MUTATIONS
        if (candidate.specification, candidate.name) == (name, change)
    ]
    context.outcomes = [check.mutated(specification, mutation)]


@then("the model is exhaustive and every property holds")
def step_holds(context):
    for outcome in context.outcomes:
        assert outcome.exhaustive, outcome
        assert not outcome.failures, outcome.failures


@then('the model finds "{name}" violated in {steps:d} steps')
def step_violated(context, name, steps):
    (outcome,) = context.outcomes
    failures = outcome.failures
    assert list(failures) == [name], failures
    assert len(failures[name]) == steps, failures


@then("the model's feature names every mutation and relaxation")
def step_all_listed(context):
    registry.specifications()
    text = _FEATURE.read_text(encoding="utf-8")
    missing = [
        mutation.name
        for mutation in spec.MUTATIONS
        if f"| {mutation.specification} | {mutation.name} |" not in text
    ]
    assert not missing, missing


@then('the model\'s actions name functions that exist, except "{name}"')
def step_functions_exist(context, name):
    missing = [
        action
        for _, action, place in registry.actions()
        if not registry.is_implemented(place)
    ]
    assert missing == [name], missing


@then('the model reports the function "{place}" as {status}')
def step_function_status(context, place, status):
    assert registry.is_implemented(place) is (status == "present")
