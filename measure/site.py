"""Starts and controls the processes of a deployment for a measurement.

One site is used for many runs.  Between runs only the entries are restarted, with
another policy.  The texts of each run differ, so that no run uses prefixes that an
earlier one cached.
"""

from __future__ import annotations

import pathlib
import time
from typing import Any

import httpx2

from gooseberrydale.version.declarations import Profile, ProfileKind, Workspace
from measure.client import Target
from measure.deployments import Deployment
from measure.workload import WORKSPACE_WEIGHTS
from tests.fleet import (
    UPSTREAM_HTTP_PORT,
    Fleet,
    UpstreamSpec,
    key_digest,
    wait_for_port,
)

DISCOVERY_DELAY_S = 1.5
READ_TIMEOUT_S = 10.0
CONTROLS = 3
KV_STORE_HOST, KV_STORE_PORT = "kv-store", 9100
ENGINE_PROFILE, SERVICE_PROFILE = "answers", "bids"
MODEL = "example"


class Site:
    """The processes of one deployment; ``direct`` omits those of the router.

    ``engine_flags`` are added after the flags of the deployment and so override them.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: pathlib.Path,
        *,
        direct: bool = False,
        engine_flags: tuple[str, ...] = (),
    ) -> None:
        self._engine_flags = engine_flags
        self.deployment = deployment
        self.direct = direct
        self.fleet = Fleet(folder, deployment.zones)
        self._keys = tuple(
            f"key-of-workspace-{i}" for i in range(len(WORKSPACE_WEIGHTS))
        )
        self._entries_read: dict[str, int] = {}
        self.engines = [f"engine-{i + 1}" for i in range(deployment.engines)]
        self.services = [f"service-{i + 1}" for i in range(deployment.services)]
        if not direct:
            # Set before the entries are added: all settings list the control replicas.
            self.fleet.controls = [f"control-{i + 1}" for i in range(CONTROLS)]
            self.fleet.add_entries(deployment.entries)
            self.fleet.add_controls(CONTROLS, loads_at_once=deployment.loads_at_once)
        self._add_upstreams()

    def _add_upstreams(self) -> None:
        deployment = self.deployment
        zones = deployment.zones
        kv_host = self.fleet.host(KV_STORE_HOST)
        kv_store = f"http://{kv_host}:{KV_STORE_PORT}"
        self.fleet.add_example(KV_STORE_HOST, "kv-store", kv_host, KV_STORE_PORT)
        for i, name in enumerate(self.engines):
            spec = UpstreamSpec(
                name=name,
                pool=deployment.engine_pool,
                zone=zones[i % len(zones)],
                model=MODEL,
                flags=(
                    *("--kv-store", kv_store),
                    *deployment.engine_flags(i),
                    *self._engine_flags,
                ),
                settings={"kv_store": kv_store},
            )
            self.fleet.add_upstream(spec)
        for i, name in enumerate(self.services):
            zone = zones[i % len(zones)]
            spec = UpstreamSpec(name, deployment.service_pool, zone, "service")
            self.fleet.add_upstream(spec)

    def start(self) -> None:
        """Start all processes; call ``use_policy`` before the first load."""
        if self.direct:
            self._start_upstreams()
        else:
            self.fleet.start()
        for name in [*self.engines, *self.services]:
            wait_for_port(self.fleet.host(f"upstream-{name}"), UPSTREAM_HTTP_PORT)
        if not self.direct:
            self._declare()

    def _start_upstreams(self) -> None:
        for name, process in self.fleet.processes.items():
            if name.startswith(("upstream-", KV_STORE_HOST)):
                process.start()

    def use_policy(self, policy: str) -> None:
        """Restart the entries with another policy; wait until all can route."""
        for name in self.fleet.entries:
            self.fleet.processes[name].kill()
        self.fleet.add_entries(self.deployment.entries, policy=policy)
        for name in self.fleet.entries:
            self.fleet.processes[name].start()
        self.fleet.wait_ready(len(self.engines) + len(self.services))
        # A ready entry can serve, but it may not have received all announcements yet.
        time.sleep(DISCOVERY_DELAY_S)

    def restore(self) -> None:
        """Restart the processes that a failure ended, except entries."""
        for name, process in self.fleet.processes.items():
            if name not in self.fleet.entries and not process.running:
                process.start()

    def target(self) -> Target:
        """Return the addresses, profiles and keys that callers use."""
        if self.direct:
            urls = tuple(self.fleet.upstream_url(name) for name in self.engines)
        else:
            urls = tuple(self.fleet.entry_url(name) for name in self.fleet.entries)
        return Target(urls, ENGINE_PROFILE, SERVICE_PROFILE, self._keys, self.direct)

    def read_new_records(self) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
        """Return what engines and services have recorded since the last call."""
        engines = [self._new_record(name, "requests") for name in self.engines]
        services = [self._new_record(name, "runs") for name in self.services]
        return engines, services

    def _new_record(self, name: str, field: str) -> dict[str, Any]:
        try:
            record = _get(f"{self.fleet.upstream_url(name)}/record")
        except httpx2.HTTPError:
            # A failure ended the upstream, and its record was lost with it.
            return {field: []}
        entries = record[field]
        entries_read = self._entries_read.get(record["incarnation"], 0)
        self._entries_read[record["incarnation"]] = len(entries)
        return {**record, field: entries[entries_read:]}

    def close(self) -> None:
        """Stop all processes."""
        self.fleet.close()

    def _declare(self) -> None:
        deployment = self.deployment
        answers = Profile(
            ENGINE_PROFILE,
            ProfileKind.COMPLETION,
            pool=deployment.engine_pool,
            model=MODEL,
            deadline_s=deployment.deadline_s,
            waste_weight=deployment.waste_weight,
        )
        bids = Profile(
            SERVICE_PROFILE,
            ProfileKind.SERVICE,
            pool=deployment.service_pool,
            repeatable=False,
        )
        workspaces = [
            Workspace(f"workspace-{i + 1}", key_digests=(key_digest(key),))
            for i, key in enumerate(self._keys)
        ]
        self.fleet.declare((answers, bids), workspaces)


def _get(url: str) -> Any:
    return httpx2.get(url, timeout=READ_TIMEOUT_S, trust_env=False).json()
