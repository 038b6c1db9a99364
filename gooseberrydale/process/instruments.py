"""The OpenTelemetry instruments of a process, with their names and units.

There is one :class:`Instruments` per role.  Rare events are recorded by instruments
directly.  Events that occur for every chunk only increment a number in
:class:`Tally`, which is cheaper; the meter reads it on each scrape.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass, field, fields
from typing import Any

from opentelemetry.metrics import CallbackOptions, Meter, Observation

from gooseberrydale.connection.response_bounds import responses_too_long
from gooseberrydale.process.capacity_levels import CapacityLevels, bounded_factors
from gooseberrydale.process.http.client_account import clients_refused

PREFIX = "gooseberrydale"
TTFT_BUCKETS_S = (
    *(0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8),
    *(1.2, 1.6, 2.0, 3.0, 5.0, 10.0, 30.0),
)
HELD_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.8)
GAP_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.07, 0.1, 0.2, 0.5, 1.0, 3.0)


def _measured(unit: str, text: str) -> Any:
    """Declare a field whose value the meter reads on each scrape."""
    return field(default=0, metadata={"unit": unit, "text": text})


@dataclass(slots=True)
class Tally:
    """Counters of events that are too frequent for a call of an instrument each.

    Each counts from the start of the process and never decreases.
    """

    chunks: int = _measured("1", "Chunks sent to callers or entries")
    chunk_bytes: int = _measured("By", "Bytes of those chunks")
    dropped_late_frames: int = _measured(
        "1", "Frames of another attempt or incarnation, dropped"
    )
    dropped_duplicate_frames: int = _measured(
        "1", "Frames below the offset already delivered, dropped"
    )
    heartbeats: int = _measured("1", "Heartbeats sent or received")
    prompt_tokens: int = _measured("1", "Prompt tokens of accepted requests")
    cached_tokens: int = _measured("1", "Prompt tokens that were found cached")
    cache_events: int = _measured("1", "Cache events read from the upstream")
    mesh_messages: int = _measured("1", "Messages sent in mesh sessions")
    mesh_bytes: int = _measured("By", "Bytes sent in mesh sessions")


@dataclass(slots=True)
class Level:
    """Current values (gauges), set by the role and read by the meter on each scrape."""

    cfg_revision: int = _measured("1", "Revision of the configuration in force")
    config_confirmed: float = _measured(
        "s", "Time since the configuration in force was known to be the newest"
    )
    running: int = _measured("1", "Requests that run")
    queued: int = _measured("1", "Requests that wait for their start")
    queue_wait: float = _measured("s", "Expected wait of a new request")
    upstreams_known: int = _measured("1", "Upstreams with a valid lease")
    cached_blocks: int = _measured("1", "Blocks cached at the upstream")
    view_complete: int = _measured("1", "1 if the cache view has no gap, else 0")
    sessions: int = _measured("1", "Open mesh sessions")
    term: int = _measured("1", "Term of the replicated log")
    documents: int = _measured("1", "Number of the document in force")
    gateways: int = _measured("1", "Gateways that are known, this one included")
    suspected: int = _measured("1", "Upstreams left alone after a failure")
    limited: int = _measured("1", "Upstreams that limit the rate that they take")
    requests_quarantined: int = _measured(
        "1", "Requests that are sent to no upstream, as they end those that run them"
    )
    parts_quarantined: int = _measured(
        "1", "Groups of parts of prompts that end the upstreams which answer them"
    )
    origins: int = _measured("1", "Streams whose origin is known here")
    stores_up: int = _measured("1", "Stores of KV cache that answer")
    log_lines_dropped: int = _measured("1", "Log lines that could not be written")
    is_leader: int = _measured("1", "1 at the leader of the control replicas")
    log_index: int = _measured("1", "Last index of the log")
    commit_index: int = _measured("1", "Last committed index of the log")
    leases: int = _measured("1", "Leases held by upstreams")
    claims: int = _measured("1", "Claims of idempotency keys that are kept")


@dataclass(frozen=True, slots=True)
class Instruments:
    """All instruments of a process; ``make_instruments`` sets names and units."""

    tally: Tally
    level: Level
    requests: Any
    refusals: Any
    ttft_s: Any
    request_s: Any
    held_s: Any
    chunk_gap_s: Any
    retries: Any
    over_quota: Any
    capacity_refusals: Any
    resumes: Any
    attaches: Any
    elections: Any
    changes: Any
    orders: Any
    syncs: Any
    claims_made: Any
    lease_renewals: Any
    cache_resyncs: Any
    # The observable instruments that read ``tally``, ``level`` and capacity levels.
    _observables: tuple[Any, ...] = field(default=(), repr=False)

    def count_request(self, profile: str, outcome: str) -> None:
        """Count one finished request; ``outcome`` is ``ok`` or an error code."""
        self.requests.add(1, {"profile": profile, "outcome": outcome})

    def count_refusal(self, code: str) -> None:
        """Count one refusal; ``code`` is that of its problem."""
        self.refusals.add(1, {"code": code})

    def observe_ttft(self, profile: str, seconds: float) -> None:
        """Record the time from a request's arrival to its first token."""
        self.ttft_s.record(seconds, {"profile": profile})


