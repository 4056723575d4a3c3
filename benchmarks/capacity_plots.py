"""Plots of the measured series with their lines and limits."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from benchmarks.slopes_collect import Measured, Results

__all__ = ["draw_plots"]

_COLUMNS = 3
_PANEL_INCHES = (4.2, 3.0)
_DOTS_PER_INCH = 70


def draw_plots(results: Results, directory: Path) -> None:
    """Write one picture for each group of series, the part of the name before a dot."""
    groups: dict[str, list[Measured]] = {}
    for name, item in results.measured.items():
        groups.setdefault(name.partition(".")[0], []).append(item)
    for group, items in groups.items():
        _draw_group(items, directory / f"{group}.png")


def _draw_group(items: list[Measured], path: Path) -> None:
    columns = min(_COLUMNS, len(items))
    rows = -(-len(items) // columns)
    size = (_PANEL_INCHES[0] * columns, _PANEL_INCHES[1] * rows)
    figure, axes = pyplot.subplots(rows, columns, figsize=size, squeeze=False)
    panels = [panel for line in axes for panel in line]
    for panel, item in zip(panels, items, strict=False):
        _draw_panel(panel, item)
    for panel in panels[len(items) :]:
        panel.axis("off")
    figure.tight_layout()
    # Without the version of the library, so that pictures differ only with figures.
    figure.savefig(path, dpi=_DOTS_PER_INCH, metadata={"Software": None})
    pyplot.close(figure)


def _draw_panel(panel: "pyplot.Axes", item: Measured) -> None:
    series, fit = item.series, item.fit
    xs = [x for x, _ in series.points]
    panel.plot(xs, [y for _, y in series.points], "o", label="measured")
    line = sorted({*xs, series.at})
    heights = [fit.intercept + fit.slope * x**series.power for x in line]
    panel.plot(line, heights, "-", label="line")
    if series.limit is not None:
        panel.axhline(series.limit, color="red", linestyle="--", label="limit")
    panel.set_title(series.title, fontsize=8)
    panel.set_xlabel(series.x_name, fontsize=8)
    panel.set_ylabel(series.unit, fontsize=8)
    panel.tick_params(labelsize=7)
    panel.legend(fontsize=7)
