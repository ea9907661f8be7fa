"""Markdown report with plots."""

import os
import pathlib
import re

import matplotlib

matplotlib.use("Agg")

from matplotlib import axes, pyplot  # noqa: E402

from benchmarks import outcomes  # noqa: E402

WIDTH_INCHES = 9.0
HEIGHT_INCHES = 5.0
DPI = 110


def write_report(outcome: outcomes.Outcome, folder: pathlib.Path, command: str) -> None:
    """Write a Markdown page and its plots.

    Args:
        outcome: Results of the experiment.
        folder: Folder of the page; created if it is missing.
        command: Command that was run.
    """
    folder.mkdir(parents=True, exist_ok=True)
    load = ", ".join(f"{item:.1f}" for item in outcome.load_before)
    load_after = ", ".join(f"{item:.1f}" for item in os.getloadavg())
    parts = [
        f"# {outcome.benchmark}",
        f"Command: `{command}`",
        f"Load of the machine (1, 5, 15 min): {load} before, {load_after} after, "
        f"on {os.cpu_count()} processors. Verdict: **{outcome.verdict}**.",
        outcome.format_tables("github"),
        *outcome.notes,
    ]
    for plot in outcome.plots:
        name = f"{outcome.benchmark}-{_slug(plot.title)}.png"
        _draw(plot, folder / name)
        parts.append(f"![{plot.title}]({name})")
    path = folder / f"{outcome.benchmark}.md"
    path.write_text("\n\n".join(parts) + "\n")


def _slug(title: str) -> str:
    return re.sub(r"[^a-z0-9]+", "-", title.lower()).strip("-")


def _draw(plot: outcomes.Plot, path: pathlib.Path) -> None:
    figure, area = pyplot.subplots(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    if plot.bars:
        _draw_bars(plot, area)
    else:
        _draw_lines(plot, area)
    if plot.log_y:
        area.set_yscale("log")
    area.set_title(plot.title)
    area.set_xlabel(plot.x_label)
    area.set_ylabel(plot.y_label)
    area.grid(visible=True, alpha=0.3)
    if len(plot.curves) > 1:
        area.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=DPI)
    pyplot.close(figure)


def _draw_lines(plot: outcomes.Plot, area: axes.Axes) -> None:
    for curve in plot.curves:
        style = "--" if "ideal" in curve.label else "-"
        marker = "o" if len(curve.x) < 20 else None
        area.plot(curve.x, curve.y, style, label=curve.label, marker=marker)
    top = area.get_ylim()[1]
    for label, x in plot.marks.items():
        area.axvline(x, color="black", linewidth=0.8, linestyle=":")
        area.text(x, top, f" {label}", va="top", fontsize=8)


def _draw_bars(plot: outcomes.Plot, area: axes.Axes) -> None:
    height = 0.8 / len(plot.curves)
    for number, curve in enumerate(plot.curves):
        positions = [index + number * height for index in range(len(curve.y))]
        drawn = area.barh(positions, curve.y, height, label=curve.label)
        area.bar_label(drawn, fmt="%.0f", fontsize=7, padding=2)
    middle = 0.4 - height / 2
    area.set_yticks([index + middle for index in range(len(plot.bars))])
    area.set_yticklabels(plot.bars)
    area.margins(x=0.1)
    area.invert_yaxis()
