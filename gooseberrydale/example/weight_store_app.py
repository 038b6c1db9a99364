"""A rate-limited weight store: a few loads at full speed, more of them slower.

``SharedRate`` is the pure model; the app holds each GET until its load is done.
Lives as long as its process.
"""

from __future__ import annotations

import asyncio

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from gooseberrydale.example.http_json import json_response


class SharedRate:
    """Loads that share ``slots`` full rates evenly; time is passed in, in seconds."""

    def __init__(self, slots: int, load_s: float) -> None:
        self._slots = slots
        self._load_s = load_s
        self._left: dict[int, float] = {}
        self._as_of = 0.0
        self._next_id = 0
        self.most_at_once = 0

    def begin(self, now: float) -> int:
        """Start a load and return its id."""
        self.advance(now)
        self._next_id += 1
        self._left[self._next_id] = self._load_s
        self.most_at_once = max(self.most_at_once, len(self._left))
        return self._next_id

    def end(self, load_id: int) -> None:
        """Give a load up; unknown ids are ignored."""
        self._left.pop(load_id, None)

    def advance(self, now: float) -> None:
        """Work off what is due by ``now``."""
        while self._left:
            ends = self._next_end()
            step = min(now, ends)
            done = (step - self._as_of) * self._rate()
            self._left = {
                load_id: left - done
                for load_id, left in self._left.items()
                if left - done > 1e-9
            }
            self._as_of = step
            if ends > now:
                break
        self._as_of = now

    def wait_s(self, load_id: int, now: float) -> float:
        """Return how long a load takes at the present rate; 0 if it is done."""
        self.advance(now)
        left = self._left.get(load_id)
        return 0.0 if left is None else left / self._rate()

    def _rate(self) -> float:
        return min(1.0, self._slots / len(self._left))

    def _next_end(self) -> float:
        return self._as_of + min(self._left.values()) / self._rate()


class WeightStore:
    """Serves weights at the shared rate."""

    def __init__(self, slots: int, load_s: float) -> None:
        self._rate = SharedRate(slots, load_s)
        self._loads: list[str] = []

    async def serve(self, req: Request) -> Response:
        """Answer when the weights have been read."""
        loop = asyncio.get_running_loop()
        self._loads.append(req.url.path)
        load_id = self._rate.begin(loop.time())
        try:
            # Asked again after each wait, as a later load may have slowed it down.
            while (wait_s := self._rate.wait_s(load_id, loop.time())) > 0:
                await asyncio.sleep(wait_s)
        finally:
            self._rate.end(load_id)
        return json_response({})

    async def record(self, _req: Request) -> Response:
        """Return every load and how many there were at once."""
        return json_response(
            {"loads": self._loads, "most_at_once": self._rate.most_at_once}
        )


def weight_store_app(slots: int = 2, load_s: float = 0.5) -> Starlette:
    """Return the app of a store with ``slots`` loads at full speed."""
    store = WeightStore(slots, load_s)
    return Starlette(
        routes=[
            Route("/weights/{model}/{version}", store.serve),
            Route("/record", store.record),
        ]
    )
