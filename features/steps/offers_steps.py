"""Steps for offers of room, with a real announcer and real heartbeats on fake links."""

import asyncio
import dataclasses
import math
import types

from behave import given, then, when

from jujubeglade.bench import counter_load, counters
from jujubeglade.core import clock, metrics
from jujubeglade.direct import (
    announcer,
    cluster_state,
    contract,
    fleet,
    heartbeats,
    job,
    offers,
    options,
    owners,
)
from jujubeglade.fakes import direct_site, virtual

_WORKER_CPU = 16_000
_MEMORY_MB = 1024


class FakeLink:
    """An open link that passes what is sent to a function."""

    def __init__(self, name, sent):
        """Create a link to a process with a name."""
        self.remote = types.SimpleNamespace(incarnation=name, name=name, zone="a")
        self.is_open = True
        self.last_received_ms = 0.0
        self._sent = sent

    def send(self, body, encoded=None):
        """Record a message."""
        self._sent(self.remote.name, body)


@given("an agent with {free:d} free of owners {needs}")
def step_agent(context, free, needs):
    _open_agent(context, free, needs, True)


@given("an agent that doesn't coordinate with {free:d} free of owners {needs}")
def step_baseline(context, free, needs):
    _open_agent(context, free, needs, False)


def _open_agent(context, free, needs, coordinates):
    _open_loop(context)
    context.shown = []
    context.metrics = metrics.open_metrics()
    context.last_room = {}
    context.is_accepting = True
    context.owners = {}
    context.announcer = announcer.new_announcer(
        context.clock,
        context.owners,
        lambda: dataclasses.replace(
            _room(free, context.clock.now_ms()), accepting=context.is_accepting
        ),
        lambda: coordinates,
        context.metrics,
    )
    for text in needs.split():
        name, _, need_ms = text.partition(":")
        link = FakeLink(name, lambda name, body: _note_shown(context, name, body))
        owner = context.owners[name] = owners.Owner(link, context.clock.now_ms())
        owner.room_needed_by_ms = float(need_ms or math.inf)


def _open_loop(context):
    context.runner = asyncio.Runner(loop_factory=virtual.VirtualLoop)
    context.closers = [context.runner.close]
    context.clock = virtual.VirtualClock(context.runner.get_loop())


def _room(free, now_ms):
    total = job.Resources(_WORKER_CPU, _MEMORY_MB, 0)
    free_now = job.Resources(free, _MEMORY_MB if free else 0, 0)
    return contract.Room(
        "parts", (), total, free_now, total, True, 0, 0, 0, 0, now_ms, False
    )


def _note_shown(context, name, body):
    context.last_room[name] = body.free.cpu - body.withheld_cpu
    if context.last_room[name] and body.accepting:
        context.shown.append(name)


def _run(context, function, *arguments):
    async def call():
        return function(*arguments)

    return context.runner.run(call())


def _beat(context, name, slack_ms):
    beat = contract.Beat(0, 0, 0, "", job.NOTHING, slack_ms, 0.0)
    _run(context, context.announcer.on_beat, context.owners[name], beat)


@given("tasks of {cpu:d} on average")
def step_tasks(context, cpu):
    for owner in context.owners.values():
        owner.task_cpu = cpu


@given("the worker accepts nothing")
def step_accept_none(context):
    context.is_accepting = False


@when("the worker accepts attempts")
def step_accept(context):
    context.is_accepting = True


@when("{ms:d} ms go by after a change of the state")
def step_state(context, ms):
    _run(context, context.announcer.on_state_change)
    step_pass(context, ms)


@when("an attempt of {name} ends")
def step_end(context, name):
    _run(context, context.announcer.on_room_change)
    _run(context, context.announcer.offer, context.owners[name])


@when("{name} declines")
def step_decline(context, name):
    _beat(context, name, math.inf)


@when("{name} needs room by {ms:d} ms")
def step_need(context, name, ms):
    _beat(context, name, float(ms))


@given("the link of {name} closes")
@when("the link of {name} closes")
def step_close(context, name):
    context.owners[name].link.is_open = False


@when("the agent refuses an attempt of {name}")
def step_refuse(context, name):
    _run(context, context.announcer.send_room, context.owners[name])


