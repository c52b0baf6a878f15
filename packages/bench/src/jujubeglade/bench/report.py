"""Figures, and the tables that compare them with the users' targets."""

import dataclasses
import json
import os

_VERDICTS = {True: "PASS", False: "FAIL", None: ""}


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    Attributes:
      name: A string.
      value: A number.
      unit: A string.
      most: A number, the target that the value must not exceed, or None.
      least: A number, the target that the value must reach, or None.
    """

    name: str
    value: float
    unit: str = ""
    most: float | None = None
    least: float | None = None

    @property
    def passed(self):
        """Return whether the target is met; None without a target."""
        if self.most is not None:
            return self.value <= self.most
        if self.least is not None:
            return self.value >= self.least
        return None

    @property
    def target(self):
        """Render the target."""
        if self.most is not None:
            return f"<= {self.most:g}"
        if self.least is not None:
            return f">= {self.least:g}"
        return ""


@dataclasses.dataclass(slots=True)
class Outcome:
    """The figures of one scenario.

    Attributes:
      scenario: A string.
      conditions: A string: seed, load and duration.
      figures: A list of Figures.
      series: A dict from names to data for plots.
      notes: A list of strings, shown below the table.
    """

    scenario: str
    conditions: str
    figures: list = dataclasses.field(default_factory=list)
    series: dict = dataclasses.field(default_factory=dict)
    notes: list = dataclasses.field(default_factory=list)

    def add(self, name, value, unit="", **target):
        """Add a Figure; the arguments are its fields."""
        self.figures.append(Figure(name, value, unit, **target))


def render(outcome):
    """Render an outcome as a table.

    Args:
      outcome: An Outcome.

    Returns:
      A string.
    """
    loads = ", ".join(f"{load:.1f}" for load in os.getloadavg()[:2])
    lines = [
        f"### {outcome.scenario}",
        "",
        f"{outcome.conditions}; load average at the end {loads}.",
        "",
        "| figure | measured | target | |",
        "|--------|---------:|--------|-|",
    ]
    for figure in outcome.figures:
        value = f"{figure.value:.4g} {figure.unit}".strip()
        verdict = _VERDICTS[figure.passed]
        lines.append(f"| {figure.name} | {value} | {figure.target} | {verdict} |")
    lines += ["", *(f"- {note}" for note in outcome.notes)] if outcome.notes else []
    return "\n".join(lines) + "\n"


def dump(outcomes, path):
    """Write outcomes to a file for `plots`.

    Args:
      outcomes: A list of Outcomes.
      path: A pathlib.Path.
    """
    rows = [dataclasses.asdict(outcome) for outcome in outcomes]
    path.write_text(json.dumps(rows), encoding="utf-8")


def quantile(values, share):
    """Find a quantile.

    Args:
      values: A sequence of numbers.
      share: A number from 0 to 1.

    Returns:
      A number; 0 when there are no values.
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
