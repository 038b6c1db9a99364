"""The harness of the features takes little time of its own."""

from __future__ import annotations

import pathlib
import ssl

import pytest

from tests.fleet import Fleet

CALLS = 3


@pytest.mark.parametrize("tls", [False, True], ids=["plain", "tls"])
def test_calls_to_a_fleet_do_not_load_the_certificates_each_time(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, tls: bool
) -> None:
    """Loading them takes longer than a change takes to be in force."""
    fleet = Fleet(tmp_path, ("zone-1",), tls=tls)
    fleet.operate_at("control-1", "GET", "/v1/status")
    fleet.entry_ready("entry-1")
    loads = 0

    class CountedContext(ssl.SSLContext):
        def load_verify_locations(self, *args: object, **kwargs: object) -> None:
            nonlocal loads
            loads += 1
            super().load_verify_locations(*args, **kwargs)  # type: ignore[arg-type]

    monkeypatch.setattr(ssl, "SSLContext", CountedContext)
    for _ in range(CALLS):
        fleet.operate_at("control-1", "GET", "/v1/status")
        fleet.entry_ready("entry-1")
    assert loads == 0
