"""Simulates a pool whose upstreams end under one part of a prompt, without sockets.

Gateways send prompts to upstreams and exchange what they lost there over sessions to
control; sessions break, and gateways are killed.  Prompts have a guide, one of many
subjects below it, and a part of their own.  An upstream that begins to answer a harmful
prompt ends, and all that it ran breaks.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.open_runs import OpenRuns, Run, RunEnd
from tests.builders_incarnations import Fleet, Node, request

STEP_S = 0.02
DETECTION_S = 0.1
RESTART_S = 3.0
GUIDES, SUBJECTS = 4, 180


def part(name: str) -> bytes:
    """Return the digest of a part of that name."""
    return name.encode().rjust(8, b"-")


@dataclass(eq=False)
class Sent:
    """One run of a request at an upstream, sent by a gateway."""

    parts: tuple[bytes, ...]
    gateway: Node
    run: Run
    begins_at: float
    harmful: bool
    begun: bool = False


@dataclass(eq=False)
class Upstream:
    """One upstream; each gateway has its own record of what it runs there."""

    name: str
    up_at: float = 0.0
    incarnation: int = 0
    sent: list[Sent] = field(default_factory=list)
    open: dict[str, OpenRuns] = field(default_factory=dict)

    def runs_of(self, gateway: Node) -> OpenRuns:
        """Return the runs of a gateway at this incarnation."""
        return self.open.setdefault(gateway.name, OpenRuns())


@dataclass
class PartPool:
    """The pool; times are in seconds.

    A fraction ``harmful`` of the prompts has one of ``harmful_parts``, which replaces
    its guide or follows it.  ``ended`` has the time of each end by the part that caused
    it, ``reached`` that of each harmful prompt that reached an upstream.
    """

    rng: random.Random
    harmful_parts: tuple[str, ...] = ("bad",)
    as_guide: bool = False
    harmful: float = 0.05
    per_s: float = 35.0
    prefill_s: float = 0.15
    answer_s: float = 0.6
    kill_each_s: float = 0.0
    breaking: float = 0.0
    sound: int = 0
    sound_refused: int = 0
    ended: dict[str, list[float]] = field(default_factory=dict)
    reached: dict[str, list[float]] = field(default_factory=dict)
    _count: int = 0

    def __post_init__(self) -> None:
        self.fleet = Fleet.of(self.rng, gateways=8, controls=3)
        self.upstreams = [Upstream(f"u{number}") for number in range(5)]
        self._detections: list[tuple[float, Upstream, str, dict[str, OpenRuns]]] = []
        self._kill_at = self.kill_each_s

    @property
    def now(self) -> float:
        """The simulated time."""
        return self.fleet.now

    def play(self, until: float) -> None:
        """Let prompts arrive until the given time."""
        while self.now < until:
            self.fleet.step(STEP_S, breaking=self.breaking)
            if self.kill_each_s and self.now >= self._kill_at:
                self._kill_at += self.kill_each_s
                self._kill(self.rng.choice(self.fleet.gateways))
            if self.rng.random() < self.per_s * STEP_S:
                self._arrive()
            for upstream in self.upstreams:
                self._run(upstream)
            self._detect()

    def late(self, name: str, delay_s: float) -> int:
        """Count harmful prompts that reached upstreams ``delay_s`` after the fifth
        end."""
        ended = self.ended.get(name, [])
        if len(ended) < 5:
            return 0
        return sum(at > ended[4] + delay_s for at in self.reached.get(name, []))

    def _arrive(self) -> None:
        self._count += 1
        guide = part(f"g{self.rng.randrange(GUIDES)}")
        # Some subjects are asked for far more often than others.
        subject = part(f"s{int(SUBJECTS * self.rng.random() ** 2)}")
        harmful = self.rng.random() < self.harmful
        name = self.rng.choice(self.harmful_parts) if harmful else ""
        parts = (guide, subject)
        if harmful:
            bad = part(name)
            parts = (bad, subject) if self.as_guide else (guide, subject, bad)
        gateway = self.rng.choice([g for g in self.fleet.gateways if g.up])
        self._send(gateway, request(self._count), parts, name)

    def _send(
        self,
        gateway: Node,
        fingerprint: bytes,
        parts: tuple[bytes, ...],
        harmful: str,
    ) -> None:
        table = gateway.table
        refused = table.harmful_parts_in(parts) or table.is_quarantined(fingerprint)
        if not harmful:
            self.sound += 1
            self.sound_refused += bool(refused)
        up = [u for u in self.upstreams if self.now >= u.up_at]
        if refused or not up:
            return
        upstream = min(up, key=lambda u: (len(u.sent), self.rng.random()))
        if harmful:
            self.reached.setdefault(harmful, []).append(self.now)
        run = upstream.runs_of(gateway).began(fingerprint, parts)
        begins_at = self.now + self.rng.uniform(0.5, 2.0) * self.prefill_s
        upstream.sent.append(Sent(parts, gateway, run, begins_at, bool(harmful)))

    def _run(self, upstream: Upstream) -> None:
        for sent in list(upstream.sent):
            if self.now < sent.begins_at:
                continue
            if sent.harmful:
                bad = next(n for n in self.harmful_parts if part(n) in sent.parts)
                self._end(upstream, bad)
                return
            if not sent.begun:
                sent.begun = sent.run.answering = True
                if sent.gateway.up:
                    sent.gateway.table.begun(sent.parts, self.now)
            elif self.now > sent.begins_at + self.answer_s:
                upstream.sent.remove(sent)
                upstream.runs_of(sent.gateway).ended(
                    sent.run, self.now, RunEnd.ANSWERED
                )
                sent.gateway.table.answered(sent.run.request, self.now)

    def _end(self, upstream: Upstream, bad: str) -> None:
        self.ended.setdefault(bad, []).append(self.now)
        for sent in upstream.sent:
            upstream.runs_of(sent.gateway).ended(sent.run, self.now, RunEnd.BROKE)
        name = f"{upstream.name}.{upstream.incarnation}"
        self._detections.append((self.now + DETECTION_S, upstream, name, upstream.open))
        upstream.sent, upstream.open = [], {}
        upstream.incarnation += 1
        upstream.up_at = self.now + RESTART_S

    def _detect(self) -> None:
        due = [item for item in self._detections if item[0] <= self.now]
        self._detections = [item for item in self._detections if item[0] > self.now]
        for _, _, name, open_runs in due:
            for gateway in self.fleet.gateways:
                if gateway.up and gateway.name in open_runs:
                    lost = open_runs[gateway.name].mark_ended(self.now)
                    gateway.table.report(name, lost, self.now)

    def _kill(self, gateway: Node) -> None:
        """Kill a gateway: what it knew and ran is lost; it starts again at once."""
        gateway.table = EndedIncarnations(relays=False)
        for upstream in self.upstreams:
            upstream.sent = [s for s in upstream.sent if s.gateway is not gateway]
            upstream.open.pop(gateway.name, None)
        for _, _, _, open_runs in self._detections:
            open_runs.pop(gateway.name, None)
        for pair in self.fleet.pairs():
            if gateway in pair:
                self.fleet.open(pair)