@when("{ms:d} ms go by at the agent")
def step_pass(context, ms):
    context.runner.run(asyncio.sleep(clock.seconds(ms)))


@when("{ms:d} ms go by after a change of the room")
def step_change(context, ms):
    _run(context, context.announcer.on_room_change)
    step_pass(context, ms)


@then("the agent has shown room to {names}")
def step_shown(context, names):
    assert context.shown == names.split(), context.shown


@when(
    "{count:d} attempts of {name} end, {ms:d} ms apart, and {first} declines after each"
)
def step_ends(context, count, name, ms, first):
    needed_by_ms = context.owners[first].room_needed_by_ms
    for _ in range(count):
        _run(context, context.announcer.offer, context.owners[name])
        step_decline(context, first)
        context.owners[first].room_needed_by_ms = needed_by_ms
        step_pass(context, ms - 5)


@then("the agent has counted {freed:d} offers as freed and {declined:d} as declined")
def step_counted(context, freed, declined):
    body = context.metrics.render()[0].decode()
    for cause, count in (("freed", freed), ("declined", declined)):
        line = f'jujubeglade_room_offers_total{{cause="{cause}"}} {count}\n'
        assert line in body, body


@then('the log has {count:d} line "{event}"')
def step_logged(context, count, event):
    lines = [record for record in context.log_records if record.msg == event]
    assert len(lines) == count, lines


@then("the agent has last shown {free:d} free to {name} and {other:d} free to {second}")
def step_last_free(context, free, name, other, second):
    shown = (context.last_room[name], context.last_room[second])
    assert shown == (free, other), shown


@then("the agent has last shown {free:d} free to {name}")
def step_last_free_of_one(context, free, name):
    assert context.last_room[name] == free, context.last_room


@then("the agent has last shown room to each of {names}")
def step_last_shown(context, names):
    last = {name for name, free in context.last_room.items() if free}
    assert last == set(names.split()), context.last_room


@then(
    "of {free:d} free and tasks of {task:d} on average, {owners_:d} owners are shown "
    "{shares:d} shares"
)
def step_shares(context, free, task, owners_, shares):
    assert offers.count_shares(free, task, owners_) == shares


@given("an entry whose agent knows a need by {ms:g} ms")
def step_entry(context, ms):
    _open_entry_in_need(context, ms, 6)


@given("an entry below the threshold whose agent knows a need by {ms:g} ms")
def step_entry_below(context, ms):
    _open_entry_in_need(context, ms, 7)


def _open_entry_in_need(context, ms, coordinate_from):
    _open_entry(context, 1, coordinate_from)
    context.need_ms = ms
    _run(context, context.heartbeats.send)
    context.beats.clear()


@given("an entry with {agents:d} agents, which know of no need")
def step_entry_of(context, agents):
    _open_entry(context, agents, 6)


@given("an entry below the threshold with {agents:d} agents, which know of no need")
def step_entry_below_of(context, agents):
    _open_entry(context, agents, 7)


def _open_entry(context, agents, coordinate_from):
    """Open one of six entries."""
    _open_loop(context)
    context.beats = []
    context.need_ms = math.inf
    state = cluster_state.new_cluster_state()
    state.offer(contract.Members(1, tuple("abcdef")), "store")
    workers = fleet.new_fleet(1000, 0.0)
    context.workers = [
        workers.join(
            FakeLink(f"w{index}", lambda _, body: context.beats.append(body)), 0.0
        )
        for index in range(agents)
    ]
    for worker in context.workers:
        workers.update_room(worker, _room(0, 0.0), 0.0)
    context.heartbeats = heartbeats.Heartbeats(
        context.clock,
        workers,
        state,
        types.SimpleNamespace(room_needed_by_ms=lambda: context.need_ms),
        options.Options(coordinate_from),
        metrics.open_metrics(),
    )


@when("its need is by {ms:g} ms and it receives {free:d} free")
def step_receive(context, ms, free):
    context.need_ms = ms
    worker = context.workers[0]
    worker.update_room(_room(free, 1.0))
    _run(context, context.heartbeats.on_room, worker)
    _run(context, context.heartbeats.on_round)


@when("it receives {free:d} free, of which {withheld:d} are withheld")
def step_withheld(context, free, withheld):
    room = dataclasses.replace(_room(free, 1.0), withheld_cpu=withheld)
    context.workers[0].update_room(room)


