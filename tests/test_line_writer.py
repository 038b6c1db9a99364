"""Writing log lines never blocks on a slow reader."""

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
from gooseberrydale.process.line_writer import LineBudget, LineWriter


def test_too_many_lines_of_one_kind_are_suppressed_and_counted() -> None:
    budget = LineBudget(per_s=10.0, burst=5.0)
    admitted = [budget.admit("a", 0.0) for _ in range(8)]
    assert admitted == [0, 0, 0, 0, 0, None, None, None]
    assert budget.admit("b", 0.0) == 0
    assert budget.admit("a", 0.1) == 3
    assert budget.admit("a", 0.1) is None


def test_slow_reader_loses_lines_but_does_not_block_the_writer() -> None:
    read_fd, write_fd = os.pipe()
    out = LineWriter(write_fd, max_buffered_bytes=2_000)
    for number in range(5_000):
        out.write(b"line %d " % number + b"x" * 90)
    assert out.dropped > 0
    received = b""
    while len(received) < 4_000:
        received += os.read(read_fd, 65_536)
    dropped = out.dropped
    out.write(b"after")
    os.close(write_fd)
    while chunk := os.read(read_fd, 65_536):
        received += chunk
    os.close(read_fd)
    lines = received.split(b"\n")
    # The lines received are complete and in order, up to the newest one.
    numbers = [int(line.split()[1]) for line in lines if line.startswith(b"line")]
    assert numbers == list(range(len(numbers)))
    assert lines[-2:] == [b"after", b""] and out.dropped == dropped


def test_lines_are_dropped_once_the_reader_has_closed() -> None:
    read_fd, write_fd = os.pipe()
    out = LineWriter(write_fd)
    os.close(read_fd)
    out.write(b"lost")
    assert out.dropped == 1
    os.close(write_fd)


@pytest.fixture
def pipe(monkeypatch: pytest.MonkeyPatch) -> Iterator[int]:
    read_fd, write_fd = os.pipe()
    with open(write_fd, "w") as stdout:
        monkeypatch.setattr(sys, "stdout", stdout)
        logs.setup(LogCfg(stdout=True), logs.Identity("gateway", "g1"))
        yield read_fd
    os.close(read_fd)
    logger.remove()
    logging.basicConfig(handlers=[], force=True)


def test_many_lines_of_one_outcome_do_not_suppress_another_outcome(pipe: int) -> None:
    for number in range(300):
        logger.bind(event="request", outcome="answered", number=number).info("request")
    logger.bind(event="request", outcome="lost", number=300).info("request")
    lines: list[dict[str, Any]] = [
        json.loads(line) for line in os.read(pipe, 1 << 20).splitlines()
    ]
    assert 200 <= len(lines) < 300
    assert lines[-1]["outcome"] == "lost"
