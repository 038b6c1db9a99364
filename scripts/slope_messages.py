"""Print how messages' bytes, and the processor time of their codec, grow with size.

Run it from the root: PYTHONPATH=. python scripts/slope_messages.py.  Nothing is sent.
Message formats marked "not built" don't exist in the product; this script encodes
them itself to show what they would cost.
"""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable

import msgspec

from gooseberrydale.connection.codec import decode, encode
from gooseberrydale.connection.control_messages import ClaimReq, FinishReq, Holder
from gooseberrydale.connection.mesh import Announce, ConfigOffer, RevisionAck
from gooseberrydale.connection.messages import Chunk, DispatchReq, Piece
from gooseberrydale.version.declarations import (
    Config,
    Profile,
    ProfileKind,
    Workspace,
)
from measure.fit import fit
from scripts.slope_mesh import records

WORKSPACES = (450, 900, 1_800, 3_600)
PROFILES = (9, 18, 36, 72)
CHANGED = (1, 2, 4, 8)
RECORDS = (37, 74, 148, 296)
EVENTS = (1, 4, 8, 16)
PIECES = (2, 4, 8, 16)
ANSWERS = (256, 512, 1_024, 2_048)
UPSTREAMS = (93, 185, 370, 740)
NAME_HASH_BYTES = 8
LEASE_S = 30
REPEATS = 25
MICRO = 1e6
EVENT = b'{"id":"chatcmpl-0123456789abcdef","object":"chat.completion.chunk",' + (
    b'"created":1800000000,"model":"model-1","choices":[{"index":0,"delta":'
    b'{"content":" word"},"finish_reason":null}]}'
)
REQUEST_ID = f"{7:032x}"
INCARNATION = f"{9:024x}"

Build = Callable[[int], bytes]


def report(title: str, sizes: tuple[int, ...], values: list[float]) -> None:
    """Print the points and the straight line through them."""
    line = fit([float(size) for size in sizes], values)
    points = ", ".join(f"{size}: {value:.0f}" for size, value in zip(sizes, values))
    print(
        f"{title}\n  {points}\n  fixed {line.intercept:.1f}, slope {line.slope:.4g}"
        f" ({line.low:.4g} to {line.high:.4g}), R² {line.r2:.4f}",
        flush=True,
    )


def cpu_us(work: Callable[[], object]) -> float:
    """Return the median processor time of ``work`` in microseconds."""
    costs = []
    for _ in range(REPEATS):
        before = time.process_time()
        work()
        costs.append((time.process_time() - before) * MICRO)
    return statistics.median(costs)


def measure(title: str, sizes: tuple[int, ...], build: Build) -> None:
    """Report the size of the messages that ``build`` returns."""
    report(f"{title}, bytes", sizes, [float(len(build(size))) for size in sizes])


def config(workspaces: int, profiles: int = 9) -> Config:
    """Return a configuration with two keys for each workspace."""
    keys = ("a" * 64, "b" * 64)
    names = [f"workspace-{n}" for n in range(workspaces)]
    profile_names = [f"profile-{n}" for n in range(profiles)]
    return Config(
        revision=1_600,
        profiles={
            name: Profile(name, ProfileKind.COMPLETION, "engines", "model-a")
            for name in profile_names
        },
        workspaces={name: Workspace(name, keys) for name in names},
    )


def config_of_workspaces(count: int) -> bytes:
    """Encode a configuration with ``count`` workspaces."""
    return encode(ConfigOffer(config(count)))


def config_of_profiles(count: int) -> bytes:
    """Encode a configuration with ``count`` profiles and no workspaces."""
    return encode(ConfigOffer(config(0, count)))


def config_changes(count: int) -> bytes:
    """Encode a configuration that holds only ``count`` changed workspaces."""
    return encode(ConfigOffer(config(count, 0)))


def announcement(count: int) -> bytes:
    """Encode an announcement of ``count`` complete records."""
    batch = tuple(records(count, 1_000, random.Random(1)))
    return encode(Announce(batch, sent_at=12345.678, echo_at=23456.789))


