"""Runs the load of the users' counters: `python -m jujubeglade.bench.counters`.

A command over `counter_load`: it runs one load with one seed and prints what the
callers got, in total, by kind and by time window.
"""

import asyncio
import dataclasses
from typing import Annotated

import typer

from jujubeglade.bench import counter_load
from jujubeglade.direct import options
from jujubeglade.fakes import direct_site, virtual

_ZONES = ("zone-0", "zone-1", "zone-2")
#: From this many entries on they coordinate, with `--coordinate`.
_COORDINATE_FROM = 6
_WINDOW_S = 2
#: When the burst begins and ends.
_BURST_S = (4, 8)


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Entries and workers, and the requests of an ordinary day.

    Attributes:
      entries: An integer.
      workers: An integer.
      worker_cpu: An integer, thousandths of a core of a worker.
      task_cpu: An integer, the same for a task on average.
      share: A number, its rates over the users' rates.
      variety: A Variety.
      racks: A tuple of strings, the racks of the data of urgent jobs; empty when their
        data is everywhere.
    """

    entries: int
    workers: int
    worker_cpu: int
    task_cpu: int
    share: float = 1.0
    variety: direct_site.Variety = direct_site.UNIFORM
    racks: tuple = ()


#: Half of a deployment whose callers compete for room.
_COMPETING = Fleet(
    12,
    34,
    16_000,
    1600,
    3.0,
    direct_site.Variety((1.0, 1.0, 1.5), (1.0, 1.0, 1.3), 6, 3.0),
)
_RACKS = tuple(f"{zone}-0" for zone in _ZONES)

FLEETS = {
    "small": Fleet(4, 11, 32_000, 3100),
    "competing": _COMPETING,
    # The data of urgent jobs is in one rack of each zone, half of it in the first.
    "competing-racks": dataclasses.replace(_COMPETING, racks=_RACKS),
    # Half of the deployment whose workers are uneven.
    "uneven": Fleet(
        10,
        31,
        64_000,
        5900,
        2.6,
        direct_site.Variety((1.0, 1.0, 1.5), (0.55, 1.2, 1.2, 1.2), 4, 3.0),
    ),
}


def main(
    seconds: Annotated[
        int, typer.Option(help="For how long requests arrive, in s.")
    ] = 16,
    share: Annotated[float, typer.Option(help="Rates over the usual rates.")] = 1.1,
    burst: Annotated[
        float, typer.Option(help="Rates in the burst, over those outside.")
    ] = 2.0,
    entries: Annotated[
        int, typer.Option(help="Number of entries; 0 for that of the fleet.")
    ] = 0,
    seed: Annotated[int, typer.Option(help="Seed of the requests.")] = 1,
    coordinate: Annotated[
        bool, typer.Option(help="Whether six entries or more coordinate.")
    ] = False,
    fleet: Annotated[str, typer.Option(help=f"One of {', '.join(FLEETS)}.")] = "small",
):
    """Run one load and print what callers got."""
    if fleet not in FLEETS:
        raise typer.BadParameter(f"write one of {', '.join(FLEETS)}")
    chosen = FLEETS[fleet]
    if entries:
        chosen = dataclasses.replace(chosen, entries=entries)
    load = counter_load.Load(
        chosen.task_cpu,
        seconds,
        share * chosen.share,
        burst,
        _BURST_S,
        racks=chosen.racks,
    )
    chosen_options = options.Options(
        _COORDINATE_FROM if coordinate else 0, chosen.variety.remote_penalty
    )
    with asyncio.Runner(loop_factory=virtual.VirtualLoop) as runner:
        answers, violations = runner.run(play(chosen, load, seed, chosen_options))
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


async def play(fleet, load, seed, options):
    """Run a load on a new site.

    Args:
      fleet: A Fleet.
      load: A Load.
      seed: An integer.
      options: An Options.

    Returns:
      A pair of the Answers and of the violations that the workers saw.
    """
    zones = tuple(_ZONES[index % len(_ZONES)] for index in range(fleet.entries))
    site = await direct_site.open_site(
        zones, fleet.workers, fleet.worker_cpu, seed, options, fleet.variety
    )
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
