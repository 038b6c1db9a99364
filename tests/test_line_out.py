"""Log lines that never wait for their reader."""

from __future__ import annotations

import json
import logging
import os
import sys
from collections.abc import Iterator
from typing import Any

import pytest
from loguru import logger

from gooseberrydale.process import logs
from gooseberrydale.process.cfg import LogCfg
from gooseberrydale.process.line_out import LineBudget, LineOut


def test_a_flood_of_one_kind_is_bounded_and_counted() -> None:
    budget = LineBudget(per_s=10.0, burst=5.0)
    found = [budget.admit("a", 0.0) for _ in range(8)]
    assert found == [0, 0, 0, 0, 0, None, None, None]
    assert budget.admit("b", 0.0) == 0
    assert budget.admit("a", 0.1) == 3
    assert budget.admit("a", 0.1) is None


def test_a_reader_that_stops_costs_lines_and_no_time() -> None:
    reading, writing = os.pipe()
    out = LineOut(writing, kept_bytes=2_000)
    for number in range(5_000):
        out.write(b"line %d " % number + b"x" * 90)
    assert out.dropped > 0
    got = b""
    while len(got) < 4_000:
        got += os.read(reading, 65_536)
    dropped = out.dropped
    out.write(b"after")
    os.close(writing)
    while part := os.read(reading, 65_536):
        got += part
    os.close(reading)
    lines = got.split(b"\n")
    # What came through is whole and in order, up to the newest line.
    numbers = [int(line.split()[1]) for line in lines if line.startswith(b"line")]
    assert numbers == list(range(len(numbers)))
    assert lines[-2:] == [b"after", b""] and out.dropped == dropped


def test_without_a_reader_lines_are_dropped() -> None:
    reading, writing = os.pipe()
    out = LineOut(writing)
    os.close(reading)
    out.write(b"lost")
    assert out.dropped == 1
    os.close(writing)


@pytest.fixture
def pipe(monkeypatch: pytest.MonkeyPatch) -> Iterator[int]:
    reading, writing = os.pipe()
    with open(writing, "w") as stdout:
        monkeypatch.setattr(sys, "stdout", stdout)
        logs.setup(LogCfg(stdout=True), logs.Identity("gateway", "g1"))
        yield reading
    os.close(reading)
    logger.remove()
    logging.basicConfig(handlers=[], force=True)


def test_ordinary_lines_do_not_crowd_out_those_that_explain(pipe: int) -> None:
    for number in range(300):
        logger.bind(event="request", outcome="answered", number=number).info("request")
    logger.bind(event="request", outcome="lost", number=300).info("request")
    found: list[dict[str, Any]] = [
        json.loads(line) for line in os.read(pipe, 1 << 20).splitlines()
    ]
    assert 200 <= len(found) < 300
    assert found[-1]["outcome"] == "lost"
