"""Steps for a site of the users' platform on loopback."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from behave import given, then, when

from jujubeglade.core import link, log
from jujubeglade.direct import contract, job, report_cache, worker
from jujubeglade.fakes import platform_site

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_PLATFORM_NAMES = (
    "/jujubeglade/",
    "ackCursor",
    "bestEffort",
    "deadlineMs",
    "estimatedRuntimeMs",
    "fencingToken",
    "heartbeatAddress",
    "kv-",
    "maxAttempts",
    "requestedMemoryMb",
    "slackFactor",
    "targetLatencyMs",
)
#: Time for a change to reach all processes of the site.
_SETTLE_S = 0.3
_PROCESS_START_S = 2.0


@given("a platform site of {entries:d} entries and {workers:d} workers")
def step_site(context, entries, workers):
    open_site(context, entries, workers, configured=True)


@given("a platform site of {entries:d} entries and {workers:d} workers, not configured")
def step_bare_site(context, entries, workers):
    open_site(context, entries, workers, configured=False)


@when(
    "a client submits {count:d} tasks of {cores:d} cores for {ms:d} ms to entry {n:d}"
)
def step_submit(context, count, cores, ms, n):
    context.ids += 1
    path = f"{platform_site.PREFIX}{context.ids:016x}"
    context.first_start = len(context.site.witness.log)
    body = platform_site.job(count, cores, ms)
    context.reply = context.runner.run(context.site.request(n, "POST", path, body))


@when(
    "a client submits {count:d} tasks of {cores:d} cores for {ms:d} ms with a timeout "
    "of {digits:d} digits"
)
def step_submit_digits(context, count, cores, ms, digits):
    path = f"{platform_site.PREFIX}{digits:016x}"
    body = platform_site.job(count, cores, ms)
    context.first_start = len(context.site.witness.log)
    request = context.site.request(0, "POST", path, body, 10 ** (digits - 1))
    context.reply = context.runner.run(request)


@when("a client sends a job with {count:d} unknown fields")
def step_unknown_fields(context, count):
    unknown = {f"unknown-{number}": 0 for number in range(count)}
    body = platform_site.job(1, 1, 30) | unknown
    path = f"{platform_site.PREFIX}{count:016x}"
    context.first_start = len(context.site.witness.log)
    context.reply = context.runner.run(context.site.request(0, "POST", path, body))


@when("a client sends {method} {path} with {body}")
def step_send(context, method, path, body):
    request = context.site.request(0, method, path, body.encode())
    context.reply = context.runner.run(request)


@when("worker {index:d} reports with {change}")
def step_report(context, index, change):
    worker = context.site.workers[index]
    report = worker.report(10_000) | json.loads(change)
    context.report_status = context.runner.run(worker.send("PUT", report))


@when("the operator moves the route to {prefix}")
def step_move(context, prefix):
    context.site.configure(prefix=prefix)
    _wait(context, _SETTLE_S)


@when("the operator adds {count:d} routes and moves the route to {prefix}")
def step_add_routes(context, count, prefix):
    link.sent_counts.clear()
    context.site.configure(count, prefix=prefix)


@when("worker {index:d} answers polls with {change} for {ms:d} ms")
def step_poll_changes(context, index, change, ms):
    worker = context.site.workers[index]
    worker.poll_changes = json.loads(change)
    _wait(context, ms / 1000)
    worker.poll_changes = {}


@when("another writer makes {text} the configuration")
def step_foreign_configuration(context, text):
    context.site.store.put_bytes("op/config", text.encode())
    _wait(context, _SETTLE_S)


@when("the store sends {rate:d} bytes a second")
def step_slow_store(context, rate):
    context.site.store.bytes_per_s = rate


@then("processes have sent each other the routes {count:d} times")
def step_sent_routes(context, count):
    assert link.sent_counts["CompressedConfiguration"] == count, link.sent_counts


@when("the operator evacuates {zone}")
def step_evacuate(context, zone):
    context.site.store.put(f"op/evacuate/{zone}", {})
    _wait(context, _SETTLE_S)


@when("the operator ends the evacuation of {zone}")
def step_end_evacuation(context, zone):
    context.site.store.remove(f"op/evacuate/{zone}")
    _wait(context, _SETTLE_S)


@when("the store stops answering entry {index:d}")
def step_stop_answering(context, index):
    store = context.site.store
    store.faulty_ports = frozenset({context.site.store_ports[index]})
    store.fault = "silent"


@when("the store fails for all processes")
def step_fail(context):
    context.site.store.fault = "busy"


@when("entry {index:d} restarts")
def step_restart(context, index):
    context.runner.run(context.site.entries[index].close())
    context.runner.run(context.site.start_entry(index))
    _wait(context, 2 * _SETTLE_S)


@when("the store drops its history")
def step_drop_history(context):
    context.site.store.put("op/other", {})
    context.site.store.forget_history()


@when("every open connection to the store stops answering")
def step_silence_open(context):
    context.site.store.silence_open()


@when(
    "a client submits {count:d} tasks of {cores:d} cores for {ms:d} ms to entry {n:d} "
    "and waits {waited:d} ms"
)
def step_submit_and_wait(context, count, cores, ms, n, waited):
    context.ids += 1
    context.first_start = len(context.site.witness.log)
    path = f"{platform_site.PREFIX}{context.ids:016x}"
    body = platform_site.job(count, cores, ms)
    context.request = _start(context, context.site.request(n, "POST", path, body))
    _wait(context, waited / 1000)
    assert any(worker.inner.running for worker in context.site.workers)


@when("every open connection to worker {index:d} goes silent")
def step_silence_worker(context, index):
    context.site.workers[index].silence_open()


@when("the client leaves")
def step_leave(context):
    context.request.cancel()


@then("the waiting client gets 200")
def step_answered(context):
    reply = context.runner.run(_result(context.request))
    assert reply.status == 200, reply


@then("the task has run once")
def step_one_start(context):
    starts = context.site.witness.log[context.first_start :]
    assert len(starts) == 1, starts


@then("no worker runs a task {ms:d} ms after the client has left")
def step_no_runs(context, ms):
    _wait(context, ms / 1000)
    assert not any(worker.inner.running for worker in context.site.workers)


@when("the store applies every 2nd change without an answer")
def step_lose_answers(context):
    context.site.store.lose_every = 2


@when("the store applies every 2nd change {ms:d} ms late, without an answer")
def step_lose_answers_late(context, ms):
    context.site.store.lose_every = 2
    context.site.store.late_ms = ms


@when("another writer puts {kind} {value} under an entry's key")
def step_foreign_key(context, kind, value):
    data = bytes.fromhex(value) if kind == "bytes" else value.encode()
    context.site.store.put_bytes("jujubeglade/entries/another", data)
    _wait(context, _SETTLE_S)


@when("the key of agent {index:d}'s worker contains a copy of another worker")
def step_other_copy(context, index):
    instance = worker.Instance("gone", 0)
    total = job.Resources(64_000, 1 << 18, 0)
    report = worker.Report(instance, 1, "parts", (), total, False)
    _put_copy(context, index, report_cache.pack(report, 0))


@when("the copy of agent {index:d}'s worker tells of two crashes under the next job")
def step_copied_crashes(context, index):
    task = job.TaskName(f"{context.ids + 1:016x}", 0, 0)
    crashes = (
        contract.Crash("w-0/1", (task,), (task,), ()),
        contract.Crash("w-0/2", (task,), (task,), (task,)),
    )
    _put_copy(context, index, report_cache.pack(None, 0, crashes))


@when("the key of agent {index:d}'s worker contains a copy with unreadable crashes")
def step_unreadable_crashes(context, index):
    report = context.site.agents[index]._runner.report
    _put_copy(context, index, report_cache.pack(report, 0, (7, "crash")))


@when("agent {index:d} restarts after its clock was set back by {seconds:d} s")
def step_set_back(context, index, seconds):
    former = context.site.agents[index]
    ahead_ms = int(time.time() * 1000) + seconds * 1000
    context.token = ahead_ms
    report = former._runner.report
    _put_copy(context, index, report_cache.pack(report, ahead_ms))
    context.runner.run(former.close())
    context.runner.run(context.site.start_agent(index))
    _wait(context, 2 * _SETTLE_S)


@then("the worker of agent {index:d} gets calls with a higher token than before")
def step_higher_token(context, index):
    assert context.site.workers[index].inner.token > context.token


@when("the key of agent {index:d}'s worker contains {kind:w} {value}")
def step_foreign_copy(context, index, kind, value):
    _put_copy(
        context, index, bytes.fromhex(value) if kind == "bytes" else value.encode()
    )


@when("the store has a copy of every worker")
def step_copied(context):
    count = len(context.site.workers)
    keys = context.site.store.keys
    assert _within(context, 2000, lambda: len(keys(report_cache.PREFIX)) == count)


@when("worker {index:d} stops sending reports")
def step_no_reports(context, index):
    context.site.workers[index].is_reporting = False


@when("agent {index:d} restarts")
def step_restart_agent(context, index):
    context.runner.run(context.site.agents[index].close())
    context.runner.run(context.site.start_agent(index))


@when("{ms:d} ms pass")
def step_pass(context, ms):
    _wait(context, ms / 1000)


@then("no agent accepts work from entry {index:d}")
def step_none_accepting(context, index):
    fleet = context.site.entries[index].fleet
    assert len(list(fleet)) > 0
    assert not any(fleet_worker.is_accepting for fleet_worker in fleet)


@when("the entries' keys expire in the store")
def step_expire(context):
    context.site.store.lapse("jujubeglade/entries/")


@when("worker {index:d} drains")
def step_drain(context, index):
    worker = context.site.workers[index]
    worker.inner.draining = True
    context.runner.run(worker.send("PUT", worker.report(10_000, "draining")))
    _wait(context, _SETTLE_S)


@when("entry {index:d} runs as a separate process and gets SIGHUP")
def step_process(context, index):
    step_start_process(context, index)
    _wait(context, _PROCESS_START_S)
    context.process.send_signal(signal.SIGHUP)


@when("entry {index:d} is started as a separate process")
def step_start_process(context, index):
    path = pathlib.Path(tempfile.mkdtemp()) / "settings.json5"
    mapping = context.site.entry_settings(0)
    own_addresses = {
        name: mapping[name].replace("127.0.1.1", f"127.0.1.{index + 1}")
        for name in ("stream", "clients", "readiness")
    }
    path.write_text(json.dumps(mapping | own_addresses), encoding="utf-8")
    context.process = subprocess.Popen(
        [sys.executable, "-m", "jujubeglade.platform"],
        env=os.environ | {"JUJUBEGLADE_NODE_FILE": str(path)},
        stdout=subprocess.DEVNULL,
    )
    context.closers.append(context.process.kill)


@then("it ignores SIGHUP before it has imported its modules")
def step_ignores(context):
    def ignores():
        status = pathlib.Path(f"/proc/{context.process.pid}/status").read_text()
        masks = dict(line.split(":\t") for line in status.splitlines() if "Sig" in line)
        return int(masks["SigIgn"], 16) >> (signal.SIGHUP - 1) & 1

    assert _within(context, _PROCESS_START_S * 1000, ignores)
    context.process.send_signal(signal.SIGHUP)


@when("the process gets SIGTERM")
def step_term(context):
    context.process.send_signal(signal.SIGTERM)


@then("the process still runs after {ms:d} ms")
def step_runs(context, ms):
    _wait(context, ms / 1000)
    assert context.process.poll() is None, context.process.returncode


@then("the process exits with code {code:d} within {ms:d} ms")
def step_ends(context, code, ms):
    end = time.monotonic() + ms / 1000
    while context.process.poll() is None and time.monotonic() < end:
        _wait(context, 0.05)
    assert context.process.poll() == code, context.process.returncode


@then("the client gets {status:d}")
def step_status(context, status):
    assert context.reply.status == status, context.reply


@then("the client gets {status:d} {state}")
def step_status_state(context, status, state):
    assert context.reply.status == status, context.reply
    assert context.reply.fields["state"] == state, context.reply


@then("the report gets {status:d}")
def step_report_status(context, status):
    assert context.report_status == status, context.report_status


@then("entry {index:d} is ready")
def step_ready(context, index):
    assert context.runner.run(context.site.ready(index)) == 200


@then("entry {index:d} is not ready")
def step_not_ready(context, index):
    assert context.runner.run(context.site.ready(index)) == 503


@then("entry {index:d} is registered within {ms:d} ms")
def step_registered(context, index, ms):
    key = f"jujubeglade/entries/entry-{index}"
    assert _within(context, ms, lambda: key in context.site.store.items)


@then("entry {index:d} answers {method} {path} with {status:d} within {ms:d} ms")
def step_answers(context, index, method, path, status, ms):
    def is_answered():
        request = context.site.request(index, method, path, b"")
        return context.runner.run(request).status == status

    assert _within(context, ms, is_answered)


@then("agents reach entry {index:d} within {ms:d} ms")
def step_reached(context, index, ms):
    fleet = context.site.entries[index].fleet
    assert _within(
        context, ms, lambda: any(fleet_worker.is_accepting for fleet_worker in fleet)
    )


@then("a client that submits {count:d} tasks of {cores:d} cores for {ms:d} ms gets 200")
def step_serves(context, count, cores, ms):
    step_submit(context, count, cores, ms, 0)
    step_status_state(context, 200, "completed")


@then('a log line of "{event}" names {job_id} and {names}')
def step_log_line(context, event, job_id, names):
    log.flush()
    rows = [json.loads(line) for line in context.stream.getvalue().splitlines()]
    matching = [row for row in rows if row["event"] == event]
    assert [(row["job"], row["names"]) for row in matching] == [(job_id, names)], rows


@then("no log line is longer than {most:d} characters")
def step_short_lines(context, most):
    log.flush()
    longest = max(map(len, context.stream.getvalue().splitlines()))
    assert longest <= most, longest


@then("nothing was started")
def step_nothing(context):
    assert context.site.witness.starts == 0


@then("no task started in zone-0")
def step_none_in_zone(context):
    assert not _started(context, _zone_workers(context, 0))


@then("some task started in zone-0")
def step_some_in_zone(context):
    assert _started(context, _zone_workers(context, 0))


@then("no task started on worker {index:d}")
def step_none_on(context, index):
    assert not _started(context, {context.site.workers[index].inner.name})


@then("no worker of the platform recorded a violation")
def step_clean(context):
    assert not context.site.witness.violations, context.site.witness.violations


def open_site(context, entries, workers, *, configured):
    context.runner = asyncio.Runner()
    context.ids = 0
    context.site = platform_site.PlatformSite()
    opening = context.site.open(entries, workers, configured=configured)
    context.runner.run(opening)
    context.closers = [context.runner.close, lambda: _close(context)]


def _close(context):
    context.runner.run(context.site.close())


def _wait(context, seconds):
    context.runner.run(asyncio.sleep(seconds))


def _put_copy(context, index, data):
    context.site.store.put_bytes(f"{report_cache.PREFIX}agent-{index}", data)


def _within(context, ms, condition):
    """Wait until a condition is true; return whether it was in time."""
    end = time.monotonic() + ms / 1000
    while not condition():
        if time.monotonic() > end:
            return False
        _wait(context, 0.05)
    return True


def _zone_workers(context, number):
    """Return the names of a zone's workers, by the zones of their agents."""
    site = context.site
    return {
        worker.inner.name
        for index, worker in enumerate(site.workers)
        if site.agent_settings(index)["zone"] == f"zone-{number}"
    }


def _started(context, names):
    """Return the starts on some workers since the last submission."""
    log = context.site.witness.log[context.first_start :]
    return [name for name in log if name in names]


@then(
    "no module of the product except the adapter and the stand-ins contains the "
    "platform's fields or calls"
)
def step_platform_names(context):
    findings = []
    read_count = 0
    for path in _ROOT.glob("packages/*/src/**/*.py"):
        if "fakes" in path.parts:
            continue
        read_count += 1
        text = path.read_text(encoding="utf-8")
        findings += [f"{path.name}: {name}" for name in _PLATFORM_NAMES if name in text]
    assert read_count, _ROOT
    assert not findings, findings


@then("the adapter has fewer than {count:d} lines")
def step_adapter_lines(context, count):
    lines = sum(
        len(path.read_text(encoding="utf-8").splitlines())
        for path in _ROOT.glob("platform/src/**/*.py")
    )
    assert 0 < lines < count, lines


def _start(context, coroutine):
    """Start a coroutine on the site's event loop, and return its task."""

    async def start():
        return asyncio.create_task(coroutine)

    return context.runner.run(start())


async def _result(task):
    return await task
