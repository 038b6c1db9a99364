"""A gateway whose upstreams misbehave, tested over real sockets."""

from __future__ import annotations

import asyncio
import re
import subprocess
import sys
from collections.abc import Callable
from typing import Any

import pytest

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.cfg import MetricsCfg
from gooseberrydale.version.declared import Pool
from gooseberrydale.version.order_marks import mark
from tests.builders_gateway import (
    HOST,
    KEY,
    POOL,
    RawUpstream,
    Script,
    Writer,
    answer_bytes,
    call,
    chunk,
    declared,
    event,
    json_body,
    read_answer,
    record,
    reset,
    route,
    running_gateway,
    stream_head,
)
from tests.builders_logs import logged
from tests.sidecar_harness import run

STREAM = route(path_prefix="/streams/", streamed=True, max_runs=2, name="streams")
RESUMABLE = route(
    path_prefix="/resumable/",
    streamed=True,
    resumable=True,
    max_runs=2,
    name="resumable",
)
SAFE = route(path_prefix="/safe/", repeatable=True, max_runs=2, name="safe")
ALL_ROUTES = declared(route(), STREAM, RESUMABLE, SAFE)


async def answer_correctly(req: dict[str, str], body: bytes, writer: Writer) -> None:
    """Answer the request correctly."""
    writer.write(answer_bytes(req["id"], b"done " + body))


async def reset_connection(req: dict[str, str], body: bytes, writer: Writer) -> None:
    """Reset the connection without an answer."""
    reset(writer)


async def refuse(req: dict[str, str], body: bytes, writer: Writer) -> None:
    """Refuse the request as not run."""
    head = "503 Service Unavailable"
    writer.write(answer_bytes(req["id"], b"", head, headers="not-run: 1"))


async def fail(req: dict[str, str], body: bytes, writer: Writer) -> None:
    """Answer with a server error."""
    writer.write(answer_bytes(req["id"], b"broken", "500 Internal Server Error"))


async def unsigned(req: dict[str, str], body: bytes, writer: Writer) -> None:
    """Answer without the upstream's stamp."""
    writer.write(answer_bytes(req["id"], b"spoilt", headers=""))


async def cut_short(req: dict[str, str], body: bytes, writer: Writer) -> None:
    """Send less than the announced length."""
    writer.write(answer_bytes(req["id"], b"a whole answer")[:-4])
    await writer.drain()
    writer.close()


async def reset_without_length(
    req: dict[str, str], body: bytes, writer: Writer
) -> None:
    """Send a body without a length and reset the connection."""
    writer.write(
        f"HTTP/1.1 200 OK\r\nid: {req['id']}\r\nsigned: 1\r\n\r\npart".encode()
    )
    await writer.drain()
    await asyncio.sleep(0.05)
    reset(writer)


async def close_without_length(
    req: dict[str, str], body: bytes, writer: Writer
) -> None:
    """Send a body without a length that ends with its connection, which is valid."""
    writer.write(f"HTTP/1.1 200 OK\r\nid: {req['id']}\r\nsigned: 1\r\n\r\nall".encode())
    await writer.drain()
    writer.close()


ONE_UPSTREAM: dict[str, tuple[str, Script, int, int]] = {
    # target, script of the upstream, status for the caller, requests at the upstream
    "an answer": ("/calls/1", answer_correctly, 200, 1),
    "a body that ends with its connection": ("/calls/1", close_without_length, 200, 1),
    "a reset may have run": ("/calls/1", reset_connection, 502, 1),
    "a refusal": ("/calls/1", refuse, 503, 1),
    "a failure is passed on": ("/calls/1", fail, 500, 1),
    "not its own": ("/calls/1", unsigned, 502, 1),
    "cut short": ("/calls/1", cut_short, 502, 1),
    "no length, then reset": ("/calls/1", reset_without_length, 502, 1),
}


@pytest.mark.parametrize("case", ONE_UPSTREAM)
def test_answer_to_the_caller_for_each_behavior_of_one_upstream(case: str) -> None:
    target, script, status, arrivals = ONE_UPSTREAM[case]

    async def main() -> None:
        upstream = RawUpstream("u1", script)
        async with running_gateway(ALL_ROUTES, upstream) as gateway:
            got = await call(gateway, target, body=b"hi")
        assert (got.status, len(upstream.requests)) == (status, arrivals)
        assert ("retry-after" in got.headers) == (status == 503)

    run(main())


