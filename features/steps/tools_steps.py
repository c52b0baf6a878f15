"""Steps for the command line, run against stand-in entries."""

import asyncio
import contextlib
import os
import pathlib
import re
import shlex
import tempfile
import threading

from aiohttp import web
from behave import given, then, when
from typer import testing

from jujubeglade.tools import main

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
UUID = re.compile(r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}")


class StandInEntry:
    """An entry that gives the answers it was told, in order."""

    def __init__(self, answers):
        """Take pairs of a status, or `lost`, and a body."""
        self._answers = list(answers)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self.asked = []
        self.url = self._call(self._start())

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _start(self):
        self._runner = web.ServerRunner(web.Server(self._answer, access_log=None))
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        return f"http://{host}:{port}"

    async def _answer(self, request):
        body = await request.json() if request.can_read_body else {}
        self.asked.append((f"{request.method} {request.path}", body.get("id", "")))
        # The last answer stands for all that follow.
        status, text = self._answers[0]
        if len(self._answers) > 1:
            del self._answers[0]
        if status == "lost":
            request.transport.abort()
            return web.Response()
        return web.Response(status=int(status), text=text)

    def close(self):
        """Stop answering."""
        self._call(self._runner.cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


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
    entry = StandInEntry((row["status"], row["body"]) for row in context.table)
    closers(context).append(entry.close)
    context.stand_ins = [*getattr(context, "stand_ins", ()), entry]


def run(context, arguments, text=None):
    entries = [entry.url for entry in getattr(context, "stand_ins", ())]
    options = [word for url in entries for word in ("--entry", url)]
    with contextlib.chdir(getattr(context, "folder", os.curdir)):
        context.ran = testing.CliRunner().invoke(
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
    found = UUID.sub("ID", context.ran.output).rstrip("\n")
    assert found == context.text, (found, context.ran.exception)
    assert context.ran.exit_code == status, context.ran.exit_code


@then("stand-in entry {number:d} was asked")
def step_asked(context, number):
    expected = [(row["request"], row["id"]) for row in context.table]
    found = context.stand_ins[number - 1].asked
    assert found == expected, found
