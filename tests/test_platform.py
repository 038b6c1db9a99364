"""The formats of ``platform/``: configurations, headers, heartbeats, reports."""

from __future__ import annotations

import asyncio
import json
import pathlib
from collections.abc import Callable, Iterable
from typing import Any

import pytest
from result import Err, Ok, Result
from starlette.testclient import TestClient

from gooseberrydale.connection.engine_orders import OrderAnswer, WeightsOrder
from gooseberrydale.errors import NO_QUORUM, Problem, problem
from gooseberrydale.process.cfg import MAX_CONTROL_BODY_BYTES
from gooseberrydale.process.cfg_file import load
from gooseberrydale.process.control.announcements import Announcements
from gooseberrydale.process.http.client_account import clients_refused
from gooseberrydale.request.gateway_call import ReportedLoad, Terms
from gooseberrydale.version.declarations import Document
from gooseberrydale.version.declared import CallerLimits, EngineSize, KeyHolder, Share
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.quotas.quota import Quota, QuotaUnit
from tests import builders_platform as wire
from tests.builders_gateway import RawUpstream, Writer, record
from tests.builders_logs import logged
from tests.sidecar_harness import run

from control_http import MAX_HEARTBEAT_BYTES, ControlHttp  # isort: skip
from document_json import decode_document  # isort: skip
from engine_http import PlatformEngines  # isort: skip
from http_wire import PlatformWire  # isort: skip
from store_http import PlatformStore  # isort: skip

DEPLOY = pathlib.Path(__file__).resolve().parent.parent / "deploy"


def test_configuration_is_decoded() -> None:
    declared = decode_document(wire.body()).unwrap()
    [route] = declared.routes
    assert declared.number == 7
    assert (route.host, route.path_prefix) == ("h.example", "/a/")
    assert (route.timeout_s, route.objective_s) == (6.0, 0.4)
    assert (route.streamed, route.resumable, route.repeatable) == (True, True, False)
    assert (route.shares, route.max_runs) == ((Share("s", 1.0),), 2)
    assert declared.pools["s"].engine == EngineSize(48, 1_000)
    assert [store.address for store in declared.stores] == ["10.0.0.1:1"]
    assert declared.limits == CallerLimits(100, 200, 0.3, 0.4)
    assert declared.workspaces == (KeyHolder("t", ("k1",), 1, True),)


QUOTAS: dict[str, tuple[dict[str, Any], Quota | None]] = {
    "none": ({}, None),
    "no limit": ({"perS": 0, "burst": 5}, None),
    "requests": ({"perS": 5, "burst": 9}, Quota(5.0, 9.0)),
    "tokens": (
        {"perS": 5, "burst": 9, "unit": "tokenize", "uncachedTokens": 200},
        Quota(5.0, 9.0, QuotaUnit.TOKENS, 200),
    ),
    "no burst": ({"perS": 5}, Quota(5.0, 0.0)),
}


@pytest.mark.parametrize("case", QUOTAS)
def test_tenant_rate_is_decoded_as_quota(case: str) -> None:
    fields, quota = QUOTAS[case]
    document = wire.body(tenants=[{"name": "t", "apiKeys": ["k"], **fields}])
    [holder] = decode_document(document).unwrap().workspaces or ()
    assert holder.quota == quota


KINDS = {"safe": (True, False), "unsafe": (False, False), "streaming": (False, True)}


@pytest.mark.parametrize("kind", KINDS)
def test_route_kind_decides_what_may_be_repeated(kind: str) -> None:
    document = wire.body(routes=[wire.route(kind=kind)])
    [route] = decode_document(document).unwrap().routes
    assert (route.repeatable, route.streamed) == KINDS[kind]


def test_no_key_is_needed_without_tenants() -> None:
    bare = {k: v for k, v in wire.table().items() if k != "tenants"}
    assert decode_document(json.dumps(bare).encode()).unwrap().workspaces is None


SPLIT = [{"service": "s", "weight": 3}, {"service": "other", "weight": 1}]
UNREADABLE = {
    "cut short": wire.body()[:-20],
    "no object": b"[]",
    "no routes": b'{"version": 1, "services": []}',
    "text as number": wire.body(version="7"),
    "unknown unit": wire.body(tenants=[{"name": "t", "perS": 1, "unit": "bytes"}]),
    "a text as rate": wire.body(tenants=[{"name": "t", "perS": "many"}]),
    "unknown kind": wire.body(routes=[wire.route(kind="maybe")]),
}


