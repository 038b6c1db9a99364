"""Cached prefixes of a workspace that becomes isolated are not used by others."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from gooseberrydale.connection.codec import decode, encode
from gooseberrydale.connection.control_messages import DeclareReq
from gooseberrydale.request.gateway_call import CallerRequest, RawHeaders, Terms
from gooseberrydale.version.cache_epoch import MAX_SHARING, CacheEpoch
from gooseberrydale.version.control_state import ControlState
from gooseberrydale.version.declarations import Config, Document
from gooseberrydale.version.declared import KeyHolder
from gooseberrydale.version.route_table import RouteTable
from tests.builders_control import run as apply
from tests.builders_gateway import (
    MODEL,
    PlainWire,
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    declared,
    record,
    route,
    running_gateway,
)
from tests.builders_machines import (
    HOST,
    OK,
    POOL,
    TOUCH_S,
    Machines,
    MachineUpstream,
)
from tests.builders_machines import call as call_machine
from tests.builders_machines import config, put_config
from tests.builders_machines import route as machine_route
from tests.builders_machines import running_machines, until_served
from tests.sidecar_harness import run

NAMES = "abc"
Walls = dict[str, bool]
"""Whether each declared workspace is isolated."""

WALLS = st.dictionaries(st.sampled_from(NAMES), st.booleans())


def holder(name: str, isolated: bool) -> KeyHolder:
    """Return a workspace."""
    return KeyHolder(name, (f"key-{name}",), isolated=isolated)


def declare(state: ControlState, number: int, walls: Walls) -> RouteTable:
    """Declare workspaces; return the table that gateways then have."""
    isolated = tuple(name for name in walls if walls[name])
    sharing = tuple(name for name in walls if not walls[name])
    apply(state, DeclareReq(Document(number, b""), isolated, sharing))
    document = state.config.document
    assert document is not None
    holders = tuple(holder(name, walls[name]) for name in walls)
    return RouteTable(declared(workspaces=holders), document.cache_epoch)


@given(st.lists(WALLS, min_size=1, max_size=12), st.data())
def test_no_document_lets_others_use_what_an_isolated_workspace_made(
    documents: list[Walls], data: Any
) -> None:
    """Gateways get documents at different moments, and control restarts."""
    state = ControlState()
    made: dict[str, set[str]] = {}
    tables: list[tuple[Walls, RouteTable]] = []
    for number, walls in enumerate(documents, start=1):
        if data.draw(st.booleans()):
            restored = ControlState()
            restored.restore(state.snapshot())
            state = restored
        tables.append((walls, declare(state, number, walls)))
        # A gateway with an older document still serves, and makes prefixes by it.
        for known, table in data.draw(st.lists(st.sampled_from(tables), max_size=2)):
            for name in known:
                scope = table.cache_scope(holder(name, known[name]))
                made.setdefault(scope, set()).add(name)
        newest = tables[-1][1]
        for name in walls:
            scope = newest.cache_scope(holder(name, walls[name]))
            others = made.get(scope, set()) - {name}
            assert not others or not walls[name]
            assert not any(walls.get(other, False) for other in others)
            made.setdefault(scope, set()).add(name)


COSTS: dict[str, tuple[list[Walls], bool]] = {
    "isolated": ([{"a": False, "b": False}, {"a": True, "b": False}], True),
    "isolated no more": ([{"a": True, "b": False}, {"a": False, "b": False}], False),
    "isolated when added": ([{"b": False}, {"a": True, "b": False}], False),
    "isolated and removed": ([{"a": True, "b": False}, {"b": False}], False),
    "removed": ([{"a": False, "b": False}, {"b": False}], False),
    "removed and isolated later": (
        [{"a": False, "b": False}, {"b": False}, {"a": True, "b": False}],
        True,
    ),
    "isolated and back": (
        [{"a": False, "b": False}, {"a": True, "b": False}, {"a": False, "b": False}],
        True,
    ),
    "unchanged": ([{"a": True, "b": False}, {"a": True, "b": False}], False),
}


@pytest.mark.parametrize("case", COSTS)
def test_others_lose_their_cache_only_if_one_that_shared_becomes_isolated(
    case: str,
) -> None:
    documents, loses = COSTS[case]
    state = ControlState()
    scopes = [
        declare(state, number, walls).cache_scope(holder("b", False))
        for number, walls in enumerate(documents, start=1)
    ]
    assert (scopes[0] != scopes[-1]) == loses


def test_an_epoch_never_begins_twice_though_documents_were_lost() -> None:
    """A recovered cluster may commit other documents under numbers that were used."""
    state = ControlState()
    declare(state, 1, {"a": False, "b": False})
    lost = ControlState()
    lost.restore(state.snapshot())
    declare(lost, 2, {"a": False, "b": True})
    first = apply(state, cluster="one")
    assert first == []
    apply(state, cluster="another")
    declare(state, 2, {"a": True, "b": False})
    assert state.cache_epoch.number > lost.cache_epoch.number


def test_a_state_of_an_earlier_release_begins_an_epoch_with_the_next_document() -> None:
    """It doesn't tell which workspaces have shared."""
    state = ControlState()
    declare(state, 1, {"a": False})
    fields = decode(state.snapshot())
    restored = ControlState()
    restored.restore(encode(type(fields)(**_without_sharing(fields))))
    # Replicas of the earlier release have the same configuration as long as they lead.
    earlier = DeclareReq(Document(2, b""))
    for each in (state, restored):
        apply(each, earlier)
    assert state.config == restored.config
    table = declare(restored, 3, {"a": True})
    assert table.cache_scope(holder("b", False)) != ""
    assert declare(state, 3, {"a": True}).cache_scope(None) == table.cache_scope(None)


