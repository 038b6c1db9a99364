"""Steps about TLS, the fleet token and secrets in logs."""

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
    CONTROL_RPC,
    ENTRY_RPC,
    FLEET_TOKEN,
    OPERATOR_TOKEN,
    SIDECAR_RPC,
    UpstreamSpec,
)

WRONG_TOKEN = "token-of-another-fleet"
STRANGER = "stranger"
ANNOUNCE_S = 4.0
CALL_S = 3.0


@given(
    "a fleet over TLS of {controls:d} control replicas, {entries:d} entries and"
    " {n:d} engines"
)
def step_tls_fleet(context: Any, controls: int, entries: int, n: int) -> None:
    """Start a fleet whose every listener has a certificate."""
    start_fleet(context, controls, entries, engines(n), tls=True)


@then("no listener of the system answers without TLS")
def step_no_plain(context: Any) -> None:
    """Try each HTTP and gRPC listener in plain."""
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
        raise AssertionError(f"{url} answered in plain: {answer.status_code}")
    listeners = [f"{fleet.host(name)}:{ENTRY_RPC}" for name in fleet.entries]
    listeners += [f"{fleet.host(name)}:{CONTROL_RPC}" for name in fleet.controls]
    listeners += [
        f"{fleet.host('sidecar-' + name)}:{SIDECAR_RPC}" for name in fleet.upstreams
    ]
    for address in listeners:
        code = call_code(address, FLEET_TOKEN)
        assert code is grpc.StatusCode.UNAVAILABLE, (address, code)


@then("the operators' command works with the authority's certificate alone")
def step_cli_tls(context: Any) -> None:
    """The command line over TLS, with and without the authority."""
    fleet = context.fleet
    args = ("profile", "list", *fleet.operator_args())
    assert "summaries" in fleet.cli(*args, "--ca_file", fleet.tls["ca_file"])
    assert fleet.try_cli(*args).returncode != 0


@when("a sidecar with another fleet token is started")
def step_stranger(context: Any) -> None:
    """Start an upstream whose sidecar has the wrong token."""
    fleet = context.fleet
    fleet.add_upstream(UpstreamSpec(STRANGER, "engines", model="model-a"))
    cfg = fleet.cfg_path("sidecar-" + STRANGER)
    token_file = fleet.folder / "wrong-token"
    token_file.write_text(WRONG_TOKEN)
    cfg.write_text(cfg.read_text().replace("fleet-token", "wrong-token"))
    fleet.processes["upstream-" + STRANGER].start()
    fleet.processes["sidecar-" + STRANGER].start()


@then("its upstream is not announced, and a call with that token is refused")
def step_not_announced(context: Any) -> None:
    """The stranger runs, but nobody hears it, and it reads nothing."""
    fleet = context.fleet
    time.sleep(ANNOUNCE_S)
    assert fleet.processes["sidecar-" + STRANGER].running
    shown = fleet.operate("GET", "/v1/upstreams")["upstreams"]
    assert [upstream["name"] for upstream in shown] == ["engine-1"], shown
    address = f"{fleet.host('sidecar-engine-1')}:{SIDECAR_RPC}"
    assert call_code(address, WRONG_TOKEN) is grpc.StatusCode.UNAUTHENTICATED
    assert call_code(address, FLEET_TOKEN) is None


@then("every line of the logs is JSON, and no token or key stands in any")
def step_no_secrets(context: Any) -> None:
    """Read all logs of the system's own processes."""
    for name, process in context.fleet.processes.items():
        text = process.output()
        if not name.startswith("upstream-"):
            for line in text.splitlines():
                json.loads(line)
        for secret in (FLEET_TOKEN, OPERATOR_TOKEN, WRONG_TOKEN, KEY):
            assert secret not in text, (name, secret)


def call_code(address: str, token: str) -> grpc.StatusCode | None:
    """Code with which a plain call fails, None if it is answered."""

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