@pytest.mark.parametrize("case", UNREADABLE)
def test_undecodable_configuration_is_refused(case: str) -> None:
    result = decode_document(UNREADABLE[case])
    assert isinstance(result, Err)
    assert result.err_value.status == 400


BASE = (
    (b"host", b"H.example:80"),
    (b"x-request-id", b"r1"),
    (b"x-deadline-ms", b"1500"),
    (b"x-api-key", b"k1"),
    (b"x-model", b"m"),
    (b"x-token-usage", b"1460,80"),
    (b"x-prefix-hash", b"aa:800,bb:410,cc:250"),
)


def read(*headers: tuple[bytes, bytes]) -> Any:
    return PlatformWire().read_call("POST", b"/a/b?c=d", (*BASE, *headers))


def test_caller_head_is_read() -> None:
    call = read().unwrap()
    assert (call.request_id, call.host, call.key) == ("r1", "h.example", "k1")
    assert (call.target, call.path, call.wait_s) == ("/a/b?c=d", "/a/b", 1.5)
    assert call.prompt is not None
    assert (call.prompt.tokens, call.prompt.max_new_tokens) == (1460, 80)
    assert [part.key for part in call.prompt.shared] == ["aa", "bb"]


RESUMPTIONS = {
    "a new stream": ((), (None, None)),
    "named": (((b"last-event-id", b"7"), (b"resumes", b"r0")), ("7", "r0")),
    "not named": (((b"last-event-id", b"7"),), ("7", None)),
}


@pytest.mark.parametrize("case", RESUMPTIONS)
def test_caller_names_the_stream_that_it_continues(case: str) -> None:
    headers, expected = RESUMPTIONS[case]
    call = read(*headers).unwrap()
    assert (call.last_event_id, call.resumes) == expected


ROUTER_HEADERS = (
    "x-expect-instance x-expect-version x-tenant x-request-priority x-cache-salt"
    " x-kv-fetch x-kv-save x-kv-backup kv-from x-hold x-pin-ms"
).split()


def test_headers_that_only_the_router_sets_are_never_forwarded() -> None:
    forged = tuple((name.encode(), b"forged") for name in ROUTER_HEADERS)
    call = read(*forged).unwrap()
    sent = PlatformWire().request_headers(call, Terms(instance="i-1", left_s=1.2345))
    assert b"forged" not in [value for _, value in sent]
    assert b"k1" not in [value for _, value in sent]
    sent_headers = dict(sent)
    assert sent_headers[b"x-expect-instance"] == b"i-1"
    assert sent_headers[b"x-deadline-ms"] == b"1234"
    assert sent_headers[b"x-prefix-hash"] == b"aa:800,bb:410,cc:250"


def test_connection_headers_are_dropped_except_for_essential_ones() -> None:
    listed = (b"connection", b"close, X-Odd, X-Model, X-Request-Id")
    call = read(listed, (b"x-odd", b"1"), (b"x-kept", b"2")).unwrap()
    forwarded = dict(call.headers)
    assert b"x-odd" not in forwarded and b"connection" not in forwarded
    assert (
        forwarded[b"x-kept"],
        forwarded[b"x-model"],
        forwarded[b"x-request-id"],
    ) == (
        b"2",
        b"m",
        b"r1",
    )


def test_all_terms_are_written_as_headers() -> None:
    terms = Terms(
        instance="i-1",
        left_s=1.0,
        workspace="t",
        weights_version=3,
        cache_salt="m.3",
        priority=0,
        last_event_id="9",
        fetch_from="10.0.0.1:1",
        save_to="10.0.0.2:2",
    )
    written = dict(PlatformWire().request_headers(read().unwrap(), terms))
    assert written[b"x-tenant"] == b"t"
    assert (written[b"x-expect-version"], written[b"x-cache-salt"]) == (b"3", b"m.3")
    assert (written[b"x-request-priority"], written[b"last-event-id"]) == (b"0", b"9")
    assert (written[b"x-kv-fetch"], written[b"x-kv-save"]) == (
        b"10.0.0.1:1",
        b"10.0.0.2:2",
    )


@pytest.mark.parametrize(
    "header",
    [(b"x-prefix-hash", b"aa"), (b"x-deadline-ms", b"?")],
)
def test_invalid_head_is_refused(header: tuple[bytes, bytes]) -> None:
    headers = tuple(h for h in BASE if h[0] != header[0])
    result = PlatformWire().read_call("POST", b"/", (*headers, header))
    assert isinstance(result, Err) and result.err_value.status == 400


