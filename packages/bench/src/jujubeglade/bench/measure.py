"""Scenarios under load: response, messages, zones, bad workers, a lost home.

The targets are the users' own or follow from their requirements; none is derived from
measurements. See docs/MEASUREMENTS.md for what each figure means.
"""

import collections
import dataclasses

from jujubeglade.bench import cluster, ideal, load, report, run, scenarios

_SECOND_MS = 1000
_EARLY_REFUSAL_MS = 50
_WARM_UP_MS = 5000
_DRAIN_AT_MS = 10_000
_RESTORE_AT_MS = 20_000
#: The "few seconds" within which the users want a drain or a restoration in force.
_IN_FORCE_MS = 3000
_KILL_AT_MS = 8000
_RESTART_AT_MS = 13_000
_OVERLOAD_SHARE = 1.3
_MAX_REASONS = 5


@scenarios.scenario("load50")
async def load50(options):
    """Measure at half of the capacity."""
    return await _steady(options, 0.5)


@scenarios.scenario("load80")
async def load80(options):
    """Measure at 80% of the capacity, for which the response targets are given."""
    return await _steady(options, 0.8)


@scenarios.scenario("load95")
async def load95(options):
    """Measure at 95% of the capacity."""
    return await _steady(options, 0.95)


@scenarios.scenario("load130")
async def load130(options):
    """Measure overload: goodput, refusals and the tenants' shares."""
    arrivals = options.arrivals(_OVERLOAD_SHARE)
    measured = await _play(options, arrivals, deadline_ms=10_000)
    outcome = report.Outcome(
        "load130", options.conditions("130% of capacity, deadlines of 10 s")
    )
    goodput = _goodput(measured, options)
    outcome.add("goodput, of capacity", goodput, least=0.95)
    _add_refusals(outcome, measured)
    _add_shares(outcome, measured, options)
    add_faults(outcome, measured)
    return outcome


