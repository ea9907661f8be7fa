"""Results of an experiment and their output as tables and JSON."""

from __future__ import annotations

import os

import attrs
import msgspec
import tabulate

AT_MOST = "at most"
AT_LEAST = "at least"


@attrs.frozen(slots=True)
class Measure:
    """One measured value.

    Attributes:
        name: What was measured, with its unit.
        figure: Measured value.
        target: Target value; `None` if the figure is only reported.
        bound: Whether the figure must be at most or at least the target.
    """

    name: str
    figure: float
    target: float | None = None
    bound: str = AT_MOST

    @property
    def verdict(self) -> str:
        """``met`` or ``missed``, empty if there is no target."""
        if self.target is None:
            return ""
        if self.bound == AT_MOST:
            return "met" if self.figure <= self.target else "missed"
        return "met" if self.figure >= self.target else "missed"


@attrs.frozen(slots=True)
class Table:
    """A table of the report."""

    title: str
    headers: tuple[str, ...]
    rows: list[tuple[object, ...]]


@attrs.frozen(slots=True)
class Curve:
    """A line or a group of bars of a plot."""

    label: str
    x: list[float]
    y: list[float]


@attrs.frozen(slots=True)
class Plot:
    """A plot of the report.

    Attributes:
        title: Title, from which the file name is derived.
        x_label: Label of the x axis with its unit.
        y_label: Label of the y axis with its unit.
        curves: Lines, or groups of bars with the same labels.
        bars: Labels of the bars; empty for lines.
        log_y: Whether the y axis is logarithmic.
        marks: Positions on the x axis to mark with a vertical line, by label.
    """

    title: str
    x_label: str
    y_label: str
    curves: list[Curve]
    bars: tuple[str, ...] = ()
    log_y: bool = False
    marks: dict[str, float] = attrs.field(factory=dict)


@attrs.define(slots=True)
class Outcome:
    """All results of one experiment."""

    benchmark: str
    seed: int
    seconds: float
    measures: list[Measure] = attrs.field(factory=list)
    tables: list[Table] = attrs.field(factory=list)
    plots: list[Plot] = attrs.field(factory=list)
    notes: list[str] = attrs.field(factory=list)
    load_before: tuple[float, ...] = attrs.field(factory=os.getloadavg)

    @property
    def verdict(self) -> str:
        """``met`` if every target is met, else ``missed``."""
        missed = any(item.verdict == "missed" for item in self.measures)
        return "missed" if missed else "met"

    def format_tables(self, style: str) -> str:
        """Return the measures and tables as text.

        Args:
            style: Table format of `tabulate`.
        """
        rows = [
            (
                item.name,
                round(item.figure, 4),
                "" if item.target is None else f"{item.bound} {item.target:g}",
                item.verdict,
            )
            for item in self.measures
        ]
        headers = ("measure", "figure", "target", "verdict")
        parts = [tabulate.tabulate(rows, headers=headers, tablefmt=style)]
        for table in self.tables:
            text = tabulate.tabulate(
                table.rows, headers=table.headers, tablefmt=style, floatfmt=".4g"
            )
            parts.append(f"{table.title}:\n\n{text}")
        return "\n\n".join(parts)

    def format_json(self) -> str:
        """Return the JSON object that is the last line of the output."""
        measures = [
            {
                "name": item.name,
                "figure": round(item.figure, 5),
                "target": item.target,
                "bound": item.bound if item.target is not None else None,
                "verdict": item.verdict or None,
            }
            for item in self.measures
        ]
        load = [round(item, 2) for item in (*self.load_before, *os.getloadavg())]
        result = {
            "benchmark": self.benchmark,
            "seed": self.seed,
            "seconds": self.seconds,
            "measures": measures,
            "verdict": self.verdict,
            "load_before": load[:3],
            "load_after": load[3:],
        }
        return msgspec.json.encode(result).decode()
