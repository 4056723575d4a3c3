"""Series of measured points, their line and what it gives at the planned size."""

import math

import msgspec

__all__ = ["Fit", "Series", "fit_series"]


class Series(msgspec.Struct, frozen=True):
    """Hold the points (x, y) of one measured quantity.

    ``power`` is the exponent of x in the line: 1 for a quantity that grows with
    the fleet, 2 for one that grows with its square. ``at`` is the x of the figure
    that the capacity page needs, ``limit`` the greatest y that is allowed there.
    """

    name: str
    title: str
    unit: str
    x_name: str
    points: list[tuple[float, float]]
    at: float
    source: str
    power: int = 1
    limit: float | None = None

    def value_at(self, x: float) -> float:
        """Return the measured y of an x; raises KeyError if it was not measured."""
        return dict(self.points)[x]


class Fit(msgspec.Struct, frozen=True):
    """Hold a least-squares line ``intercept + slope * x ** power``.

    ``error`` is the root mean square of the residuals over the mean of y, and
    ``exponent`` the slope of log y over log x between the two largest points.
    """

    slope: float
    intercept: float
    error: float
    exponent: float
    extrapolated: float


def fit_series(series: Series) -> Fit:
    """Return the line of a series; it needs two different x."""
    xs = [x**series.power for x, _ in series.points]
    ys = [y for _, y in series.points]
    mean_x = math.fsum(xs) / len(xs)
    mean_y = math.fsum(ys) / len(ys)
    spread = math.fsum((x - mean_x) ** 2 for x in xs)
    product = math.fsum(
        (x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)
    )
    slope = product / spread
    intercept = mean_y - slope * mean_x
    residuals = [y - intercept - slope * x for x, y in zip(xs, ys, strict=True)]
    rms = math.sqrt(math.fsum(r * r for r in residuals) / len(residuals))
    return Fit(
        slope=slope,
        intercept=intercept,
        error=rms / mean_y if mean_y else 0.0,
        exponent=_find_exponent(series.points),
        extrapolated=intercept + slope * series.at**series.power,
    )


def _find_exponent(points: list[tuple[float, float]]) -> float:
    (x1, y1), (x2, y2) = sorted(points)[-2:]
    if min(y1, y2) <= 0:
        return 0.0
    return math.log(y2 / y1) / math.log(x2 / x1)