TWO_UPSTREAMS: dict[str, tuple[str, Script, int, bool]] = {
    # target, script of the first upstream, status, whether the second one is used
    "a call is not repeated after a reset": ("/calls/1", reset_connection, 502, False),
    "a call that was refused goes on": ("/calls/1", refuse, 200, True),
    "a call that failed has run": ("/calls/1", fail, 500, False),
    "a safe call is repeated after a reset": ("/safe/1", reset_connection, 200, True),
    "a safe call is repeated after a failure": ("/safe/1", fail, 200, True),
    "a safe call is repeated after half an answer": ("/safe/1", cut_short, 200, True),
    "a stream is not repeated": ("/streams/1", reset_connection, 502, False),
}


@pytest.mark.parametrize("case", TWO_UPSTREAMS)
def test_request_is_sent_to_a_second_upstream_only_if_allowed(case: str) -> None:
    target, script, status, second = TWO_UPSTREAMS[case]

    async def main() -> None:
        # The error share of the second upstream makes the first one the first choice.
        first, other = RawUpstream("u1", script), RawUpstream("u2", answer_correctly)
        async with running_gateway(ALL_ROUTES, first, other) as gateway:
            upstreams = gateway._upstreams
            upstreams.load_of("u2").error_rate = 0.9
            got = await call(gateway, target)
        assert (got.status, len(first.requests)) == (status, 1)
        assert bool(other.requests) is second

    run(main())


REFUSALS: dict[str, tuple[dict[str, Any], int]] = {
    "unknown path": ({"target": "/other/1"}, 404),
    "no key": ({"key": None}, 401),
    "unknown key": ({"key": "stolen"}, 401),
    "too large": ({"body": b"x" * 2_000}, 413),
}


@pytest.mark.parametrize("case", REFUSALS)
def test_request_refused_by_declarations_reaches_no_upstream(case: str) -> None:
    fields, status = REFUSALS[case]

    async def main() -> None:
        upstream = RawUpstream("u1", answer_correctly)
        async with running_gateway(ALL_ROUTES, upstream) as gateway:
            got = await call(gateway, **fields)
        assert (got.status, upstream.requests) == (status, [])

    run(main())


def test_gateway_without_document_is_not_ready_and_answers_503() -> None:
    async def main() -> None:
        async with running_gateway(None) as gateway:
            got = await call(gateway, extra="Wait: 0.2")
            assert not gateway.is_ready
        assert got.status == 503
        assert json_body(got)["error"]["not_run"] is True
        assert float(got.headers["retry-after"]) > 0

    run(main())


def test_late_second_answer_is_never_read_as_the_next_answer() -> None:
    async def twice(req: dict[str, str], body: bytes, writer: Writer) -> None:
        writer.write(answer_bytes(req["id"], b"answer to " + req["id"].encode()))
        await writer.drain()
        # Would be read as the next answer if the connection were reused.
        await asyncio.sleep(0.03)
        writer.write(answer_bytes(req["id"], b"again " + req["id"].encode()))

    async def main() -> None:
        upstream = RawUpstream("u1", twice)
        async with running_gateway(ALL_ROUTES, upstream) as gateway:
            for number in range(6):
                name = f"r{number}"
                got = await call(gateway, "/safe/1", request_id=name)
                assert got.body == b"answer to " + name.encode()
                await asyncio.sleep(0.01 * number)

    run(main())


def test_upstream_connections_are_reused() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer_correctly)
        async with running_gateway(ALL_ROUTES, upstream) as gateway:
            for number in range(5):
                got = await call(gateway, request_id=f"r{number}")
                assert got.status == 200
        assert (len(upstream.requests), upstream.connections) == (5, 1)

    run(main())


def breaking_stream(events: int, close: Callable[[Writer], Any]) -> Script:
    """Stream from the event after the caller's last one, and break off once."""
    state = {"broken": False}

    async def script(req: dict[str, str], body: bytes, writer: Writer) -> None:
        first = int(req.get("last-event-id", "0")) + 1
        writer.write(stream_head(req["id"]))
        for number in range(first, 7):
            if number == events + 1 and not state["broken"]:
                state["broken"] = True
                writer.write(chunk(event(number)[:6]))
                await writer.drain()
                await asyncio.sleep(0.02)
                close(writer)
                return
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return script


