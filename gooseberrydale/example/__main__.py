"""Runs one example app as a process: ``python -m gooseberrydale.example engine``."""

from __future__ import annotations

import asyncio

import fire
from starlette.applications import Starlette

from gooseberrydale.example.app_server import run_app
from gooseberrydale.example.cache_feed import FeedCfg
from gooseberrydale.example.engine import EngineCfg
from gooseberrydale.example.engine_app import engine_app
from gooseberrydale.example.engine_host import HostCfg
from gooseberrydale.example.kv_store_app import MAX_ENTRIES, kv_store_app
from gooseberrydale.example.service_app import service_app
from gooseberrydale.example.weight_store_app import weight_store_app

HOST = "127.0.0.1"


def engine(
    *,
    host: str = HOST,
    port: int = 0,
    port_file: str = "",
    model: str = "example",
    weights_version: str = "1",
    software: str = "1",
    max_batch: int = 8,
    prefill_tps: float = 20_000.0,
    decode_s: float = 0.01,
    cache_tokens: int = 200_000,
    cache_ttl_s: float = 20.0,
    max_waiting: int = 256,
    load_lag_s: float = 0.2,
    event_delay_s: float = 0.05,
    event_drop_rate: float = 0.0,
    event_repeat_rate: float = 0.0,
    event_reorder_rate: float = 0.0,
    load_s: float = 0.5,
    transfer_tps: float = 200_000.0,
    checks_fencing: bool = False,
    kv_store: str = "",
    weight_store: str = "",
    seed: int = 0,
) -> None:
    """Run a model engine; times in seconds, sizes in tokens, rates in tokens/s."""
    cfg = HostCfg(
        model=str(model),
        weights_version=str(weights_version),
        software=str(software),
        engine=EngineCfg(max_batch, prefill_tps, decode_s, cache_tokens, cache_ttl_s),
        feed=FeedCfg(
            event_delay_s, event_drop_rate, event_repeat_rate, event_reorder_rate
        ),
        max_waiting=max_waiting,
        load_lag_s=load_lag_s,
        load_s=load_s,
        transfer_tps=transfer_tps,
        checks_fencing=checks_fencing,
        kv_store=kv_store,
        weight_store=weight_store,
        seed=seed,
    )
    _run(engine_app(cfg), host, port, port_file)


def service(
    *, host: str = HOST, port: int = 0, port_file: str = "", delay_s: float = 0.0
) -> None:
    """Run a service whose calls take ``delay_s`` seconds."""
    _run(service_app(delay_s), host, port, port_file)


def kv_store(
    *, host: str = HOST, port: int = 0, port_file: str = "", entries: int = MAX_ENTRIES
) -> None:
    """Run a store of KV cache pieces; ``entries`` limits their number."""
    _run(kv_store_app(entries), host, port, port_file)


def weight_store(
    *,
    host: str = HOST,
    port: int = 0,
    port_file: str = "",
    slots: int = 2,
    load_s: float = 0.5,
) -> None:
    """Run a weight store that serves ``slots`` loads at full speed at the same time."""
    _run(weight_store_app(slots, load_s), host, port, port_file)


def _run(app: Starlette, host: str, port: int, port_file: str) -> None:
    asyncio.run(run_app(app, host, port, str(port_file)))


def main() -> None:
    """Run the app that is named on the command line."""
    commands = {
        "engine": engine,
        "service": service,
        "kv-store": kv_store,
        "weight-store": weight_store,
    }
    fire.Fire(commands)


if __name__ == "__main__":
    main()
