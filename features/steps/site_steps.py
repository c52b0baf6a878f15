"""Steps for what clients and operators ask of a whole site in this process."""

import asyncio
import io
import json
import re
import tempfile

import aiohttp
from aiohttp import web
from behave import given, then, when
from typer import testing

from jujubeglade.bench import loopback
from jujubeglade.core import journal, log, ticket
from jujubeglade.entry import http_server
from jujubeglade.tools import main

_WAIT_S = 60
_SETTLE_S = 25
_POLL_S = 0.05
_TOKENS = loopback.CALLER_TOKENS | loopback.OPERATOR_TOKENS
_PATTERNS = (
    (re.compile(r"[0-9a-f]{11}-[0-9a-f]{10}\.[\w-]+\.[0-9a-f]{16}"), "ID"),
    (re.compile(r"[0-9a-f]{11}-[0-9a-f]{8,10}"), "KEY"),
    (re.compile(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d(\.\d+)?"), "TIME"),
    (re.compile(r"/[0-9a-f]{10}"), "/LIFE"),
    (re.compile(r"record \d+"), "record N"),
    (re.compile(r"127\.0\.0\.1:\d+.*"), "HOST"),
    (re.compile(r" +"), " "),
)


def run(context, coroutine):
    return context.runner.run(asyncio.wait_for(coroutine, _WAIT_S))


def normal(text):
    for pattern, name in _PATTERNS:
        text = pattern.sub(name, text)
    return text.strip()


async def open_site(context, entries, workers):
    context.site_block = loopback.start(workers, entries)
    context.site = await context.site_block.__aenter__()
    context.session = aiohttp.ClientSession()


async def close_site(context):
    await context.session.close()
    await context.site_block.__aexit__(None, None, None)


async def ask(context, who, request, entry=0):
    method, path, *body = request.split(" ", 2)
    for name, value in context.named.items():
        path = path.replace(f"<{name}>", value)
        body = [text.replace(f"<{name}>", value) for text in body]
    headers = {"Authorization": f"Bearer {_TOKENS.get(who, who)}"}
    url = context.site.entry_urls[entry] + path
    async with context.session.request(
        method, url, data="".join(body).encode(), headers=headers
    ) as answer:
        return answer.status, answer.headers, await answer.read()


async def command(context, command_id, text, who="duty", entry=0):
    body = json.dumps({"id": command_id, "text": text})
    _, _, answer = await ask(context, who, f"POST /v1/commands {body}", entry)
    return json.loads(answer)


def fill(context, text):
    for name, value in context.named.items():
        text = text.replace(f"<{name}>", value)
    return text


def new_id(context):
    wall_ms = context.site.entries[0].clock.wall_ms()
    context.count += 1
    return f"{wall_ms:x}-{context.count:010x}"


@given("a site of {entries:d} entries and {workers:d} workers")
@given("a site of {entries:d} entry and {workers:d} workers")
def step_site(context, entries, workers):
    context.runner = asyncio.Runner()
    context.closers = [context.runner.close]
    context.named = {}
    context.count = 0
    context.logged = io.StringIO()
    log.setup("info", context.logged, "test", "site")
    context.closers.append(lambda: log.setup("error", io.StringIO(), "test", "over"))
    run(context, open_site(context, entries, workers))
    context.closers.append(lambda: run(context, close_site(context)))


@given("a ticket <{name}> of the site")
def step_ticket(context, name):
    _, _, body = run(context, ask(context, "workshop", "POST /v1/tickets {}"))
    context.named[name] = json.loads(body)["tickets"][0]
    key = ticket.parse(loopback.CLUSTER_KEY.encode(), context.named[name]).unwrap().key
    context.named[f"{name}-key"] = key


@given("the job <{name}> of the site: {body}")
def step_job(context, name, body):
    step_ticket(context, name)
    text = body.replace("{", f'{{"id": "{context.named[name]}", ', 1)
    run(context, ask(context, "workshop", f"POST /v1/jobs {text}"))


@given("a client of the site waits for {body}")
def step_wait(context, body):
    run(context, begin_waiting(context, body))


async def begin_waiting(context, body):
    asked = ask(context, "workshop", f"POST /v1/jobs {body}")
    context.waiting = asyncio.create_task(asked)
    while not any(each.started for each in context.site.upstreams):
        await asyncio.sleep(_POLL_S)


@then('the waiting client of the site is answered "{state}"')
def step_waited(context, state):
    _, _, body = run(context, context.waiting)
    assert json.loads(body)["state"] == state, body


@then("the site answers")
def step_answers(context):
    found = []
    for row in context.table:
        status, _, body = run(context, ask(context, row["as"], row["request"]))
        answer = json.loads(body)
        shown = [str(answer.get(name, "")) for name in ("kind", "outcome", "place")]
        found.append([row["as"], row["request"], str(status), *shown])
    assert found == [list(row) for row in context.table], "\n".join(map(str, found))


@then("the site answers {who} {request} with {status:d} and {expected}")
def step_answer(context, who, request, status, expected):
    found, _, body = run(context, ask(context, who, request))
    answer = json.loads(body)
    context.answer = answer
    if "refusal" in answer:
        context.named["refusal"] = answer["refusal"]
    wanted = json.loads(expected)
    shown = {name: answer.get(name) for name in wanted}
    assert (found, shown) == (status, wanted), (found, answer)


@then("the site refuses a body of {size:d} bytes")
def step_large(context, size):
    body = json.dumps({"tasks": "x" * size})
    found, _, answer = run(context, ask(context, "workshop", f"POST /v1/jobs {body}"))
    assert (found, json.loads(answer)["kind"]) == (413, "too_large"), answer


@then('the site\'s operator runs "{text}"')
def step_run(context, text):
    expected = [normal(line) for line in context.text.splitlines()]
    answer = run(context, command(context, new_id(context), fill(context, text)))
    lines = answer.get("lines") or [answer["message"], answer["remedy"]]
    found = [normal(line) for line in [*lines, answer["status"]]]
    wanted = [fill(context, line) for line in expected]
    assert found == [normal(line) for line in wanted], "\n" + "\n".join(found)


@when('entry {number:d} is told "{text}" as command {command_id}')
def step_told(context, number, text, command_id):
    context.answer = run(
        context,
        command(context, fill(context, command_id), text, entry=number - 1),
    )
    if len(context.answer.get("lines", ())) > 1:
        context.named["submitted"] = context.answer["lines"][1].removeprefix("id ")


@given("a command id <{name}> of now")
def step_command_id(context, name):
    context.named[name] = new_id(context)


@when('entries 1 and 2 are told "{first}" and "{second}" at once')
def step_race(context, first, second):
    run(context, race(context, first, second))


async def race(context, first, second):
    context.raced = await asyncio.gather(
        command(context, "r-1", first, entry=0),
        command(context, "r-2", second, entry=1),
    )


@then("one of them is done, or both agree on who came first")
def step_raced(context):
    # A restore that came first changes nothing, and the drain after it is applied.
    drained, restored = context.raced
    assert drained["status"] == "in_force", drained
    lost = restored["status"] == "lost" and "command r-1" in restored["message"]
    unchanged = restored.get("lines") == ["unchanged: restore zone west if revision 1"]
    assert lost or unchanged, restored


@then("the operator reads {expected}")
def step_reads(context, expected):
    wanted = json.loads(fill(context, expected))
    shown = {name: context.answer.get(name) for name in wanted}
    assert shown == wanted, context.answer


@then("the submitted id is answered to the operator again")
def step_reads_again(context):
    assert context.answer["lines"][1] == f"id {context.named['submitted']}"


async def until(context, text, line):
    end = asyncio.get_running_loop().time() + _SETTLE_S
    found = []
    while line not in found and asyncio.get_running_loop().time() < end:
        answer = await command(context, new_id(context), fill(context, text))
        found = [normal(each) for each in answer.get("lines", ())]
        await asyncio.sleep(_POLL_S)
    assert line in found, "\n".join(found)


@then('the answer to "{text}" comes to hold: {line}')
def step_comes(context, text, line):
    run(context, until(context, text, normal(fill(context, line))))


@then("{count:d} tasks were started at the site")
def step_started(context, count):
    found = sum(len(each.started) for each in context.site.upstreams)
    assert found == count, found


@when("the site's store goes down")
def step_store_down(context):
    run(context, context.site.store.close())


async def page(context, port, path):
    async with context.session.get(f"http://127.0.0.1:{port}{path}") as answer:
        return answer.status, await answer.text()


@then("the metrics of the {role} show")
def step_metrics(context, role):
    part = context.site.entries[0] if role == "entry" else context.site.agents[0]
    port = part.metrics_port if role == "entry" else part.http_port
    _, text = run(context, page(context, port, "/metrics"))
    lines = text.splitlines()
    missing = [row["line"] for row in context.table if row["line"] not in lines]
    assert not missing, text


@then("the log of the site holds")
def step_log(context):
    text = normal(context.logged.getvalue())
    found = [row["event"] for row in context.table if row["event"] in text]
    assert found == [row["event"] for row in context.table], text


@then("the log of the site holds nothing of its tasks")
def step_log_quiet(context):
    assert "-0.1" not in context.logged.getvalue()


@then("{count:d} connections are served by the site and one more is refused")
def step_connections(context, count):
    run(context, connections(context, count))


async def connections(context, count):
    url = context.site.entry_urls[0] + "/health"
    sessions = [aiohttp.ClientSession() for _ in range(count + 1)]
    statuses = []
    for session in sessions:
        async with session.get(url) as answer:
            statuses.append(answer.status)
    for session in sessions:
        await session.close()
    assert statuses == [200] * count + [503], statuses


def verify(context):
    mapping = {
        "role": "agent",
        "name": "auditor",
        "zone": "north",
        "rack": "r1",
        "cluster_key": loopback.CLUSTER_KEY,
        "stream": "127.0.0.1:0",
        "http": "127.0.0.1:0",
        "announce": "127.0.0.1:0",
        "entries": {"entry-1": "127.0.0.1:1"},
    }
    with tempfile.NamedTemporaryFile("w", suffix=".json5") as file:
        json.dump(mapping, file)
        file.flush()
        url = context.site.entry_urls[0]
        words = ["--entry", url, "--token", loopback.OPERATOR_TOKENS["duty"]]
        words.extend(["audit", "verify", "--settings", file.name])
        return testing.CliRunner().invoke(main.app, words)


@then("the site's audit is verified by the command line with status {status:d}")
def step_verify_site(context, status):
    context.ran = run(context, asyncio.to_thread(verify, context))
    assert context.ran.exit_code == status, context.ran.output


@then('the command line says "{text}"')
def step_said(context, text):
    assert text in context.ran.output, context.ran.output


@when("a segment of the site's audit is overwritten")
def step_overwrite(context):
    run(context, overwrite(context.site.entries[0].store))


async def overwrite(held):
    (segment, *_) = (await held.get_prefix("jujubeglade/records/")).unwrap()
    written = await held.compare_and_swap(segment.key, b"x", segment.mod_revision)
    written.unwrap()


@then("the site's audit comes to hold the answer of {name}")
def step_held(context, name):
    run(context, until_held(context, fill(context, name)))


async def until_held(context, key):
    found = ()
    while not any(
        (record.kind, record.subject) == (journal.Kind.ANSWERED, key)
        for record in found
    ):
        await asyncio.sleep(_POLL_S)
        _, _, body = await ask(context, "duty", "GET /v1/audit")
        found = journal.unpack(body).unwrap()


@given("an HTTP server that gives {first_request_ms:d} ms for the first request")
def step_server(context, first_request_ms):
    context.runner = asyncio.Runner()
    context.closers = [context.runner.close]
    context.server = http_server.Server(web.Application(), lambda: 9, first_request_ms)
    run(context, context.server.start("127.0.0.1", 0))
    context.closers.append(lambda: run(context, context.server.close()))


@when('a connection to the HTTP server sends "{head}" and no more')
def step_head(context, head):
    run(context, send_head(context, head))


async def send_head(context, head):
    opened = await asyncio.open_connection("127.0.0.1", context.server.port)
    context.reader, context.writer = opened
    context.writer.write(f"{head}\r\n".encode())
    context.closers.append(context.writer.close)


@then("the HTTP server closes it unanswered")
def step_unanswered(context):
    try:
        answer = run(context, context.reader.read())
    except ConnectionResetError:
        answer = b""
    assert answer == b"", answer
