"""Short runs of the soak, with seeds that failed before."""

from __future__ import annotations

import pathlib

import pytest

from soak.__main__ import known_seeds, run_gateway_seed
from soak.replaced_controls import run_controls_seed

SECONDS = 20.0


@pytest.mark.parametrize("seed", known_seeds(gateways=True, endless=True))
def test_promises_hold_while_upstreams_answer_without_end(
    tmp_path: pathlib.Path, seed: int
) -> None:
    assert run_gateway_seed(seed, SECONDS, tmp_path) == []


@pytest.mark.parametrize("seed", known_seeds(controls=True)[:1])
def test_no_gateway_denies_what_the_newest_document_allows(
    tmp_path: pathlib.Path, seed: int
) -> None:
    assert run_controls_seed(seed, SECONDS, tmp_path) == []
