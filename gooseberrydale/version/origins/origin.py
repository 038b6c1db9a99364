"""Decides where a stream may go on.

Upstreams of several software versions may serve in one pool.  Their events don't fit
together in one stream, and upstreams don't check this.  No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.errors import SOFTWARE_GONE, Problem, problem

UNKNOWN_SOFTWARE = "?"
"""The software of an incarnation that has not announced itself yet.  It is not the
version of any other upstream."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What brought the first event of a stream.

    ``software`` is empty if the upstreams of ``pool`` announce no version; they all
    count as one version then.
    """

    pool: str
    software: str

    @classmethod
    def of(cls, record: UpstreamRecord) -> StreamOrigin:
        """Return the origin of a stream that an upstream begins."""
        return cls(record.pool, record.software)

    def __str__(self) -> str:
        return f"{self.pool} {self.software or '-'}"

    def allows(self, record: UpstreamRecord) -> bool:
        """Whether the stream may go on at an upstream."""
        if self.software == UNKNOWN_SOFTWARE:
            return False
        return (record.pool, record.software) == (self.pool, self.software)


def software_gone(origin: StreamOrigin) -> Problem:
    """Return why a stream can't go on of whose version no upstream serves."""
    return problem(SOFTWARE_GONE, pool=origin.pool, software=origin.software or "-")