def _without_sharing(snapshot: Any) -> dict[str, Any]:
    names = type(snapshot).__dataclass_fields__
    fields = {name: getattr(snapshot, name) for name in names}
    return {**fields, "cache_sharing": None}


def test_the_names_that_an_epoch_remembers_are_bounded() -> None:
    epoch = CacheEpoch(0, frozenset(f"w{number}" for number in range(MAX_SHARING)))
    assert epoch.after((), ("w0",), revision=7) is not epoch
    assert epoch.after((), ("w0",), revision=7).number == 0
    after = epoch.after((), ("one more",), revision=7)
    assert after == CacheEpoch(7, frozenset({"one more"}))


def test_scopes_differ_whatever_the_names_of_workspaces_are() -> None:
    names = ["", "7", "/7", ".7", "."]
    holders = tuple(holder(name, True) for name in names)
    table = RouteTable(declared(workspaces=holders), cache_epoch=7)
    scopes = {table.cache_scope(each) for each in holders}
    scopes |= {table.cache_scope(None), RouteTable(declared()).cache_scope(None)}
    assert len(scopes) == len(names) + 2


def test_a_request_that_waits_uses_the_scope_of_the_newest_document(
    monkeypatch: Any,
) -> None:
    """Guards against a retry that uses prefixes from before its workspace's wall."""
    plain = PlainWire.request_headers

    def with_salt(self: PlainWire, called: CallerRequest, terms: Terms) -> RawHeaders:
        salt = (terms.cache_salt or "").encode()
        return (*plain(self, called, terms), (b"salt", salt))

    monkeypatch.setattr(PlainWire, "request_headers", with_salt)
    before = declared(route(repeatable=True), workspaces=(KeyHolder("a", ("a-key",)),))
    after = declared(
        route(repeatable=True),
        number=2,
        workspaces=(KeyHolder("a", ("a-key",), isolated=True),),
    )

    async def main() -> None:
        async def refuse(req: dict[str, str], _body: bytes, writer: Writer) -> None:
            document = Document(2, b"2", cache_epoch=2)
            gateway.store.offer(Config(revision=2, document=document))
            await asyncio.sleep(0.05)
            status = "503 Service Unavailable"
            writer.write(answer_bytes(req["id"], b"", status, headers="not-run: 1"))

        async def answer(req: dict[str, str], _body: bytes, writer: Writer) -> None:
            writer.write(answer_bytes(req["id"], b"done"))

        first, other = RawUpstream("u1", refuse), RawUpstream("u2", answer)
        async with running_gateway(
            before,
            first,
            other,
            decode=lambda body: Ok(after if body == b"2" else before),
        ) as gateway:
            now = asyncio.get_running_loop().time()
            gateway._upstreams.load_of("u2").error_rate = 0.9
            for upstream in (first, other):
                known = record(upstream.name, seq=2, address=upstream.address, **MODEL)
                gateway.directory.offer(known, now)
            got = await call(gateway, extra="Parts: guide,own")
            assert got.status == 200
        assert [req["salt"] for req in first.requests] == ["m.1"]
        assert [req["salt"] for req in other.requests] == ["m.1.a"]

    run(main())


