"""One need of a role, and the figures that needs are worked out from."""

from dataclasses import dataclass

from benchmarks.capacity_size import SIZE
from benchmarks.slopes_collect import Results

__all__ = ["Figures", "Need"]


@dataclass(frozen=True, slots=True)
class Need:
    """State one need of a role; ``cell`` is the figure inside a cell of 16.

    A need without a limit is for information.
    """

    role: str
    quantity: str
    value: float
    unit: str
    limit: float | None = None
    cell: float | None = None
    series: str = ""
    mechanism: str = ""


class Figures:
    """Read figures by series name."""

    def __init__(self, results: Results) -> None:
        self._measured = results.measured

    def full(self, name: str) -> float:
        """Return the figure at the size that the series is for."""
        item = self._measured[name]
        known = dict(item.series.points)
        return known.get(item.series.at, item.fit.extrapolated)

    def cell(self, name: str) -> float:
        """Return what was measured at the size of a cell."""
        return self._measured[name].series.value_at(SIZE.cell_instances)

    def slope(self, name: str) -> float:
        """Return the slope of a series."""
        return self._measured[name].fit.slope

    def line(self, name: str, x: float) -> float:
        """Return the line of a series at x."""
        item = self._measured[name]
        return item.fit.intercept + item.fit.slope * x**item.series.power
