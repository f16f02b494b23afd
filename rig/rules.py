"""The rules, checked against the record of a trial. Pure functions: no clock, no sockets.

The limits are those of the protocol page, with the 50 ms that it allows on each time limit. Where a time is measured at
the other end of a socket, the measurement errs in favour of the program. The delay of the trial's own event loop on a
busy machine is added to each limit.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .clock import MILLISECOND, SECOND
from .record import Attempt, AttemptEnd, Call, ListEvent, Process, Record, StandingCall

TIME_LIMIT_SLACK_US = 50 * MILLISECOND
LOST_AFTER_US = 500 * MILLISECOND  # past the caller's wait; a final answer up to then is late and worth nothing
CLOSE_RACE_US = 50 * MILLISECOND  # a set-up sent this shortly before its connection closes is repeated by its client
ACCEPTS_AFTER_SIGTERM_US = 700 * MILLISECOND  # a set-up that comes later is lost only if left unanswered
RELEASE_LIMIT_US = 1 * SECOND  # from the release of the exchange to the release to the client
MISSED_END_LIMIT_US = 8 * SECOND  # from the end of a call whose exchange cannot report it
LIST_UPDATE_LIMIT_US = 6 * SECOND  # from the time at which discovery had a change and was reachable
ANSWER_RACE_US = 200 * MILLISECOND  # an answer this shortly before the end of the call may not have arrived
MIN_ANSWERED = 50  # calls
REPORT_DELAY_US = 500 * MILLISECOND  # events of an exchange this shortly before the end of the trial may be unreported
# Texts in the log of the program that show a fault.
FAULT_MARKS = ("Traceback", "fault, call")


@dataclass(slots=True, frozen=True)
class Violation:
    """One violation of a rule, with the time that it concerns."""

    rule: str
    at_us: int
    text: str


def check(record: Record) -> list[Violation]:
    """Return the violations of all rules in a trial, in order of time."""
    found = [violation for rule in RULES for violation in rule(record)]
    return sorted(found, key=lambda v: v.at_us)


# --- answers ---


def check_answers(record: Record) -> Iterator[Violation]:
    """Each set-up gets exactly one final answer in time, unless its client cancelled it."""
    for call in record.calls.values():
        if call.unchecked:
            continue
        if len(call.final_answers) > 1 and not _may_be_unknown(record, call):
            yield Violation("second answer", call.final_answers[1][0], f"{_describe(call)}: {call.final_answers}")
        if call.final_answers:
            late_us = call.final_answers[0][0] - call.sent_us - call.wait_us
            if late_us > LOST_AFTER_US + _slack_us(record) and not call.gave_up_us:
                yield Violation(
                    "lost", call.final_answers[0][0], f"{_describe(call)}: answered {late_us // 1000} ms late"
                )
        elif not call.gave_up_us and (why := _lost(record, call)):
            yield Violation("lost", call.sent_us, f"{_describe(call)}: {why}")


def _may_be_unknown(record: Record, call: Call) -> bool:
    """Whether a later process may not know that a call has been answered: the one that took it was killed outright."""
    process = record.processes[call.process_number - 1]
    killed_us = process.killed_us if not process.terminated_us else 0
    return bool(killed_us) and call.final_answers[0][0] <= killed_us <= call.final_answers[1][0]


def _lost(record: Record, call: Call) -> str:
    """Return why a set-up without an answer counts as lost, or an empty text if it does not."""
    process = record.processes[call.process_number - 1]
    due_us = call.sent_us + call.wait_us + LOST_AFTER_US + _slack_us(record)
    if call.closed_us and call.closed_us - call.sent_us <= CLOSE_RACE_US + record.stall_us:
        return ""
    if process.killed_us and not process.terminated_us:
        return "" if process.killed_us <= due_us else "no answer before the process was killed"
    if call.closed_us and call.closed_us < min(due_us, record.ended_us):
        ended = process.exited_us and call.closed_us >= process.exited_us - _slack_us(record)
        # The profile "rude" sends undecodable bytes, after which the program may close the connection.
        if call.client == "rude" and not ended:
            return ""
        return f"its connection was closed {(call.closed_us - call.sent_us) // 1000} ms after it, unanswered"
    return "no answer" if due_us < record.ended_us and not call.closed_us else ""


def check_descriptions(record: Record) -> Iterator[Violation]:
    """The session description of an answer is the one that an exchange sent for this call."""
    sent = {(standing.call_id, standing.description) for standing in record.standing.values()}
    for call in record.calls.values():
        if not call.answered_us or call.unchecked or call.answered_us >= record.ended_us - REPORT_DELAY_US:
            continue
        if (call.call_id, call.description) not in sent:
            yield Violation("lost", call.answered_us, f"{_describe(call)}: no exchange sent {call.description!r}")


def check_unexpected_messages(record: Record) -> Iterator[Violation]:
    """No client receives a message that cannot be valid."""
    for text in record.unexpected_messages:
        yield Violation("lost", record.ended_us, text)


# --- ends of calls ---


def check_ends(record: Record) -> Iterator[Violation]:
    """An answered call that has ended is released to its client in time."""
    for standing in record.standing.values():
        call = record.calls.get(standing.call_id)
        if call is None or not standing.ended_us or not _must_be_released(call, standing):
            continue
        due_us = standing.ended_us + MISSED_END_LIMIT_US
        if standing.delivered_us:
            due_us = min(due_us, max(standing.delivered_us, call.answered_us) + RELEASE_LIMIT_US)
        due_us += _slack_us(record)
        process = record.processes[call.process_number - 1]
        if due_us >= min(_accountable_until_us(process), record.ended_us):
            continue
        if not call.released_us or call.released_us > due_us:
            after_ms = (call.released_us - standing.ended_us) // 1000 if call.released_us else -1
            text = (
                f"{_describe(call)} at {standing.exchange_id}: "
                f"release reached the client {after_ms} ms after the end (-1: never)"
            )
            if standing.released_by_program:
                text += ", released by the program"
            text += f"; its exchange sent the release on {', '.join(standing.end_sent_on) or 'no connection'}"
            if standing.delivered_us:
                late_ms = (standing.delivered_us - standing.ended_us) // 1000
                text += f", forwarded to the program {late_ms} ms after the end on link {standing.delivered_on_link}"
            yield Violation("end not told", due_us, text)


def _must_be_released(call: Call, standing: StandingCall) -> bool:
    """Whether the client must receive the end of a call.

    It need not if the answer of this exchange did not reach the client and another exchange's answer did.
    """
    if not call.answered_us or call.unchecked or call.gave_up_us or call.ended_by_client_us:
        return False
    answered_there = standing.answered_us <= call.answered_us and standing.description == call.description
    return answered_there and standing.ended_us - standing.answered_us > ANSWER_RACE_US


def _accountable_until_us(process: Process) -> int:
    """Return the time until which a process must pass on releases: its first SIGTERM, SIGKILL or exit."""
    end_times_us = [t for t in (process.terminated_us, process.killed_us, process.exited_us) if t]
    return min(end_times_us, default=1 << 62)


# --- attempts ---


def check_attempts(record: Record) -> Iterator[Violation]:
    """A call has one outstanding attempt at a time, a pause after an end in PAUSE_AFTER, and limited attempts."""
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


# Ends of an attempt after which the next attempt must wait for `release_us`.
PAUSE_AFTER = (AttemptEnd.RESET_REPORTED, AttemptEnd.GIVEN_UP, AttemptEnd.CLOSED, AttemptEnd.BROKEN)


def _check_pair(record: Record, call: Call, before: Attempt, after: Attempt) -> Iterator[Violation]:
    """Check the order of two successive attempts of a call and the pause between them."""
    where = f"{_describe(call)}: exchange {before.exchange_id}, then {after.exchange_id}"
    if not before.end_us or after.sent_us < before.end_us - _slack_us(record):
        yield Violation("duplicate", after.sent_us, f"{where}: the first is still outstanding")
        return
    assert before.end is not None
    pause_us = after.sent_us - before.end_us
    if before.end in PAUSE_AFTER and pause_us < record.release_us - _slack_us(record):
        yield Violation("release", after.sent_us, f"{where}: {pause_us // 1000} ms after {before.end.value}")


def check_drains(record: Record) -> Iterator[Violation]:
    """No set-up goes to an exchange later than `drain_grace_us` after its drain or removal was announced."""
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
        announced_us, event = announced[attempt.exchange_id]
        if attempt.sent_us > announced_us + record.drain_grace_us + _slack_us(record):
            text = f"call {attempt.call_id:016x} to exchange {attempt.exchange_id}, {event.state} since {announced_us}"
            yield Violation("drain", attempt.sent_us, text)


# --- the program ---


def check_crashes(record: Record) -> Iterator[Violation]:
    """The program becomes ready, ends only on signals and logs no fault."""
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
            start = log.index(mark)
            yield Violation("crash", record.ended_us, f"in the log: {log[start : start + 600]!r}")


def check_descriptors(record: Record) -> Iterator[Violation]:
    """The program holds no more descriptors than its configuration allows."""
    if record.most_descriptors > record.sockets:
        text = f"{record.most_descriptors} descriptors were open, {record.sockets} are allowed"
        yield Violation("descriptors", record.ended_us, text)


def check_substance(record: Record) -> Iterator[Violation]:
    """At least MIN_ANSWERED calls were answered; otherwise the trial tests too little."""
    answered = sum(bool(call.answered_us) for call in record.calls.values())
    if answered < MIN_ANSWERED:
        yield Violation("no substance", record.ended_us, f"{answered} calls were answered")


def early_cuts(record: Record) -> int:
    """Count the calls that the program ended while they still stood at their exchange: a cost, not a violation."""
    early = 0
    for standing in record.standing.values():
        call = record.calls.get(standing.call_id)
        if call is not None and call.released_us and not call.ended_by_client_us and standing.released_by_program:
            early += 1
    return early


def slowest_end_ms(record: Record) -> int:
    """Return the longest time from an end that the exchange could not report to the release to the client."""
    times = [0]
    for standing in record.standing.values():
        call = record.calls.get(standing.call_id)
        missed = standing.ended_us and not standing.delivered_us and not standing.released_by_program
        if call is not None and missed and _must_be_released(call, standing) and call.released_us:
            times.append((call.released_us - standing.ended_us) // 1000)
    return max(times)


def _slack_us(record: Record) -> int:
    """Return the tolerance that is added to each time limit."""
    return TIME_LIMIT_SLACK_US + record.stall_us


def _describe(call: Call) -> str:
    return f"call {call.call_id:016x} ({call.client}, process {call.process_number})"


RULES: tuple[Callable[[Record], Iterator[Violation]], ...] = (
    check_answers, check_descriptions, check_unexpected_messages, check_ends, check_attempts, check_drains,
    check_crashes, check_descriptors, check_substance,
)  # fmt: skip
