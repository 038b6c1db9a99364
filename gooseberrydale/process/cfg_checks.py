"""Checks of settings beyond their types: allowed values and combinations.

They run once, on the parsed TOML before it is converted to dataclasses, so that a
value of the wrong type doesn't hide faults of other keys.  Files that the settings
name are opened to check that they can be read.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from gooseberrydale.errors import ProblemError
from gooseberrydale.process.cfg import (
    Cfg,
    ControlCfg,
    EntryCfg,
    GatewayCfg,
    SidecarCfg,
    TlsCfg,
)
from gooseberrydale.request.policy_names import POLICY_NAMES

Table = dict[str, Any]

ROLES = ("entry", "gateway", "sidecar", "control")
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL")
UPSTREAM_KINDS = ("completion", "service")
MAX_PORT = 65_535

_ROLE_TABLES = {
    "entry": EntryCfg,
    "gateway": GatewayCfg,
    "sidecar": SidecarCfg,
    "control": ControlCfg,
}
# All other numbers of the roles' tables must be above 0.
_MAY_BE_ZERO = (
    "control.order_pause_s",
    "control.tolerated_losses",
    "control.tolerated_zones",
    "gateway.link_mbps",
    "gateway.max_fds",
    "gateway.memory_mb",
    "gateway.retry_ratio",
    "gateway.retry_slack",
    "gateway.start_after_s",
    "entry.drain_s",
    "entry.retry_ratio",
    "sidecar.drain_s",
    "sidecar.max_queued",
    "sidecar.notice_s",
)
_ADDRESS = "write an address as IP:PORT"
_TLS_KEYS = ("cert_file", "key_file", "ca_file")
_TLS_TABLES = ("fleet.tls", "entry.tls", "control.tls")


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a settings file: the dotted key, what is wrong, what to do."""

    key: str
    reason: str
    remedy: str


Check = Callable[[str, Any], Fault | None]
"""Checks the value of a dotted key; values of the wrong type pass."""


def resolve_paths(table: Table, base: Path) -> None:
    """Replace relative paths in ``table`` by paths under the folder ``base``."""
    for key in _path_keys():
        parent, name = _parent(table, key)
        value = parent.get(name)
        if isinstance(value, str) and value:
            parent[name] = str(base / value)


def find_faults(table: Table, role: str | None) -> Iterator[Fault]:
    """Yield the faults in ``table`` for a process of ``role``; None for any role.

    Values of the wrong type are skipped, as the conversion to ``Cfg`` reports them.
    """
    for key, check in _CHECKS.items():
        parent, name = _parent(table, key)
        if name in parent:
            yield from _if_any(check(key, parent[name]))
    for key in _TLS_TABLES:
        yield from _if_any(_tls_pair(table, key))
    yield from _if_any(_missing_role_table(table, role))
    yield from _if_any(_missing_trust(table))
    if role in (None, "control"):
        yield from _group_faults(table)
        yield from _open_group_faults(table)
    if role in ("entry", "gateway", "sidecar"):
        yield from _if_any(_missing_peers(table))


def warnings(cfg: Cfg) -> tuple[str, ...]:
    """Return a warning for each unsafe but allowed setting, with a remedy."""
    listeners: list[tuple[str, str, TlsCfg]] = []
    if cfg.entry is not None:
        listeners.append(("entry.http", cfg.entry.http, cfg.entry.tls))
        listeners.append(("entry.rpc", cfg.entry.rpc, cfg.fleet.tls))
    if cfg.sidecar is not None:
        listeners.append(("sidecar.rpc", cfg.sidecar.rpc, cfg.fleet.tls))
    if cfg.control is not None:
        listeners.append(("control.http", cfg.control.http, cfg.control.tls))
        listeners.append(("control.rpc", cfg.control.rpc, cfg.fleet.tls))
    if cfg.gateway is not None:
        listeners.append(("gateway.http", cfg.gateway.http, TlsCfg()))
    return tuple(
        f"{key} listens on {address} without TLS; set the tls table or bind to loopback"
        for key, address, tls in listeners
        if not tls.cert_file and not _is_loopback(address)
    )


def token_fault(key: str, value: Any) -> Fault | None:
    """Return why the file ``value`` can't be used as token file; None if it can."""
    fault = _readable_file(key, value)
    if fault is not None or not isinstance(value, str):
        return fault
    if not Path(value).read_bytes().strip():
        return Fault(key, f"names the empty file {value!r}", "write a secret into it")
    return None


