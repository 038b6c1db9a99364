"""Straight lines through measured points, and how well they fit.  Pure."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Line:
    """``y = intercept + slope * x``.

    ``r2`` is the share of the variance that the line explains; ``low`` and ``high``
    are the least and greatest slope with one of the points left out.
    """

    slope: float
    intercept: float
    r2: float
    low: float
    high: float


def fit(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Return the least-squares line; raises ValueError under three sizes."""
    if len(set(xs)) < 3:
        raise ValueError("a line needs points at three sizes at least")
    slope, intercept = statistics.linear_regression(xs, ys)
    without_one = [
        statistics.linear_regression(_without(xs, i), _without(ys, i)).slope
        for i in range(len(xs))
    ]
    low, high = min(without_one), max(without_one)
    return Line(slope, intercept, _r2(xs, ys, slope, intercept), low, high)


def _without(values: Sequence[float], index: int) -> list[float]:
    return [value for i, value in enumerate(values) if i != index]


def _r2(
    xs: Sequence[float], ys: Sequence[float], slope: float, intercept: float
) -> float:
    mean = statistics.fmean(ys)
    total = sum((y - mean) ** 2 for y in ys)
    left = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys))
    return 1.0 - left / total if total else 1.0