WHOLE = b"".join(event(number) for number in range(1, 7))


@pytest.mark.parametrize("events", [0, 1, 5])
def test_broken_stream_is_resumed_within_one_answer(events: int) -> None:
    async def main() -> None:
        script = breaking_stream(events, reset)
        upstreams = [RawUpstream(name, script) for name in ("u1", "u2")]
        async with running_gateway(ALL_ROUTES, *upstreams) as gateway:
            got = await call(gateway, "/resumable/1")
        assert (got.status, got.whole, got.body) == (200, True, WHOLE)
        sent = [req for upstream in upstreams for req in upstream.requests]
        resumed = [r["last-event-id"] for r in sent if "last-event-id" in r]
        assert resumed == ([str(events)] if events else [])

    run(main())


def test_gateway_that_has_just_started_resumes_one_stream_but_not_all() -> None:
    """Its predecessor, if it was killed, may have made all retries of the window."""

    async def breaks_first_runs(
        req: dict[str, str], body: bytes, writer: Writer
    ) -> None:
        await breaking_stream(7 if "last-event-id" in req else 3, reset)(
            req, body, writer
        )

    async def main() -> None:
        upstreams = [RawUpstream(name, breaks_first_runs) for name in ("u1", "u2")]
        async with running_gateway(
            ALL_ROUTES, *upstreams, just_started=True, retry_slack=8.0, gateways=1
        ) as gateway:
            answers = [await call(gateway, "/resumable/1") for _ in range(3)]
        assert [got.whole for got in answers] == [True, False, False]

    run(main())


def test_broken_stream_that_is_not_resumable_is_cut_off_and_runs_once() -> None:
    async def main() -> None:
        script = breaking_stream(3, reset)
        upstreams = [RawUpstream(name, script) for name in ("u1", "u2")]
        async with running_gateway(ALL_ROUTES, *upstreams) as gateway:
            got = await call(gateway, "/streams/1")
        assert (got.status, got.whole) == (200, False)
        assert sum(len(upstream.requests) for upstream in upstreams) == 1

    run(main())


ADDITIONAL = {
    "not run": "HTTP/1.1 400 Bad Request\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    "failed": "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n",
}


@pytest.mark.parametrize("case", ADDITIONAL)
def test_additional_answer_without_an_id_says_nothing_of_the_next_request(
    case: str,
) -> None:
    """Guards against a request that runs twice, as it is believed not to have run."""

    async def main() -> None:
        async def faulty(req: dict[str, str], _body: bytes, writer: Writer) -> None:
            if len(first.requests) > 1:
                writer.write(ADDITIONAL[case].encode())
                await writer.drain()
                await asyncio.sleep(0.02)
            writer.write(answer_bytes(req["id"], b"done"))

        first, other = RawUpstream("u1", faulty), RawUpstream("u2", answer_correctly)
        async with running_gateway(ALL_ROUTES, first, other) as gateway:
            gateway._upstreams.load_of("u2").error_rate = 0.9
            for number in range(2):
                got = await call(gateway, request_id=f"r{number}")
                assert (got.status, got.body) == (200, b"done")
        assert (len(first.requests), len(other.requests)) == (2, 0)
        assert first.connections == 1

    run(main())


@pytest.mark.parametrize("other_refuses", [False, True])
def test_stream_ends_where_it_runs_while_its_upstream_carries_out_an_order(
    other_refuses: bool,
) -> None:
    """Guards against streams that are cut, or run twice, though nothing failed."""

    async def slow(req: dict[str, str], body: bytes, writer: Writer) -> None:
        first = int(req.get("last-event-id", "0")) + 1
        writer.write(stream_head(req["id"]))
        for number in range(first, 7):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")

    async def main() -> None:
        first = RawUpstream("u1", slow)
        other = RawUpstream("u2", refuse if other_refuses else slow)
        async with running_gateway(ALL_ROUTES, first, other, gateways=1) as gateway:
            gateway._upstreams.load_of("u2").error_rate = 0.9
            pending = asyncio.create_task(call(gateway, "/resumable/1"))
            await asyncio.sleep(0.08)
            loop = asyncio.get_running_loop()
            gateway.directory.offer(mark("u1", 1, 1), loop.time())
            got = await pending
        assert (got.whole, got.body) == (True, WHOLE)
        assert (len(first.requests), len(other.requests)) == (1, 0)

    run(main())


