"""Formats the figures of several runs of each policy as Markdown tables; no I/O."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from measure.figures import Figures


@dataclass(frozen=True, slots=True)
class Column:
    """A column of a table: its title, its figure and how to format that.

    ``better`` is min or max if the figure is compared with the best baseline.
    """

    title: str
    value: Callable[[Figures], float]
    number_format: str = "{:.0f}"
    better: Callable[[Sequence[float]], float] | None = None


COLUMNS = (
    Column("hit rate", lambda f: f.hit_rate, "{:.3f}", max),
    Column("TTFT p50 s", lambda f: f.first_p50, "{:.3f}", min),
    Column("p95 s", lambda f: f.first_p95, "{:.3f}", min),
    Column("p99 s", lambda f: f.first_p99, "{:.3f}", min),
    Column("wasted share", lambda f: f.wasted_share, "{:.3f}", min),
    Column("wasted tokens", lambda f: f.wasted_tokens, "{:.0f}", min),
)
TOTALS = (
    Column("asked", lambda f: f.asked),
    Column("whole", lambda f: f.whole),
    Column("refused", lambda f: f.refused),
    Column("broken", lambda f: f.broken),
    Column("lost", lambda f: f.lost),
    Column("wrong", lambda f: f.wrong),
    Column("doubled", lambda f: f.doubled),
    Column("calls", lambda f: f.calls),
    Column("whole", lambda f: f.calls_whole),
    Column("refused", lambda f: f.calls_refused),
    Column("unknown", lambda f: f.calls_unknown),
    Column("doubled", lambda f: f.calls_doubled),
    Column("missing", lambda f: f.calls_missing),
    Column("ran though refused", lambda f: f.false_refusals),
)


def figures_table(runs: Mapping[str, Sequence[Figures]], product: str) -> str:
    """Return the median of each figure with its minimum and maximum in brackets.

    The last row is the ratio of the median of the product to that of the best baseline.
    """
    rows = [
        [policy, *(_median_and_range(column, figures) for column in COLUMNS)]
        for policy, figures in runs.items()
    ]
    rows.append([f"{product} / best baseline", *_ratios(runs, product)])
    return _markdown(["policy", *(column.title for column in COLUMNS)], rows)


def totals_table(runs: Mapping[str, Sequence[Figures]]) -> str:
    """Return the counts of outcomes, summed over all runs of each policy."""
    rows = [
        [policy, *(f"{sum(column.value(f) for f in figures):.0f}" for column in TOTALS)]
        for policy, figures in runs.items()
    ]
    return _markdown(["policy", *(column.title for column in TOTALS)], rows)


def _median_and_range(column: Column, figures: Sequence[Figures]) -> str:
    values = [column.value(f) for f in figures]
    median, low, high = statistics.median(values), min(values), max(values)
    cells = [column.number_format.format(value) for value in (median, low, high)]
    return f"{cells[0]} ({cells[1]}–{cells[2]})"


def _ratios(runs: Mapping[str, Sequence[Figures]], product: str) -> list[str]:
    cells = []
    for column in COLUMNS:
        medians = {
            policy: statistics.median(column.value(f) for f in figures)
            for policy, figures in runs.items()
        }
        baselines = [value for policy, value in medians.items() if policy != product]
        if product not in medians or not baselines or column.better is None:
            cells.append("–")
            continue
        best = column.better(baselines)
        cells.append(f"{medians[product] / best:.2f}" if best else "–")
    return cells


def _markdown(titles: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [titles, ["---"] * len(titles), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"
