"""Sums up several runs of each policy and prints them as a table.  Pure."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from measure.figures import Figures


@dataclass(frozen=True, slots=True)
class Column:
    """One column: its title, the figure, how to show it, and which way is better.

    ``better`` is min or max for a figure that is compared with the best baseline.
    """

    title: str
    value: Callable[[Figures], float]
    show: str = "{:.0f}"
    better: Callable[[Sequence[float]], float] | None = None


COLUMNS = (
    Column("hit rate", lambda f: f.hit_rate, "{:.3f}", max),
    Column("TTFT p50 s", lambda f: f.first_p50, "{:.3f}", min),
    Column("p95 s", lambda f: f.first_p95, "{:.3f}", min),
    Column("p99 s", lambda f: f.first_p99, "{:.3f}", min),
    Column("wasted share", lambda f: f.wasted_share, "{:.3f}", min),
    Column("wasted tokens", lambda f: f.wasted_tokens, "{:.0f}", min),
)
SUMS = (
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
    """Return the median of each figure with its least and greatest in brackets.

    The last row has the product's median as a ratio to the best baseline's.
    """
    rows = [
        [policy, *(_spread(column, found) for column in COLUMNS)]
        for policy, found in runs.items()
    ]
    rows.append([f"{product} / best baseline", *_ratios(runs, product)])
    return _markdown(["policy", *(column.title for column in COLUMNS)], rows)


def sums_table(runs: Mapping[str, Sequence[Figures]]) -> str:
    """Return what became of the requests, summed over all runs."""
    rows = [
        [policy, *(f"{sum(column.value(f) for f in found):.0f}" for column in SUMS)]
        for policy, found in runs.items()
    ]
    return _markdown(["policy", *(column.title for column in SUMS)], rows)


def _spread(column: Column, found: Sequence[Figures]) -> str:
    values = [column.value(f) for f in found]
    middle, low, high = statistics.median(values), min(values), max(values)
    shown = [column.show.format(value) for value in (middle, low, high)]
    return f"{shown[0]} ({shown[1]}–{shown[2]})"


def _ratios(runs: Mapping[str, Sequence[Figures]], product: str) -> list[str]:
    shown = []
    for column in COLUMNS:
        medians = {
            policy: statistics.median(column.value(f) for f in found)
            for policy, found in runs.items()
        }
        baselines = [value for policy, value in medians.items() if policy != product]
        if product not in medians or not baselines or column.better is None:
            shown.append("–")
            continue
        best = column.better(baselines)
        shown.append(f"{medians[product] / best:.2f}" if best else "–")
    return shown


def _markdown(titles: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [titles, ["---"] * len(titles), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"