@scenarios.scenario("zone")
async def zone(options):
    """Drain and restore an availability zone under overload."""
    drained = options.shape.zones[0]
    arrivals = options.arrivals(_OVERLOAD_SHARE)
    events = {
        _DRAIN_AT_MS: run.command_event(f"drain zone {drained}"),
        _RESTORE_AT_MS: run.command_event(f"restore zone {drained}"),
    }
    measured = await _play(options, arrivals, events)
    outcome = report.Outcome(
        "zone",
        options.conditions(f"130% of capacity, zone {drained} out from 10 s to 20 s"),
    )
    work = busy_slots(measured)
    slots = _slots_by_second(options, drained)
    end = _RESTORE_AT_MS // _SECOND_MS + 5
    window = range(_DRAIN_AT_MS // _SECOND_MS, end)
    # Surplus work in one second doesn't make up for another.
    shares = [min(1.0, work[second] / slots[second]) for second in window]
    outcome.add("work done over what was left", _mean(shares), least=0.95)
    outcome.add("worst second of it", min(shares))
    starts = collections.Counter(
        _second(measured, start.wall_ms) for start in measured.starts
    )
    silent = sum(starts[second] == 0 for second in window)
    outcome.add("seconds without starts", silent, most=0)
    late_ms = _last_start_after(measured, drained, _DRAIN_AT_MS, _RESTORE_AT_MS)
    outcome.add("last start there after the drain", late_ms, "ms", most=_IN_FORCE_MS)
    add_faults(outcome, measured)
    outcome.series = {
        "work": [work[second] for second in range(30)],
        "slots": [slots[second] for second in range(30)],
    }
    return outcome


@scenarios.scenario("bad")
async def bad(options):
    """Make one worker fail everything and another ten times as slow."""
    arrivals = options.arrivals(0.5)

    async def disturb(cluster_):
        await cluster_.set_upstream(cluster_.worker_names[2], fail=True)
        await cluster_.set_upstream(cluster_.worker_names[5], slow_factor=10)

    measured = await _play(options, arrivals, {0: disturb})
    outcome = report.Outcome(
        "bad", options.conditions("50% of capacity, one worker fails, one is slow")
    )
    repeatable = [
        result for result in measured.results if arrivals[result.number].repeatable
    ]
    ratios = _ratios(
        measured,
        options,
        [result for result in repeatable if result.state == "complete"],
    )
    _add_quantiles(outcome, "response of repeatable jobs over ideal", ratios, (None, 2))
    tasks = sum(len(arrivals[result.number].run_ms) for result in repeatable)
    lost = sum(
        len(arrivals[result.number].run_ms)
        for result in repeatable
        if result.state != "complete"
    )
    outcome.add("repeatable tasks in failed jobs, of all", lost / tasks, most=0.01)
    others = [
        result for result in measured.results if not arrivals[result.number].repeatable
    ]
    failed = sum(result.state != "complete" for result in others)
    outcome.add("other jobs failed, of all", failed / max(1, len(others)))
    outcome.add(
        "starts beyond the first, a task", measured.verdict.extra / measured.tasks
    )
    add_faults(outcome, measured)
    return outcome


@scenarios.scenario("home")
async def home(options):
    """Kill the busiest agent under load and restart it."""
    arrivals = options.arrivals(0.8)
    killed = []

    async def kill(cluster_):
        name = max(cluster_.worker_names, key=lambda n: _processor(cluster_, n))
        killed.append(name)
        cluster_.kill(name)

    async def restart(cluster_):
        await cluster_.start_process(killed[0])

    events = {_KILL_AT_MS: kill, _RESTART_AT_MS: restart}
    measured = await _play(options, arrivals, events)
    outcome = report.Outcome(
        "home",
        options.conditions("80% of capacity, a home killed at 8 s, back at 13 s"),
    )
    states = collections.Counter(result.state for result in measured.results)
    outcome.add("jobs complete", states["complete"] / len(measured.results))
    outcome.add("jobs failed", states["failed"])
    outcome.add("jobs lost", states["lost"])
    starts = [start.wall_ms for start in measured.starts]
    gap_ms = max(b - a for a, b in zip(starts, starts[1:], strict=False))
    outcome.add("longest time without starts", gap_ms, "ms", most=_SECOND_MS)
    ratios = _ratios(measured, options, measured.complete())
    _add_quantiles(outcome, "response over ideal", ratios, (None, None))
    add_faults(outcome, measured)
    return outcome


async def _steady(options, share):
    """Measure at a load that the slots can run."""
    measured = await _play(options, options.arrivals(share))
    outcome = report.Outcome(
        f"load{share * 100:.0f}", options.conditions(f"{share:.0%} of capacity")
    )
    targets = (1.05, 1.5) if share == 0.8 else (None, None)
    ratios = _ratios(measured, options, measured.complete())
    _add_quantiles(outcome, "response over ideal", ratios, targets)
    best = ideal.best_queue(measured.arrivals, options.slots)
    best_ratios = [
        ms / ideal.response_ms(arrival, options.slots)
        for ms, arrival in zip(best, measured.arrivals, strict=True)
    ]
    _add_quantiles(outcome, "the same of the best queue", best_ratios, (None, None))
    over_best = [
        result.latency_ms / best[result.number] for result in measured.complete()
    ]
    _add_quantiles(outcome, "response over the best queue", over_best, (None, None))
    _add_groups(outcome, measured, options)
    add_messages(outcome, measured)
    _add_costs(outcome, measured)
    outcome.add("jobs not complete", len(measured.results) - len(measured.complete()))
    add_faults(outcome, measured)
    outcome.series = {"ratios": sorted(ratios), "best": sorted(best_ratios)}
    return outcome


async def _play(options, arrivals, events=None, **settings):
    shape = dataclasses.replace(options.shape, program=run.OBSERVED)
    async with cluster.start(shape) as cluster_:
        return await run.play(cluster_, arrivals, events, **settings)


def _ratios(measured, options, results):
    return [
        result.latency_ms
        / ideal.response_ms(measured.arrivals[result.number], options.slots)
        for result in results
    ]


def _add_quantiles(outcome, name, values, targets):
    outcome.add(f"{name}, p50", report.quantile(values, 0.5), most=targets[0])
    outcome.add(f"{name}, p95", report.quantile(values, 0.95))
    outcome.add(f"{name}, p99", report.quantile(values, 0.99), most=targets[1])


def _add_groups(outcome, measured, options):
    """Add the response times by tenant, and by kind of request."""
    groups = collections.defaultdict(list)
    for result in measured.complete():
        arrival = measured.arrivals[result.number]
        ratio = result.latency_ms / ideal.response_ms(arrival, options.slots)
        groups[arrival.tenant].append(ratio)
        groups[f"{arrival.kind} ({arrival.urgency})"].append(ratio)
    for name, ratios in sorted(groups.items()):
        for share in (0.5, 0.99):
            value = report.quantile(ratios, share)
            outcome.add(f"response over ideal of {name}, p{share * 100:.0f}", value)


def add_messages(outcome, measured):
    """Add the messages for each task, and how many of them were wasted.

    A job needs one Submit and one Answer, and each task at most one Start, which may be
    shared with others, and one Finished.

    Args:
      outcome: An Outcome.
      measured: A run.Measurements.
    """
    total = sum(measured.messages.values())
    jobs = len(measured.results)
    tasks = measured.tasks
    needed = (
        min(measured.messages["Submit"], jobs)
        + min(measured.messages["Answer"], jobs)
        + min(measured.messages["Start"], tasks)
        + min(measured.messages["Finished"], tasks)
    )
    outcome.add("messages a task", total / tasks)
    outcome.add("wasted messages a task", (total - needed) / tasks, most=0.2)
    for name, count in measured.messages.most_common(9):
        outcome.add(f"{name} messages a task", count / tasks)


def _add_costs(outcome, measured):
    """Add processor time, memory and store calls by role."""
    seconds = measured.duration_ms / _SECOND_MS
    for role in ("entry", "worker"):
        used = run.of_role(measured.processor_ms, role)
        share = [ms / measured.duration_ms * 100 for ms in used]
        outcome.add(f"processor of each {role}, mean", _mean(share), "% of a core")
        outcome.add(f"processor of each {role}, most", max(share), "% of a core")
        memory = max(run.of_role(measured.resident_kib, role)) / 1024
        outcome.add(f"memory of each {role}, most", memory, "MiB")
    for kind, count in measured.store_calls.most_common():
        outcome.add(f"store calls, {kind}", count / seconds, "a second")


def add_faults(outcome, measured):
    """Add the faults that the tally found, and why jobs did not complete.

    Args:
      outcome: An Outcome.
      measured: A run.Measurements.
    """
    outcome.add("tasks doubled", measured.verdict.doubled, most=0)
    outcome.add("statements untrue", measured.verdict.untrue, most=0)
    outcome.notes += measured.verdict.examples
    ends = collections.Counter(
        f"{result.state}: {result.reason}"
        for result in measured.results
        if result.reason
    )
    outcome.notes += [f"{n} jobs {why}" for why, n in ends.most_common(_MAX_REASONS)]
    outcome.add("answers inexact", measured.verdict.inexact, most=0)


def _goodput(measured, options):
    """Return the work of complete jobs over the capacity, after the warm-up."""
    last_ms = measured.begin_ms + options.duration_ms
    first_ms = measured.begin_ms + _WARM_UP_MS
    done_ms = sum(
        sum(measured.arrivals[result.number].run_ms)
        for result in measured.complete()
        if first_ms <= result.at_ms + result.latency_ms < last_ms
    )
    return done_ms / (options.slots * (last_ms - first_ms))


def _add_refusals(outcome, measured):
    states = collections.Counter(result.state for result in measured.results)
    for state, count in sorted(states.items()):
        outcome.add(f"jobs {state}", count / len(measured.results))
    refused = [result for result in measured.results if result.state == "refused"]
    early = sum(result.latency_ms < _EARLY_REFUSAL_MS for result in refused)
    not_done = len(measured.results) - states["complete"]
    outcome.add("refused within 50 ms, of all not done", early / max(1, not_done))
    latencies = [result.latency_ms for result in refused]
    slowest = report.quantile(latencies, 0.99)
    outcome.add("time to a refusal, p99", slowest, "ms", most=_EARLY_REFUSAL_MS)


def _add_shares(outcome, measured, options):
    """Add each tenant's share of the work done, over its share in the mix."""
    done = collections.Counter()
    for result in measured.complete():
        arrival = measured.arrivals[result.number]
        done[arrival.tenant] += sum(arrival.run_ms)
    total = sum(done.values())
    weights = options.mix.tenants
    for tenant, weight in weights.items():
        fair = weight / sum(weights.values())
        outcome.add(f"share of {tenant} over its part", done[tenant] / total / fair)


def busy_slots(measured):
    """Count the slots that were busy in each second.

    Args:
      measured: A run.Measurements.

    Returns:
      A defaultdict from the second to a number of slots.
    """
    arrival_of = {
        result.key: measured.arrivals[result.number] for result in measured.results
    }
    work = collections.defaultdict(float)
    for start in measured.starts:
        at_ms = start.wall_ms - measured.begin_ms
        end_ms = at_ms + arrival_of[start.key].run_ms[start.index]
        while at_ms < end_ms:
            second = int(at_ms // _SECOND_MS)
            until_ms = min(end_ms, (second + 1) * _SECOND_MS)
            work[second] += (until_ms - at_ms) / _SECOND_MS
            at_ms = until_ms
    return work


def _slots_by_second(options, drained):
    """Count the slots in service by second; fewer while a zone is drained."""
    shape = options.shape
    drained_workers = sum(
        shape.zones[index % len(shape.zones)] == drained
        for index in range(shape.workers)
    )
    remaining = options.slots - drained_workers * shape.slots
    slots = collections.defaultdict(lambda: options.slots)
    # The zone counts again once its restoration should be in force.
    in_force_ms = _RESTORE_AT_MS + _IN_FORCE_MS
    for second in range(_DRAIN_AT_MS // _SECOND_MS, in_force_ms // _SECOND_MS):
        slots[second] = remaining
    return slots


def _last_start_after(measured, zone_name, from_ms, until_ms):
    """Return how long after its drain a zone still started tasks."""
    after = [
        start.wall_ms - measured.begin_ms - from_ms
        for start in measured.starts
        if start.zone == zone_name
        and from_ms <= start.wall_ms - measured.begin_ms < until_ms
    ]
    return max(after, default=0.0)


def _processor(cluster_, name):
    return cluster.processor_ms(cluster_.processes[name])


def _second(measured, wall_ms):
    return int((wall_ms - measured.begin_ms) // _SECOND_MS)


def _mean(values):
    return sum(values) / len(values)


#: The cluster shape and the load of each deployment.
DEPLOYMENTS = {
    "association": (cluster.ASSOCIATION, load.ASSOCIATION),
    "armor-neige": (cluster.ARMOR_NEIGE, load.ARMOR_NEIGE),
}
