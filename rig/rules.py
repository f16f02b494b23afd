"""The rules, judged over the record of a trial. Pure: no clock, no sockets.

Figures are those of the protocol page, with its 50 ms for each time limit; where a moment is measured on the far side
of a socket, the measurement errs towards the program. What the trial itself was late by, on a busy machine, is added.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .clock import MILLISECOND, SECOND
from .record import Attempt, AttemptEnd, Call, ListEvent, Process, Record, StandingCall

TIME_LIMIT_SLACK_US = 50 * MILLISECOND
LOST_AFTER_US = 500 * MILLISECOND  # a final answer so late earns nothing; later it is lost
CLOSE_RACE_US = 50 * MILLISECOND  # a set-up that crosses a close this closely is sent once more
ACCEPTS_AFTER_SIGTERM_US = 700 * MILLISECOND  # after SIGTERM; what comes later is lost only by being left unanswered
RELEASE_LIMIT_US = 1 * SECOND  # from the exchange's release to the client's
MISSED_END_LIMIT_US = 8 * SECOND  # from the end of a call whose exchange cannot say so
LIST_UPDATE_LIMIT_US = 6 * SECOND  # after discovery had a change and could be reached
ANSWER_RACE_US = 200 * MILLISECOND  # an answer so near to the death of its exchange may not have arrived
MIN_ANSWERED = 50
REPORT_DELAY_US = 500 * MILLISECOND  # what an exchange has done so lately may not have been reported at the end
FAULT_MARKS = ("Traceback", "fault, call")


@dataclass(slots=True, frozen=True)
class Violation:
    """One broken rule."""

    rule: str
    at_us: int
    text: str


def check(record: Record) -> list[Violation]:
    """All broken rules of a trial, by time."""
    found = [violation for rule in RULES for violation in rule(record)]
    return sorted(found, key=lambda v: v.at_us)


# --- answers ---


def check_answers(record: Record) -> Iterator[Violation]:
    """Each set-up gets one final answer in time, unless its client gave it up."""
    for call in record.calls.values():
        if call.unchecked:
            continue
        if len(call.final_answers) > 1:
            yield Violation("second answer", call.final_answers[1][0], f"{_describe(call)}: {call.final_answers}")
        if call.final_answers:
            late = call.final_answers[0][0] - call.sent_us - call.wait_us
            if late > LOST_AFTER_US + _slack_us(record) and not call.gave_up_us:
                yield Violation("lost", call.final_answers[0][0], f"{_describe(call)}: answered {late // 1000} ms late")
        elif not call.gave_up_us and (why := _lost(record, call)):
            yield Violation("lost", call.sent_us, f"{_describe(call)}: {why}")


def _lost(record: Record, call: Call) -> str:
    """Why a set-up without an answer is lost, nothing if it is not."""
    process = record.processes[call.process_number - 1]
    due = call.sent_us + call.wait_us + LOST_AFTER_US + _slack_us(record)
    if call.closed_us and call.closed_us - call.sent_us <= CLOSE_RACE_US + record.stall_us:
        return ""
    if process.killed_us and not process.terminated_us:
        return "" if process.killed_us <= due else "no answer before the process was killed"
    if call.closed_us and call.closed_us < min(due, record.ended_us):
        ended = process.exited_us and call.closed_us >= process.exited_us - _slack_us(record)
        if call.client == "rude" and not ended:
            return ""
        return f"its connection was closed {(call.closed_us - call.sent_us) // 1000} ms after it, unanswered"
    return "no answer" if due < record.ended_us and not call.closed_us else ""


def check_descriptions(record: Record) -> Iterator[Violation]:
    """An answer is what an exchange made for this call."""
    answered_calls = {call for _, call in record.standing}
    for call in record.calls.values():
        if call.answered_us and not call.unchecked and call.answered_us < record.ended_us - REPORT_DELAY_US:
            fields = call.description.split()
            if (
                call.call_id not in answered_calls
                or len(fields) < 3
                or not fields[2].startswith(b"%016x" % call.call_id)
            ):
                yield Violation("lost", call.answered_us, f"{_describe(call)}: nobody made {call.description!r}")


def check_unexpected_messages(record: Record) -> Iterator[Violation]:
    """Nobody is told what cannot be."""
    for text in record.unexpected_messages:
        yield Violation("lost", record.ended_us, text)


# --- ends of calls ---


def check_ends(record: Record) -> Iterator[Violation]:
    """What has stood and is over is released towards its client in time."""
    for standing in record.standing.values():
        call = record.calls.get(standing.call_id)
        if call is None or not standing.ended_us or not _must_be_released(call, standing):
            continue
        due = standing.ended_us + MISSED_END_LIMIT_US
        if standing.delivered_us:
            due = min(due, max(standing.delivered_us, call.answered_us) + RELEASE_LIMIT_US)
        due += _slack_us(record)
        process = record.processes[call.process_number - 1]
        if due >= min(_accountable_until_us(process), record.ended_us):
            continue
        if not call.released_us or call.released_us > due:
            told = (call.released_us - standing.ended_us) // 1000 if call.released_us else -1
            text = f"{_describe(call)} at {standing.exchange_id}: told {told} ms after its end (-1: never)"
            if standing.released_by_program:
                text += ", released by the program"
            text += f"; its exchange told it on {', '.join(standing.end_sent_on) or 'no connection'}"
            if standing.delivered_us:
                late = (standing.delivered_us - standing.ended_us) // 1000
                text += f", passed to the program {late} ms after it on link {standing.delivered_on_link}"
            yield Violation("end not told", due, text)


def _must_be_released(call: Call, standing: StandingCall) -> bool:
    """Whether the client still has to hear of the end of a call: not that of an attempt which stood at an exchange
    unheard, while another exchange's answer is the one that the client has."""
    if not call.answered_us or call.unchecked or call.gave_up_us or call.ended_by_client_us:
        return False
    answered_there = standing.answered_us <= call.answered_us and standing.description == call.description
    return answered_there and standing.ended_us - standing.answered_us > ANSWER_RACE_US