def _address(key: str, value: Any) -> Fault | None:
    if not isinstance(value, str) or _parse_address(value) is not None:
        return None
    return Fault(key, f"is {value!r}, not an address", _ADDRESS)


def _address_or_empty(key: str, value: Any) -> Fault | None:
    return None if value == "" else _address(key, value)


def _addresses(key: str, value: Any) -> Fault | None:
    if not isinstance(value, list):
        return None
    wrong = [v for v in value if isinstance(v, str) and _parse_address(v) is None]
    if not wrong:
        return None
    listed = ", ".join(repr(v) for v in wrong)
    return Fault(key, f"holds {listed}, not addresses", _ADDRESS)


def _replica_addresses(key: str, value: Any) -> Fault | None:
    if not isinstance(value, dict):
        return None
    return _addresses(key, list(value.values()))


def _readable_file(key: str, value: Any) -> Fault | None:
    if not isinstance(value, str) or not value:
        return None
    try:
        with open(value, "rb"):
            return None
    except OSError as exc:
        reason = f"names {value!r}, which can't be read ({exc.strerror})"
        return Fault(key, reason, "create the file or correct the path")


def _operators_file(key: str, value: Any) -> Fault | None:
    fault = _readable_file(key, value)
    if fault is not None or not isinstance(value, str) or not value:
        return fault
    # Imported here, as it also imports the code of the control role.
    from gooseberrydale.process.control.operator_auth import load_operators

    try:
        load_operators(Path(value))
    except ProblemError as exc:
        reason = f"names a file with faults ({exc.problem.message})"
        return Fault(key, reason, "correct that file")
    return None


def _data_folder(key: str, value: Any) -> Fault | None:
    if not isinstance(value, str) or not Path(value).is_file():
        return None
    return Fault(key, f"names the file {value!r}", "name a folder")


def _positive(key: str, value: Any) -> Fault | None:
    if isinstance(value, bool) or not isinstance(value, int | float) or value > 0:
        return None
    return Fault(key, f"is {value}, not above 0", "write a number above 0")


def _not_negative(key: str, value: Any) -> Fault | None:
    if isinstance(value, bool) or not isinstance(value, int | float) or value >= 0:
        return None
    return Fault(key, f"is {value}, below 0", "write 0 or more")


def _not_empty(key: str, value: Any) -> Fault | None:
    if not isinstance(value, str) or value.strip():
        return None
    return Fault(key, "is empty", "write a name")


def _url(key: str, value: Any) -> Fault | None:
    if not isinstance(value, str) or value.startswith(("http://", "https://")):
        return None
    return Fault(key, f"is {value!r}, not a URL", "write http://IP:PORT")


def _one_of(allowed: tuple[str, ...]) -> Check:
    def check(key: str, value: Any) -> Fault | None:
        if not isinstance(value, str) or value in allowed:
            return None
        return Fault(key, f"is {value!r}", f"write one of {', '.join(allowed)}")

    return check


def _tls_pair(table: Table, key: str) -> Fault | None:
    """Check that a TLS table has both a certificate and its key, or neither."""
    parent, name = _parent(table, key)
    tls = parent.get(name)
    if not isinstance(tls, dict):
        return None
    if bool(tls.get("cert_file")) == bool(tls.get("key_file")):
        return None
    return Fault(key, "has only one of cert_file and key_file", "set both")


def _missing_role_table(table: Table, role: str | None) -> Fault | None:
    if role is not None and role not in table:
        return Fault(role, "is missing", f"add the table [{role}]")
    if role is None and not any(name in table for name in ROLES):
        listed = ", ".join(f"[{name}]" for name in ROLES)
        return Fault("role", "has no table", f"add one of {listed}")
    return None


def _group_faults(table: Table) -> Iterator[Fault]:
    """Check that the listed group is complete, odd and without duplicates."""
    control = _sub_table(table, "control")
    replicas = control.get("replicas")
    name = _sub_table(table, "node").get("name")
    if not isinstance(replicas, dict) or not isinstance(name, str):
        return
    key = "control.replicas"
    if name not in replicas:
        reason = f"does not list this replica, {name!r}"
        yield Fault(key, reason, "list every replica, this one included")
    if len(replicas) % 2 == 0:
        reason = f"lists {len(replicas)} replicas, an even number"
        yield Fault(key, reason, "run 3 or 5 replicas")
    if len(set(map(str, replicas.values()))) < len(replicas):
        yield Fault(key, "has the same address for two replicas", "correct it")