def short_renewals(count: int) -> bytes:
    """Encode renewals that replace the record by its hash.

    A row holds a hash of name, incarnation and content, the sequence number and the
    lease.
    """
    rng = random.Random(1)
    rows = [
        (rng.randbytes(NAME_HASH_BYTES), 100_000 + n, LEASE_S) for n in range(count)
    ]
    return msgspec.msgpack.encode(("Renew", 12345.678, 23456.789, rows))


def load_view(count: int) -> bytes:
    """Encode each upstream's index, running, queued, wait in ms and rate."""
    rows = [(n, 16, 3, 250, 20_000) for n in range(count)]
    return msgspec.msgpack.encode(("Loads", rows))


def chunk(count: int) -> bytes:
    """Encode a chunk with ``count`` events."""
    return encode(Chunk(REQUEST_ID, 1, INCARNATION, 100, (EVENT,) * count))


def dispatch(count: int) -> bytes:
    """Encode a dispatch with ``count`` pieces and an empty body."""
    pieces = tuple(Piece(random.Random(n).randbytes(16), 4_000) for n in range(count))
    return encode(
        DispatchReq(
            REQUEST_ID,
            1,
            INCARNATION,
            "workspace-0001",
            "profile-1",
            "POST",
            "/v1/chat/completions",
            b"",
            (("content-type", "application/json"),),
            pieces=pieces,
        )
    )


def answer(count: int) -> bytes:
    """Encode the answer to a call with an idempotency key, ``count`` bytes long."""
    headers = (("content-type", "application/json"),)
    return encode(
        FinishReq("workspace-0001", REQUEST_ID, holder(), 200, headers, b"x" * count)
    )


def holder() -> Holder:
    """Return the attempt that holds a claim."""
    return Holder(REQUEST_ID, 1, "bids-1", "10.0.0.1:8090", INCARNATION)


def measure_decoding(title: str, sizes: tuple[int, ...], build: Build) -> None:
    """Report the processor time of decoding."""
    encoded = {size: build(size) for size in sizes}
    costs = [cpu_us(lambda: decode(encoded[size])) for size in sizes]
    report(f"{title}, decoding, µs", sizes, costs)


def measure_encoding(title: str, sizes: tuple[int, ...], build: Build) -> None:
    """Report the processor time of encoding."""
    messages = {size: decode(build(size)) for size in sizes}
    costs = [cpu_us(lambda: encode(messages[size])) for size in sizes]
    report(f"{title}, encoding, µs", sizes, costs)


def main() -> None:
    """Measure all messages and print a line for each."""
    heartbeat = encode(RevisionAck("engine-0001", 1_600, 12345.678, 23456.789))
    print(f"heartbeat of a session: {len(heartbeat)} bytes")
    claim = encode(ClaimReq("workspace-0001", REQUEST_ID, b"d" * 32, holder()))
    print(f"claim: {len(claim)} bytes")
    measure("announcement, by records", RECORDS, announcement)
    measure("renewals by key (not built), by records", RECORDS, short_renewals)
    measure("loads of all upstreams (not built), by upstreams", UPSTREAMS, load_view)
    measure("configuration, by workspaces", WORKSPACES, config_of_workspaces)
    measure("configuration, by profiles", PROFILES, config_of_profiles)
    measure("changes of a configuration (not built)", CHANGED, config_changes)
    measure("chunk, by events", EVENTS, chunk)
    measure("dispatch without body, by pieces", PIECES, dispatch)
    measure("answer stored with a claim, by its bytes", ANSWERS, answer)
    measure_decoding("configuration, by workspaces", WORKSPACES, config_of_workspaces)
    measure_encoding("configuration, by workspaces", WORKSPACES, config_of_workspaces)
    measure_decoding("announcement, by records", RECORDS, announcement)
    measure_decoding("chunk, by events", EVENTS, chunk)


if __name__ == "__main__":
    main()
