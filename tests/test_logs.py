"""Log lines are JSON with context fields and contain no secrets."""

from __future__ import annotations

import json
import logging
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from loguru import logger

from gooseberrydale.process import logs
from gooseberrydale.process.cfg import LogCfg

SECRET = "swordfish-4711"


@pytest.fixture
def log_file(tmp_path: Path) -> Iterator[Path]:
    path = tmp_path / "log"
    logs.mask_secret(SECRET)
    logs.setup(LogCfg(file=str(path)), logs.Identity("entry", "entry-1", "7-ab"))
    yield path
    logger.remove()
    logging.basicConfig(handlers=[], force=True)


def lines(path: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in path.read_text().splitlines()]


def test_line_is_json_with_identity_and_bound_fields(log_file: Path) -> None:
    bound = logger.bind(request_id="r-1", workspace="west", attempt=2)
    bound.info('refused "{}"\nwith a second line', "queue_full")
    (line,) = lines(log_file)
    assert line.pop("time").endswith("+00:00")
    assert line == {
        "level": "INFO",
        "message": 'refused "queue_full"\nwith a second line',
        "module": __name__,
        "role": "entry",
        "name": "entry-1",
        "incarnation": "7-ab",
        "request_id": "r-1",
        "workspace": "west",
        "attempt": 2,
    }


@pytest.mark.parametrize(
    "write",
    [
        lambda: logger.info("token read: {}", SECRET),
        lambda: logger.info("headers: {}", {"Authorization": f"Bearer {SECRET}"}),
        lambda: logger.bind(api_key="unlisted-91").info("a call"),
        lambda: logger.bind(fleet_token="unlisted-91").info("a call"),
        lambda: logger.bind(caller=["Bearer unlisted-91"]).info("a call"),
        lambda: logger.info("Authorization: bearer unlisted-91"),
        lambda: logger.info("api_key=unlisted-91"),
        lambda: logging.getLogger("uvicorn.error").warning("Bearer %s", "unlisted-91"),
        lambda: _log_error(f"bad key {SECRET}"),
    ],
)
def test_no_secret_is_written(log_file: Path, write: Any) -> None:
    write()
    text = log_file.read_text()
    assert len(lines(log_file)) == 1
    assert SECRET not in text and "unlisted-91" not in text
    assert logs.MASK in text


def test_traceback_contains_no_values_of_variables(log_file: Path) -> None:
    _log_error("no such file")
    (line,) = lines(log_file)
    assert line["level"] == "ERROR"
    assert "ValueError: no such file" in line["error"]
    assert "local value" not in line["error"]


def test_standard_logging_is_routed_and_access_lines_are_dropped(
    log_file: Path,
) -> None:
    logging.getLogger("uvicorn.access").info("GET /")
    logging.getLogger("uvicorn.error").info("Started server process")
    logging.getLogger("grpc").debug("too fine")
    logging.getLogger("grpc").error("connection %d lost", 3)
    (line,) = lines(log_file)
    assert (line["module"], line["level"]) == ("grpc", "ERROR")
    assert line["message"] == "connection 3 lost"


def test_braces_in_a_message_are_not_formatted(log_file: Path) -> None:
    logging.getLogger("x").error("{not a field} %s", "{0}")
    assert lines(log_file)[0]["message"] == "{not a field} {0}"


def _log_error(text: str) -> None:
    local_variable = "local " + "value"
    try:
        raise ValueError(text)
    except ValueError:
        logger.exception("it failed")
    assert local_variable