def _missing_trust(table: Table) -> Fault | None:
    """Check that processes have a shared secret or explicitly need none."""
    fleet = table.get("fleet")
    if not isinstance(fleet, dict):
        return None
    if fleet.get("token_file") or fleet.get("trust_network") is True:
        return None
    remedy = "name a file with a secret, or set fleet.trust_network on a closed network"
    return Fault("fleet.token_file", "is missing", remedy)


def _open_group_faults(table: Table) -> Iterator[Fault]:
    """Check that a replica either lists its group or joins an open one."""
    control = _sub_table(table, "control")
    is_open = control.get("open_group") is True
    if is_open and control.get("replicas"):
        reason = "can't be combined with control.replicas"
        yield Fault("control.open_group", reason, "remove one of the two")
    if is_open and not _sub_table(table, "fleet").get("controls"):
        reason = "is empty, so there is no group to join"
        yield Fault("fleet.controls", reason, "list some replicas of the group")
    if control.get("bootstrap") is True and not is_open:
        reason = "is set without control.open_group"
        yield Fault("control.bootstrap", reason, "run 'control init' on one replica")


def _missing_peers(table: Table) -> Fault | None:
    """Check that the settings list a process to connect to."""
    fleet = table.get("fleet")
    if not isinstance(fleet, dict) or fleet.get("controls") or fleet.get("entries"):
        return None
    reason = "and fleet.entries are empty, so this process can't reach any other"
    return Fault("fleet.controls", reason, "list the control replicas")


def _parse_address(text: str) -> tuple[str, int] | None:
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return None
    if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        return None
    return str(ip), int(port)


def _is_loopback(address: str) -> bool:
    parsed = _parse_address(address)
    return parsed is not None and ipaddress.ip_address(parsed[0]).is_loopback


def _if_any(fault: Fault | None) -> Iterator[Fault]:
    if fault is not None:
        yield fault


def _sub_table(table: Table, name: str) -> Table:
    value = table.get(name)
    return value if isinstance(value, dict) else {}


def _parent(table: Table, key: str) -> tuple[Table, str]:
    """Return the table that contains the dotted ``key``, and the key's last name.

    If that table is missing, the returned one is empty.
    """
    *names, last = key.split(".")
    for name in names:
        table = _sub_table(table, name)
    return table, last


def _path_keys() -> Iterator[str]:
    yield from ("fleet.token_file", "control.data_dir", "control.operators_file")
    yield "gateway.data_dir"
    yield "log.file"
    for table in _TLS_TABLES:
        yield from (f"{table}.{key}" for key in _TLS_KEYS)


def _number_checks() -> Iterator[tuple[str, Check]]:
    """Yield a check for each number in the roles' tables.

    Numbers must be positive, or not negative if their key is in ``_MAY_BE_ZERO``.
    """
    for table, cls in _ROLE_TABLES.items():
        for field in fields(cls):
            key = f"{table}.{field.name}"
            if field.type in ("int", "float"):
                yield key, _not_negative if key in _MAY_BE_ZERO else _positive


_CHECKS: dict[str, Check] = {
    "node.name": _not_empty,
    "node.zone": _not_empty,
    "node.region": _not_empty,
    "fleet.token_file": token_fault,
    "fleet.controls": _addresses,
    "fleet.entries": _addresses,
    "fleet.control_rpc_port": _not_negative,
    "gateway.http": _address,
    "gateway.ready": _address,
    "gateway.gossip": _address,
    "gateway.data_dir": _data_folder,
    "log.level": _one_of(LOG_LEVELS),
    "metrics.http": _address,
    "entry.http": _address,
    "entry.rpc": _address,
    "entry.policy": _one_of(POLICY_NAMES),
    "sidecar.upstream": _url,
    "sidecar.pool": _not_empty,
    "sidecar.kind": _one_of(UPSTREAM_KINDS),
    "sidecar.rpc": _address,
    "sidecar.advertise": _address_or_empty,
    "control.data_dir": _data_folder,
    "control.rpc": _address,
    "control.http": _address,
    "control.replicas": _replica_addresses,
    "control.operators_file": _operators_file,
}
_CHECKS.update({f"{t}.{k}": _readable_file for t in _TLS_TABLES for k in _TLS_KEYS})
_CHECKS.update(_number_checks())
