"""Runs the load of the users' counters: `python -m jujubeglade.bench.counters`.

A command over `counter_load`: it runs one load with one seed and prints what the
callers got, in total, by kind and by time window.
"""

import asyncio
from typing import Annotated

import typer

from jujubeglade.bench import counter_load
from jujubeglade.fakes import direct_site, virtual

#: As at Armor Neige; the Association's workers and tasks are twice as large.
_WORKERS = 11
_WORKER_CPU = 32_000
_TASK_CPU = 3100
_WINDOW_S = 2


def main(
    seconds: Annotated[
        int, typer.Option(help="For how long requests arrive, in s.")
    ] = 16,
    share: Annotated[float, typer.Option(help="Rates over the users' rates.")] = 1.1,
    burst: Annotated[
        float, typer.Option(help="Rates in the burst, over those outside.")
    ] = 2.0,
    begin: Annotated[int, typer.Option(help="When the burst begins, in s.")] = 4,
    end: Annotated[int, typer.Option(help="When the burst ends, in s.")] = 8,
    entries: Annotated[int, typer.Option(help="Number of entries.")] = 4,
    seed: Annotated[int, typer.Option(help="Seed of the requests.")] = 1,
):
    """Run one load and print what callers got."""
    load = counter_load.Load(_TASK_CPU, seconds, share, burst, (begin, end))
    with asyncio.Runner(loop_factory=virtual.VirtualLoop) as runner:
        answers, violations = runner.run(_play(load, entries, seed))
    _print("all", answers)
    for kind, part in counter_load.split(
        answers, lambda answer: answer.kind.name
    ).items():
        _print(kind, part)
    windows = counter_load.split(answers, lambda answer: int(answer.at_s // _WINDOW_S))
    for number, part in sorted(windows.items()):
        _print(f"{number * _WINDOW_S} s", part)
    for violation in violations:
        print(violation)
    if violations:
        raise typer.Exit(1)


async def _play(load, entries, seed):
    """Run a load on a new site.

    Returns:
      A pair of the Answers and of the violations that the workers saw.
    """
    zones = tuple(f"zone-{index}" for index in range(entries))
    site = await direct_site.open_site(zones, _WORKERS, _WORKER_CPU, seed)
    answers = await counter_load.play(site, load, seed)
    site.ticker.cancel()
    return answers, site.witness.violations


def _print(name, answers):
    """Print the Tally of some answers on one line."""
    shares = counter_load.tally(answers)
    print(
        f"{name:8} {len(answers):6} requests, worth {shares.worth:.3f}, "
        f"in time {shares.in_time:.3f}, served {shares.served:.3f}, "
        f"refused {shares.refused:.3f}"
    )


if __name__ == "__main__":
    typer.run(main)
