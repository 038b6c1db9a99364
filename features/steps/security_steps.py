"""Steps for TLS, the fleet token and secrets in logs."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import grpc
import httpx2
from behave import given, then, when

from features.steps.fleet_steps import KEY, engines, start_fleet
from gooseberrydale.connection.messages import ReadConfig
from gooseberrydale.connection.rpc import READ_CONFIG, RpcChannel
from tests.fleet import (
    CONTROL_RPC_PORT,
    ENTRY_RPC_PORT,
    FLEET_TOKEN,
    OPERATOR_TOKEN,
    SIDECAR_RPC_PORT,
    UpstreamSpec,
)

WRONG_TOKEN = "token-of-another-fleet"
FOREIGN_UPSTREAM = "foreign"
ANNOUNCE_S = 4.0
CALL_S = 3.0


@given(
    "a fleet over TLS of {controls:d} control replicas, {entries:d} entries and"
    " {n:d} engines"
)
def step_tls_fleet(context: Any, controls: int, entries: int, n: int) -> None:
    """Start a fleet in which every listener has a certificate."""
    start_fleet(context, controls, entries, engines(n), tls=True)


@then("no listener of the system answers without TLS")
def step_no_plain(context: Any) -> None:
    """Call each HTTP and gRPC listener without TLS; every call must fail."""
    fleet = context.fleet
    urls = [fleet.entry_url(name) + "/livez" for name in fleet.entries]
    urls += [fleet.operator_url(name) + "/v1/status" for name in fleet.controls]
    for url in urls:
        try:
            answer = httpx2.get(
                url.replace("https:", "http:"), timeout=CALL_S, trust_env=False
            )
        except httpx2.HTTPError:
            continue
        raise AssertionError(f"{url} answered without TLS: status {answer.status_code}")
    listeners = [f"{fleet.host(name)}:{ENTRY_RPC_PORT}" for name in fleet.entries]
    listeners += [f"{fleet.host(name)}:{CONTROL_RPC_PORT}" for name in fleet.controls]
    listeners += [
        f"{fleet.host('sidecar-' + name)}:{SIDECAR_RPC_PORT}"
        for name in fleet.upstreams
    ]
    for address in listeners:
        code = call_code(address, FLEET_TOKEN)
        assert code is grpc.StatusCode.UNAVAILABLE, (address, code)


@then("the operators' command works with the authority's certificate alone")
def step_cli_tls(context: Any) -> None:
    """Run an operators' command over TLS with and without the CA file."""
    fleet = context.fleet
    args = ("profile", "list", *fleet.operator_args())
    assert "summaries" in fleet.cli(*args, "--ca_file", fleet.tls["ca_file"])
    assert fleet.try_cli(*args).returncode != 0


@when("a sidecar with another fleet token is started")
def step_foreign_sidecar(context: Any) -> None:
    """Start an upstream whose sidecar has the wrong token."""
    fleet = context.fleet
    fleet.add_upstream(UpstreamSpec(FOREIGN_UPSTREAM, "engines", model="model-a"))
    cfg = fleet.cfg_path("sidecar-" + FOREIGN_UPSTREAM)
    token_file = fleet.folder / "wrong-token"
    token_file.write_text(WRONG_TOKEN)
    cfg.write_text(cfg.read_text().replace("fleet-token", "wrong-token"))
    fleet.processes["upstream-" + FOREIGN_UPSTREAM].start()
    fleet.processes["sidecar-" + FOREIGN_UPSTREAM].start()


@then("its upstream is not announced, and a call with that token is refused")
def step_not_announced(context: Any) -> None:
    """Check that the sidecar runs, but is neither announced nor served by others."""
    fleet = context.fleet
    time.sleep(ANNOUNCE_S)
    assert fleet.processes["sidecar-" + FOREIGN_UPSTREAM].running
    announced = fleet.operate("GET", "/v1/upstreams")["upstreams"]
    assert [upstream["name"] for upstream in announced] == ["engine-1"], announced
    address = f"{fleet.host('sidecar-engine-1')}:{SIDECAR_RPC_PORT}"
    assert call_code(address, WRONG_TOKEN) is grpc.StatusCode.UNAUTHENTICATED
    assert call_code(address, FLEET_TOKEN) is None


@then("every line of the logs is JSON, and no token or key appears in any")
def step_no_secrets(context: Any) -> None:
    """Check the logs of all processes; upstreams may log in any format."""
    for name, process in context.fleet.processes.items():
        text = process.output()
        if not name.startswith("upstream-"):
            for line in text.splitlines():
                json.loads(line)
        for secret in (FLEET_TOKEN, OPERATOR_TOKEN, WRONG_TOKEN, KEY):
            assert secret not in text, (name, secret)


def call_code(address: str, token: str) -> grpc.StatusCode | None:
    """Return the code with which a call without TLS fails, or None if it succeeds."""

    async def call() -> grpc.StatusCode | None:
        channel = RpcChannel(address, token)
        try:
            await channel.call(READ_CONFIG, ReadConfig(0), timeout_s=CALL_S)
        except grpc.aio.AioRpcError as exc:
            return exc.code()
        finally:
            await channel.close()
        return None

    return asyncio.run(call())
