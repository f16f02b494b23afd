"""The outboxes of all connections: queues messages, asks for writes, and closes connections."""

from __future__ import annotations

from .. import interface as i
from ..protocol import Message, Release, ReleaseCause, ReleaseConfirmed
from .component import Component
from .inputs_and_effects import Close, Write
from .limits import CALLER_RELEASE_TTL_US, MAX_OUTBOX_MESSAGES, MAX_WRITE_MESSAGES, RECENT_WRITE_US
from .machines import ATTEMPT, AttemptTransition, StreamTransition
from .state import Attempt, Caller, Link, Outgoing, PendingGiveUp, Stream
from .trace import CloseReason, TraceEvent


class Writing(Component):
    """Queues and writes messages on streams, and tracks which releases have possibly not arrived."""

    def __init__(self) -> None:
        self.pending: dict[int, Stream] = {}  # streams to be flushed in this step

    def undelivered_releases(self, stream: Caller | Link) -> list[Release]:
        """The releases that possibly have not arrived on a closed connection and must be sent on another one.

        For a caller those are the releases of answered calls, for an exchange those of any call that has ended. The
        other releases to an exchange belong to open calls, which may now stand there: that is noted in the call.
        """
        waiting = [m for m in (*stream.in_flight, *stream.outbox) if isinstance(m, Release)]
        recent = [m for written_us, m in stream.unconfirmed.values() if written_us > self._unconfirmed_since(stream)]
        releases = {m.call: m for m in (*recent, *waiting)}
        if isinstance(stream, Link):
            for call_id in releases.keys() & self.calls.by_id.keys():
                self.calls.by_id[call_id].maybe_standing_at.add(stream.exchange_id)
            return [m for call_id, m in releases.items() if call_id in self.calls.ended]
        return [m for call_id, m in releases.items() if call_id in self.calls.ended and self.calls.ended[call_id].stood]

    def _unconfirmed_since(self, stream: Caller | Link) -> int:
        """The time since which an unconfirmed write has possibly not arrived.

        That is `RECENT_WRITE_US` ago, on a link also the time of the last message received on it, if that is earlier.
        For a caller without another usable connection it is `CALLER_RELEASE_TTL_US` ago, the limit in all cases.
        """
        since = self.core.now - RECENT_WRITE_US
        if isinstance(stream, Link):
            return max(min(since, stream.last_received_us), self.core.now - CALLER_RELEASE_TTL_US)
        return since if self.end_notices.best_other(stream) else self.core.now - CALLER_RELEASE_TTL_US

    def presumed_delivered(self, stream: Caller | Link) -> list[int]:
        """Ids of calls whose unconfirmed releases on a stream count as delivered because of their age."""
        if not stream.unconfirmed:
            return []
        since = self._unconfirmed_since(stream)
        return [call_id for call_id, (written_us, _) in stream.unconfirmed.items() if written_us <= since]

    def input_ended(self, stream: int, reason: CloseReason = CloseReason.PEER_ENDED) -> None:
        """No more input comes on a stream: close a link; close a caller's connection when its answers are written."""
        if stream in self.links.by_stream:
            if reason is CloseReason.PEER_ENDED:
                self.held_answers.release_without_evidence(self.links.by_stream[stream])
            self.liveness.link_ended_by_peer(self.links.by_stream[stream])
            self.drop(self.links.by_stream[stream], reason)
        elif stream in self.callers.by_stream:
            caller = self.callers.by_stream[stream]
            caller.change_state(StreamTransition.FINISH)
            self.callers.close_if_finished(caller)

    def peer_reset(self, stream: int) -> None:
        """A stream is closed in both directions: remove it."""
        if stream in self.links.by_stream:
            link = self.links.by_stream[stream]
            self.record_close(link, CloseReason.PEER_RESET)
            self.liveness.link_ended_by_peer(link)
            self.liveness.link_reset(link)
            self.links.remove(link, CloseReason.PEER_RESET)
        elif stream in self.callers.by_stream:
            caller = self.callers.by_stream[stream]
            self.record_close(caller, caller.close_reason or CloseReason.PEER_RESET)
            self.callers.remove(caller)

    def queue(self, stream: Stream, item: Outgoing) -> None:
        """Add an item to the outbox of a stream, to be written at the end of the step."""
        stream.outbox.append(item)
        self.pending[stream.ident] = stream

    def flush(self, stream: Stream) -> None:
        """Ask for the next write of a stream, unless one is under way. Set-ups of ended attempts are left out."""
        if not stream.up or stream.in_flight:
            if len(stream.outbox) > MAX_OUTBOX_MESSAGES:
                self.drop(stream, CloseReason.OUTBOX_FULL)
            return
        messages: list[Message] = []
        while stream.outbox and len(messages) < MAX_WRITE_MESSAGES:
            item = stream.outbox.popleft()
            message: Message | None
            if isinstance(item, Attempt):
                message = self.attempts.prepare_set_up(item)
            elif isinstance(item, PendingGiveUp):
                message = Release(item.attempt.call.ident, ReleaseCause.NORMAL)
            else:
                message = item
            if message is None:
                continue
            messages.append(message)
            stream.in_flight.append(item)
        if messages:
            if isinstance(stream, Caller):
                stream.ends_resent = False
                stream.sent_anything = stream.sent_anything or not all(
                    isinstance(m, ReleaseConfirmed) for m in messages
                )
            stream.write_started_us = self.core.now
            self.core.effects.append(Write(stream.ident, tuple(messages)))

    def write_completed(self, stream_id: int) -> None:
        """Process the end of a write: update its attempts, note its releases as unconfirmed, flush the rest."""
        stream = self.callers.by_stream.get(stream_id) or self.links.by_stream.get(stream_id)
        if stream is None:
            return
        items, stream.in_flight = stream.in_flight, []
        for item in items:
            if isinstance(item, PendingGiveUp):
                call = item.attempt.call.ident
                self._note_written(stream, Release(call, ReleaseCause.NORMAL))
                if item.attempt.call.attempt is item.attempt:
                    self.attempts.end(item.attempt, i.Outcome.TIMED_OUT)
            elif isinstance(item, Attempt):
                item.state = ATTEMPT.next_state(item.state, AttemptTransition.WRITTEN)
                self.core.counters["forwards"] += 1
            elif isinstance(item, Release):
                self._note_written(stream, item)
        self.pending[stream_id] = stream
        if isinstance(stream, Caller):
            self.callers.close_if_finished(stream)

    def _note_written(self, stream: Stream, release: Release) -> None:
        """Note a release that has been written and is not confirmed yet."""
        stream.unconfirmed[release.call] = (self.core.now, release)
        if isinstance(stream, Link):
            self.exchange_releases.written(stream, release)

    def drop(self, stream: Stream, reason: CloseReason) -> None:
        """Close a stream from this side and remove it."""
        self.record_close(stream, reason)
        self.core.effects.append(Close(stream.ident))
        if isinstance(stream, Link):
            self.links.remove(stream, reason)
        elif isinstance(stream, Caller):
            self.callers.remove(stream)

    def record_close(self, stream: Stream, reason: CloseReason) -> None:
        """Record and count why a stream is closed."""
        if isinstance(stream, Link):
            self.core.counters[f"links_closed.{reason.name.lower()}"] += 1
            self.core.record_event(
                TraceEvent.LINK_CLOSED, exchange=stream.exchange_id, stream=stream.ident, reason=reason.value
            )
        else:
            self.core.counters[f"callers_closed.{reason.name.lower()}"] += 1
            self.core.record_event(TraceEvent.CALLER_CLOSED, stream=stream.ident, reason=reason.value)
