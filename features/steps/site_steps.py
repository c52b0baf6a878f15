"""Steps for the requests of clients and operators to a site in this process."""

import asyncio
import io
import json
import re
import socket
import tempfile

import aiohttp
from aiohttp import web
from behave import given, then, when
from typer import testing

from jujubeglade.bench import loopback
from jujubeglade.core import journal, log, ticket
from jujubeglade.entry import http_server
from jujubeglade.tools import main

_STEP_TIMEOUT_S = 60
_EVENTUALLY_S = 25
_POLL_S = 0.05
_TOKENS = loopback.CALLER_TOKENS | loopback.OPERATOR_TOKENS
#: Parts of a text that differ between runs, each with its placeholder.
_PLACEHOLDERS = (
    (re.compile(r"[0-9a-f]{11}-[0-9a-f]{10}\.[\w-]+\.[0-9a-f]{16}"), "ID"),
    (re.compile(r"[0-9a-f]{11}-[0-9a-f]{8,10}"), "KEY"),
    (re.compile(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d(\.\d+)?"), "TIME"),
    (re.compile(r"/[0-9a-f]{10}"), "/INCARNATION"),
    (re.compile(r"record \d+"), "record N"),
    (re.compile(r"127\.0\.0\.1:\d+.*"), "HOST"),
    (re.compile(r" +"), " "),
)


def run(context, coroutine):
    return context.runner.run(asyncio.wait_for(coroutine, _STEP_TIMEOUT_S))


def normalize(text):
    for pattern, placeholder in _PLACEHOLDERS:
        text = pattern.sub(placeholder, text)
    return text.strip()


async def open_site(context, entries, workers):
    context.site_context = loopback.start(workers, entries)
    context.site = await context.site_context.__aenter__()
    context.session = aiohttp.ClientSession()


async def close_site(context):
    await context.session.close()
    await context.site_context.__aexit__(None, None, None)


async def ask(context, who, request, entry=0):
    method, path, *body = request.split(" ", 2)
    for name, value in context.ids.items():
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


def fill_in(context, text):
    for name, value in context.ids.items():
        text = text.replace(f"<{name}>", value)
    return text


def new_id(context):
    wall_ms = context.site.entries[0].clock.wall_ms()
    context.last_id += 1
    return f"{wall_ms:x}-{context.last_id:010x}"


@given("a site of {entries:d} entries and {workers:d} workers")
@given("a site of {entries:d} entry and {workers:d} workers")
def step_site(context, entries, workers):
    context.runner = asyncio.Runner()
    context.closers = [context.runner.close]
    context.ids = {}
    context.last_id = 0
    context.log_stream = io.StringIO()
    log.setup("info", context.log_stream, "test", "site")
    context.closers.append(lambda: log.setup("error", io.StringIO(), "test", "over"))
    run(context, open_site(context, entries, workers))
    context.closers.append(lambda: run(context, close_site(context)))


@given("a ticket <{name}> of the site")
def step_ticket(context, name):
    _, _, body = run(context, ask(context, "workshop", "POST /v1/tickets {}"))
    context.ids[name] = json.loads(body)["tickets"][0]
    key = ticket.parse(loopback.CLUSTER_KEY.encode(), context.ids[name]).unwrap().key
    context.ids[f"{name}-key"] = key


@given("the job <{name}> of the site: {body}")
def step_job(context, name, body):
    step_ticket(context, name)
    text = body.replace("{", f'{{"id": "{context.ids[name]}", ', 1)
    run(context, ask(context, "workshop", f"POST /v1/jobs {text}"))


@given("a client of the site waits for {body}")
def step_wait(context, body):
    run(context, submit_and_wait_for_start(context, body))


async def submit_and_wait_for_start(context, body):
    submission = ask(context, "workshop", f"POST /v1/jobs {body}")
    context.submission_task = asyncio.create_task(submission)
    while not any(upstream.started for upstream in context.site.upstreams):
        await asyncio.sleep(_POLL_S)


@then('the waiting client of the site is answered "{state}"')
def step_waited(context, state):
    _, _, body = run(context, context.submission_task)
    assert json.loads(body)["state"] == state, body


@then("the site answers")
def step_answers(context):
    actual = []
    for row in context.table:
        status, _, body = run(context, ask(context, row["as"], row["request"]))
        answer = json.loads(body)
        fields = [str(answer.get(name, "")) for name in ("kind", "outcome", "place")]
        actual.append([row["as"], row["request"], str(status), *fields])
    assert actual == [list(row) for row in context.table], "\n".join(map(str, actual))


@then("the site answers {who} {request} with {status:d} and {expected}")
def step_answer(context, who, request, status, expected):
    actual_status, _, body = run(context, ask(context, who, request))
    answer = json.loads(body)
    context.answer = answer
    if "refusal" in answer:
        context.ids["refusal"] = answer["refusal"]
    expected_fields = json.loads(expected)
    fields = {name: answer.get(name) for name in expected_fields}
    assert (actual_status, fields) == (status, expected_fields), (actual_status, answer)


@then("the site refuses a body of {size:d} bytes")
def step_large(context, size):
    body = json.dumps({"tasks": "x" * size})
    status, _, answer = run(context, ask(context, "workshop", f"POST /v1/jobs {body}"))
    assert (status, json.loads(answer)["kind"]) == (413, "too_large"), answer


@then('the site\'s operator runs "{text}"')
def step_run(context, text):
    expected = [normalize(line) for line in context.text.splitlines()]
    answer = run(context, command(context, new_id(context), fill_in(context, text)))
    lines = answer.get("lines") or [answer["message"], answer["remedy"]]
    actual = [normalize(line) for line in [*lines, answer["status"]]]
    filled_in = [fill_in(context, line) for line in expected]
    assert actual == [normalize(line) for line in filled_in], "\n" + "\n".join(actual)


@when('entry {number:d} receives "{text}" as command {command_id}')
def step_receive(context, number, text, command_id):
    context.answer = run(
        context,
        command(context, fill_in(context, command_id), text, entry=number - 1),
    )
    if len(context.answer.get("lines", ())) > 1:
        context.ids["submitted"] = context.answer["lines"][1].removeprefix("id ")


@given("a new command id <{name}>")
def step_command_id(context, name):
    context.ids[name] = new_id(context)


@when('entries 1 and 2 receive "{first}" and "{second}" at the same time')
def step_receive_both(context, first, second):
    run(context, send_both(context, first, second))


async def send_both(context, first, second):
    context.drain_and_restore = await asyncio.gather(
        command(context, "r-1", first, entry=0),
        command(context, "r-2", second, entry=1),
    )


@then("the drain is in force, and the restore lost to it or changed nothing")
def step_either_order(context):
    # A restore that comes first changes nothing, and the drain after it is applied.
    drain, restore = context.drain_and_restore
    assert drain["status"] == "in_force", drain
    lost = restore["status"] == "lost" and "command r-1" in restore["message"]
    unchanged = restore.get("lines") == ["unchanged: restore zone west if revision 1"]
    assert lost or unchanged, restore


@then("the operator's answer has {expected}")
def step_operator_answer(context, expected):
    expected_fields = json.loads(fill_in(context, expected))
    fields = {name: context.answer.get(name) for name in expected_fields}
    assert fields == expected_fields, context.answer


async def close_under_connects(count):
    server = http_server.Server(web.Application(), lambda: count)
    await server.start("127.0.0.1", 0)
    address = ("127.0.0.1", server.port)
    clients = [socket.create_connection(address) for _ in range(count)]
    for client in clients:
        client.sendall(b"GET /none HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    # The event loop has not run since the clients connected.
    await server.close()
    return [first_line(client) for client in clients]


def first_line(client):
    with client:
        try:
            return client.recv(4096).partition(b"\r\n")[0].decode()
        except OSError as error:
            return repr(error)


@when("{count:d} clients connect and send a request to a server just before it closes")
def step_close_under_connects(context, count):
    with asyncio.Runner() as runner:
        context.lines = runner.run(close_under_connects(count))


@then("each of these clients got status {status:d}")
def step_lines(context, status):
    assert all(f" {status} " in line for line in context.lines), context.lines


async def leave_under_requests(context, count):
    leaving_entry = context.site.entries.pop()
    url = f"http://127.0.0.1:{leaving_entry.http_port}/v1/jobs"
    clients = [asyncio.create_task(post_forever(url)) for _ in range(count)]
    await asyncio.sleep(_POLL_S)
    await leaving_entry.stop()
    return await asyncio.gather(*clients)


async def post_forever(url):
    """Post until the entry can't be connected to.

    Returns:
      A string: how the first request ended that was broken off; empty if none was.
    """
    async with aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.post(url, json={}) as answer:
                    await answer.read()
            except aiohttp.ClientConnectorError:
                return ""
            except (aiohttp.ClientError, OSError) as error:
                return repr(error)


@when(
    "the entry leaves while {count:d} clients post on connections that they keep open"
)
def step_leave(context, count):
    context.broken = run(context, leave_under_requests(context, count))


@then("each request was answered, or its client could not connect")
def step_none_broken(context):
    assert not any(context.broken), context.broken


@then("the submitted id is the same as before")
def step_same_submitted_id(context):
    assert context.answer["lines"][1] == f"id {context.ids['submitted']}"


async def wait_for_line(context, text, line):
    end = asyncio.get_running_loop().time() + _EVENTUALLY_S
    lines = []
    while line not in lines and asyncio.get_running_loop().time() < end:
        answer = await command(context, new_id(context), fill_in(context, text))
        lines = [normalize(actual) for actual in answer.get("lines", ())]
        await asyncio.sleep(_POLL_S)
    assert line in lines, "\n".join(lines)


@then('the answer to "{text}" eventually has the line: {line}')
def step_eventually(context, text, line):
    run(context, wait_for_line(context, text, normalize(fill_in(context, line))))


@then("{count:d} tasks were started at the site")
def step_started(context, count):
    started = sum(len(upstream.started) for upstream in context.site.upstreams)
    assert started == count, started


@when("the site's store goes down")
def step_store_down(context):
    run(context, context.site.store.close())


async def get_page(context, port, path):
    async with context.session.get(f"http://127.0.0.1:{port}{path}") as answer:
        return answer.status, await answer.text()


@then("the metrics of the {role} show")
def step_metrics(context, role):
    process = context.site.entries[0] if role == "entry" else context.site.agents[0]
    port = process.metrics_port if role == "entry" else process.http_port
    _, text = run(context, get_page(context, port, "/metrics"))
    lines = text.splitlines()
    missing = [row["line"] for row in context.table if row["line"] not in lines]
    assert not missing, text


@then("the log of the site has")
def step_log(context):
    text = normalize(context.log_stream.getvalue())
    actual = [row["event"] for row in context.table if row["event"] in text]
    assert actual == [row["event"] for row in context.table], text


@then("the log of the site names no attempt")
def step_log_no_attempt(context):
    assert "-0.1" not in context.log_stream.getvalue()


@then("{count:d} connections are served by the site and one more is refused")
def step_connections(context, count):
    run(context, open_connections(context, count))


async def open_connections(context, count):
    url = context.site.entry_urls[0] + "/health"
    sessions = [aiohttp.ClientSession() for _ in range(count + 1)]
    statuses = []
    for session in sessions:
        async with session.get(url) as answer:
            statuses.append(answer.status)
    for session in sessions:
        await session.close()
    assert statuses == [200] * count + [503], statuses


def run_audit_verify(context):
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
    context.command_result = run(context, asyncio.to_thread(run_audit_verify, context))
    assert context.command_result.exit_code == status, context.command_result.output


@then('the command line prints "{text}"')
def step_prints(context, text):
    assert text in context.command_result.output, context.command_result.output


@when("a segment of the site's audit is overwritten")
def step_overwrite(context):
    run(context, overwrite_segment(context.site.entries[0].store))


async def overwrite_segment(store):
    (segment, *_) = (await store.get_prefix("jujubeglade/records/")).unwrap()
    written = await store.compare_and_swap(segment.key, b"x", segment.mod_revision)
    written.unwrap()


@then("the site's audit eventually has the answer of {name}")
def step_audit_has(context, name):
    run(context, wait_for_answered(context, fill_in(context, name)))


async def wait_for_answered(context, key):
    records = ()
    while not any(
        (record.kind, record.subject) == (journal.Kind.ANSWERED, key)
        for record in records
    ):
        await asyncio.sleep(_POLL_S)
        _, _, body = await ask(context, "duty", "GET /v1/audit")
        records = journal.unpack(body).unwrap()


@given("an HTTP server with a timeout of {first_request_ms:d} ms for the first request")
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
    streams = await asyncio.open_connection("127.0.0.1", context.server.port)
    context.reader, context.writer = streams
    context.writer.write(f"{head}\r\n".encode())
    context.closers.append(context.writer.close)


@then("the HTTP server closes it without an answer")
def step_closed_without_answer(context):
    try:
        answer = run(context, context.reader.read())
    except ConnectionResetError:
        answer = b""
    assert answer == b"", answer