USAGES = {
    b"1460,80": (1460, 80, 1540),
    b" 1460 , 80 ": (1460, 80, 1540),
    b"many": (1460, 0, None),
    b"1460": (1460, 0, None),
    b"1460,-80": (1460, 0, None),
    b"1,2,3": (1460, 0, None),
    b"9" * 5_000 + b",1": (1460, 0, None),
}


@pytest.mark.parametrize("value", USAGES)
def test_token_usage_that_is_not_two_numbers_is_ignored(value: bytes) -> None:
    """The request is served, and charged as one that names no tokens."""
    headers = tuple(h for h in BASE if h[0] != b"x-token-usage")
    result = PlatformWire().read_call(
        "POST", b"/", (*headers, (b"x-token-usage", value))
    )
    prompt = result.unwrap().prompt
    assert prompt is not None
    assert (prompt.tokens, prompt.max_new_tokens, prompt.usage) == USAGES[value]


ANSWERS: dict[str, tuple[int, tuple[tuple[bytes, bytes], ...], dict[str, Any]]] = {
    "an answer": (
        200,
        ((b"x-response-stamp", b"s"), (b"x-load-report", b"3,1,8")),
        {"signed": True, "not_run": False, "load": ReportedLoad(3, 1, 8)},
    ),
    "not run": (503, ((b"x-not-executed", b"1"),), {"not_run": True, "instance": None}),
    "another incarnation": (
        421,
        ((b"x-instance-id", b"i-2"),),
        {"not_run": True, "instance": "i-2"},
    ),
    "a bare 503": (503, (), {"not_run": False}),
    "encoded": (200, ((b"content-encoding", b"gzip"),), {"encoded": True}),
    "limit": (200, ((b"server-limit", b"1.6"),), {"limit_per_s": 1.6}),
    "limit of nothing": (503, ((b"server-limit", b"0"),), {"limit_per_s": 0.0}),
    "no limit": (200, (), {"limit_per_s": None}),
    "limit below 0": (200, ((b"server-limit", b"-1"),), {"limit_per_s": None}),
    "unreadable limit": (200, ((b"server-limit", b"few"),), {"limit_per_s": None}),
    "endless limit": (200, ((b"server-limit", b"inf"),), {"limit_per_s": None}),
    "retry-after": (503, ((b"retry-after", b"1.5"),), {"retry_after_s": 1.5}),
    "retry-after of 0": (503, ((b"retry-after", b"0"),), {"retry_after_s": 0.0}),
    "no retry-after": (503, ((b"x-not-executed", b"1"),), {"retry_after_s": None}),
    "a date": (503, ((b"retry-after", b"Thu, 01 Jan"),), {"retry_after_s": None}),
    "retry-after of another status": (
        429,
        ((b"retry-after", b"3"),),
        {"retry_after_s": None},
    ),
    "leaving": (200, ((b"server-leaving", b"1"),), {"leaving": True}),
    "not leaving": (200, ((b"server-leaving", b"0"),), {"leaving": False}),
    "no report": (200, ((b"x-load-report", b"soon"),), {"load": None}),
    "report with slowness": (
        200,
        ((b"x-load-report", b"3, 1,8,250"),),
        {"load": ReportedLoad(3, 1, 8, slowness=2.5)},
    ),
    "slowness of 0": (200, ((b"x-load-report", b"3,1,8,0"),), {"load": None}),
    "malformed slowness": (200, ((b"x-load-report", b"3,1,8,slow"),), {"load": None}),
    "empty slowness": (200, ((b"x-load-report", b"3,1,8,"),), {"load": None}),
    "five figures": (200, ((b"x-load-report", b"3,1,8,100,1"),), {"load": None}),
    "two figures": (200, ((b"x-load-report", b"3,1"),), {"load": None}),
    "figures too long": (
        200,
        ((b"x-load-report", b"3,1,8," + b"9" * 5_000),),
        {"load": None},
    ),
}


@pytest.mark.parametrize("case", ANSWERS)
def test_answer_head_is_read(case: str) -> None:
    status, headers, expected = ANSWERS[case]
    head = PlatformWire().read_answer(status, headers)
    assert {name: getattr(head, name) for name in expected} == expected


