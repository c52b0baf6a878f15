"""Steps for failures of real processes, judged by what upstreams saw.

One cluster serves all scenarios of a feature; it lives on an event loop in a thread
of its own, so that relays and processes go on between two steps.
"""

import asyncio
import collections
import contextlib
import random
import threading

from behave import given, then, when

from jujubeglade.bench import cluster, faults, traffic

_STEP_S = 120
_LEAD_S = 0.4
_SHAPE = cluster.Shape(relays=True)


class _Stage:
    """A running cluster on a loop of its own."""

    def __init__(self, shape):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._closing = contextlib.AsyncExitStack()
        starting = self._closing.enter_async_context(cluster.start(shape))
        self.cluster = self.run(starting)
        self.hedging = None

    def run(self, coroutine):
        waiting = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return waiting.result(_STEP_S)

    def close(self):
        self.run(self._closing.aclose())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


async def _play(context, names, seed, duration_ms, no_extra_requests):
    held = context.stage.cluster
    context.traffic = traffic.Traffic(held, seed, no_extra_requests)
    target = faults.Target(held, context.traffic, random.Random(seed))
    injecting = asyncio.create_task(_inject(names, target))
    running = asyncio.create_task(context.traffic.run(duration_ms, injecting))
    try:
        await asyncio.gather(running, injecting)
    finally:
        for task in (running, injecting):
            task.cancel()
    await held.wait_ready(held.shape.workers)


async def _inject(names, target):
    await asyncio.sleep(_LEAD_S)
    await faults.inject(names, target)
    await asyncio.sleep(_LEAD_S)


@given("the cluster of failures with hedging {choice}")
def _given_cluster(context, choice):
    if not hasattr(context.feature, "stage"):
        context.feature.stage = _Stage(_SHAPE)
        context.feature.closers = [context.feature.stage.close]
    context.stage = context.feature.stage
    if context.stage.hedging != choice:
        operators = traffic.Traffic(context.stage.cluster, 0)
        answer = context.stage.run(operators.operate(f"set rule hedging {choice}"))
        assert answer == "in_force", answer
        context.stage.hedging = choice


@given("a cluster of failures without the rule that {rule}")
def _given_mutant(context, rule):
    shape = cluster.Shape(relays=True, program="features.mutants", arguments=(rule,))
    context.stage = _Stage(shape)
    context.closers = [context.stage.close]


@when("callers go on for {duration_ms:d} ms while {names}, seed {seed:d}")
def _when_faults(context, duration_ms, names, seed):
    context.stage.run(_play(context, names, seed, duration_ms, False))


@when("patient callers go on for {duration_ms:d} ms while {names}, seed {seed:d}")
def _when_calm(context, duration_ms, names, seed):
    context.stage.run(_play(context, names, seed, duration_ms, True))


@then("the judge of failures finds nothing")
def _then_nothing(context):
    found = context.traffic.findings()
    assert not found, _shown(context, found)
    assert not context.traffic.reverts, context.traffic.reverts


@then("nothing was started again")
def _then_not_restarted(context):
    found = context.traffic.findings(allow_restarts=False)
    assert not found, _shown(context, found)


@then("no request was cut and no job failed")
def _then_not_cut(context):
    assert not context.traffic.broken_requests, context.traffic.broken_requests
    failed = [each for each in context.traffic.answers if each.state == "failed"]
    assert not failed, failed[:3]


@then("the judge of failures finds {kind}")
def _then_finds(context, kind):
    found = collections.Counter(each.kind.value for each in context.traffic.findings())
    found["reverted"] = len(context.traffic.reverts)
    failed = sum(each.state == "failed" for each in context.traffic.answers)
    found["cut"] = failed + len(context.traffic.broken_requests)
    assert found[kind], found


def _shown(context, found):
    key = found[0].key
    answers = [each for each in context.traffic.answers if each.key == key]
    starts = [each for each in context.stage.cluster.starts() if each.key == key]
    return f"{found[:5]}\nanswers: {answers}\nstarts: {starts}"
