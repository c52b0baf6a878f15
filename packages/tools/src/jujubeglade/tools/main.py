"""The `jujubeglade` command.

The functions here only read the arguments; `jobs`, `operations`, `checks` and
`explain` carry the commands out. Other packages add commands by entry points of the
group `jujubeglade.commands`.
"""

import asyncio
import dataclasses
import functools
import importlib.metadata
import sys
from typing import Annotated

import typer

from jujubeglade.core import settings
from jujubeglade.tools import checks, client, explain, jobs, operations, report

_ENTRY_POINT_GROUP = "jujubeglade.commands"
_DEFAULT_ENTRY = "http://127.0.0.1:8080"

app = typer.Typer(
    name="jujubeglade",
    help="Submit jobs, operate and audit jujubeglade.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
audit_app = typer.Typer(help="Audit records.", no_args_is_help=True)
app.add_typer(audit_app, name="audit")


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """The options that stand before a command.

    Attributes:
      entries: A tuple of strings, base URLs.
      token: A string.
      report: A Report.
    """

    entries: tuple
    token: str
    report: report.Report


@app.callback()
def common(
    context: typer.Context,
    entry: Annotated[
        list[str] | None,
        typer.Option(
            help="Base URL of an entry; repeat the option to add fallbacks.",
            envvar="JUJUBEGLADE_ENTRY",
        ),
    ] = None,
    token: Annotated[
        str,
        typer.Option(help="Token of a caller or operator.", envvar="JUJUBEGLADE_TOKEN"),
    ] = "",
    as_json: Annotated[
        bool, typer.Option("--json", help="Print answers as lines of JSON.")
    ] = False,
):
    """Submit jobs, operate and audit jujubeglade."""
    entries = tuple(entry or (_DEFAULT_ENTRY,))
    context.obj = Options(entries, token, report.Report(as_json))


@app.command()
def submit(
    context: typer.Context,
    file: Annotated[
        str, typer.Argument(help="Job file in JSON; - reads standard input.")
    ],
    job_id: Annotated[
        str, typer.Option("--id", help="Id of an earlier submission of this job.")
    ] = "",
    wait_ms: Annotated[
        int, typer.Option(min=0, help="Longest wait for the job to end, in ms.")
    ] = jobs.WAIT_MS,
):
    """Submit a job; the id shown makes it safe to submit again."""
    submission = jobs.read_submission(file)
    if submission.is_err():
        raise typer.Exit(context.obj.report.refusal(submission.err()))
    body = submission.ok()
    if job_id:
        body["id"] = job_id
    _run_with_client(context, jobs.submit, body, wait_ms)


@app.command()
def status(
    context: typer.Context,
    job: Annotated[str, typer.Argument(help="Id of the submission.")],
    wait: Annotated[bool, typer.Option(help="Wait until the job is done.")] = False,
):
    """Show the answer of a job."""
    _run_with_client(context, functools.partial(jobs.status, wait=wait), job)


@app.command()
def cancel(
    context: typer.Context,
    job: Annotated[str, typer.Argument(help="Id of the submission.")],
):
    """Cancel a job."""
    _run_with_client(context, jobs.cancel, job)


@app.command()
def run(
    context: typer.Context,
    text: Annotated[str, typer.Argument(help="Command in the operators' language.")],
    command_id: Annotated[
        str, typer.Option("--id", help="Id of an earlier attempt at this command.")
    ] = "",
):
    """Run an operator's command; the id shown makes it safe to run again."""
    _run_with_client(context, operations.run, text, command_id)


@app.command()
def shell(context: typer.Context):
    """Run operators' commands line by line."""
    _run_with_client(context, operations.shell, operations.read_lines())


@app.command()
def check(
    context: typer.Context,
    files: Annotated[list[str], typer.Argument(help="Settings files.")],
):
    """Check settings files and show every problem."""
    raise typer.Exit(checks.check_settings(files, context.obj.report))


@app.command("explain")
def explain_job(
    context: typer.Context,
    job: Annotated[str, typer.Argument(help="Id of the job.")],
):
    """Show the timeline of a request from log lines on standard input."""
    is_logged = explain.show(job, sys.stdin, context.obj.report)
    raise typer.Exit(report.Exit.DONE if is_logged else report.Exit.UNKNOWN)


@audit_app.command()
def verify(
    context: typer.Context,
    file: Annotated[
        str,
        typer.Option("--settings", help="Settings file that holds the cluster key."),
    ],
):
    """Verify the hash chains of the audit records and list every gap."""
    loaded = settings.load(file)
    if loaded.is_err():
        raise typer.Exit(checks.check_settings([file], context.obj.report))
    key = loaded.ok().cluster_key.encode()
    _run_with_client(context, checks.verify_audit, key)


def _run_with_client(context, function, *arguments):
    """Call a coroutine function with a client and a report; exit with its status."""
    options = context.obj

    async def call():
        async with client.open_client(options.entries, options.token) as a_client:
            return await function(a_client, options.report, *arguments)

    raise typer.Exit(int(asyncio.run(call())))


def _add_entry_points(arguments):
    """Add the commands of other packages, but load only the one on the command line.

    The others get a placeholder, so that the help lists them.
    """
    for point in importlib.metadata.entry_points(group=_ENTRY_POINT_GROUP):
        if point.name in arguments:
            app.command(point.name)(_exit_with_result(point.load()))
        else:
            app.command(point.name, help=f"Provided by {point.module}.")(lambda: None)


def _exit_with_result(function):
    """Wrap a function so that the program exits with the status it returns."""

    @functools.wraps(function)
    def command(*arguments, **options):
        raise typer.Exit(int(function(*arguments, **options) or 0))

    return command


def main():
    """Run the command line."""
    _add_entry_points(sys.argv[1:])
    app()


if __name__ == "__main__":
    main()
