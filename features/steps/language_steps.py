"""Steps for the operators' language."""

import dataclasses
import json
import pathlib
import re

from behave import then, when

from jujubeglade import query
from jujubeglade.core import rules
from jujubeglade.query import commands

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "LANGUAGE.md"


@when("the operator writes a payload of {depth:d} nested lists")
def step_nested(context, depth):
    context.parsed = query.parse(f"submit s {'[' * depth}{']' * depth} tenant a")


@when("the operator writes {text}")
def step_write(context, text):
    context.parsed = query.parse(text)


@then("the command is {record}")
def step_record(context, record):
    assert repr(context.parsed.ok()) == record, context.parsed


@then("each wrong command is answered with the lines below it")
def step_wrong(context):
    for block in context.text.split("\n\n"):
        text, expected = block.removeprefix("> ").split("\n", 1)
        error = query.parse(text).err()
        assert error is not None, text
        answer = f"{error.place}: {error.message}\n{error.remedy}"
        assert answer == expected, answer


@then("every example of docs/LANGUAGE.md parses, and each record has one")
def step_page(context):
    page = PAGE.read_text(encoding="utf-8")
    blocks = re.findall(r"^```\n(.*?)^```$", page, re.DOTALL | re.MULTILINE)
    parsed = {text: query.parse(text) for text in "".join(blocks).splitlines()}
    wrong = [text for text, outcome in parsed.items() if outcome.is_err()]
    assert not wrong, wrong
    shown = {type(outcome.ok()) for outcome in parsed.values()}
    record_types = {
        value for value in vars(commands).values() if dataclasses.is_dataclass(value)
    }
    assert shown == record_types, record_types - shown


@then("docs/LANGUAGE.md lists every rule with its choices")
def step_rules(context):
    page = PAGE.read_text(encoding="utf-8")
    listed = re.findall(r"^\| `(\w+)` *\| (.*?) *\| (.*?) *\|$", page, re.MULTILINE)
    expected = [
        (rule.name, ", ".join(f"`{choice}`" for choice in rule.choices), rule.doc)
        for rule in rules.RULES.values()
    ]
    assert listed == expected, listed


@then("the command makes the change {name} with {arguments}")
def step_change(context, name, arguments):
    actual = query.change_of(context.parsed.ok())
    assert actual == (name, json.loads(arguments)), actual


@then('the language refuses it with "{message}"')
def step_refused(context, message):
    assert context.parsed.err().message == message, context.parsed
