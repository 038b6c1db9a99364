"""Crowds at the listeners of an entry, of operators and of a sidecar's metrics."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Iterator, Mapping
from dataclasses import replace
from functools import partial
from types import MappingProxyType

import pytest

from gooseberrydale.connection.rpc import DISPATCH, PROPOSE, QUOTA
from gooseberrydale.version.declarations import Profile, ProfileKind, Workspace
from tests.builders_crowd import BODIES, MAX_BODY_BYTES, UNUSUAL_BODIES
from tests.builders_crowd_fleet import (
    CONTROL_MEMORY_MB,
    AnyCrowd,
    Listener,
    cases,
    check_crowd,
)
from tests.builders_crowd_rpc import RpcCrowd
from tests.callers import BackgroundLoop
from tests.fleet import (
    CONTROL_HTTP_PORT,
    CONTROL_RPC_PORT,
    ENTRY_HTTP_PORT,
    ENTRY_RPC_PORT,
    FLEET_TOKEN,
    METRICS_HTTP_PORT,
    OPERATOR_TOKEN,
    SIDECAR_RPC_PORT,
    Fleet,
    UpstreamSpec,
    key_digest,
)

KEY = "key-of-the-crowd"
ENTRY_MEMORY_MB = 200
SIDECAR_MEMORY_MB = 128
TEXT_PATH = "/v1/completions"
CHAT = {"model": "chat", "messages": [{"role": "user", "content": "Hello"}]}

CASES = [
    *(("entry", form) for form in BODIES),
    ("entry", "values in each body"),
    ("entry", "parts in each body"),
    ("entry's texts", "tokens in each body"),
    ("entry", "requests ahead"),
    ("entry", "nothing at all"),
    ("entry", "heads without their end"),
    ("entry's models", "requests ahead"),
    ("operators", "bodies without their last byte"),
    ("operators", "bodies in tiny chunks"),
    ("operators", "parts in each body"),
    ("operators", "requests ahead"),
    ("operators", "nothing in series"),
    ("sidecar's metrics", "requests ahead"),
    ("sidecar's metrics", "requests with bodies ahead"),
]
BY_HAND_CASES = [
    *(("entry", form) for form in UNUSUAL_BODIES),
    ("operators", "values in each body"),
    ("operators", "nothing at all"),
]

TLS_CASES = [
    ("entry", "handshakes without a reply"),
    ("operators", "nothing at all"),
]
BY_HAND_TLS_CASES = [
    ("entry", "nothing at all"),
    ("entry", "handshakes without their end"),
    ("operators", "handshakes without their end"),
    ("operators", "handshakes without a reply"),
]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    yield from started_fleet(tmp_path_factory.mktemp("crowds"), tls=False)


@pytest.fixture(scope="module")
def fleet_with_tls(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    yield from started_fleet(tmp_path_factory.mktemp("crowds"), tls=True)


def started_fleet(folder: pathlib.Path, *, tls: bool) -> Iterator[Fleet]:
    """Yield a fleet with one process of each role, which serves ``CHAT``."""
    fleet = Fleet(folder, ("zone-1",), tls=tls)
    try:
        fleet.add_controls(1)
        fleet.add_entries(1, max_body_bytes=MAX_BODY_BYTES)
        fleet.add_upstream(
            UpstreamSpec("engine-1", "chat", flags=("--model", "model-a"), metrics=True)
        )
        fleet.start()
        fleet.declare(
            [
                Profile(
                    name="chat",
                    pool="chat",
                    kind=ProfileKind.COMPLETION,
                    model="model-a",
                )
            ],
            [Workspace(name="w", key_digests=(key_digest(KEY),))],
        )
        fleet.wait_ready(1)
        yield fleet
    finally:
        fleet.close()


def listener_of(fleet: Fleet, name: str) -> Listener:
    """Return a listener by its name."""
    entry = f"{fleet.host('entry-1')}:{ENTRY_HTTP_PORT}"
    control = f"{fleet.host('control-1')}:{CONTROL_HTTP_PORT}"
    sidecar = f"{fleet.host('sidecar-engine-1')}:{METRICS_HTTP_PORT}"
    chat = partial(
        Listener,
        "entry-1",
        entry,
        ENTRY_MEMORY_MB,
        headers={"authorization": f"Bearer {KEY}"},
    )
    tls = fleet.verify if fleet.tls else None
    path = "/v1/chat/completions"
    listeners = {
        "entry": chat(
            path, call=("POST", path), body=json.dumps(CHAT).encode(), full=True
        ),
        "entry's texts": chat(
            TEXT_PATH, call=("POST", path), body=json.dumps(CHAT).encode()
        ),
        "entry's models": chat("/v1/models", call=("GET", "/v1/models"), method="GET"),
        "operators": Listener(
            "control-1",
            control,
            CONTROL_MEMORY_MB,
            "/v1/changes",
            call=("GET", "/v1/config"),
            headers={"authorization": f"Bearer {OPERATOR_TOKEN}"},
        ),
        "sidecar's metrics": Listener(
            "sidecar-engine-1",
            sidecar,
            CONTROL_MEMORY_MB,
            "/metrics",
            call=("GET", "/metrics"),
            method="GET",
        ),
    }
    return replace(listeners[name], tls=tls)


def check(
    fleet: Fleet,
    listener: Listener,
    crowd: AnyCrowd,
    behind: Mapping[str, int] = MappingProxyType({}),
) -> None:
    """Check what must hold while a crowd is at a listener; see ``check_crowd``."""
    load = BackgroundLoop()
    try:
        check_crowd(fleet.processes, load, listener, crowd, behind=behind)
    finally:
        load.close()


@pytest.mark.parametrize(("listener", "form"), cases(CASES, BY_HAND_CASES))
def test_crowd_leaves_the_process_and_ordinary_callers_alone(
    fleet: Fleet, listener: str, form: str
) -> None:
    """Guards against clients that fill the memory of a process."""
    found = listener_of(fleet, listener)
    others = {"sidecar-engine-1": SIDECAR_MEMORY_MB, "control-1": CONTROL_MEMORY_MB}
    behind = others if found.process == "entry-1" else {}
    check(fleet, found, found.make_crowd(form), behind)


@pytest.mark.parametrize(("listener", "form"), cases(TLS_CASES, BY_HAND_TLS_CASES))
def test_crowd_without_handshakes_leaves_the_process_and_ordinary_callers_alone(
    fleet_with_tls: Fleet, listener: str, form: str
) -> None:
    """Guards against clients that hold a connection before it is known to anybody."""
    found = listener_of(fleet_with_tls, listener)
    check(fleet_with_tls, found, found.make_crowd(form))


OVER_TLS_CASES = [
    ("entry", "bodies in tiny chunks"),
    ("entry", "small bodies without their last byte"),
    ("operators", "nothing in series"),
]
BY_HAND_OVER_TLS_CASES = [
    ("entry", "bodies without their last byte"),
    ("entry", "requests ahead"),
    ("entry", "nothing at all"),
    ("entry", "nothing in series"),
    ("operators", "requests ahead"),
    ("operators", "nothing at all"),
]


@pytest.mark.parametrize(
    ("listener", "form"), cases(OVER_TLS_CASES, BY_HAND_OVER_TLS_CASES)
)
def test_crowd_over_tls_leaves_the_process_and_ordinary_callers_alone(
    fleet_with_tls: Fleet, listener: str, form: str
) -> None:
    """Guards against what connections with TLS take beyond others."""
    found = listener_of(fleet_with_tls, listener)
    check(fleet_with_tls, found, found.make_crowd(form, over_tls=True))


RPC_CASES = [
    (listener, token)
    for listener in ("control", "entry", "sidecar")
    for token in ("wrong", FLEET_TOKEN)
]
RPC_MEMBERS = 40


@pytest.mark.parametrize(("listener", "token"), RPC_CASES)
def test_peers_that_do_not_end_their_messages_leave_the_process_alone(
    fleet: Fleet, listener: str, token: str
) -> None:
    """Guards against messages that fill the memory, also of strangers."""
    chat, operators = (listener_of(fleet, name) for name in ("entry", "operators"))
    found, port, method = {
        "control": (operators, CONTROL_RPC_PORT, PROPOSE),
        "entry": (chat, ENTRY_RPC_PORT, QUOTA),
        "sidecar": (chat, SIDECAR_RPC_PORT, DISPATCH),
    }[listener]
    process = {"sidecar": "sidecar-engine-1"}.get(listener, f"{listener}-1")
    memory_mb = ENTRY_MEMORY_MB if listener == "entry" else CONTROL_MEMORY_MB
    address = f"{fleet.host(process)}:{port}"
    found = replace(
        found, process=process, crowded=address, memory_mb=memory_mb, full=False
    )
    check(fleet, found, RpcCrowd(address, RPC_MEMBERS, method, token))
