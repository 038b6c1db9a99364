"""A weight store of limited bandwidth: more loads than its slots slow each other down.

``SharedRate`` is the pure model; the app answers each GET when its load is complete.
"""

from __future__ import annotations

import asyncio

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from gooseberrydale.example.http_json import json_response


class SharedRate:
    """Shares the bandwidth of ``slots`` full-speed loads evenly among all loads.

    A load takes ``load_s`` seconds at full speed.  Callers pass the time in seconds.
    """

    def __init__(self, slots: int, load_s: float) -> None:
        self._slots = slots
        self._load_s = load_s
        self._remaining_s: dict[int, float] = {}
        self._updated_at = 0.0
        self._next_id = 0
        self.max_concurrent = 0

    def begin(self, now: float) -> int:
        """Start a load and return its id."""
        self.advance(now)
        self._next_id += 1
        self._remaining_s[self._next_id] = self._load_s
        self.max_concurrent = max(self.max_concurrent, len(self._remaining_s))
        return self._next_id

    def end(self, load_id: int) -> None:
        """Abort a load; unknown ids are ignored."""
        self._remaining_s.pop(load_id, None)

    def advance(self, now: float) -> None:
        """Update all loads to the time ``now``."""
        while self._remaining_s:
            end_at = self._next_end()
            step = min(now, end_at)
            done = (step - self._updated_at) * self._rate()
            self._remaining_s = {
                load_id: remaining_s - done
                for load_id, remaining_s in self._remaining_s.items()
                if remaining_s - done > 1e-9
            }
            self._updated_at = step
            if end_at > now:
                break
        self._updated_at = now

    def wait_s(self, load_id: int, now: float) -> float:
        """Return the remaining time of a load at the current rate; 0 if complete."""
        self.advance(now)
        remaining_s = self._remaining_s.get(load_id)
        return 0.0 if remaining_s is None else remaining_s / self._rate()

    def _rate(self) -> float:
        return min(1.0, self._slots / len(self._remaining_s))

    def _next_end(self) -> float:
        return self._updated_at + min(self._remaining_s.values()) / self._rate()


class WeightStore:
    """Answers loads of weights at the shared rate."""

    def __init__(self, slots: int, load_s: float) -> None:
        self._rate = SharedRate(slots, load_s)
        self._loads: list[str] = []

    async def serve(self, req: Request) -> Response:
        """Answer when the load of the weights is complete."""
        loop = asyncio.get_running_loop()
        self._loads.append(req.url.path)
        load_id = self._rate.begin(loop.time())
        try:
            # Checked after each wait, as later loads may have slowed this one down.
            while (wait_s := self._rate.wait_s(load_id, loop.time())) > 0:
                await asyncio.sleep(wait_s)
        finally:
            self._rate.end(load_id)
        return json_response({})

    async def record(self, _req: Request) -> Response:
        """Return all loads and the largest number of concurrent ones."""
        return json_response(
            {"loads": self._loads, "most_at_once": self._rate.max_concurrent}
        )


def weight_store_app(slots: int = 2, load_s: float = 0.5) -> Starlette:
    """Return the app of a store that serves ``slots`` loads at full speed."""
    store = WeightStore(slots, load_s)
    return Starlette(
        routes=[
            Route("/weights/{model}/{version}", store.serve),
            Route("/record", store.record),
        ]
    )
