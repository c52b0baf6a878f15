"""Steps for the verification of audit records by the command line."""

import pathlib

from behave import given, then, when
from features import stand_in_entry
from typer import testing

from jujubeglade.core import clock, journal, settings
from jujubeglade.tools import main

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS = ROOT / "examples" / "association" / "entry-1.json5"


def records():
    key = settings.load(SETTINGS).unwrap().cluster_key.encode()
    agent_journal = journal.open_journal(
        "agent-3", "ab12", clock.ManualClock(5), key=key
    )
    for job in ("job-1", "job-2"):
        agent_journal.record(journal.Kind.ACCEPTED, job, tenant="agencies", tasks=3)
    return agent_journal.pending(max_records=10, max_bytes=65536)


CASES = {
    "that are complete": records,
    "without the first record": lambda: records()[1:],
    "without any record": tuple,
}


@given("audit records of agent-3 {case} at a stand-in entry")
def step_records(context, case):
    body = journal.pack(CASES[case]())
    context.entry = stand_in_entry.StandInEntry([(200, body)])
    context.closers = [context.entry.close]


@when("the command line verifies the audit records")
def step_verify(context):
    words = ["--entry", context.entry.url, "audit", "verify", "--settings"]
    context.command_result = testing.CliRunner().invoke(
        main.app, [*words, str(SETTINGS)]
    )


@then('the audit command exits with {status:d} and prints "{lines}"')
def step_printed(context, status, lines):
    actual = " / ".join(context.command_result.output.splitlines())
    assert (context.command_result.exit_code, actual) == (status, lines), actual
