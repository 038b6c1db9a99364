"""Sends one request to an upstream and forwards its answer to the caller.

There is one sender per request; it may send the request several times in sequence.
Bytes that the caller has received can't be taken back, so a stream that is resumed
continues after its last complete event.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from gooseberrydale.connection.http_conn import Framing, HttpConn, ResponseHead
from gooseberrydale.connection.http_pool import HttpPool, PoolExhaustedError
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.sse import EventSplitter, SseError
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.log_events import PromptTermsMissing, emit
from gooseberrydale.process.gateway.answer import HOP_BY_HOP_HEADERS, CallerAnswer
from gooseberrydale.process.gateway.buffered_answers import BufferedAnswers
from gooseberrydale.process.gateway.origin_client import OriginClient
from gooseberrydale.process.gateway.outdated_abort import OutdatedAbort
from gooseberrydale.process.gateway.placer import ObservedStats
from gooseberrydale.process.gateway.routed_request import RoutedRequest
from gooseberrydale.process.gateway.send_measurement import SendMeasurement
from gooseberrydale.process.gateway.upstream_health import answered, suspect
from gooseberrydale.process.gateway.upstream_query import lacks_cache_terms
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.process.quota_charge import QuotaCharge
from gooseberrydale.request.answer_stream import AnswerStream
from gooseberrydale.request.attempt_end import End
from gooseberrydale.request.gateway_call import (
    AnswerHead,
    CallerRequest,
    HeaderCodec,
    RawHeaders,
    Terms,
)
from gooseberrydale.version.declared import Pool
from gooseberrydale.version.open_runs import Run, RunEnd
from gooseberrydale.version.origins.origin import UNKNOWN_SOFTWARE, StreamOrigin
from gooseberrydale.version.speeds.speed import Prefill
from gooseberrydale.version.upstream_load import UpstreamLoad, Work

ANSWER_GRACE_S = 0.05
"""How long past the request's deadline the gateway waits for an answer.  The upstream
ends the request at the deadline itself, and its answer may state that a request that
was still queued did not run."""

MAX_ERROR_BYTES = 1024 * 1024
"""Limit of the body of a refusal or a failure, which is buffered as a whole."""

AMBIGUOUS_STATUSES = frozenset({408, 421, 429, 503})
"""Callers read these as "has not run".  Unless the upstream states so as well, the
request may have run."""

FIRST_SERVER_STATUS = 500

_RUN_ENDS: dict[End | None, RunEnd] = {
    End.LOST: RunEnd.BROKE,
    End.TIMED_OUT: RunEnd.LEFT,
    End.OUTDATED: RunEnd.LEFT,
}
"""Results of a send after which the upstream may have ended."""


@dataclass(frozen=True, slots=True)
class SendDeps:
    """Objects that all sends of the process share.

    ``origins`` records what begins each stream.
    ``work_changed`` is called whenever this gateway's work at an upstream changes;
    ``connections`` returns how many connections to one upstream of a pool may be open;
    ``buffered`` bounds what is held of answers that are not forwarded yet.
    """

    wire: HeaderCodec
    upstreams: Upstreams
    conns: HttpPool
    stats: ObservedStats
    origins: OriginClient
    work_changed: Callable[[], None]
    connections: Callable[[Pool], int | None]
    buffered: BufferedAnswers = field(default_factory=BufferedAnswers)


class Sender:
    """Sends one request, possibly several times.

    ``runs`` counts the sends that may have run; ``failure`` is the last failure that an
    upstream itself answered with.
    ``can_resume`` is whether another upstream can continue what the caller has, and
    ``origin`` what brought its first event, None before that.
    ``lost_reason`` says why the last send that was lost ended.
    ``framing`` names what marks the end of the last answer; ``inside_event`` is whether
    its last bytes are in the middle of an event.
    """

    def __init__(
        self,
        job: RoutedRequest,
        answer: CallerAnswer,
        deps: SendDeps,
        charge: QuotaCharge,
    ) -> None:
        self._job = job
        self._answer = answer
        self._deps = deps
        self._charge = charge
        self._prefilled = False
        self._measurement: SendMeasurement | None = None
        self._run: Run | None = None
        # Whether this side broke the connection, as the upstream was silent.
        self._gave_up_silent = False
        self.runs = 0
        self.failure: tuple[AnswerHead, bytes] | None = None
        self.last_event_id: str | None = job.call.last_event_id
        self.can_resume = True
        self.origin = job.origin
        self._is_origin_recorded = False
        # The upstream that brought the first event, if it was in this answer.
        self._begun_at: UpstreamRecord | None = None
        self.lost_reason = ""
        self.framing = ""
        self.inside_event = False

    async def send(
        self,
        record: UpstreamRecord,
        terms: Terms,
        work: Work,
        prefill: Prefill | None = None,
    ) -> End | None:
        """Send the request once; return None if the caller has the complete answer.

        ``prefill`` is what its choice assumed to be computed up to the first event.
        """
        upstreams, pool = self._deps.upstreams, self._job.pool
        if lacks_cache_terms(pool, self._job.call.prompt, terms):
            emit(PromptTermsMissing(self._job.call.request_id, record.name, pool.name))
            return End.NOT_SENT
        load = upstreams.load_of(record.name)
        self._prefilled = False
        # A resumed stream also computes the events that its caller has.
        measured = prefill if self.last_event_id is None else None
        self._measurement = SendMeasurement(upstreams, pool, record, work, measured)
        self._run = None
        self._gave_up_silent = False
        run_end = RunEnd.LEFT
        load.began(work)
        load.silence.opened(_now())
        self._deps.work_changed()
        try:
            end = await self._exchange_until_deadline(record, terms, load, work)
            if not self._gave_up_silent:
                run_end = _RUN_ENDS.get(end, RunEnd.ANSWERED)
            return end
        finally:
            if self._run is not None:
                upstreams.run_ended(record.name, load, self._run, _now(), run_end)
            load.ended(work, prefilled=self._prefilled)
            load.silence.closed()
            self._deps.work_changed()

    async def _exchange_until_deadline(
        self, record: UpstreamRecord, terms: Terms, load: UpstreamLoad, work: Work
    ) -> End | None:
        try:
            async with asyncio.timeout_at(self._job.deadline_at + ANSWER_GRACE_S):
                return await self._exchange(record, terms, load, work)
        except TimeoutError:
            return End.TIMED_OUT

    async def _exchange(
        self, record: UpstreamRecord, terms: Terms, load: UpstreamLoad, work: Work
    ) -> End | None:
        conns, sure = self._deps.conns, not self._job.repeatable
        pool_key, bound = (record.address, record.name), self._max_connections()
        try:
            conn = await conns.acquire(*pool_key, must_not_resend=sure, max_conns=bound)
        except PoolExhaustedError:
            return End.NOT_SENT
        except UpstreamError as exc:
            suspect(record.name, load, _now(), str(exc))
            if exc.refused:
                self._deps.upstreams.ended(record.name, load, _now(), str(exc))
            return End.NOT_SENT
        whole = False
        limit = OutdatedAbort(self._deps.upstreams, record, conn.abort)

        def give_up_silent() -> None:
            self._gave_up_silent = True
            conn.abort()

        if self._job.repeatable:
            load.silence.watch(give_up_silent)
        try:
            end = await self._exchange_on(conn, limit, record, terms, load, work)
            whole = True
            return end
        except UpstreamError as exc:
            if not exc.sent:
                return End.NOT_SENT
            if limit.has_aborted:
                return End.OUTDATED
            self.lost_reason = str(exc)
            self._withdraw_doubtful_origin()
            reason, unusable = self.lost_reason, exc.too_long
            suspect(record.name, load, _now(), reason, unusable=unusable)
            return End.LOST
        finally:
            limit.close()
            load.silence.unwatch(give_up_silent)
            if whole:
                conns.release(*pool_key, conn, bound)
            else:
                conns.discard(*pool_key)
                self._abandon(conn)

    def _max_connections(self) -> int | None:
        return self._deps.connections(self._job.pool)

    def _abandon(self, conn: HttpConn) -> None:
        """Close the connection of an answer that is not read to its end.

        If the request must not run twice, the connection stays open until the deadline,
        so that its run can still complete.
        """
        if self._job.repeatable or self._job.route.streamed or not conn.sent:
            conn.abort()
            return
        delay_s = max(0.0, self._job.left_s())
        asyncio.get_running_loop().call_later(delay_s, conn.abort)

    async def _exchange_on(
        self,
        conn: HttpConn,
        limit: OutdatedAbort,
        record: UpstreamRecord,
        terms: Terms,
        load: UpstreamLoad,
        work: Work,
    ) -> End | None:
        """Send on ``conn`` and forward the answer; may raise :class:`UpstreamError`."""
        if limit.is_due():
            # Connecting took long, or the weights turned out to be older than known.
            return End.NOT_SENT
        job, wire = self._job, self._deps.wire
        headers = wire.request_headers(job.call, terms)
        conn.send(_request_head(job.call, headers, len(job.body)), job.body)
        if self._measurement is not None:
            self._measurement.sent()
        self.runs += 1
        self._charge.record_sent()
        self._run = load.runs.began(job.fingerprint, job.parts)
        if job.route.streamed:
            # Of other answers nothing arrives before their runs have ended.
            limit.start()
        raw = await conn.head(lambda head: self._is_own_answer(head, conn))
        load.silence.note_received(_now())
        head = wire.read_answer(raw.status, raw.headers)
        self.framing, self.inside_event = raw.framing.value, False
        if head.load is not None:
            load.reported(head.load, _now())
            is_own = head.instance in (None, record.name)
            if self._measurement is not None:
                self._measurement.load_reported(head.load, is_own=is_own)
        if head.instance in (None, record.name):
            self._note_backpressure(head, record)
        if head.not_run:
            return await self._handle_refusal(conn, head, record)
        if not head.ok:
            return await self._handle_failure(conn, head, record, load)
        if not head.signed or head.encoded:
            raise UpstreamError(
                "the answer has no upstream stamp or is encoded", sent=True
            )
        if job.route.streamed:
            stream = AnswerStream(
                raw.headers, raw.framing, continued=self.last_event_id is not None
            )
            await self._forward_stream(conn, limit, head, stream, record, load, work)
        else:
            await self._forward_whole(conn, head, raw.framing)
        answered(record.name, load, failed=False)
        self._deps.upstreams.ended_incarnations.answered(job.fingerprint, _now())
        return None

    def _note_backpressure(self, head: AnswerHead, record: UpstreamRecord) -> None:
        """Record the limit, backoff or leave notice in the head of an answer."""
        upstreams = self._deps.upstreams
        upstreams.limited(record.name, head.limit_per_s, _now())
        if head.retry_after_s is not None:
            upstreams.back_off(record.name, head.retry_after_s, _now())
        if head.leaving:
            upstreams.leaving(record.name, _now())

    def _is_own_answer(self, raw: ResponseHead, conn: HttpConn) -> bool:
        """Whether an answer is to this request, by the id that upstreams echo.

        An upstream that could not parse the request answers without an id.  After an
        earlier answer such a one may be what a faulty upstream sent in addition to it,
        and says nothing of this request, which may run.
        """
        head = self._deps.wire.read_answer(raw.status, raw.headers)
        if head.request_id is None:
            return not head.ok and not conn.is_reused
        return head.request_id == self._job.call.request_id

    async def _handle_refusal(
        self, conn: HttpConn, head: AnswerHead, record: UpstreamRecord
    ) -> End:
        self.runs -= 1
        self._charge.record_not_run()
        await _read_whole(conn)
        replaced = head.instance not in (None, record.name)
        self._deps.upstreams.refused(record.name, _now(), replaced=replaced)
        return End.REFUSED

    async def _handle_failure(
        self,
        conn: HttpConn,
        head: AnswerHead,
        record: UpstreamRecord,
        load: UpstreamLoad,
    ) -> End | None:
        body = await _read_whole(conn)
        failed = head.status >= FIRST_SERVER_STATUS
        answered(record.name, load, failed=failed)
        if head.status in AMBIGUOUS_STATUSES and not self._job.repeatable:
            return End.INVALID
        if failed or self._answer.started:
            self.failure = head, body
            return End.FAILED
        await self._answer.whole(head.status, head.headers, body)
        return None

    async def _forward_whole(
        self, conn: HttpConn, head: AnswerHead, framing: Framing
    ) -> None:
        """Forward an answer once it is complete, or as it arrives if it is large.

        It is also forwarded as it arrives while the process holds much of others.
        """
        buffered = self._deps.buffered.begin()
        try:
            async for data in conn.body():
                if self._answer.started:
                    await self._answer.write(data)
                elif not buffered.add(data):
                    await self._start_unframed(head, framing)
                    await self._answer.write(buffered.take_all())
            if self._measurement is not None and self._job.call.prompt is None:
                self._measurement.service_answered()
            if self._answer.started:
                await self._answer.end()
                return
            self._note_begun()
            await self._answer.whole(head.status, head.headers, buffered.take_all())
        finally:
            buffered.close()

    async def _start_unframed(self, head: AnswerHead, framing: Framing) -> None:
        """Begin to forward an answer that has not arrived as a whole."""
        self._note_begun()
        # What was sent to the caller can't be taken back by another send.
        self.can_resume = False
        headers = head.headers
        if framing is not Framing.LENGTH:
            headers = tuple(h for h in headers if h[0] != b"content-length")
        await self._answer.start(head.status, headers)

    async def _forward_stream(
        self,
        conn: HttpConn,
        limit: OutdatedAbort,
        head: AnswerHead,
        stream: AnswerStream,
        record: UpstreamRecord,
        load: UpstreamLoad,
        work: Work,
    ) -> None:
        """Forward a streamed body; raises :class:`UpstreamError` if it is cut off."""
        in_events = self._job.route.resumable and stream.has_events
        splitter = EventSplitter() if in_events else None
        headers = head.headers
        if splitter is not None or stream.has_events:
            # A resumed answer may differ in length from the one first announced, and
            # one that is broken off at that length would look complete.
            headers = tuple(h for h in headers if h[0] != b"content-length")
        async for data in conn.body():
            limit.close()
            load.silence.note_received(_now())
            self._note_first_chunk(load, work)
            stream.feed(data)
            self.inside_event = stream.inside_event
            if stream.has_begun:
                if self._measurement is not None:
                    self._measurement.first_event()
                self._note_begun()
            if not self._answer.started:
                await self._answer.start(head.status, headers)
            if splitter is None:
                self.can_resume = False
                await self._answer.write(data)
            else:
                await self._write_events(splitter, data, record)
        stream.check_end()
        if not self._answer.started:
            await self._answer.start(head.status, headers)
        if splitter is not None and splitter.remainder:
            await self._answer.write(splitter.remainder)
        await self._answer.end()
        run_s = _now() - self._answer.started_at
        self._deps.stats.run_times.ended(self._job.route.name, run_s)

    def _note_first_chunk(self, load: UpstreamLoad, work: Work) -> None:
        if not self._prefilled:
            self._prefilled = True
            load.prefill_done(work)
            if self._measurement is not None:
                self._measurement.body_began()
            self._deps.work_changed()

    def _note_begun(self) -> None:
        """Record that the upstream has begun to answer and did not end by it."""
        if self._run is not None and not self._run.answering:
            self._run.answering = True
            ended = self._deps.upstreams.ended_incarnations
            ended.begun(self._job.parts, _now())

    async def _write_events(
        self, splitter: EventSplitter, data: bytes, record: UpstreamRecord
    ) -> None:
        try:
            events = splitter.feed(data)
        except SseError as exc:
            raise UpstreamError(str(exc), sent=True) from exc
        if not all(event.is_comment for event in events):
            self._record_origin(record)
        if events:
            await self._answer.write(b"".join(event.data for event in events))
        for event in events:
            if event.event_id:
                self.last_event_id = event.event_id
                self.can_resume = True
            elif not event.is_comment:
                # Resuming after an earlier event would repeat this one.
                self.can_resume = False

    def _record_origin(self, record: UpstreamRecord) -> None:
        """Record what began the stream, before its caller gets the first event."""
        if self._is_origin_recorded:
            return
        self._is_origin_recorded = True
        if self.origin is None:
            self._begun_at = record
            self.origin = StreamOrigin(record.pool, self._software(record))
        self._publish_origin(self.origin)

    def _publish_origin(self, origin: StreamOrigin) -> None:
        if origin.software:
            job = self._job
            self._deps.origins.record(job.stream_key, origin, job.origin_keep_s())

    def _software(self, record: UpstreamRecord) -> str:
        """Return the software version of the incarnation that a send reached.

        If the upstream was restarted with another one since the send, the connection
        may have reached either incarnation.
        """
        newest = self._deps.upstreams.software(record.name, _now())
        if newest is not None and newest != record.software:
            return UNKNOWN_SOFTWARE
        return record.software

    def _withdraw_doubtful_origin(self) -> None:
        record = self._begun_at
        if record is not None and self._software(record) == UNKNOWN_SOFTWARE:
            self._begun_at = None
            self.origin = StreamOrigin(record.pool, UNKNOWN_SOFTWARE)
            self._publish_origin(self.origin)


def _request_head(call: CallerRequest, headers: RawHeaders, size: int) -> bytes:
    lines = [f"{call.method} {call.target} HTTP/1.1".encode("latin-1")]
    lines += [
        name + b": " + value
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS
    ]
    if size or call.method in ("POST", "PUT", "PATCH"):
        lines.append(b"content-length: %d" % size)
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def _read_whole(conn: HttpConn) -> bytes:
    chunks: list[bytes] = []
    size = 0
    async for data in conn.body():
        size += len(data)
        if size > MAX_ERROR_BYTES:
            raise UpstreamError(
                f"the answer is larger than {MAX_ERROR_BYTES} bytes", sent=True
            )
        chunks.append(data)
    return b"".join(chunks)


def _now() -> float:
    return asyncio.get_running_loop().time()
