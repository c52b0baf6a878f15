"""Scenarios under load: response, messages, zones, bad workers, a lost home.

The targets are the users' own, or follow from their words; none is taken from what
was measured. See docs/MEASUREMENTS.md for what each figure means.
"""

import collections
import dataclasses

from jujubeglade.bench import cluster, ideal, load, report, run, scenarios

_SECOND_MS = 1000
_EARLY_MS = 50
_WARM_UP_MS = 5000
_DRAIN_AT_MS = 10_000
_RESTORE_AT_MS = 20_000
# What the users call a few seconds.
_SETTLED_MS = 3000
_KILL_AT_MS = 8000
_RESTART_AT_MS = 13_000
_OVERLOAD = 1.3
_MOST_REASONS = 5


@scenarios.scenario("load50")
async def load50(options):
    """Measure at half of the capacity."""
    return await _steady(options, 0.5)


@scenarios.scenario("load80")
async def load80(options):
    """Measure at 80% of the capacity; the targets of response hold here."""
    return await _steady(options, 0.8)


@scenarios.scenario("load95")
async def load95(options):
    """Measure at 95% of the capacity."""
    return await _steady(options, 0.95)


@scenarios.scenario("load130")
async def load130(options):
    """Measure overload: goodput, refusals and shares."""
    arrivals = options.arrivals(_OVERLOAD)
    seen = await _play(options, arrivals, deadline_ms=10_000)
    outcome = report.Outcome(
        "load130", options.conditions("130% of capacity, deadlines of 10 s")
    )
    goodput = _goodput(seen, options)
    outcome.add("goodput, of capacity", goodput, least=0.95)
    _add_refusals(outcome, seen)
    _add_shares(outcome, seen, options)
    add_faults(outcome, seen)
    return outcome