def test_request_line_names_weights_and_software_of_the_chosen_upstream() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer_correctly)
        with logged("request") as lines:
            async with running_gateway(ALL_ROUTES, upstream) as gateway:
                known = record(
                    "u1",
                    seq=2,
                    address=upstream.address,
                    model="m",
                    weights_version="3",
                    software="v2",
                )
                gateway.directory.offer(known, asyncio.get_running_loop().time())
                await call(gateway, "/calls/1")
        [send] = lines[0]["sends"]
        assert send.endswith(" weights=3 old=0.0 software=v2")

    run(main())


def test_disconnected_caller_cancels_its_stream() -> None:
    async def endless(req: dict[str, str], body: bytes, writer: Writer) -> None:
        writer.write(stream_head(req["id"]))
        for number in range(1, 1_000):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.01)

    async def main() -> None:
        upstream = RawUpstream("u1", endless)
        async with running_gateway(ALL_ROUTES, upstream) as gateway:
            host, _, port = gateway.addresses["http"].rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = f"GET /streams/1 HTTP/1.1\r\nHost: {HOST}\r\nId: r\r\nKey: {KEY}"
            writer.write(f"{lines}\r\n\r\n".encode())
            await reader.readuntil(b"word3")
            writer.close()
            async with asyncio.timeout(0.5):
                await upstream.disconnected.wait()

    run(main())


def test_caller_gets_504_at_the_timeout_if_the_upstream_never_answers() -> None:
    async def silent(req: dict[str, str], body: bytes, writer: Writer) -> None:
        await asyncio.sleep(3.0)

    async def main() -> None:
        short = declared(route(timeout_s=0.3))
        upstream = RawUpstream("u1", silent)
        loop = asyncio.get_running_loop()
        async with running_gateway(short, upstream) as gateway:
            began = loop.time()
            got = await call(gateway)
            took_s = loop.time() - began
        assert (got.status, json_body(got)["error"]["not_run"]) == (504, None)
        assert 0.3 <= took_s < 0.55

    run(main())


def test_refused_connection_gets_503_as_not_run() -> None:
    async def main() -> None:
        async with running_gateway(ALL_ROUTES) as gateway:
            now = asyncio.get_running_loop().time()
            gateway.directory.offer(record("u1", address="127.0.0.1:1"), now)
            got = await call(gateway)
        assert (got.status, json_body(got)["error"]["not_run"]) == (503, True)

    run(main())


def test_leaving_upstream_gets_no_new_work_even_if_it_is_the_last() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer_correctly)
        async with running_gateway(ALL_ROUTES, upstream) as gateway:
            assert (await call(gateway)).status == 200
            now = asyncio.get_running_loop().time()
            leaving = record(
                "u1", address=upstream.address, seq=2, ready=False, leaving=True
            )
            gateway.directory.offer(leaving, now)
            got = await call(gateway, request_id="r2", extra="Wait: 0.3")
        assert (got.status, len(upstream.requests)) == (503, 1)

    run(main())


def test_last_upstreams_are_used_after_all_announcements_expire() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer_correctly)
        async with running_gateway(ALL_ROUTES, upstream) as gateway:
            assert (await call(gateway)).status == 200
            expire_lease(gateway.directory, record("u1", address=upstream.address))
            assert (await call(gateway, request_id="r2")).status == 200

    run(main())


def expire_lease(directory: Any, known: UpstreamRecord) -> None:
    """Let the lease of a record expire."""
    now = asyncio.get_running_loop().time()
    directory.expire(now + known.lease_s + 1)
    assert directory.ready(POOL, now) == ()


MALFORMED = {
    "illegal chunk size": (
        "POST /calls/1 HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: k\r\n"
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"
    ),
    "length and chunks": (
        "POST /calls/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "two lengths": (
        "POST /calls/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        "Content-Length: 4\r\n\r\nabcd"
    ),
    "no HTTP": "hello\r\n\r\n",
}


