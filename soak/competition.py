"""Callers that compete for capacity during a soak run, and checks of what they got.

The checks use the answers that callers received and the runs that upstreams recorded.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import random
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

import httpx2

from soak.limited_upstream import LimitedUpstream

HOST = "soak.example"
DEADLINE_S = 3.0
NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request was not run and never will be."""

RETRY_FRACTION = 1 / 3
"""A caller retries only after at most this fraction of the time that it has left."""

IMPATIENT_FRACTION = 0.2
"""Fraction of the callers that retry at once instead."""

WORKSPACE_PER_S = 10.0
"""Requests per second of one workspace: four of them use two thirds of two upstreams
with six slots each."""

BURST_FACTOR = 6.0
RANK_DEVIATIONS = 3.0
"""How many standard deviations a less urgent rank may be served more often by chance:
once in 700 runs."""

MIN_CALLS = 50
"""Fewer calls of a rank than this tell nothing about how often it is served."""


@dataclass(frozen=True, slots=True)
class CallerRoute:
    """A route of the soak; ``once`` calls must not run twice."""

    name: str
    rank: int
    once: bool
    weight: float


ROUTES = (
    CallerRoute("urgent", 0, False, 0.3),
    CallerRoute("confirm", 2, True, 0.4),
    CallerRoute("lookup", 2, False, 0.3),
)


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request of a call; ``status`` is 0 if no answer arrived."""

    request_id: str
    status: int


@dataclass(slots=True)
class Call:
    """One call with the requests that it took."""

    body: str
    route: CallerRoute
    workspace: str
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def answered(self) -> bool:
        """Whether a gateway answered the last request, served or not."""
        return bool(self.attempts) and self.attempts[-1].status > 0

    @property
    def served(self) -> bool:
        """Whether the call succeeded."""
        return self.answered and self.attempts[-1].status == httpx2.codes.OK


class CompetingCallers:
    """Callers of several workspaces; ``factors`` multiplies the rate of a workspace."""

    def __init__(self, urls: Sequence[str], seed: int, workspaces: Sequence[str]):
        self._urls = urls
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._workspaces = workspaces
        self._stopped = False
        self._open: set[asyncio.Task[None]] = set()
        self.factors = dict.fromkeys(workspaces, 1.0)
        self.calls: list[Call] = []

    def stop(self) -> None:
        """Start no further call."""
        self._stopped = True

    async def run(self) -> None:
        """Send until ``stop``; return once every call has ended."""
        limits = httpx2.Limits(max_connections=400)
        async with httpx2.AsyncClient(
            timeout=DEADLINE_S + 2.0, trust_env=False, limits=limits
        ) as client:
            await asyncio.gather(*(self._send(client, w) for w in self._workspaces))
            await asyncio.gather(*self._open)

    async def _send(self, client: httpx2.AsyncClient, workspace: str) -> None:
        rng = self._rng
        while not self._stopped:
            rate = WORKSPACE_PER_S * self.factors[workspace]
            await asyncio.sleep(rng.expovariate(rate))
            [route] = rng.choices(ROUTES, [route.weight for route in ROUTES])
            call = Call(f"call-{next(self._numbers)}", route, workspace)
            self.calls.append(call)
            task = asyncio.create_task(self._call(client, call))
            self._open.add(task)
            task.add_done_callback(self._open.discard)

    async def _call(self, client: httpx2.AsyncClient, call: Call) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + DEADLINE_S
        first = self._rng.randrange(len(self._urls))
        impatient = self._rng.random() < IMPATIENT_FRACTION
        after_s = await self._attempt(client, call, first, DEADLINE_S)
        left_s = ends_at - loop.time()
        if after_s is None or after_s > left_s * RETRY_FRACTION:
            return
        if not impatient:
            await asyncio.sleep(after_s)
        await self._attempt(client, call, first + 1, ends_at - loop.time())

    async def _attempt(
        self, client: httpx2.AsyncClient, call: Call, gateway: int, left_s: float
    ) -> float | None:
        """Send once; return after which time to retry, None if that is not allowed."""
        request_id = f"{call.body}-{len(call.attempts) + 1}"
        headers = {
            "host": HOST,
            "x-request-id": request_id,
            "x-api-key": api_key(call.workspace),
            "x-deadline-ms": str(round(left_s * 1_000)),
        }
        try:
            got = await self._post(client, call, headers, gateway)
        except httpx2.HTTPError:
            call.attempts.append(Attempt(request_id, 0))
            return None
        call.attempts.append(Attempt(request_id, got.status_code))
        if got.status_code not in NOT_RUN or "retry-after" not in got.headers:
            return None
        return float(got.headers["retry-after"])

    async def _post(
        self,
        client: httpx2.AsyncClient,
        call: Call,
        headers: dict[str, str],
        gateway: int,
    ) -> httpx2.Response:
        """Send to the first gateway that takes a connection, as a balancer does."""
        for number in range(gateway, gateway + len(self._urls)):
            url = f"{self._urls[number % len(self._urls)]}/{call.route.name}/1"
            with contextlib.suppress(httpx2.ConnectError):
                return await client.post(url, headers=headers, content=call.body)
        raise httpx2.ConnectError("no gateway takes a connection")

    def summary(self) -> str:
        """Return how many calls were served by rank, and the statuses at the end."""
        statuses = Counter(call.attempts[-1].status for call in self.calls)
        parts = [
            f"rank {rank}: {served} of {count} served"
            for rank, (served, count) in sorted(served_by_rank(self.calls).items())
        ]
        return f"{', '.join(parts)}, statuses {dict(statuses)}"


def api_key(workspace: str) -> str:
    """Return the key with which the callers of a workspace are known."""
    return f"key-of-{workspace}"


def find_broken_promises(
    calls: Sequence[Call], upstreams: Sequence[LimitedUpstream]
) -> list[str]:
    """Return one line for each promise to callers that was broken."""
    return [
        *_check_ranks(calls),
        *_check_runs(calls, upstreams),
        *_check_refusals(calls, upstreams),
        *_check_capacity(upstreams),
    ]


def served_by_rank(calls: Iterable[Call]) -> dict[int, tuple[int, int]]:
    """Return how many calls were served and answered at all, by rank."""
    counts: dict[int, tuple[int, int]] = defaultdict(lambda: (0, 0))
    for call in calls:
        if call.answered:
            served, count = counts[call.route.rank]
            counts[call.route.rank] = (served + call.served, count + 1)
    return counts


def _check_ranks(calls: Sequence[Call]) -> Iterator[str]:
    """Check that no rank was served more often than a more urgent one."""
    ranks = sorted(served_by_rank(calls).items())
    for (urgent, (served, count)), (less, (served_less, count_less)) in zip(
        ranks, ranks[1:]
    ):
        if min(count, count_less) < MIN_CALLS:
            continue
        mean = (served + served_less) / (count + count_less)
        deviation = math.sqrt(mean * (1 - mean) * (1 / count + 1 / count_less))
        excess = served_less / count_less - served / count
        if excess > RANK_DEVIATIONS * deviation:
            yield (
                f"rank {less} was served more often than rank {urgent}:"
                f" {served_less} of {count_less}, {served} of {count}"
            )


def _check_runs(
    calls: Iterable[Call], upstreams: Iterable[LimitedUpstream]
) -> Iterator[str]:
    """Check that calls that must not run twice ran at most once, and once if served."""
    runs: Counter[str] = Counter()
    for upstream in upstreams:
        runs += upstream.bodies
    for call in calls:
        count = runs[call.body]
        if call.route.once and count > 1:
            yield f"{call.body} ran {count} times"
        if call.served and count == 0:
            yield f"{call.body} was answered and never ran"


def _check_refusals(
    calls: Iterable[Call], upstreams: Iterable[LimitedUpstream]
) -> Iterator[str]:
    """Check that no request ran whose caller was told that it was not run."""
    ran = {request_id for upstream in upstreams for request_id in upstream.runs}
    for call in calls:
        for attempt in call.attempts:
            if attempt.status in NOT_RUN and attempt.request_id in ran:
                yield f"{attempt.request_id} ran, though {attempt.status} denies it"


def _check_capacity(upstreams: Iterable[LimitedUpstream]) -> Iterator[str]:
    """Check that no upstream was sent more than its slots and queue hold."""
    for upstream in upstreams:
        if upstream.overflows:
            yield f"{upstream.name} was sent {upstream.overflows} requests while full"