class FakeDocuments:
    """Stores documents; refuses all calls if ``problem`` is set."""

    def __init__(self) -> None:
        self.problem: Problem | None = None
        self.held: Document | None = None
        self.named: list[tuple[str, int]] = []

    async def declare(
        self, document: Document, workspaces: Iterable[KeyHolder] = ()
    ) -> Result[None, Problem]:
        if self.problem is not None:
            return Err(self.problem)
        self.held = document
        return Ok(None)

    async def read(self) -> Result[Document | None, Problem]:
        return Ok(self.held) if self.problem is None else Err(self.problem)

    async def name_weights(self, model: str, version: int) -> Result[None, Problem]:
        self.named.append((model, version))
        return Ok(None) if self.problem is None else Err(self.problem)


def control(documents: FakeDocuments, directory: Directory) -> TestClient:
    announcements = Announcements(directory, beat_s=1.2)
    app = ControlHttp(documents, announcements).build()  # type: ignore[arg-type]
    return TestClient(app)


REFUSED_CONFIGS = {
    "unknown service": {"routes": [wire.route(service="no")]},
    "split to an unknown service": {"routes": [wire.route(split=SPLIT)]},
    "same path twice": {"routes": [wire.route(), wire.route(name="b")]},
    "no weight": {"routes": [wire.route(split=[{"service": "s", "weight": 0}])]},
    "no timeout": {"routes": [wire.route(timeoutMs=0)]},
    "negative rate": {"tenants": [{"name": "a", "perS": -1}]},
    "negative burst": {"tenants": [{"name": "a", "perS": 1, "burst": -1}]},
    "too large a rate": {"tenants": [{"name": "a", "perS": 1e300}]},
    "negative plain count": {
        "tenants": [{"name": "a", "perS": 1, "uncachedTokens": -1}]
    },
    "shared key": {
        "tenants": [
            {"name": "a", "apiKeys": ["k"]},
            {"name": "b", "apiKeys": ["k"]},
        ]
    },
}


@pytest.mark.parametrize("case", REFUSED_CONFIGS)
def test_invalid_configuration_gets_400_and_is_not_stored(case: str) -> None:
    documents = FakeDocuments()
    sent = wire.body(**REFUSED_CONFIGS[case])
    answer = control(documents, Directory()).post("/v1/Config.Put", content=sent)
    assert (answer.status_code, documents.held) == (400, None)


def test_configuration_is_read_back_as_it_was_sent() -> None:
    documents = FakeDocuments()
    client = control(documents, Directory())
    assert client.get("/v1/Config.Get").status_code == 503
    sent = b" " + wire.body()
    assert client.post("/v1/Config.Put", content=sent).status_code == 200
    assert client.get("/v1/Config.Get").content == sent


BODIES_OVER_THE_LIMIT = {
    "/v1/Config.Put": (MAX_CONTROL_BODY_BYTES, 413),
    "/v1/version-put": (MAX_HEARTBEAT_BYTES, 413),
    "/v1/Instances.Heartbeat/i-1": (MAX_HEARTBEAT_BYTES, 413),
}


@pytest.mark.parametrize("path", BODIES_OVER_THE_LIMIT)
@pytest.mark.parametrize("announced", [True, False])
def test_a_call_with_a_body_over_its_limit_is_refused(
    path: str, announced: bool
) -> None:
    """Guards against bodies that fill the memory of control."""
    limit, status = BODIES_OVER_THE_LIMIT[path]
    documents = FakeDocuments()
    content = b" " * (limit + 1)
    pieces = iter([content[:limit], content[limit:]])
    client = control(documents, Directory())
    before = clients_refused()["body"]
    with logged("body_refused") as lines:
        answer = client.post(path, content=content if announced else pieces)
    assert (answer.status_code, documents.held) == (status, None)
    assert [line["path"] for line in lines] == [path]
    assert clients_refused()["body"] == before + 1


def test_every_call_gets_503_without_a_quorum() -> None:
    documents = FakeDocuments()
    documents.problem = problem(NO_QUORUM, not_run=None)
    client = control(documents, Directory())
    weights = {"model": "m", "version": 2}
    answers = [
        client.post("/v1/Config.Put", content=wire.body()),
        client.get("/v1/Config.Get"),
        client.post("/v1/version-put", json=weights),
    ]
    assert [answer.status_code for answer in answers] == [503, 503, 503]


