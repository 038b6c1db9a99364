"""Starts the deployments of the cases and waits until they serve."""

from __future__ import annotations

import json
from typing import Any

from deployment import Deployment, Machine, Record, dump, wait_until
from wire import JSON, Consumers, call, control_call

HOST = "callers.example"
MODEL = "model-a"
START_S = 20.0

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
ENGINE = {
    "slots": 48,
    "kvCapacity": 122994,
    "kvBytes": 192512,
    "linkMbps": 740000.0,
    "moves": True,
    "backups": True,
    "stride": 4,
    "maxInflight": 12,
    "pinMs": 4000.0,
    "holdMs": 2000.0,
    "handle_s": 5.0,
    "models": [{"name": MODEL}],
}


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 2500,
        "sloMs": 400,
        "priority": 1,
        "service": service,
        "attempts": 1,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
        **more,
    }


def service(name: str, engine: dict[str, Any] | None = None) -> dict[str, Any]:
    own = {"name": name, "healthPath": "/health", "maxConns": 320}
    own |= {"protocol": "h1", "tls": False}
    return {**own, "engine": engine} if engine else own


def tenant(name: str, keys: list[str], *, isolated: bool = False) -> dict[str, Any]:
    return {"name": name, "apiKeys": keys, "priority": 1, "isolated": isolated}


def config(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
) -> dict[str, Any]:
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": tenants,
    }


def start_machines(
    deployment: Deployment, *, core: int, edge: int
) -> tuple[list[Machine], list[Machine]]:
    """Start core machines with a disk, and others that run only a gateway.

    The first three of the core are the seeds of all.
    """
    cores = [
        deployment.add(f"core-{n + 1}", f"zone-{n + 1}", disk=True) for n in range(core)
    ]
    edges = [
        deployment.add(f"edge-{n + 1}", f"zone-{n + 1}", disk=False) for n in range(edge)
    ]
    seeds = [machine.control for machine in cores[:3]]
    for machine in cores:
        machine.start(bootstrap=True, seeds=seeds, roles=["control", "gateway"])
    for machine in edges:
        machine.start(bootstrap=True, seeds=seeds, roles=["gateway"])
    return cores, edges


def put_config(record: Record, nodes: list[str], body: dict[str, Any]) -> str:
    """Send a config until it is acknowledged; return the node that did so."""
    got, node = control_call(nodes, "POST", "/v1/Config.Put", dump(body))
    record.write(f"Config.Put version {body['version']} -> {got.status} by {node}")
    if got.status != 200:
        raise TimeoutError(f"config {body['version']} got {got.status}: {got.body!r}")
    return node


def read_config(record: Record, nodes: list[str]) -> int:
    got, node = control_call(nodes, "GET", "/v1/Config.Get", limit_s=5.0)
    version = json.loads(got.body)["version"] if got.status == 200 else 0
    record.write(f"Config.Get -> {got.status} version {version} by {node}")
    return int(version)


def wait_ready(machines: list[Machine]) -> None:
    for machine in machines:
        wait_until(
            lambda machine=machine: call(machine.ready, "GET", "/v1/ready").status == 200,
            f"{machine.name} is not ready",
            START_S,
        )


def wait_served(
    consumers: Consumers, machines: list[Machine], path: str, headers: dict[str, str]
) -> None:
    """Wait until every gateway serves a request to ``path``."""

    def served(machine: Machine) -> bool:
        return consumers.send(machine.front, "GET", path, headers)[1].status == 200

    for machine in machines:
        wait_until(
            lambda machine=machine: served(machine),
            f"{machine.name} does not serve {path}",
            START_S,
        )


def beat_once(node: str, engine_id: str, body: dict[str, Any]) -> int:
    path = f"/v1/Instances.Heartbeat/{engine_id}"
    return call(node, "POST", path, dump(body), JSON).status
