"""Settings files: loading them, and reporting all their faults together."""

from __future__ import annotations

from pathlib import Path

import pytest

from gooseberrydale.errors import ProblemError
from gooseberrydale.process import cfg_checks
from gooseberrydale.process.cfg_file import load, read_token

ENTRY = """
[node]
name = "entry-1"
zone = "west"
[fleet]
token_file = "fleet.token"
controls = ["127.0.0.1:8070"]
[entry]
http = "127.0.0.1:0"
"""
CONTROL = """
[node]
name = "control-1"
[fleet]
token_file = "fleet.token"
[control]
data_dir = "data"
[control.replicas]
control-1 = "127.0.0.1:1"
control-2 = "127.0.0.1:2"
control-3 = "127.0.0.1:3"
"""
FIVE_FAULTS = """
[node]
name = "entry-1"
colour = "green"
[fleet]
token_file = "no-such.token"
controls = ["control-1:8070"]
[entry]
http = "localhost:8080"
drain_s = "thirty"
"""


def write_settings(folder: Path, text: str) -> Path:
    (folder / "fleet.token").write_text("a fleet secret\n")
    path = folder / "settings.toml"
    path.write_text(text)
    return path


def fault_keys(path: Path, role: str) -> list[str]:
    problems = load(path, role).unwrap_err()
    assert {p.code for p in problems} == {"invalid_setting"}
    return sorted(p.message.split(": ")[1] for p in problems)


def test_all_faults_are_reported_together(tmp_path: Path) -> None:
    path = write_settings(tmp_path, FIVE_FAULTS)
    assert fault_keys(path, "entry") == [
        "entry.drain_s",
        "entry.http",
        "fleet.controls",
        "fleet.token_file",
        "node.colour",
    ]


def test_fault_names_file_key_and_remedy(tmp_path: Path) -> None:
    path = write_settings(tmp_path, ENTRY.replace("127.0.0.1:0", "localhost:80"))
    (fault,) = load(path, "entry").unwrap_err()
    assert fault.message == (
        f"{path}: entry.http: is 'localhost:80', not an address;"
        " write an address as IP:PORT."
    )


def test_values_and_defaults_are_loaded(tmp_path: Path) -> None:
    cfg = load(write_settings(tmp_path, ENTRY), "entry").unwrap()
    assert cfg.entry is not None
    assert (cfg.node.zone, cfg.entry.http) == ("west", "127.0.0.1:0")
    assert cfg.entry.drain_s == 30.0
    assert cfg.fleet.controls == ("127.0.0.1:8070",)
    assert read_token(cfg.fleet.token_file) == "a fleet secret"


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("zone =", "zones =", "node.zones"),
        ('"127.0.0.1:0"', "8080", "entry.http"),
        ("[entry]", "[entry]\nmax_body_bytes = 0", "entry.max_body_bytes"),
        ("[entry]", "[entry]\nmax_held_bytes = 0", "entry.max_held_bytes"),
        ("[entry]", "[entry]\nmax_handshakes = 0", "entry.max_handshakes"),
        ("[entry]", "[entry]\nmax_answer_bytes = 0", "entry.max_answer_bytes"),
        ("[entry]", "[entry]\nmax_body_values = 0", "entry.max_body_values"),
        ("[entry]", "[entry]\npolicy = 'luck'", "entry.policy"),
        ("[entry]", "[entry]\nmax_body_bytes = 1.5", "entry.max_body_bytes"),
        ("[entry]", "[entry.tls]\nca_file = 1\n[entry]", "entry.tls.ca_file"),
        ("[entry]", "[entry.tls]\ncert_file = 'fleet.token'\n[entry]", "entry.tls"),
        ("[entry]", "[sidecar]", "entry"),
        ('name = "entry-1"', "", "node.name"),
        ('["127.0.0.1:8070"]', "[]", "fleet.controls"),
        ('["127.0.0.1:8070"]', '"127.0.0.1:8070"', "fleet.controls"),
        ("[node]", "log = 3\n[node]", "log"),
        ("[node]", "[log]\nlevel = 'LOUD'\n[node]", "log.level"),
    ],
)
def test_fault_of_an_entry(tmp_path: Path, old: str, new: str, key: str) -> None:
    path = write_settings(tmp_path, ENTRY.replace(old, new, 1))
    assert key in fault_keys(path, "entry")


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('name = "control-1"', 'name = "other"', "control.replicas"),
        ("127.0.0.1:3", "127.0.0.1:2", "control.replicas"),
        ('control-3 = "127.0.0.1:3"', "", "control.replicas"),
        ('"127.0.0.1:3"', "3", "control.replicas.control-3"),
        ("[control]", "[control]\nclaim_ttl_s = -1", "control.claim_ttl_s"),
        (
            "[control]",
            "[control]\noperators_file = 'fleet.token'",
            "control.operators_file",
        ),
        ("[control]", "[control]\nloads_at_once = 0", "control.loads_at_once"),
        ('"data"', '"fleet.token"', "control.data_dir"),
    ],
)
def test_fault_of_a_control_replica(
    tmp_path: Path, old: str, new: str, key: str
) -> None:
    path = write_settings(tmp_path, CONTROL.replace(old, new, 1))
    assert fault_keys(path, "control") == [key]


@pytest.mark.parametrize(
    ("line", "keys"),
    [
        ('advertise = ""', []),
        ('advertise = "10.0.0.7:80"', []),
        ('advertise = "host:80"', ["sidecar.advertise"]),
        ('advertise = "10.0.0.7"', ["sidecar.advertise"]),
        ("checks_fencing = true", []),
        ("checks_fencing = 1", ["sidecar.checks_fencing"]),
    ],
)
def test_setting_of_a_sidecar(tmp_path: Path, line: str, keys: list[str]) -> None:
    sidecar = f"""[sidecar]
upstream = "http://127.0.0.1:1"
pool = "p"
{line}
"""
    path = write_settings(tmp_path, ENTRY[: ENTRY.index("[entry]")] + sidecar)
    loaded = load(path, "sidecar")
    assert (fault_keys(path, "sidecar") if loaded.is_err() else []) == keys


@pytest.mark.parametrize("text", ["[node", "\x00"])
def test_invalid_toml_is_one_fault(tmp_path: Path, text: str) -> None:
    assert fault_keys(write_settings(tmp_path, text), "entry") == ["the file"]


def test_missing_file_is_one_fault(tmp_path: Path) -> None:
    assert fault_keys(tmp_path / "absent.toml", "entry") == ["the file"]


def test_empty_token_file_is_a_fault(tmp_path: Path) -> None:
    path = write_settings(tmp_path, ENTRY)
    (tmp_path / "fleet.token").write_text("\n")
    assert fault_keys(path, "entry") == ["fleet.token_file"]
    with pytest.raises(ProblemError):
        read_token(tmp_path / "fleet.token")


@pytest.mark.parametrize(
    ("address", "count"), [("127.0.0.1:80", 0), ("[::1]:80", 0), ("10.0.0.7:80", 1)]
)
def test_public_listener_without_tls_is_a_warning(
    tmp_path: Path, address: str, count: int
) -> None:
    path = write_settings(tmp_path, ENTRY.replace("127.0.0.1:0", address))
    assert len(cfg_checks.warnings(load(path, "entry").unwrap())) == count