def test_heartbeats_apply_in_the_order_of_their_numbers() -> None:
    async def main() -> None:
        directory = Directory()
        announcements = Announcements(directory, beat_s=1.2)
        app = ControlHttp(FakeDocuments(), announcements)  # type: ignore[arg-type]
        now = asyncio.get_running_loop().time

        def stored_record() -> Any:
            return directory.get("i-1", now())

        await post(app, "/v1/Instances.Heartbeat/i-1", wire.beat(4))
        assert (
            stored_record().pool,
            stored_record().model,
            stored_record().weights_version,
        ) == ("s", "m", "3")
        await post(app, "/v1/Instances.Heartbeat/i-1", wire.beat(6, state="draining"))
        assert stored_record().leaving and not stored_record().ready
        await post(app, "/v1/Instances.Heartbeat/i-1", wire.beat(5))
        assert stored_record().leaving
        await post(app, "/v1/Instances.Deregister/i-1", {})
        await post(app, "/v1/Instances.Heartbeat/i-1", wire.beat(9))
        assert stored_record().leaving
        assert stored_record().software == "v1"
        # An engine that this replica has no record of is marked as ended as well.
        await post(app, "/v1/Instances.Deregister/i-2", {})
        await post(app, "/v1/Instances.Heartbeat/i-2", wire.beat(1))
        assert directory.ready("s", now()) == ()

    run(main())


async def post(app: ControlHttp, path: str, table: Any) -> None:
    """Send a call on the running loop, whose clock the directory uses."""
    import httpx2

    transport = httpx2.ASGITransport(app.build())
    async with httpx2.AsyncClient(transport=transport, base_url="http://c") as client:
        assert (await client.post(path, json=table)).status_code == 200


def engine(status: int, table: Any) -> RawUpstream:
    """Return an engine that answers every call with ``status`` and ``table``."""

    async def script(req: dict[str, str], body: bytes, writer: Writer) -> None:
        data = json.dumps(table).encode()
        head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)

    return RawUpstream("i-1", script)


ORDERS = {
    202: OrderAnswer.ACCEPTED,
    200: OrderAnswer.HOLDS,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.FENCED,
    400: OrderAnswer.REFUSED,
    421: OrderAnswer.OTHER_INCARNATION,
    500: OrderAnswer.UNKNOWN,
}


@pytest.mark.parametrize("status", ORDERS)
def test_order_names_its_holder_number_and_precondition(status: int) -> None:
    async def main() -> None:
        upstream = engine(status, {})
        await upstream.start()
        target = record("i-1", address=upstream.address)
        order = WeightsOrder("m", 4, holder="node", number=41, after=2)
        assert await PlatformEngines().order(target, order) is ORDERS[status]
        [req], [data] = upstream.requests, upstream.bodies
        assert (req["line"], req["x-expect-instance"]) == (
            "POST /v1/order HTTP/1.1",
            "i-1",
        )
        assert json.loads(data) == {
            "op": "version",
            "model": "m",
            "version": 4,
            "mode": "wait",
            "holder": "node",
            "fence": 41,
            "precondition": 2,
        }
        await upstream.close()

    run(main())


def test_order_without_an_answer_has_an_unknown_outcome() -> None:
    async def main() -> None:
        target = record("i-1", address="127.0.0.1:1")
        order = WeightsOrder("m", 4, holder="node", number=41, after=2)
        assert await PlatformEngines().order(target, order) is OrderAnswer.UNKNOWN
        assert await PlatformEngines().report(target) is None

    run(main())


def test_engine_report_is_read() -> None:
    async def main() -> None:
        models = [{"name": "m", "version": 3, "adapters": []}]
        upstream = engine(200, {"models": models, "busy": True, "seq": 2, "queued": 1})
        await upstream.start()
        target = record("i-1", address=upstream.address)
        report = await PlatformEngines().report(target)
        assert report is not None
        assert (report.versions, report.accepted, report.busy) == ({"m": 3}, 2, True)
        await upstream.close()

    run(main())


def test_store_events_and_lists_are_read() -> None:
    async def main() -> None:
        events = [[1, "+", "s", "aa", 8, "m"], [2, "-", "s", "bb", 0, "m"]]
        table = {"bootEpoch": 5, "next": 3, "lost": False, "events": events}
        upstream = engine(200, {**table, "held": [["s", "aa", 8, "m"]]})
        await upstream.start()
        store = PlatformStore()
        reply = await store.follow(upstream.address, 1)
        assert reply is not None and reply.next == 3
        assert [(e.key, e.tokens) for e in reply.update.events] == [
            ("aa", 8),
            ("bb", 0),
        ]
        assert upstream.requests[0]["wait-ms"] == "1000"
        contents = await store.read_all(upstream.address)
        assert contents is not None and contents.update.whole
        assert [(e.key, e.tokens) for e in contents.update.events] == [("aa", 8)]
        await upstream.close()
        assert await PlatformStore().follow("127.0.0.1:1", 1) is None

    run(main())


