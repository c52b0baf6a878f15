"""The bench: `python -m jujubeglade.bench [NAME...]`; without a name, the usual ones.

Each scenario prints a table of figures beside the users' targets. `--full` runs
longer; `--out FILE` writes the figures for `python -m jujubeglade.bench.plots`.
"""

import asyncio
import pathlib
import sys
from typing import Annotated

import typer

from jujubeglade.bench import capacity, compare, measure, paths, report, scenarios


def main(
    names: Annotated[
        list[str] | None, typer.Argument(help="The scenarios to run.")
    ] = None,
    deployment: Annotated[
        str, typer.Option(help="Whose cluster shape and load.")
    ] = "association",
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
    full: Annotated[bool, typer.Option(help="Run longer.")] = False,
    out: Annotated[
        pathlib.Path | None, typer.Option(help="File for the figures.")
    ] = None,
):
    """Measure, and print PASS or FAIL against the users' targets."""
    unknown = set(names or ()) - set(scenarios.SCENARIOS)
    if unknown:
        choices = ", ".join(scenarios.SCENARIOS)
        print(
            f"no scenario {', '.join(unknown)}; choose from {choices}", file=sys.stderr
        )
        raise typer.Exit(2)
    shape, mix = measure.DEPLOYMENTS[deployment]
    options = scenarios.Options(shape, mix, seed, full)
    outcomes = []
    for name in names or _default_names():
        outcomes.append(asyncio.run(scenarios.SCENARIOS[name](options)))
        print(report.render(outcomes[-1]), flush=True)
        if out is not None:
            report.dump(outcomes, out)
    if any(figure.passed is False for o in outcomes for figure in o.figures):
        raise typer.Exit(1)


def _default_names():
    return [name for name in scenarios.SCENARIOS if name not in scenarios.BY_NAME]


if __name__ == "__main__":
    # Importing these modules registers their scenarios.
    _SCENARIO_MODULES = (measure, paths, capacity, compare)
    typer.run(main)
