"""Builders for tests of ``platform/``: messages as they are on its wire.

The folder is not a package, because it would shadow the standard library's module.  So
it is added to the import path here, as ``platform/run.py`` does.
"""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "platform"))

ENGINE = {"slots": 48, "kvCapacity": 1_000, "kvBytes": 10, "models": [{"name": "m"}]}


def table(**fields: Any) -> dict[str, Any]:
    """Return a configuration with one route, one service and a store."""
    defaults: dict[str, Any] = {
        "version": 7,
        "routes": [route()],
        "services": [
            {"name": "s", "healthPath": "/health", "maxConns": 9, "engine": ENGINE},
            {"name": "k", "kvStoreAddr": "10.0.0.1:1", "zone": "z", "maxInflight": 12},
        ],
        "limits": {
            "maxHeaderBytes": 100,
            "maxBodyBytes": 200,
            "headerTimeoutMs": 300,
            "idleTimeoutMs": 400,
        },
        "tenants": [
            {"name": "t", "apiKeys": ["k1"], "priority": 1, "isolated": True},
        ],
    }
    return {**defaults, **fields}


def route(**fields: Any) -> dict[str, Any]:
    """Return a route of streams."""
    defaults: dict[str, Any] = {
        "name": "r",
        "host": "H.example",
        "pathPrefix": "/a/",
        "kind": "streaming",
        "timeoutMs": 6_000,
        "sloMs": 400,
        "priority": 1,
        "service": "s",
        "attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gapSloMs": 250,
    }
    return {**defaults, **fields}


def body(**fields: Any) -> bytes:
    """Return an encoded configuration."""
    return json.dumps(table(**fields)).encode()


BEAT_FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "coldLeftMs",
    "seq",
)
"""Fields that every heartbeat of an upstream has."""


def beat(seq: Any, **fields: Any) -> dict[str, Any]:
    """Return an engine's heartbeat; fields that are None are left out."""
    defaults: dict[str, Any] = {
        "service": "s",
        "address": "10.0.0.9:1",
        "zone": "z",
        "version": "v1",
        "slots": 48,
        "state": "ready",
        "coldLeftMs": 0,
        "models": [{"name": "m", "version": 3, "adapters": []}],
        "seq": seq,
    }
    merged = {**defaults, **fields}
    return {name: value for name, value in merged.items() if value is not None}


def beat_bytes(seq: Any = 1, **fields: Any) -> bytes:
    """Return an encoded heartbeat."""
    return json.dumps(beat(seq, **fields)).encode()