@scenarios.scenario("zone")
async def zone(options):
    """Take an availability zone out and back under more load than is left."""
    out = options.shape.zones[0]
    arrivals = options.arrivals(_OVERLOAD)
    events = {
        _DRAIN_AT_MS: run.commanding(f"drain zone {out}"),
        _RESTORE_AT_MS: run.commanding(f"restore zone {out}"),
    }
    seen = await _play(options, arrivals, events)
    outcome = report.Outcome(
        "zone",
        options.conditions(f"130% of capacity, zone {out} out from 10 s to 20 s"),
    )
    work = busy_slots(seen)
    slots = _slots_by_second(options, out)
    end = _RESTORE_AT_MS // _SECOND_MS + 5
    window = range(_DRAIN_AT_MS // _SECOND_MS, end)
    # A second that did more than was asked makes up for no other.
    shares = [min(1.0, work[second] / slots[second]) for second in window]
    outcome.add("work done over what was left", _mean(shares), least=0.95)
    outcome.add("worst second of it", min(shares))
    starts = collections.Counter(_second(seen, each.wall_ms) for each in seen.started)
    silent = sum(starts[second] == 0 for second in window)
    outcome.add("seconds without starts", silent, most=0)
    late_ms = _last_start_after(seen, out, _DRAIN_AT_MS, _RESTORE_AT_MS)
    outcome.add("last start there after the drain", late_ms, "ms", most=_SETTLED_MS)
    add_faults(outcome, seen)
    outcome.series = {
        "work": [work[second] for second in range(30)],
        "slots": [slots[second] for second in range(30)],
    }
    return outcome


@scenarios.scenario("bad")
async def bad(options):
    """Let one worker fail everything and another be ten times slow."""
    arrivals = options.arrivals(0.5)

    async def spoil(held):
        await held.set_upstream(held.worker_names[2], fail=True)
        await held.set_upstream(held.worker_names[5], slow_factor=10)

    seen = await _play(options, arrivals, {0: spoil})
    outcome = report.Outcome(
        "bad", options.conditions("50% of capacity, one worker fails, one is slow")
    )
    repeatable = [e for e in seen.endings if arrivals[e.number].repeatable]
    ratios = _ratios(seen, options, [e for e in repeatable if e.state == "complete"])
    _add_quantiles(outcome, "response of repeatable jobs over ideal", ratios, (None, 2))
    tasks = sum(len(arrivals[e.number].run_ms) for e in repeatable)
    lost = sum(
        len(arrivals[e.number].run_ms) for e in repeatable if e.state != "complete"
    )
    outcome.add("repeatable tasks in failed jobs, of all", lost / tasks, most=0.01)
    others = [e for e in seen.endings if not arrivals[e.number].repeatable]
    failed = sum(e.state != "complete" for e in others)
    outcome.add("other jobs failed, of all", failed / max(1, len(others)))
    outcome.add("starts beyond the first, a task", seen.verdict.extra / seen.tasks)
    add_faults(outcome, seen)
    return outcome


@scenarios.scenario("home")
async def home(options):
    """Kill the busiest agent under load and start it again."""
    arrivals = options.arrivals(0.8)
    killed = []

    async def kill(held):
        name = max(held.worker_names, key=lambda n: _processor(held, n))
        killed.append(name)
        held.kill(name)

    async def restart(held):
        await held.start_process(killed[0])

    events = {_KILL_AT_MS: kill, _RESTART_AT_MS: restart}
    seen = await _play(options, arrivals, events)
    outcome = report.Outcome(
        "home",
        options.conditions("80% of capacity, a home killed at 8 s, back at 13 s"),
    )
    states = collections.Counter(each.state for each in seen.endings)
    outcome.add("jobs complete", states["complete"] / len(seen.endings))
    outcome.add("jobs failed", states["failed"])
    outcome.add("jobs lost", states["lost"])
    starts = [each.wall_ms for each in seen.started]
    gap_ms = max(b - a for a, b in zip(starts, starts[1:], strict=False))
    outcome.add("longest time without starts", gap_ms, "ms", most=_SECOND_MS)
    ratios = _ratios(seen, options, seen.complete())
    _add_quantiles(outcome, "response over ideal", ratios, (None, None))
    add_faults(outcome, seen)
    return outcome


async def _steady(options, share):
    """Measure at a load that the slots can bear."""
    seen = await _play(options, options.arrivals(share))
    outcome = report.Outcome(
        f"load{share * 100:.0f}", options.conditions(f"{share:.0%} of capacity")
    )
    targets = (1.05, 1.5) if share == 0.8 else (None, None)
    ratios = _ratios(seen, options, seen.complete())
    _add_quantiles(outcome, "response over ideal", ratios, targets)
    best = ideal.best_queue(seen.arrivals, options.slots)
    best_ratios = [
        ms / ideal.response_ms(arrival, options.slots)
        for ms, arrival in zip(best, seen.arrivals, strict=True)
    ]
    _add_quantiles(outcome, "the same of the best queue", best_ratios, (None, None))
    over = [e.latency_ms / best[e.number] for e in seen.complete()]
    _add_quantiles(outcome, "response over the best queue", over, (None, None))
    _add_groups(outcome, seen, options)
    add_messages(outcome, seen)
    _add_costs(outcome, seen)
    outcome.add("jobs not complete", len(seen.endings) - len(seen.complete()))
    add_faults(outcome, seen)
    outcome.series = {"ratios": sorted(ratios), "best": sorted(best_ratios)}
    return outcome


async def _play(options, arrivals, events=None, **settings):
    shape = dataclasses.replace(options.shape, program=run.OBSERVED)
    async with cluster.start(shape) as held:
        return await run.play(held, arrivals, events, **settings)


def _ratios(seen, options, endings):
    return [
        each.latency_ms / ideal.response_ms(seen.arrivals[each.number], options.slots)
        for each in endings
    ]


def _add_quantiles(outcome, name, values, targets):
    outcome.add(f"{name}, p50", report.quantile(values, 0.5), most=targets[0])
    outcome.add(f"{name}, p95", report.quantile(values, 0.95))
    outcome.add(f"{name}, p99", report.quantile(values, 0.99), most=targets[1])


def _add_groups(outcome, seen, options):
    """Add the response by tenant, and by kind of request."""
    groups = collections.defaultdict(list)
    for each in seen.complete():
        arrival = seen.arrivals[each.number]
        ratio = each.latency_ms / ideal.response_ms(arrival, options.slots)
        groups[arrival.tenant].append(ratio)
        groups[f"{arrival.kind} ({arrival.urgency})"].append(ratio)
    for name, ratios in sorted(groups.items()):
        for share in (0.5, 0.99):
            value = report.quantile(ratios, share)
            outcome.add(f"response over ideal of {name}, p{share * 100:.0f}", value)


def add_messages(outcome, seen):
    """Add the messages, needed and wasted.

    Needed are a Submit and its answer for each job, and for each task one Finished
    and its part of a Start: all Starts but those of later attempts.

    Args:
      outcome: An Outcome.
      seen: A run.Seen.
    """
    total = sum(seen.messages.values())
    jobs = len(seen.endings)
    tasks = seen.tasks
    needed = (
        min(seen.messages["Submit"], jobs)
        + min(seen.messages["Answer"], jobs)
        + min(seen.messages["Start"], tasks)
        + min(seen.messages["Finished"], tasks)
    )
    outcome.add("messages a task", total / tasks)
    outcome.add("wasted messages a task", (total - needed) / tasks, most=0.2)
    for name, count in seen.messages.most_common(9):
        outcome.add(f"{name} messages a task", count / tasks)


def _add_costs(outcome, seen):
    """Add processor time, memory and store calls by role."""
    seconds = seen.duration_ms / _SECOND_MS
    for role in ("entry", "worker"):
        used = run.of_role(seen.processor_ms, role)
        share = [ms / seen.duration_ms * 100 for ms in used]
        outcome.add(f"processor of each {role}, mean", _mean(share), "% of a core")
        outcome.add(f"processor of each {role}, most", max(share), "% of a core")
        memory = max(run.of_role(seen.resident_kib, role)) / 1024
        outcome.add(f"memory of each {role}, most", memory, "MiB")
    for kind, count in seen.store_calls.most_common():
        outcome.add(f"store calls, {kind}", count / seconds, "a second")


def add_faults(outcome, seen):
    """Add what the judge found.

    Args:
      outcome: An Outcome.
      seen: A run.Seen.
    """
    outcome.add("tasks doubled", seen.verdict.doubled, most=0)
    outcome.add("statements untrue", seen.verdict.untrue, most=0)
    outcome.notes += seen.verdict.examples
    ends = collections.Counter(
        f"{each.state}: {each.reason}" for each in seen.endings if each.reason
    )
    outcome.notes += [f"{n} jobs {why}" for why, n in ends.most_common(_MOST_REASONS)]
    outcome.add("answers inexact", seen.verdict.inexact, most=0)


def _goodput(seen, options):
    """Work of complete answers over what the slots could do, once warm."""
    last_ms = seen.begin_ms + options.duration_ms
    first_ms = seen.begin_ms + _WARM_UP_MS
    done_ms = sum(
        sum(seen.arrivals[each.number].run_ms)
        for each in seen.complete()
        if first_ms <= each.at_ms + each.latency_ms < last_ms
    )
    return done_ms / (options.slots * (last_ms - first_ms))


def _add_refusals(outcome, seen):
    states = collections.Counter(each.state for each in seen.endings)
    for state, count in sorted(states.items()):
        outcome.add(f"jobs {state}", count / len(seen.endings))
    refused = [each for each in seen.endings if each.state == "refused"]
    early = sum(each.latency_ms < _EARLY_MS for each in refused)
    not_done = len(seen.endings) - states["complete"]
    outcome.add("refused within 50 ms, of all not done", early / max(1, not_done))
    latencies = [each.latency_ms for each in refused]
    slowest = report.quantile(latencies, 0.99)
    outcome.add("time to a refusal, p99", slowest, "ms", most=_EARLY_MS)


def _add_shares(outcome, seen, options):
    """Add each tenant's share of the work done over its share of the tenants."""
    done = collections.Counter()
    for each in seen.complete():
        arrival = seen.arrivals[each.number]
        done[arrival.tenant] += sum(arrival.run_ms)
    total = sum(done.values())
    weights = options.mix.tenants
    for tenant, weight in weights.items():
        fair = weight / sum(weights.values())
        outcome.add(f"share of {tenant} over its part", done[tenant] / total / fair)


def busy_slots(seen):
    """Count the slots that were busy in each second.

    Args:
      seen: A run.Seen.

    Returns:
      A defaultdict from the second to a number of slots.
    """
    by_key = {each.key: seen.arrivals[each.number] for each in seen.endings}
    work = collections.defaultdict(float)
    for each in seen.started:
        at_ms = each.wall_ms - seen.begin_ms
        end_ms = at_ms + by_key[each.key].run_ms[each.index]
        while at_ms < end_ms:
            second = int(at_ms // _SECOND_MS)
            until_ms = min(end_ms, (second + 1) * _SECOND_MS)
            work[second] += (until_ms - at_ms) / _SECOND_MS
            at_ms = until_ms
    return work


def _slots_by_second(options, out):
    """Count the slots in service in each second of the zone's absence."""
    shape = options.shape
    inside = sum(
        shape.zones[place % len(shape.zones)] == out for place in range(shape.workers)
    )
    left = options.slots - inside * shape.slots
    slots = collections.defaultdict(lambda: options.slots)
    # After the restoration the zone counts once it may be in force.
    settled_ms = _RESTORE_AT_MS + _SETTLED_MS
    for second in range(_DRAIN_AT_MS // _SECOND_MS, settled_ms // _SECOND_MS):
        slots[second] = left
    return slots


def _last_start_after(seen, zone_name, from_ms, until_ms):
    """Tell how long after a drain its zone still started tasks."""
    after = [
        each.wall_ms - seen.begin_ms - from_ms
        for each in seen.started
        if each.zone == zone_name and from_ms <= each.wall_ms - seen.begin_ms < until_ms
    ]
    return max(after, default=0.0)


def _processor(held, name):
    return cluster.processor_ms(held.processes[name])


def _second(seen, wall_ms):
    return int((wall_ms - seen.begin_ms) // _SECOND_MS)


def _mean(values):
    return sum(values) / len(values)


# The mixes by the deployment they belong to.
DEPLOYMENTS = {
    "association": (cluster.ASSOCIATION, load.ASSOCIATION),
    "armor-neige": (cluster.ARMOR_NEIGE, load.ARMOR_NEIGE),
}
