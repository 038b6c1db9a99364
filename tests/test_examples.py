"""Settings and declarations of the example deployments are valid and consistent."""

from __future__ import annotations

import shutil
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import pytest

from gooseberrydale.process.cfg import Cfg
from gooseberrydale.process.cfg_file import load
from gooseberrydale.version import declaration_file
from gooseberrydale.version.declarations import Config
from gooseberrydale.version.validation import config_faults

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


@dataclass(frozen=True, slots=True)
class Expected:
    """The documented size of one deployment."""

    zones: int
    entries: int
    pools: dict[tuple[str, str], int]
    loads_at_once: int
    large_workspaces: int


WORKSPACES = 8
EXPECTED = {
    "fraserline": Expected(
        4, 3, {("summaries", "completion"): 5, ("bids", "service"): 4}, 2, 3
    ),
    "red-clay": Expected(
        3, 2, {("helpers", "completion"): 9, ("inventory", "service"): 3}, 3, 2
    ),
}


def load_all(folder: Path, name: str) -> list[Cfg]:
    source = EXAMPLES / name / "settings" if name in EXPECTED else EXAMPLES / name
    shutil.copytree(source, folder, dirs_exist_ok=True)
    (folder / "fleet.token").write_text("a secret of this test")
    (folder / "operators.toml").write_text("")
    return [load(path).unwrap() for path in sorted(folder.glob("*-*.toml"))]


@pytest.mark.parametrize("name", EXPECTED)
def test_settings_load_and_match_the_documented_size(tmp_path: Path, name: str) -> None:
    expected = EXPECTED[name]
    cfgs = load_all(tmp_path, name)
    controls = [cfg for cfg in cfgs if cfg.control is not None]
    sidecars = [cfg.sidecar for cfg in cfgs if cfg.sidecar is not None]
    assert len({cfg.node.zone for cfg in cfgs}) == expected.zones
    assert len({cfg.node.name for cfg in cfgs}) == len(cfgs)
    assert len([cfg for cfg in cfgs if cfg.entry is not None]) == expected.entries
    assert Counter((s.pool, s.kind) for s in sidecars) == expected.pools
    assert len({cfg.node.zone for cfg in controls}) == len(controls) == 3
    for cfg in controls:
        assert cfg.control is not None
        assert cfg.control.loads_at_once == expected.loads_at_once
        assert tuple(cfg.control.replicas.values()) == cfg.fleet.controls


@pytest.mark.parametrize("name", EXPECTED)
def test_declarations_match_the_settings(tmp_path: Path, name: str) -> None:
    declared = declaration_file.load(EXAMPLES / name / "declarations.toml").unwrap()
    config = Config(1, declared.profiles, declared.workspaces)
    assert list(config_faults(config)) == []
    sidecars = [cfg.sidecar for cfg in load_all(tmp_path, name) if cfg.sidecar]
    offered = {(s.pool, s.kind, s.model) for s in sidecars}
    required = {(p.pool, p.kind.value, p.model) for p in declared.profiles.values()}
    assert required == offered
    assert len(declared.workspaces) == WORKSPACES
    large = [w for w in declared.workspaces.values() if w.share > 1.0]
    assert len(large) == EXPECTED[name].large_workspaces
    assert any(not p.repeatable for p in declared.profiles.values())


@pytest.mark.parametrize("name", [*EXPECTED, "by-hand"])
def test_addresses_are_unique(tmp_path: Path, name: str) -> None:
    listeners: list[str] = []
    for cfg in load_all(tmp_path, name):
        if cfg.entry is not None:
            listeners += [cfg.entry.http, cfg.entry.rpc]
        if cfg.sidecar is not None:
            listeners += [cfg.sidecar.rpc, cfg.sidecar.upstream]
        if cfg.control is not None:
            listeners += [cfg.control.http, cfg.control.rpc]
    assert len(set(listeners)) == len(listeners)
