"""Plots of saved figures, as SVG.

    python -m jujubeglade.bench load80 zone --out figures.json
    python -m jujubeglade.bench.plots figures.json docs/plots

Only this module needs matplotlib.
"""

import json
import pathlib
import sys

import matplotlib

matplotlib.use("svg")
# A fixed salt, so that the same figures give the same file.
matplotlib.rcParams["svg.hashsalt"] = "jujubeglade"
matplotlib.rcParams["svg.fonttype"] = "none"

from matplotlib import pyplot  # noqa: E402

_SIZE_INCHES = (5, 3)


def main(figures, folder):
    """Draw every plot for which there are figures.

    Args:
      figures: A string, the path of a file that `--out` wrote.
      folder: A string, the folder for the plots.
    """
    outcomes = json.loads(pathlib.Path(figures).read_text(encoding="utf-8"))
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    for outcome in outcomes:
        for prefix, draw in _DRAW_FUNCTIONS.items():
            if outcome["scenario"].startswith(prefix) and outcome["series"]:
                path = pathlib.Path(folder) / f"{outcome['scenario']}.svg"
                _draw(draw, outcome, path)
                print(path)


def _draw(draw, outcome, path):
    chart, axes = pyplot.subplots(figsize=_SIZE_INCHES, layout="constrained")
    draw(axes, outcome["series"])
    axes.set_title(outcome["conditions"], fontsize=7)
    axes.grid(alpha=0.3)
    chart.savefig(path, metadata={"Date": None})
    pyplot.close(chart)


def _draw_response(axes, series):
    """Draw the share of jobs that are answered within a multiple of the ideal."""
    for name, label in (("ratios", "measured"), ("best", "best queue by arrival")):
        values = series[name]
        shares = [(index + 1) / len(values) for index in range(len(values))]
        axes.plot(values, shares, label=label)
    axes.set_xscale("log")
    axes.set_xlabel("response over ideal")
    axes.set_ylabel("share of jobs")
    axes.set_ylim(0.5, 1)
    axes.legend()


def _draw_zone(axes, series):
    """Draw the busy slots and the slots in service by second."""
    axes.plot(series["work"], label="slots busy")
    axes.step(
        range(len(series["slots"])),
        series["slots"],
        where="post",
        label="slots in service",
    )
    axes.set_ylim(bottom=0)
    axes.set_xlabel("seconds")
    axes.legend()


def _draw_fleet(axes, series):
    """Draw the processor time and traffic of an entry by the size of the fleet."""
    axes.plot(*series["entry_cpu"], "o-", label="processor of an entry, % of a core")
    axes.plot(*series["entry_kb"], "s-", label="traffic of an entry, KB/s")
    axes.set_xlabel("agents")
    axes.set_ylim(bottom=0)
    axes.legend()


def _draw_comparison(axes, series):
    """Draw the p99 of every seed for each choice."""
    name = "response over ideal, p99"
    for index, label in enumerate(series):
        values = series[label][name]
        axes.plot([index] * len(values), values, "o")
    axes.set_xticks(range(len(series)), list(series))
    axes.set_ylabel(name)
    axes.set_ylim(bottom=0)


_DRAW_FUNCTIONS = {
    "load": _draw_response,
    "zone": _draw_zone,
    "capacity-fleet": _draw_fleet,
    "compare": _draw_comparison,
}


if __name__ == "__main__":
    main(*sys.argv[1:])
