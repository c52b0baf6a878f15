"""Steps for the command line, run against stand-in entries."""

import contextlib
import os
import pathlib
import re
import shlex
import tempfile

from behave import given, then, when
from features import stand_in_entry
from typer import testing

from jujubeglade.tools import main

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
COMMAND_ID = re.compile(r"[0-9a-f]{11}-[0-9a-f]{10}")


def closers(context):
    if not hasattr(context, "closers"):
        context.closers = []
    return context.closers


@given('a job file "{name}" for the command line')
def step_job_file(context, name):
    if not hasattr(context, "folder"):
        folder = tempfile.TemporaryDirectory()
        closers(context).append(folder.cleanup)
        context.folder = folder.name
    (pathlib.Path(context.folder) / name).write_text(context.text, encoding="utf-8")


@given("a stand-in entry that answers")
def step_entry(context):
    answers = [(row["status"], row["body"].encode()) for row in context.table]
    entry = stand_in_entry.StandInEntry(answers)
    closers(context).append(entry.close)
    context.stand_ins = [*getattr(context, "stand_ins", ()), entry]


def run(context, arguments, text=None):
    urls = [entry.url for entry in getattr(context, "stand_ins", ())]
    options = [word for url in urls for word in ("--entry", url)]
    with contextlib.chdir(getattr(context, "folder", os.curdir)):
        context.command_result = testing.CliRunner().invoke(
            main.app, [*options, "--token", "secret", *arguments], input=text
        )


@when('the command line runs "{line}" with the input')
def step_run_input(context, line):
    run(context, shlex.split(line), context.text)


@when('the command line runs "{line}"')
def step_run(context, line):
    run(context, shlex.split(line))


@when("the command line checks the files of examples")
def step_check(context):
    run(context, ["check", *map(str, sorted(EXAMPLES.glob("*/*.json5")))])


@then("the command line exits with {status:d} and prints")
def step_exit(context, status):
    actual = COMMAND_ID.sub("ID", context.command_result.output).rstrip("\n")
    assert actual == context.text, (actual, context.command_result.exception)
    assert context.command_result.exit_code == status, context.command_result.exit_code


@then("stand-in entry {number:d} received")
def step_received(context, number):
    expected = [(row["request"], row["id"]) for row in context.table]
    actual = context.stand_ins[number - 1].requests
    assert actual == expected, actual