def tenants(**isolated: bool) -> list[dict[str, Any]]:
    """Return workspaces of a configuration."""
    return [
        {"name": name, "apiKeys": [f"key-{name}"], "isolated": is_isolated}
        for name, is_isolated in isolated.items()
    ]


def walled_config(version: int, **isolated: bool) -> dict[str, Any]:
    """Return a configuration with one route to engines."""
    engine = {
        "slots": 48,
        "kvCapacity": 100_000,
        "kvBytes": 1,
        "linkMbps": 1.0,
        "models": [{"name": "model-a"}],
    }
    return config(
        version,
        routes=[
            machine_route("safe"),
            machine_route("prompts", public=False, host=HOST),
        ],
        services=[{"name": POOL, "maxConns": 300, "engine": engine}],
        tenants=tenants(**isolated),
    )


async def salts(
    machines: Machines, upstream: MachineUpstream, *names: str
) -> dict[str, str]:
    """Return the salt of each workspace's prompts, which all gateways agree on."""
    found: dict[str, set[str]] = {name: set() for name in names}
    for number, front in enumerate(machines.fronts):
        for name in names:
            request_id = f"{name}-{number}"
            got = await call_machine(
                front,
                "/prompts/1",
                request_id,
                x_api_key=f"key-{name}",
                x_model="model-a",
                x_token_usage="100,5",
                x_prefix_hash=f"aa:60,{number:x}:40",
            )
            assert got.status == OK
            found[name].add(upstream.salts[request_id])
    assert all(len(each) == 1 for each in found.values()), found
    return {name: each.pop() for name, each in found.items()}


def test_a_wall_that_goes_up_holds_for_what_was_cached_before(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against others that use an isolated workspace's earlier prefixes."""

    async def main() -> None:
        async with running_machines(
            tmp_path, "v1", document=walled_config(1, a=False, b=False), model="model-a"
        ) as (machines, [upstream]):
            shared = await salts(machines, upstream, "a", "b")
            assert shared["a"] == shared["b"]
            await put_config(machines, walled_config(2, a=True, b=False))
            await asyncio.sleep(TOUCH_S)
            apart = await salts(machines, upstream, "a", "b")
            assert len({shared["b"], apart["a"], apart["b"]}) == 3
            # Nobody knows from memory what was shared before.
            machines.kill()
            machines.start()
            await until_served(machines)
            await asyncio.sleep(TOUCH_S)
            assert await salts(machines, upstream, "a", "b") == apart
            await put_config(machines, walled_config(3, a=False, b=False, c=True))
            await asyncio.sleep(TOUCH_S)
            joined = await salts(machines, upstream, "a", "b", "c")
            assert joined["a"] == joined["b"] == apart["b"]
            assert joined["c"] not in (*shared.values(), *apart.values())
            await put_config(machines, walled_config(4, a=True, b=False, c=True))
            await asyncio.sleep(TOUCH_S)
            again = await salts(machines, upstream, "a", "b", "c")
            assert again["b"] not in (*joined.values(), *apart.values())
            assert (again["a"], again["c"]) == (apart["a"], joined["c"])

    asyncio.run(main())
