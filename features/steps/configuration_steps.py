"""Steps for the configuration document."""

import json

from behave import then, when

from jujubeglade.core import configuration


def apply(context, change, command_id, by="ana", expected=None):
    document = getattr(context, "document", configuration.Document())
    text = configuration.describe(change)
    command = configuration.Command(command_id, text, by, 0, expected)
    context.answer = configuration.apply(document, change, command)
    if context.answer.is_ok():
        context.document = context.answer.ok_value


@when("these configuration commands are applied:")
def step_commands(context):
    for row in context.table:
        change = configuration.build(row["change"], json.loads(row["fields"]))
        apply(context, change.unwrap(), row["id"], row["by"])


@when('"{name}" {fields} expecting revision {revision:d} is applied as "{command_id}"')
def step_expecting(context, name, fields, revision, command_id):
    change = configuration.build(name, json.loads(fields)).unwrap()
    apply(context, change, command_id, expected=revision)


@when('{count:d} configuration commands on other subjects follow a drain of "{zone}"')
def step_many(context, count, zone):
    apply(context, configuration.DrainZone(zone), "first")
    for number in range(count):
        apply(context, configuration.SetLimit(f"l{number}", 1), f"id{number}")


@when('"{name}" {fields} is built and applied')
def step_build(context, name, fields):
    context.answer = configuration.build(name, json.loads(fields))
    if context.answer.is_ok():
        apply(context, context.answer.ok_value, "c1")


@when(
    "the configuration bytes {data} are read while the reader has revision {revision:d}"
)
def step_read(context, data, revision):
    context.answer = configuration.parse(data.encode(), revision)


@when("configuration bytes that are nested {depth:d} deep are read")
def step_read_nested(context, depth):
    context.answer = configuration.parse(b"[" * depth)


@then("the configuration outcomes are:")
def step_outcomes(context):
    attributes = ("command_id", "status", "revision", "subject")
    actual = [
        [str(getattr(outcome, attribute)) for attribute in attributes]
        for outcome in context.document.outcomes
    ]
    assert actual == [list(row) for row in context.table], actual


@then('the configuration drains zones "{zones}" and workers "{workers}"')
@then('the configuration drains zones "" and workers "{workers}"')
def step_drained(context, workers, zones=""):
    assert context.document.drained_zones == set(zones.split())
    assert context.document.drained_workers == set(workers.split())


@then('the configuration chooses the rules "{rules}"')
def step_rules(context, rules):
    actual = " ".join(
        f"{name}={value}" for name, value in context.document.rules.items()
    )
    assert actual == rules, actual


@then("the configuration is equal after writing and reading")
def step_round_trip(context):
    data = configuration.dump(context.document)
    revision = context.document.revision
    assert configuration.parse(data, revision).unwrap() == context.document


@then('the configuration command is answered "{expected}"')
def step_answers(context, expected):
    answer = context.answer
    actual = (
        answer.ok_value.outcomes[-1].status
        if answer.is_ok()
        else answer.err_value.message
    )
    assert actual == expected, actual


@then("the configuration keeps {count:d} outcomes")
def step_keeps(context, count):
    assert len(context.document.outcomes) == count


@then("the configuration refuses it with the remedy: {remedy}")
def step_refuses(context, remedy):
    assert context.answer.is_err(), context.answer
    assert context.answer.err_value.remedy == remedy, context.answer
