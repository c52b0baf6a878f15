"""The bench: `python -m jujubeglade.bench [NAME...]`; without a name, all of them.

Each scenario prints a table of figures beside the users' targets. `--full` runs
longer, `--out FILE` keeps the figures for `python -m jujubeglade.bench.plots`.
"""

import asyncio
import pathlib
import sys
from typing import Annotated

import typer

from jujubeglade.bench import capacity, compare, measure, paths, report, scenarios


def main(
    names: Annotated[list[str] | None, typer.Argument(help="The scenarios.")] = None,
    deployment: Annotated[str, typer.Option(help="Whose shape.")] = "association",
    seed: Annotated[int, typer.Option(help="Of the load.")] = 1,
    full: Annotated[bool, typer.Option(help="Run longer.")] = False,
    out: Annotated[pathlib.Path | None, typer.Option(help="Keep figures.")] = None,
):
    """Measure, and print PASS or FAIL against the users' targets."""
    unknown = set(names or ()) - set(scenarios.SCENARIOS)
    if unknown:
        known = ", ".join(scenarios.SCENARIOS)
        print(f"no scenario {', '.join(unknown)}; choose of {known}", file=sys.stderr)
        raise typer.Exit(2)
    shape, mix = measure.DEPLOYMENTS[deployment]
    options = scenarios.Options(shape, mix, seed, full)
    outcomes = []
    for name in names or _usual():
        outcomes.append(asyncio.run(scenarios.SCENARIOS[name](options)))
        print(report.render(outcomes[-1]), flush=True)
        if out is not None:
            report.dump(outcomes, out)
    if any(each.passed is False for o in outcomes for each in o.figures):
        raise typer.Exit(1)


def _usual():
    return [each for each in scenarios.SCENARIOS if each not in scenarios.BY_NAME]


if __name__ == "__main__":
    # Named here, so that their scenarios are registered.
    _SCENARIO_MODULES = (measure, paths, capacity, compare)
    typer.run(main)