@pytest.mark.parametrize("case", MALFORMED)
def test_malformed_request_gets_400_and_the_gateway_keeps_serving(case: str) -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer_correctly)
        document = declared(route(host="h", public=True), route())
        async with running_gateway(document, upstream) as gateway:
            host, _, port = gateway.addresses["http"].rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(MALFORMED[case].encode())
            got = await read_answer(reader)
            writer.close()
            assert got.status == 400
            assert (await call(gateway)).status == 200
        assert len(upstream.requests) == 1

    run(main())


def test_draining_gateway_reports_not_ready_and_still_serves() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer_correctly)
        async with running_gateway(ALL_ROUTES, upstream) as gateway:
            assert await ready_status(gateway) == 200
            closing = asyncio.create_task(gateway.close())
            await asyncio.sleep(0.05)
            assert await ready_status(gateway) == 503
            got = await call(gateway)
            assert (got.status, got.headers["connection"]) == (200, "close")
            await closing

    run(main())


def test_draining_gateway_refuses_requests_that_may_outlast_it() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer_correctly)
        async with running_gateway(ALL_ROUTES, upstream) as gateway:
            closing = asyncio.create_task(gateway.close())
            # The balancer is given two thirds of a second and open answers 1.85 s,
            # while a call may take 2 s.
            await asyncio.sleep(0.5)
            got = await call(gateway)
            short = await call(gateway, extra="Wait: 0.5")
            await closing
        assert (got.status, got.headers["connection"]) == (503, "close")
        assert 0.0 < float(got.headers["retry-after"]) < 0.3
        assert (short.status, len(upstream.requests)) == (200, 1)

    run(main())


async def ready_status(gateway: Any) -> int:
    """Return the status that the balancer receives."""
    host, _, port = gateway.addresses["ready"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /any HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    got = await read_answer(reader)
    writer.close()
    return got.status


def test_connections_to_an_upstream_stay_within_the_gateways_share() -> None:
    async def slowly(req: dict[str, str], body: bytes, writer: Writer) -> None:
        await asyncio.sleep(0.1)
        await answer_correctly(req, body, writer)

    async def main() -> None:
        # Ten connections are declared and nine used, three by each of three gateways.
        document = declared(pools={POOL: Pool(POOL, 10)})
        first, other = RawUpstream("u1", slowly), RawUpstream("u2", slowly)
        async with running_gateway(document, first, other, gateways=3) as gateway:
            for _ in range(2):
                calls = [call(gateway, request_id=f"r{n}") for n in range(8)]
                got = sorted(a.status for a in await asyncio.gather(*calls))
                # Six requests get a connection; the others are refused as not run.
                assert got == [200] * 6 + [503] * 2
            assert (first.connections, other.connections) == (3, 3)
            assert not gateway._upstreams.load_of("u1").suspect_until > 0

    run(main())


def test_scrape_counts_requests_by_outcome() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer_correctly)
        metrics = MetricsCfg(http="127.0.0.1:0")
        async with running_gateway(ALL_ROUTES, upstream, metrics=metrics) as gateway:
            await call(gateway)
            await call(gateway, "/other/1", request_id="r2")
            assert gateway.metrics is not None
            gateway.metrics.before_scrape = gateway.read_levels
            text = gateway.metrics.render().decode()
        lines = [line for line in text.splitlines() if line[:1] != "#"]

        def values(name: str, *labels: str) -> list[float]:
            samples = [line for line in lines if re.split("[{ ]", line)[0] == name]
            samples = [
                line for line in samples if all(label in line for label in labels)
            ]
            return [float(line.rpartition(" ")[2]) for line in samples]

        ok = 'profile="calls"', 'outcome="answered"'
        assert values("gooseberrydale_requests_total", *ok) == [1.0]
        refused = 'outcome="no_declared_route"'
        assert values("gooseberrydale_requests_total", refused) == [1.0]
        assert values("gooseberrydale_time_to_first_token_seconds_count", ok[0]) == [1]
        assert values("gooseberrydale_held_time_seconds_count") == [1.0]
        assert values("gooseberrydale_upstreams_known") == [1.0]
        assert values("gooseberrydale_documents") == [1.0]

    run(main())


@pytest.mark.parametrize("module", ["gateway.gateway", "control.control"])
def test_metrics_libraries_are_not_loaded_without_a_listener(
    module: str,
) -> None:
    code = (
        f"import sys, gooseberrydale.process.{module};"
        "print(any('opentelemetry' in name for name in sys.modules))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.stdout.strip() == "False"
