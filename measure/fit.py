"""Fits straight lines to measured points and rates the fit; does no I/O."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Line:
    """``y = intercept + slope * x``.

    ``r2`` is the coefficient of determination.  ``low`` and ``high`` are the least and
    greatest slopes of the fits that leave out one of the points.
    """

    slope: float
    intercept: float
    r2: float
    low: float
    high: float


def fit(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Return the least-squares line; raise ValueError for fewer than 3 distinct x."""
    if len(set(xs)) < 3:
        raise ValueError("a fit needs points at three or more distinct sizes")
    slope, intercept = statistics.linear_regression(xs, ys)
    partial_slopes = [
        statistics.linear_regression(_drop_index(xs, i), _drop_index(ys, i)).slope
        for i in range(len(xs))
    ]
    low, high = min(partial_slopes), max(partial_slopes)
    return Line(slope, intercept, _r2(xs, ys, slope, intercept), low, high)


def _drop_index(values: Sequence[float], index: int) -> list[float]:
    return [value for i, value in enumerate(values) if i != index]


def _r2(
    xs: Sequence[float], ys: Sequence[float], slope: float, intercept: float
) -> float:
    mean = statistics.fmean(ys)
    total = sum((y - mean) ** 2 for y in ys)
    residual = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys))
    return 1.0 - residual / total if total else 1.0
