"""Steps for random odd messages and bodies."""

import random

from behave import given, then
from features import odd_values

from jujubeglade.core import fields, message, store
from jujubeglade.direct import contract, job, report_cache, route
from jujubeglade.fakes import platform_site
from jujubeglade.platform import _body, _operators, _submission, _worker

#: Random values use these seeds; a longer run gives -D seeds=N.
_DEFAULT_SEEDS = 2
_ROUTE = route.Route("r", "host", "/", "parts", 0, 3, 1.6, 60.0, False)
_REPORT = {
    "service": "parts",
    "state": "ready",
    "capacity": {"cpu": 16_000, "requestedMemoryMb": 1 << 18, "gpu": 0},
    "labels": ["a", "r1-3"],
    "sequence": 4,
    "clockMs": 5000,
    "born": 1_700_000_000_000,
}
_POLL = {
    "clockMs": 5000,
    "born": 1_700_000_000_000,
    "running": [["0123456789abcdef.0.0.0", 1, "", 100]],
    "finished": [[1, "0123456789abcdef.0.0.1", 1, "done", ""]],
}
_CONFIGURATION = {
    "version": 3,
    "routes": [
        {"name": "r", "host": "h", "prefix": "/", "service": "s", "priority": 1}
        | {"maxAttempts": 3, "slackFactor": 1.6, "targetLatencyMs": 60}
    ],
    "services": [{"name": "s", "admissionCheck": False}],
    "limits": {"maxBodyBytes": 262144},
}
_checks = {}


@given("{count:d} odd messages for each of the seeds")
def step_messages(context, count):
    context.inputs = [
        (seed, odd_values.encoded(rng))
        for seed, rng in _generators(context)
        for _ in range(count)
    ]


@then("each is refused or comes out of the codec as it went in")
def step_codec(context):
    accepted = 0
    for seed, data in context.inputs:
        decoded = message.decode(data)
        if decoded.is_err():
            continue
        accepted += 1
        again = message.decode(message.encode(decoded.ok_value))
        assert repr(again) == repr(decoded), (seed, data.hex())
    print(f"{accepted} of {len(context.inputs)} accepted")
    assert accepted


@given("{count:d} odd bodies of each kind for each of the seeds")
def step_bodies(context, count):
    context.inputs = [
        (seed, kind, odd_values.body(rng, usual))
        for seed, rng in _generators(context)
        for kind, (usual, _) in _checks.items()
        for _ in range(count)
    ]


@then("each is refused or what it leads to can be encoded")
def step_encoded(context):
    accepted = 0
    for seed, kind, data in context.inputs:
        _, check = _checks[kind]
        try:
            accepted += check(data)
        except Exception as error:
            raise AssertionError(f"{kind}, seed {seed}: {data}") from error
    print(f"{accepted} of {len(context.inputs)} accepted")
    assert accepted


def _kind(name, usual):
    """Return a decorator that registers the check of a kind of bodies."""

    def register(function):
        _checks[name] = (usual, function)
        return function

    return register


@_kind("report", _REPORT)
def _check_report(data):
    try:
        report = _worker._report("w-0", _body.loads(data))
    except (_body.MalformedError, fields.FieldError):
        return False
    copy = report_cache.unpack(report_cache.pack(report, 1 << 60))
    assert copy is not None
    assert copy.report() is None or copy.report().total == report.total
    room = contract.Room(
        *(report.service, report.labels, report.total, report.total, report.total),
        *(True, 0, 0, 0, 0, 0.0, False),
    )
    assert message.decode(message.encode(room)).is_ok()
    return True


@_kind("poll", _POLL)
def _check_poll(data):
    try:
        reply = _worker._poll_reply(_body.loads(data))
    except (_body.MalformedError, fields.FieldError):
        return False
    # As the runner computes with it.
    names = {task for task, _ in set(reply.running)}
    names |= {finished.task for finished in reply.finished}
    assert all(isinstance(name, job.TaskName) for name in names)
    assert max((finished.number for finished in reply.finished), default=0) >= 0
    return True


@_kind("submission", platform_site.job(2, 1, 30, after=[], requirements="a"))
def _check_submission(data):
    try:
        parsed = _submission.parse("0123456789abcdef", _ROUTE, data, 1500)
    except (_body.MalformedError, _submission.UnsupportedError):
        return False
    submission = parsed.submission
    for step in submission.steps:
        name = job.TaskName(submission.job_id, 0, 0)
        begin = contract.Begin(
            *(name, 1, "parts", submission.spec, step.needs, step.label),
            *(1, 1500.0, 0.0, False),
        )
        assert message.decode(message.encode(begin)).is_ok()
    return True


@_kind("configuration", _CONFIGURATION)
def _check_configuration(data):
    entry = store.Entry("op/config", data, 7)
    configuration = _operators.read_configuration(entry)
    if configuration is None:
        return False
    assert message.decode(message.encode(configuration)).ok_value == configuration
    return True


def _generators(context):
    """Yield each seed with its random.Random."""
    seeds = int(context.config.userdata.get("seeds", _DEFAULT_SEEDS))
    for seed in range(1, seeds + 1):
        yield seed, random.Random(seed)