@then("its forecasts count {free:d} free there")
def step_forecast(context, free):
    assert context.workers[0].free.cpu == free, context.workers[0].free


@when("its need is by {ms:g} ms and a round ends")
def step_round(context, ms):
    context.beats.clear()
    context.need_ms = ms
    step_pass(context, 35)
    _run(context, context.heartbeats.on_round)


@then("it sends its agent {count:d} heartbeats")
@then("it sends its agents {count:d} heartbeats")
def step_beats(context, count):
    assert len(context.beats) == count, context.beats


@then("it counts on {free:d} free there")
def step_left(context, free):
    worker = context.workers[0]
    assert worker.covers(job.Resources(free, 0, 0))
    assert not worker.covers(job.Resources(free + 1, 0, 0))


@dataclasses.dataclass(slots=True)
class Run:
    """What one run of a load gave.

    Attributes:
      answers: A list of Answers.
      messages: A list of messages in the order in which they were sent.
    """

    answers: list
    messages: list

    def refused_share(self):
        """Return the share of the starts that were refused for room."""
        begins = [body for body in self.messages if isinstance(body, contract.Begin)]
        refused = [
            body
            for body in self.messages
            if isinstance(body, contract.Refused)
            and body.reason == contract.Refusal.ROOM
        ]
        return len(refused) / len(begins)


def _play(context, chosen, seconds, asked):
    """Run a load on a new site and record its messages."""
    messages = []
    send = direct_site.MemoryLink.send

    def record(link, body, encoded=None):
        messages.append(body)
        return send(link, body, encoded)

    load = counter_load.Load(chosen.task_cpu, seconds, chosen.share)
    direct_site.MemoryLink.send = record
    try:
        with asyncio.Runner(loop_factory=virtual.VirtualLoop) as runner:
            answers, violations = runner.run(counters.play(chosen, load, 1, asked))
    finally:
        direct_site.MemoryLink.send = send
    context.violations = [*getattr(context, "violations", ()), *violations]
    return Run(answers, messages)


@when(
    "{entries:d} entries compete for {workers:d} workers, with and without coordination"
)
def step_compete(context, entries, workers):
    chosen = counters.Fleet(entries, workers, _WORKER_CPU, 1600, 2.0)
    context.alone = _play(context, chosen, 4, options.NO_OPTIONS)
    context.together = _play(context, chosen, 4, options.Options(entries))
    context.site = types.SimpleNamespace(
        witness=types.SimpleNamespace(violations=context.violations)
    )


@then("coordination raises the share in time of checks by at least {share:g}")
def step_in_time(context, share):
    alone, together = (
        counter_load.tally(
            [answer for answer in run.answers if answer.kind.name == "check"]
        ).in_time
        for run in (context.alone, context.together)
    )
    assert together >= alone + share, (alone, together)


@then("it lowers the share of starts that are refused for room by at least {share:g}")
def step_refused(context, share):
    alone = context.alone.refused_share()
    together = context.together.refused_share()
    assert together <= alone - share, (alone, together)


@then("it sends at most {factor:g} times the messages")
def step_messages(context, factor):
    alone = len(context.alone.messages)
    together = len(context.together.messages)
    assert together <= factor * alone, (alone, together)


@when("{entries:d} entries that coordinate from {threshold:d} on share a worker")
def step_share(context, entries, threshold):
    # With one worker no choice depends on the order of equal workers.
    chosen = counters.Fleet(entries, 1, _WORKER_CPU, 1600, 0.2)
    context.alone = _play(context, chosen, 5, options.NO_OPTIONS)
    context.together = _play(context, chosen, 5, options.Options(threshold))


@then("they send {messages} messages as without coordination")
def step_same(context, messages):
    assert len(context.alone.messages) > 1000
    is_same = context.alone.messages == context.together.messages
    assert is_same == (messages == "the same"), messages


@then("of owners {owners}, after {turn:d} shares, the order is {order}")
def step_in_turn(context, owners, turn, order):
    needs = []
    for text in owners.split():
        name, _, needed_by_ms = text.partition(":")
        needs.append(offers.Need(name, float(needed_by_ms or math.inf), True))
    assert offers.in_turn(needs, turn) == order.split()
