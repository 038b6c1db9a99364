"""Route lookup, checks of documents, and how the control state stores documents."""

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
def test_route_with_the_longest_matching_prefix_is_found(path: str) -> None:
    table = RouteTable(
        declared(*(route(name=p, host="h", path_prefix=p) for p in PREFIXES))
    )
    found = table.route("h", path)
    assert (found.name if found else None) == LOOKUPS[path]
    assert table.route("other", path) is None


def test_lookup_of_a_deep_path_is_bounded_by_the_deepest_prefix() -> None:
    table = RouteTable(declared(route(host="h", path_prefix="/a/b/")))
    assert table.route("h", "/a/b" + "/" * 10_000) is not None
    assert table.route("h", "/" * 10_000) is None


def test_key_selects_its_workspace() -> None:
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
    """Shares of the same pool with the given weights."""
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
def test_each_fault_of_a_document_is_reported(case: str) -> None:
    document, text = FAULTS[case]
    [fault] = [fault for fault in declared_faults(document) if text in fault]
    assert fault


def test_valid_document_has_no_faults() -> None:
    routes: tuple[Route, ...] = (route(), route(name="b", path_prefix="/b/"))
    assert list(declared_faults(declared(*routes))) == []


class CommittingControl:
    """Applies requests to a control state, one log entry each."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.index = 0

    def commit(self, req: object) -> object:
        self.index += 1
        command = encode(Command(1.0, (encode(req),)))
        reply: CommandReply = decode(self.state.apply(self.index, command))
        return decode(reply.replies[0])

    def held(self) -> tuple[int, bytes] | None:
        document = self.commit(ReadDocumentReq()).document  # type: ignore[attr-defined]
        return None if document is None else (document.number, document.body)


def test_document_with_the_highest_number_is_in_force_and_all_get_a_reply() -> None:
    control = CommittingControl()
    assert control.held() is None
    for number, body, held in [
        (5, b"five", (5, b"five")),
        (5, b"five", (5, b"five")),
        (5, b"other", (5, b"five")),
        (3, b"three", (5, b"five")),
        (9, b"nine", (9, b"nine")),
        (5, b"five", (9, b"nine")),
    ]:
        reply = control.commit(DeclareReq(Document(number, body)))
        assert reply.problem is None  # type: ignore[attr-defined]
        assert control.held() == held
    assert control.state.config.revision == 2


def test_named_weights_versions_only_increase_and_are_in_the_snapshot() -> None:
    control = CommittingControl()
    for model, version in [("m", 2), ("m", 1), ("n", 1), ("m", 4), ("m", 3)]:
        control.commit(NameWeightsReq(model, version))
    control.commit(DeclareReq(Document(1, b"one")))
    assert control.state.config.weights == {"m": 4, "n": 1}
    restored = ControlState()
    restored.restore(control.state.snapshot())
    assert restored.config == control.state.config


@pytest.mark.parametrize(
    ("workspaces", "expected"),
    [
        ((1, 1), {("a", "chat"): 1, ("a", "check"): 0, ("b", "chat"): 1}),
        ((0, 1), {("a", "chat"): 1, ("b", "check"): 2, ("b", "chat"): 3}),
        ((None, None), {("a", "chat"): 1, ("b", "check"): 0}),
    ],
)
def test_routes_of_equal_workspaces_keep_their_order(
    workspaces: tuple[int | None, ...], expected: dict[tuple[str, str], int]
) -> None:
    routes = {
        "check": route(name="check", path_prefix="/check/", priority=0),
        "chat": route(name="chat", path_prefix="/chat/", priority=2),
    }
    holders = {
        name: KeyHolder(name, (), priority) for name, priority in zip("ab", workspaces)
    }
    document = declared(*routes.values(), workspaces=tuple(holders.values()))
    table = RouteTable(document)
    ranks = {(w, r): table.rank(routes[r], holders[w]) for w, r in expected}
    assert _dense(ranks) == _dense(expected)


def _dense(ranks: dict[tuple[str, str], int]) -> dict[tuple[str, str], int]:
    order = sorted(set(ranks.values()))
    return {pair: order.index(rank) for pair, rank in ranks.items()}