def _accountable_until_us(process: Process) -> int:
    """Until when a process can be held to what it has taken."""
    end_times_us = [t for t in (process.terminated_us, process.killed_us, process.exited_us) if t]
    return min(end_times_us, default=1 << 62)


# --- attempts ---


def check_attempts(record: Record) -> Iterator[Violation]:
    """Never two attempts out, a pause after some, at most so many."""
    by_call: dict[int, list[Attempt]] = defaultdict(list)
    for attempt in record.attempts:
        by_call[attempt.call_id].append(attempt)
    for call_id, call_attempts in by_call.items():
        call = record.calls.get(call_id)
        if call is None or call.unchecked:
            continue
        if len(call_attempts) > record.max_attempts:
            yield Violation("attempts", call_attempts[-1].sent_us, f"{_describe(call)}: {len(call_attempts)} attempts")
        for before, after in zip(call_attempts, call_attempts[1:]):
            yield from _check_pair(record, call, before, after)


PAUSE_AFTER = (AttemptEnd.RESET_REPORTED, AttemptEnd.GIVEN_UP, AttemptEnd.CLOSED, AttemptEnd.BROKEN)


def _check_pair(record: Record, call: Call, before: Attempt, after: Attempt) -> Iterator[Violation]:
    """One attempt after another."""
    where = f"{_describe(call)}: exchange {before.exchange_id}, then {after.exchange_id}"
    if not before.end_us or after.sent_us < before.end_us - _slack_us(record):
        yield Violation("duplicate", after.sent_us, f"{where}: the first is still out")
        return
    assert before.end is not None
    pause = after.sent_us - before.end_us
    if before.end in PAUSE_AFTER and pause < record.release_us - _slack_us(record):
        yield Violation("release", after.sent_us, f"{where}: {pause // 1000} ms after {before.end.value}")


def check_drains(record: Record) -> Iterator[Violation]:
    """Nothing new goes to an exchange that drains or is gone, some time after that was told."""
    announced: dict[int, tuple[int, ListEvent]] = {}
    for event in record.list_events:
        if event.state == "ready":
            continue
        times_us = [event.delivered_us] if event.delivered_us else []
        times_us += [event.reachable_us + LIST_UPDATE_LIMIT_US] if event.reachable_us else []
        if times_us and (event.exchange_id not in announced or min(times_us) < announced[event.exchange_id][0]):
            announced[event.exchange_id] = (min(times_us), event)
    for attempt in record.attempts:
        if attempt.exchange_id not in announced:
            continue
        at, event = announced[attempt.exchange_id]
        if attempt.sent_us > at + record.drain_grace_us + _slack_us(record):
            text = f"call {attempt.call_id:016x} to exchange {attempt.exchange_id}, {event.state} since told at {at}"
            yield Violation("drain", attempt.sent_us, text)


# --- the program ---


def check_crashes(record: Record) -> Iterator[Violation]:
    """The program ends on signals alone, and has no fault of its own."""
    for process in record.processes:
        requested = process.terminated_us or process.killed_us
        if process.exited_us and not requested:
            yield Violation("crash", process.exited_us, f"process {process.number} ended: {process.exit_code}")
        elif process.exited_us and not process.killed_us and process.exit_code not in (0, -15, 143):
            yield Violation("crash", process.exited_us, f"process {process.number}: code {process.exit_code}")
        elif not process.ready_us and not requested and record.ended_us - process.started_us > 10 * SECOND:
            yield Violation("crash", process.started_us, f"process {process.number} never became ready")
    log = record.processes[-1].log
    for mark in FAULT_MARKS:
        if mark in log:
            at = log.index(mark)
            yield Violation("crash", record.ended_us, f"in the log: {log[at : at + 600]!r}")


def check_substance(record: Record) -> Iterator[Violation]:
    """A trial in which next to nothing was answered shows nothing."""
    answered = sum(bool(call.answered_us) for call in record.calls.values())
    if answered < MIN_ANSWERED:
        yield Violation("no substance", record.ended_us, f"{answered} calls were answered")


def early_cuts(record: Record) -> int:
    """How many calls the program ended though they went on at their exchange; a cost, no broken rule."""
    early = 0
    for standing in record.standing.values():
        call = record.calls.get(standing.call_id)
        if call is not None and call.released_us and not call.ended_by_client_us and standing.released_by_program:
            early += 1
    return early


def slowest_end_ms(record: Record) -> int:
    """The longest time from the end of a call that its exchange could not tell to its release to the client."""
    times = [0]
    for standing in record.standing.values():
        call = record.calls.get(standing.call_id)
        missed = standing.ended_us and not standing.delivered_us and not standing.released_by_program
        if call is not None and missed and _must_be_released(call, standing) and call.released_us:
            times.append((call.released_us - standing.ended_us) // 1000)
    return max(times)


def _slack_us(record: Record) -> int:
    """What is added to each time limit."""
    return TIME_LIMIT_SLACK_US + record.stall_us


def _describe(call: Call) -> str:
    return f"call {call.call_id:016x} ({call.client}, process {call.process_number})"


RULES: tuple[Callable[[Record], Iterator[Violation]], ...] = (
    check_answers, check_descriptions, check_unexpected_messages, check_ends, check_attempts, check_drains,
    check_crashes, check_substance,
)  # fmt: skip
