"""Scenarios that compare the choices for one decision, over several seeds.

| scenario            | choices                                | under                |
|---------------------|----------------------------------------|----------------------|
| `compare-placement` | those of the rule `placement`          | 80% load             |
| `compare-queueing`  | those of the rule `queueing`           | 80% load             |
| `compare-homes`     | 1, 2 or all agents of a cell as homes  | 80% load             |
| `compare-hedging`   | those of the rule `hedging`            | 50%, one worker slow |
| `compare-health`    | those of the rule `health`             | 50%, one fails all   |
| `compare-admission` | those of the rule `admission`          | 130% load            |

Rules are set by an operators' command. A figure is the median over the seeds, with the
lowest and the highest value. Every choice gets the same arrivals.
"""

import dataclasses
import statistics

from jujubeglade.bench import cluster, ideal, report, run, scenarios
from jujubeglade.core import rules

_SEEDS = (1, 2, 3)
_DEADLINE_MS = 10_000
_QUICK_MS = 20_000


@scenarios.scenario("compare-placement", by_name=True)
async def placement(options):
    """Compare placement rules."""
    return await _compare_rule(options, "placement", 0.8)


@scenarios.scenario("compare-queueing", by_name=True)
async def queueing(options):
    """Compare the orders of waiting tasks."""
    return await _compare_rule(options, "queueing", 0.8)


@scenarios.scenario("compare-hedging", by_name=True)
async def hedging(options):
    """Compare hedging with none while one worker is slow."""

    async def disturb(cluster_):
        await cluster_.set_upstream(cluster_.worker_names[5], slow_factor=10)

    return await _compare_rule(options, "hedging", 0.5, {0: disturb})


@scenarios.scenario("compare-health", by_name=True)
async def health(options):
    """Compare health rules while one worker fails everything."""

    async def disturb(cluster_):
        await cluster_.set_upstream(cluster_.worker_names[2], fail=True)

    return await _compare_rule(options, "health", 0.5, {0: disturb})


@scenarios.scenario("compare-admission", by_name=True)
async def admission(options):
    """Compare admission rules under overload."""
    return await _compare_rule(options, "admission", 1.3)


@scenarios.scenario("compare-homes", by_name=True)
async def homes(options):
    """Compare how many agents of a cell are homes."""
    options = dataclasses.replace(options, quick_ms=_QUICK_MS)
    outcome = _outcome(options, "homes", 0.8)
    for count in (1, 2, options.shape.workers):
        choices = {"homes": count}
        await _measure(outcome, options, f"{count} homes", 0.8, choices=choices)
    return outcome


async def _compare_rule(options, name, share, events=None):
    options = dataclasses.replace(options, quick_ms=_QUICK_MS)
    outcome = _outcome(options, name, share)
    for choice in rules.RULES[name].choices:
        text = f"set rule {name} {choice}"
        await _measure(outcome, options, choice, share, text, events)
    return outcome


def _outcome(options, name, share):
    text = f"{share:.0%} of capacity, seeds {', '.join(map(str, _SEEDS))}"
    seconds = options.duration_ms // 1000
    conditions = f"{options.mix.name}, {text}, {seconds} s of arrivals each"
    return report.Outcome(f"compare-{name}", conditions)


async def _measure(outcome, options, label, share, text=None, events=None, **shape):
    """Measure one choice over all seeds."""
    rows = []
    for seed in _SEEDS:
        seeded = dataclasses.replace(options, seed=seed)
        changed = dataclasses.replace(options.shape, program=run.OBSERVED, **shape)
        async with cluster.start(changed) as cluster_:
            if text is not None:
                await run.command(cluster_, text)
            arrivals = seeded.arrivals(share)
            measured = await run.play(cluster_, arrivals, events, _DEADLINE_MS)
        rows.append(_figures(measured, options))
    for name, unit in rows[0]:
        values = [row[name, unit] for row in rows]
        spread = f"{min(values):.3g} to {max(values):.3g}"
        title = f"{label}: {name} ({spread})"
        outcome.add(title, statistics.median(values), unit)
    outcome.series[label] = {
        name: [row[name, u] for row in rows] for name, u in rows[0]
    }


def _figures(measured, options):
    complete = measured.complete()
    ratios = [
        result.latency_ms
        / ideal.response_ms(measured.arrivals[result.number], options.slots)
        for result in complete
    ]
    incomplete = [result for result in measured.results if result.state != "complete"]
    work_ms = sum(sum(measured.arrivals[result.number].run_ms) for result in complete)
    span_ms = options.slots * measured.duration_ms
    return {
        ("response over ideal, p50", ""): report.quantile(ratios, 0.5),
        ("response over ideal, p95", ""): report.quantile(ratios, 0.95),
        ("response over ideal, p99", ""): report.quantile(ratios, 0.99),
        ("jobs not complete", ""): len(incomplete) / len(measured.results),
        ("work of complete jobs, of capacity", ""): work_ms / span_ms,
        ("starts beyond the first a task", ""): measured.verdict.extra / measured.tasks,
        ("messages a task", ""): sum(measured.messages.values()) / measured.tasks,
        ("faults", ""): measured.verdict.faults,
    }