def make_instruments(
    meter: Meter, capacity: Callable[[], CapacityLevels]
) -> Instruments:
    """Create all instruments on ``meter``; each scrape calls ``capacity``."""
    tally, level = Tally(), Level()
    observables = (
        *_observe_tally(meter, tally),
        *_observe_level(meter, level),
        *_observe_capacity(meter, capacity),
        _observe_long_responses(meter),
        _observe_refused_clients(meter),
    )

    def counter(name: str, text: str) -> Any:
        return meter.create_counter(f"{PREFIX}.{name}", "1", text)

    return Instruments(
        tally=tally,
        level=level,
        requests=counter("requests", "Finished requests by profile and outcome"),
        refusals=counter("refusals", "Refusals by code"),
        ttft_s=meter.create_histogram(
            f"{PREFIX}.time_to_first_token",
            "s",
            "Time from arrival to the first token",
            explicit_bucket_boundaries_advisory=list(TTFT_BUCKETS_S),
        ),
        request_s=meter.create_histogram(
            f"{PREFIX}.request_time",
            "s",
            "Time from arrival to the end of the answer",
            explicit_bucket_boundaries_advisory=list(TTFT_BUCKETS_S),
        ),
        held_s=meter.create_histogram(
            f"{PREFIX}.held_time",
            "s",
            "Time from arrival to the first send to an upstream",
            explicit_bucket_boundaries_advisory=list(HELD_BUCKETS_S),
        ),
        chunk_gap_s=meter.create_histogram(
            f"{PREFIX}.chunk_gap",
            "s",
            "Longest time between two chunks of an answer",
            explicit_bucket_boundaries_advisory=list(GAP_BUCKETS_S),
        ),
        over_quota=counter(
            "over_quota", "What was refused beyond quotas, by workspace"
        ),
        capacity_refusals=counter(
            "capacity_refusals", "Refusals for lack of capacity, by reason and rank"
        ),
        retries=counter("retries", "Attempts after the first, by cause"),
        resumes=counter("resumes", "Streams resumed on another upstream"),
        attaches=counter("attaches", "Streams attached to again, by outcome"),
        elections=counter("elections", "Elections started, by outcome"),
        changes=counter("changes", "Changes of configuration, by outcome"),
        orders=counter("orders", "Orders to upstreams, by outcome"),
        syncs=counter("syncs", "Syncs of the log to disk"),
        claims_made=counter("claims_made", "Claims of idempotency keys, by outcome"),
        lease_renewals=counter("lease_renewals", "Lease renewals, by outcome"),
        cache_resyncs=counter("cache_resyncs", "Cache views rebuilt, by cause"),
        _observables=observables,
    )


def _observe_tally(meter: Meter, tally: Tally) -> Iterable[Any]:
    for item in fields(tally):
        yield meter.create_observable_counter(
            f"{PREFIX}.{item.name}",
            [_reader(tally, item.name)],
            item.metadata["unit"],
            item.metadata["text"],
        )


def _observe_level(meter: Meter, level: Level) -> Iterable[Any]:
    for item in fields(level):
        yield meter.create_observable_gauge(
            f"{PREFIX}.{item.name}",
            [_reader(level, item.name)],
            item.metadata["unit"],
            item.metadata["text"],
        )


def _observe_capacity(
    meter: Meter, capacity: Callable[[], CapacityLevels]
) -> Iterable[Any]:
    def gauge(
        name: str, label: str, text: str, read: Callable[[], Mapping[Any, float]]
    ) -> Any:
        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(v, {label: str(k)}) for k, v in read().items()]

        return meter.create_observable_gauge(f"{PREFIX}.{name}", [observe], "1", text)

    def reservations(_: CallbackOptions) -> Iterable[Observation]:
        counts = asdict(capacity().reservations())
        return [Observation(v, {"outcome": k}) for k, v in counts.items()]

    yield gauge(
        "waiting_requests",
        "rank",
        "Requests that wait for capacity, by rank",
        lambda: capacity().waiting(),
    )
    yield gauge(
        "speed_factor",
        "upstream",
        "Learned speed relative to the mean of the pool, by upstream",
        lambda: bounded_factors(capacity().speed_factors()),
    )
    yield gauge(
        "capacity_limit",
        "pool",
        "Learned fraction of declared capacity that upstreams hold, by pool",
        lambda: capacity().limits(),
    )
    yield gauge(
        "workspaces_over_share",
        "pool",
        "Workspaces over their share of a pool's capacity",
        lambda: capacity().workspaces_over(),
    )
    yield meter.create_observable_counter(
        f"{PREFIX}.reservations",
        [reservations],
        "1",
        "Reservations of capacity, by outcome; asked counts all of them",
    )


def _observe_long_responses(meter: Meter) -> Any:
    def observe(_: CallbackOptions) -> Iterable[Observation]:
        counts = responses_too_long().items()
        return [Observation(count, {"call": call}) for call, count in counts]

    return meter.create_observable_counter(
        f"{PREFIX}.responses_too_long",
        [observe],
        "1",
        "Responses reset because a part exceeds its bound, by call; of the process",
    )


def _observe_refused_clients(meter: Meter) -> Any:
    def observe(_: CallbackOptions) -> Iterable[Observation]:
        counts = clients_refused().items()
        return [Observation(count, {"reason": reason}) for reason, count in counts]

    return meter.create_observable_counter(
        f"{PREFIX}.clients_refused",
        [observe],
        "1",
        "Requests refused and connections closed as clients hold too much, by reason",
    )


def _reader(
    source: Tally | Level, name: str
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def read(_: CallbackOptions) -> Iterable[Observation]:
        return (Observation(getattr(source, name)),)

    return read
