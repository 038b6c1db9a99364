"""Routes of a document, its checks, and the state that keeps documents."""

from __future__ import annotations

import pytest

from gooseberrydale.connection.codec import decode, encode
from gooseberrydale.connection.control_messages import (
    Command,
    CommandReply,
    DeclareReq,
    NameWeightsReq,
    ReadDocumentReq,
)
from gooseberrydale.version.control_state import ControlState
from gooseberrydale.version.declarations import Document
from gooseberrydale.version.declared import Declared, KeyHolder, Route, Share
from gooseberrydale.version.declared_checks import declared_faults
from gooseberrydale.version.route_table import RouteTable
from tests.builders_gateway import POOL, declared, route

PREFIXES = ("/", "/a/", "/a/b/", "/ab/")
LOOKUPS = {
    "/": "/",
    "/a": "/",
    "/a/": "/a/",
    "/a/x": "/a/",
    "/a/b": "/a/",
    "/a/b/": "/a/b/",
    "/a/b/c/d/e": "/a/b/",
    "/ab/c": "/ab/",
    "/abc": "/",
    "": None,
    "no-slash": None,
}


@pytest.mark.parametrize("path", LOOKUPS)
def test_the_longest_prefix_that_begins_the_path_is_found(path: str) -> None:
    table = RouteTable(
        declared(*(route(name=p, host="h", path_prefix=p) for p in PREFIXES))
    )
    found = table.route("h", path)
    assert (found.name if found else None) == LOOKUPS[path]
    assert table.route("other", path) is None


def test_a_look_up_takes_as_many_steps_as_the_deepest_prefix() -> None:
    table = RouteTable(declared(route(host="h", path_prefix="/a/b/")))
    assert table.route("h", "/a/b" + "/" * 10_000) is not None
    assert table.route("h", "/" * 10_000) is None


def test_keys_name_their_workspace() -> None:
    holders = (KeyHolder("a", ("k1", "k2")), KeyHolder("b", ("k3",)))
    table = RouteTable(declared(workspaces=holders))
    assert [table.workspace(k) for k in ("k1", "k2", "k3", "k4", None)] == [
        holders[0],
        holders[0],
        holders[1],
        None,
        None,
    ]
    assert table.needs_keys
    assert not RouteTable(declared(workspaces=None)).needs_keys


def shares(*weights: float) -> tuple[Share, ...]:
    """Shares of one pool with these weights."""
    return tuple(Share(POOL, weight) for weight in weights)


FAULTS: dict[str, tuple[Declared, str]] = {
    "unknown pool": (declared(route(shares=(Share("no", 1.0),))), "unknown service"),
    "no share": (declared(route(shares=())), "add up to 0"),
    "no weight": (declared(route(shares=shares(0.0, 0.0))), "add up to 0"),
    "negative": (declared(route(shares=shares(-1.0, 3.0))), "weight -1.0"),
    "infinite": (declared(route(shares=shares(float("inf")))), "weight inf"),
    "no timeout": (declared(route(timeout_s=0.0)), "timeout of 0"),
    "same place": (declared(route(), route(name="other")), "share host"),
    "shared key": (
        declared(workspaces=(KeyHolder("a", ("k",)), KeyHolder("b", ("k",)))),
        "share a key",
    ),
    "no number": (declared(number=0), "its number is 0"),
}


@pytest.mark.parametrize("case", FAULTS)
def test_each_fault_is_named(case: str) -> None:
    document, text = FAULTS[case]
    [fault] = [fault for fault in declared_faults(document) if text in fault]
    assert fault


def test_a_sound_document_has_no_fault() -> None:
    routes: tuple[Route, ...] = (route(), route(name="b", path_prefix="/b/"))
    assert list(declared_faults(declared(*routes))) == []


class Log:
    """Commits requests one by one."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.index = 0

    def ask(self, req: object) -> object:
        self.index += 1
        command = encode(Command(1.0, (encode(req),)))
        reply: CommandReply = decode(self.state.apply(self.index, command))
        return decode(reply.replies[0])

    def held(self) -> tuple[int, bytes] | None:
        document = self.ask(ReadDocumentReq()).document  # type: ignore[attr-defined]
        return None if document is None else (document.number, document.body)


def test_the_highest_document_is_in_force_and_all_are_acknowledged() -> None:
    log = Log()
    assert log.held() is None
    for number, body, held in [
        (5, b"five", (5, b"five")),
        (5, b"five", (5, b"five")),
        (5, b"other", (5, b"five")),
        (3, b"three", (5, b"five")),
        (9, b"nine", (9, b"nine")),
        (5, b"five", (9, b"nine")),
    ]:
        reply = log.ask(DeclareReq(Document(number, body)))
        assert reply.problem is None  # type: ignore[attr-defined]
        assert log.held() == held
    assert log.state.config.revision == 2


def test_named_weights_only_rise_and_survive_a_snapshot() -> None:
    log = Log()
    for model, version in [("m", 2), ("m", 1), ("n", 1), ("m", 4), ("m", 3)]:
        log.ask(NameWeightsReq(model, version))
    log.ask(DeclareReq(Document(1, b"one")))
    assert log.state.config.weights == {"m": 4, "n": 1}
    restored = ControlState()
    restored.restore(log.state.snapshot())
    assert restored.config == log.state.config
