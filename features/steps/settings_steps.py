"""Steps for the settings."""

import importlib.util
import operator
import pathlib

from behave import given, then, when

from jujubeglade.core import settings, settings_page

ROOT = pathlib.Path(__file__).resolve().parents[2]


@given('the settings file "{name}"')
def step_file(context, name):
    context.outcome = settings.loads(context.text.encode(), name)


@when('the settings file "{name}" is loaded')
def step_load(context, name):
    context.outcome = settings.load(name)


@then("the settings problems are")
def step_problems(context):
    problems = context.outcome.err() or ()
    actual = [
        f"{problem.place}: {problem.message}; {problem.remedy}" for problem in problems
    ]
    expected = context.text.splitlines()
    assert actual == expected, "\n".join(actual)


@then("there are no settings problems")
def step_no_problems(context):
    assert context.outcome.is_ok(), context.outcome.err()


@then("the settings have")
def step_have(context):
    loaded = context.outcome.ok()
    for row in context.table:
        value = operator.attrgetter(row["setting"])(loaded)
        assert str(value) == row["value"], (row["setting"], value)


@then("the text of the settings shows no secret")
def step_no_secret(context):
    assert context.outcome.ok().cluster_key not in repr(context.outcome.ok())


@then("docs/SETTINGS.md is the rendered page of the settings")
def step_page(context):
    page = (ROOT / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
    assert page == settings_page.render(), "run make docs"


@then("every settings file under examples is valid and as generated")
def step_examples(context):
    script = ROOT / "examples" / "generate.py"
    spec = importlib.util.spec_from_file_location("generate", script)
    generate = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(generate)
    expected = {
        ROOT / "examples" / folder / name: text
        for folder, name, text in generate.files()
    }
    paths = set((ROOT / "examples").glob("*/*.json5"))
    assert paths == set(expected), paths ^ set(expected)
    for path, text in expected.items():
        assert path.read_text(encoding="utf-8") == text, path
        assert settings.load(path).is_ok(), settings.load(path)
