"""Steps for failures of real processes, judged by the starts that upstreams recorded.

One cluster serves all scenarios of a feature. Its event loop runs in a thread of its
own, so that relays and processes go on between two steps.
"""

import asyncio
import collections
import contextlib
import random
import threading

from behave import given, then, when

from jujubeglade.bench import cluster, faults, traffic

_STEP_TIMEOUT_S = 120
_FAULT_MARGIN_S = 0.4
_SHAPE = cluster.Shape(relays=True)


class _ClusterThread:
    """A running cluster on an event loop in a thread of its own."""

    def __init__(self, shape):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._exit_stack = contextlib.AsyncExitStack()
        start_coroutine = self._exit_stack.enter_async_context(cluster.start(shape))
        self.cluster = self.run(start_coroutine)
        self.hedging = None

    def run(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(_STEP_TIMEOUT_S)

    def close(self):
        self.run(self._exit_stack.aclose())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


async def _run_traffic(context, names, seed, duration_ms, no_extra_requests):
    process_cluster = context.cluster_thread.cluster
    context.traffic = traffic.Traffic(process_cluster, seed, no_extra_requests)
    target = faults.Target(process_cluster, context.traffic, random.Random(seed))
    faults_task = asyncio.create_task(_inject(names, target))
    traffic_task = asyncio.create_task(context.traffic.run(duration_ms, faults_task))
    try:
        await asyncio.gather(traffic_task, faults_task)
    finally:
        for task in (traffic_task, faults_task):
            task.cancel()
    await process_cluster.wait_ready(process_cluster.shape.workers)


async def _inject(names, target):
    await asyncio.sleep(_FAULT_MARGIN_S)
    await faults.inject(names, target)
    await asyncio.sleep(_FAULT_MARGIN_S)


@given("the cluster of failures with hedging {choice}")
def _given_cluster(context, choice):
    if not hasattr(context.feature, "cluster_thread"):
        context.feature.cluster_thread = _ClusterThread(_SHAPE)
        context.feature.closers = [context.feature.cluster_thread.close]
    context.cluster_thread = context.feature.cluster_thread
    if context.cluster_thread.hedging != choice:
        operators = traffic.Traffic(context.cluster_thread.cluster, 0)
        answer = context.cluster_thread.run(
            operators.operate(f"set rule hedging {choice}")
        )
        assert answer == "in_force", answer
        context.cluster_thread.hedging = choice


@given("a cluster of failures without the rule that {rule}")
def _given_mutant(context, rule):
    shape = cluster.Shape(relays=True, program="features.mutants", arguments=(rule,))
    context.cluster_thread = _ClusterThread(shape)
    context.closers = [context.cluster_thread.close]


@when("callers go on for {duration_ms:d} ms while {names}, seed {seed:d}")
def _when_faults(context, duration_ms, names, seed):
    context.cluster_thread.run(_run_traffic(context, names, seed, duration_ms, False))


@when(
    "callers that neither cancel nor submit twice go on for {duration_ms:d} ms "
    "while {names}, seed {seed:d}"
)
def _when_calm(context, duration_ms, names, seed):
    context.cluster_thread.run(_run_traffic(context, names, seed, duration_ms, True))


@then("the judge of failures finds nothing")
def _then_nothing(context):
    findings = context.traffic.findings()
    assert not findings, _describe(context, findings)
    assert not context.traffic.reverts, context.traffic.reverts


@then("no task was started again")
def _then_not_restarted(context):
    findings = context.traffic.findings(allow_restarts=False)
    assert not findings, _describe(context, findings)


@then("no request was interrupted and no job failed")
def _then_not_interrupted(context):
    assert not context.traffic.broken_requests, context.traffic.broken_requests
    failed = [answer for answer in context.traffic.answers if answer.state == "failed"]
    assert not failed, failed[:3]


@then("the judge of failures finds {kind}")
def _then_finds(context, kind):
    counts = collections.Counter(
        finding.kind.value for finding in context.traffic.findings()
    )
    counts["reverted"] = len(context.traffic.reverts)
    failed = sum(answer.state == "failed" for answer in context.traffic.answers)
    counts["cut"] = failed + len(context.traffic.broken_requests)
    assert counts[kind], counts


def _describe(context, findings):
    key = findings[0].key
    answers = [answer for answer in context.traffic.answers if answer.key == key]
    starts = [
        start for start in context.cluster_thread.cluster.starts() if start.key == key
    ]
    return f"{findings[:5]}\nanswers: {answers}\nstarts: {starts}"