FILLED = {
    "{{node}}": "n1",
    "{{zone}}": "z",
    "{{region}}": "r",
    '{{#seeds}}"{{.}}"{{,}}{{/seeds}}': '"10.0.0.1:83", "10.0.0.2:83"',
    "{{portRange.0}}": "7300",
    "{{listen.front}}": "10.0.0.1:81",
    "{{listen.ready}}": "10.0.0.1:82",
    "{{listen.control}}": "10.0.0.1:83",
    "{{ip}}": "10.0.0.1",
    "{{#dataDir}}false{{/dataDir}}{{^dataDir}}true{{/dataDir}}": "false",
    "{{#dataDir}}0.35{{/dataDir}}{{^dataDir}}0.0{{/dataDir}}": "0.35",
    '{{#dataDir}}data_dir = "{{dataDir}}"{{/dataDir}}': 'data_dir = "/data/gateway"',
    "{{dataDir}}": "/data/control",
    "{{bootstrap}}": "true",
    "{{faultTolerance.machines}}": "1",
    "{{faultTolerance.zones}}": "0",
    "{{heartbeatMs}}": "1200",
    "{{bounds.graceS}}": "8",
    "{{bounds.budgetRatio}}": "0.2",
    "{{bounds.budgetSlack}}": "62",
    "{{bounds.budgetWindowS}}": "12",
    "{{bounds.leaseMs}}": "3000",
    "{{bounds.configApplyMs}}": "2000",
    "{{bounds.versionMs}}": "8000",
    "{{limits.linkMbps}}": "1000.0",
    "{{limits.maxFds}}": "4100",
    "{{limits.memoryMb}}": "150",
}


@pytest.mark.parametrize("role", ["gateway", "control"])
def test_templates_render_valid_settings(role: str, tmp_path: pathlib.Path) -> None:
    text = (DEPLOY / f"{role}.toml").read_text()
    for name, value in FILLED.items():
        text = text.replace(name, value)
    assert "{{" not in text
    path = tmp_path / "settings.toml"
    path.write_text(text)
    cfg = load(path, role).unwrap()
    assert cfg.fleet.control_rpc == ("10.0.0.1:7300", "10.0.0.2:7300")
    if cfg.gateway is not None:
        assert (cfg.gateway.weights_bound_s, cfg.gateway.retry_slack) == (8.0, 62.0)
        assert (cfg.gateway.start_after_s, cfg.gateway.link_mbps) == (0.35, 1000.0)
        assert cfg.gateway.retry_window_s == 12.0
        assert (cfg.gateway.max_fds, cfg.gateway.memory_mb) == (4_100, 150.0)
    if cfg.control is not None:
        assert (cfg.control.order_pause_s, cfg.control.beat_s) == (3.0, 1.2)
        assert cfg.control.bootstrap and cfg.control.open_group


STARTS = {
    "beside control": (b"[gateway]\nstart_after_s = 0.35\n", 0.35),
    "alone": (b"[gateway]\nstart_after_s = 0.0\n", 0.0),
    "another role": (b"[control]\n", None),
    "a file that can't be read": (b"\xff[", None),
    "another type": (b'[gateway]\nstart_after_s = "soon"\n', None),
}


@pytest.mark.parametrize("case", STARTS)
def test_gateway_on_the_machine_of_a_control_replica_starts_after_it(
    case: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    import run as program

    content, expected = STARTS[case]
    path = tmp_path / "settings.toml"
    path.write_bytes(content)
    slept: list[float] = []
    monkeypatch.setenv(program.SETTINGS, str(path))
    monkeypatch.setattr(program.time, "sleep", recording_sleep(slept))
    program.delay_start()
    assert slept == ([] if expected is None else [expected])


def recording_sleep(slept: list[float]) -> Callable[[Any], None]:
    """Return a sleep that records its argument and refuses what the real one does."""

    def sleep(seconds: Any) -> None:
        slept.append(seconds + 0.0)

    return sleep
