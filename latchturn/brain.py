"""Every decision of the call controller. Its interface is latchturn/interface.py.

The ordinary path is the upper-limit and guaranteed-minimum test of Choudhury, Leung and Whitt on each
own trunk group, direct route first, else the tandem with most told free circuits (docs/design.md).
All else is a guard, and says at its place what it guards against and when it acts.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from . import interface as i
from .interface import FinalReason as Reason

DIRECT, TWO_LEG = 0, 1  # classes of the ledger
NEVER_RAN = (i.Outcome.TURNED_AWAY, i.Outcome.NOT_SENT, i.Outcome.UNREACHABLE)
MINIMUM_SHARE = 0.3  # minimum of direct calls, as a share of the group
NEVER = (0, 0)  # no times in a row, no pause
NO_LIMIT = 1 << 30  # of direct calls
TWO_LEG_SHARE = 0.5  # upper limit of two-leg calls, as a share of the group

# A call without a route waits in the proxy for a circuit, since a refused caller only dials again and
# costs another look; past this share of its aim a set-up would come too late to earn the full worth.
WAIT_SHARE = 0.75
DIRECT_TIMEOUT = 1.0  # x aim from the offer: later than that a set-up earns little and ties circuits up
TWO_LEG_TIMEOUT = 0.7  # x aim: a tandem that is silent for so long is not worth waiting for
MIN_TIMEOUT = 0.2  # x shortest aim, if the caller stays as long: a shorter time-out cuts set-ups under way
SOON = 0.05  # x shortest aim: a caller whose attempts are used up is told to come back so soon
LEAST_TIME = 0.5  # x usual set-up time: with less than that left an attempt is not worth its work
ANSWER_MARGIN = 0.05  # x shortest aim: final answers of waiting calls leave so long before the deadline
USUAL_START = 0.1  # x shortest aim: usual set-up time before the first answer
ANSWER_FADE = 0.05  # weight of each answer in the usual set-up time and in the share turned back

# Window of set-ups out at one exchange: grows with each prompt answer, shrinks with each slow one.
WINDOW_START = 2.0  # a call and its neighbour, before anything is known
WINDOW_MOST = 4.0  # some proxies' windows together must not queue more work than fits in the aim
PROMPT_SHARE = 0.25  # of the shortest aim: an answer within it leaves room for the far end's other work
SHRINK = 0.7  # for each round of slow answers: three rounds bring the widest window to the pressed mark
TWO_LEG_WINDOW = 2.0  # below this window, or with a report of pressure, an exchange carries no transit
HOLD_BACK_PRESSED = 0.1  # share to hold back from which a report means pressure

SILENCES = 2  # attempts in a row that ended in silence make an exchange suspect
RETRY_FIRST = 2.0  # x release time: first pause before a suspect is tried again, doubled each time
RETRY_MOST = 8.0  # x release time
BUSY_GAP = 0.25  # x shortest aim x proxies between two set-ups to a busy number: every proxy tries it
# Pause of a tandem for a destination after it turned a call back, in shortest aims; doubled with each more
# up to the most, until a call over that tandem stands.
TURN_BACK_FIRST = 4.0
TURN_BACK_MOST = 24.0
BACKS_MANY = 0.5  # share of two-leg set-ups turned back from which proven tandems come first
COLD_TURN = 0.5  # share of the time between two turns in which a turn may be used
COLD_SAFETY = 0.7  # share used of what pushes a cold processor over: set-ups bunch, redials come on top
MAX_BUSY_NUMBERS = 500  # busy numbers remembered
MAX_REDIAL_RECORDS = 4000  # called numbers remembered with their caller's first try
LATE_RESERVE = 0.1  # of the group left free by calls past their aim, which earn little and hold as long


class TrunkGroup:
    """Upper limits and guaranteed minimums on one own trunk group (Panel 3 with the design's test).

    Two classes, both counted in circuits: direct calls of every width, and two-leg calls. One direct
    class, since a wide class of its own would keep most of a thin group idle for its minimum.
    """

    def __init__(self) -> None:
        self.size_known = False
        self.size = 0
        self.free_circuits = 0
        self.in_use = [0, 0]
        self.minimum = [0, 0]
        self.limit = [NO_LIMIT, 0]
        self.unreserved = 0  # F of the paper

    def resize(self, size: int) -> None:
        """Set bounds for a size; standing calls keep their place."""
        self.size_known = True
        self.size = size
        self.minimum[DIRECT] = min(size, max(1, int(MINIMUM_SHARE * size)))
        self.limit[TWO_LEG] = min(max(1, int(TWO_LEG_SHARE * size)), max(0, size - 1))
        self.unreserved = size - sum(max(low, n) for low, n in zip(self.minimum, self.in_use))

    def admits(self, cls: int, width: int) -> bool:
        """The design's test, and the told free circuits."""
        if not self.size_known:
            # Exception, acts until the first word of the circuits: direct calls try, two-leg calls do not.
            return cls == DIRECT
        if self.in_use[cls] + width > self.limit[cls]:
            return False
        # Exception, acts while F is below nought: a shrunken group does not fit the minimums, so the told
        # free circuits alone decide for direct calls.
        shrunken = self.unreserved < 0 and cls == DIRECT
        if not (self.in_use[cls] < self.minimum[cls] or width <= self.unreserved or shrunken):
            return False
        unfilled = max(0, self.minimum[DIRECT] - self.in_use[DIRECT]) if cls == TWO_LEG else 0
        return self.free_circuits >= width + unfilled

    def seize(self, cls: int, width: int) -> None:
        """Enter a call."""
        self.free_circuits -= width
        before = max(self.in_use[cls], self.minimum[cls])
        self.in_use[cls] += width
        self.unreserved -= max(self.in_use[cls], self.minimum[cls]) - before

    def release(self, cls: int, width: int) -> None:
        """Take a call out; its circuits are free when they are told so."""
        before = max(self.in_use[cls], self.minimum[cls])
        self.in_use[cls] -= width
        self.unreserved += before - max(self.in_use[cls], self.minimum[cls])


class Exchange:
    """What is known of one far exchange."""

    def __init__(self, exchange: int, number: int, group: TrunkGroup) -> None:
        self.exchange_id = exchange
        self.number = number
        self.group = group
        self.ready = False
        self.warm_up_until = 0
        self.outstanding = 0  # attempts out that are not answered yet
        self.window = WINDOW_START
        self.last_shrunk_us = 0
        self.blocked_until = 0  # no set-up before this (named waits, suspicion)
        self.consecutive_unanswered = 0
        self.last_answer_us = 0
        self.throttle_share = 0.0
        self.max_reported_rate = 0.0  # most set-ups a second that it ever reported
        self.tandem_back_offs: dict[int, tuple[int, int]] = {}  # destination number -> times in a row, until when
        self.reached_destinations: set[int] = set()  # destinations to which a call over this tandem has stood
        self.next_turn_us = 0  # no set-up before this while it is cold

    def accepts_set_up(self, now: int) -> bool:
        """Whether a set-up may be sent at all: list state, window, suspicion."""
        return self.ready and now >= self.blocked_until and self.outstanding < self.window

    def congested(self) -> bool:
        """Whether its processor shows pressure, by its answers or by its reports."""
        return (
            self.window < TWO_LEG_WINDOW or self.throttle_share >= HOLD_BACK_PRESSED or self.consecutive_unanswered > 0
        )


@dataclass(slots=True)
class Call:
    """One call's life."""

    offer: i.CallOffered
    cls: i.CallClass
    first_us: int  # when the caller first tried
    most: int  # attempts, by the settings with which it was offered
    attempts: int = 0
    at: Exchange | None = None  # where its attempt or its standing circuits are
    two_leg: bool = False
    sent_us: int = 0
    out: bool = False
    not_before: int = 0  # release rule
    waiting: bool = False
    until: int = 0  # end of its wait
    left: bool = False
    tried: list[int] = field(default_factory=list)

    @property
    def value_per_circuit(self) -> float:
        """Worth for each circuit."""
        return self.cls.value / self.offer.width


class Controller:
    """The decisions of one proxy."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self._use(settings)
        self.random = random.Random(seed)
        self.tandem_refusal_share = 0.0  # share of two-leg set-ups that came back, smoothed
        self.usual_set_up_us = USUAL_START * self.shortest_target_us  # set-up time of direct calls, smoothed
        number = settings.own_number
        # Place among all proxies, from 0 to 1: numbers in a row lie evenly at steps of the golden ratio.
        self.turn_offset = number * 0.618034 % 1.0 if number >= 0 else self.random.random()
        self.exchanges: dict[int, Exchange] = {}
        self.groups: dict[int, TrunkGroup] = {}
        self.by_number: dict[int, Exchange] = {}
        self.calls: dict[int, Call] = {}
        self.queues: dict[int, list[Call]] = {}  # calls that wait, by destination
        self.timers: dict[int, int] = {}  # token -> call, -1 for the list
        self.next_token = 1
        self.busy_numbers: dict[int, int] = {}  # called number -> when it may be tried again
        self.redial_records: dict[int, int] = {}  # called number -> first try of the caller whose try failed last
        self.redials_marked = False  # whether redials have been seen to be marked
        self.first_dial_rate = 0.0  # own first tries a second, smoothed over the warm-up time
        self.last_first_dial_us = 0
        self.started = False
        self.actions: list[i.Action] = []
        self.now = 0

    def _use(self, settings: i.Settings) -> None:
        validate(settings)
        self.settings = settings
        self.uses_pools = settings.topology is i.Topology.POOLS
        self.shortest_target_us = min(c.target_us for c in settings.classes)

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]:
        """What to do about one event."""
        self.actions = []
        self.now = now_us
        if not self.started:
            self.started = True
            if self.settings.list_on_request:
                self.actions.append(i.SubscribeToList())
        if isinstance(event, i.CallOffered):
            self._offered(event)
        elif isinstance(event, i.AttemptEnded):
            self._ended(event)
        elif isinstance(event, i.CallAnswered):
            self._stands(event)
        elif isinstance(event, i.ExchangeReport):
            self._told(event)
        elif isinstance(event, i.TimerDue):
            self._timer(event)
        elif isinstance(event, i.ExchangeList):
            self._list(event)
        elif isinstance(event, i.CallerLeft):
            self._left(event)
        elif isinstance(event, i.SettingsChanged):
            self._use(event.settings)
            for number in list(self.queues):  # calls in line may be out of attempts now
                self._serve(number)
        return self.actions

    def backed_off(self, now_us: int) -> int:
        """How many listed exchanges are sent nothing for now, since they were silent or full."""
        return sum(e.blocked_until > now_us for e in self.exchanges.values())

    # --- the exchange list ---

    def _list(self, event: i.ExchangeList) -> None:
        if event.kind is i.ListKind.FAILED:
            if self.settings.list_on_request:
                self._set_timer(int(self.settings.release_us * (1 + self.random.random())), -1)
            return
        named = set()
        for entry in event.entries:
            named.add(entry.exchange)
            self._entry(entry)
        if event.kind is not i.ListKind.CHANGES:
            for ident in [ident for ident in self.exchanges if ident not in named]:
                self._forget(ident)
        self.by_number = {}
        for exchange in self.exchanges.values():
            if exchange.ready or exchange.number not in self.by_number:
                self.by_number[exchange.number] = exchange
        for number in [n for n, g in self.groups.items() if n not in self.by_number and not any(g.in_use)]:
            del self.groups[number]
        for number in list(self.queues):
            self._serve(number)

    def _forget(self, ident: int) -> None:
        """Guards the memory on long days: an exchange that has gone lives on in its last calls alone."""
        gone = self.exchanges.pop(ident, None)
        if gone is not None and gone.ready:
            gone.ready = False
            self._log(f"exchange {gone.number} is gone")

    def _entry(self, entry: i.ListEntry) -> None:
        known = self.exchanges.get(entry.exchange)
        if entry.state is i.ListState.GONE:
            self._forget(entry.exchange)
            return
        if known is None:
            group = self.groups.setdefault(entry.number, TrunkGroup())
            known = self.exchanges[entry.exchange] = Exchange(entry.exchange, entry.number, group)
        ready = entry.state is i.ListState.READY
        warm_up_until = entry.started_us + self.settings.warm_up_us if entry.started_us else 0
        if warm_up_until != known.warm_up_until:
            known.warm_up_until = warm_up_until
            if warm_up_until > self.now:
                known.window = WINDOW_START
                known.blocked_until = known.consecutive_unanswered = 0
                known.next_turn_us = self._cold_turn(known, self.now, self._warm_up_gap())
        if known.ready and not ready:
            self._log(f"exchange {known.number} is not to be sent to")
        known.ready = ready

    # --- calls ---

    def _offered(self, offer: i.CallOffered) -> None:
        if not 0 <= offer.class_index < len(self.settings.classes):
            self.actions.append(i.Refuse(offer.call, 0, Reason.CLASS_UNKNOWN))
            return
        if offer.call in self.calls:
            return
        cls = self.settings.classes[offer.class_index]
        call = Call(offer, cls, self._first_try(offer), self.settings.max_attempts)
        if offer.destination == self.settings.own_number and not self.uses_pools:
            self.actions.append(i.Refuse(offer.call, 0, Reason.OWN_EXCHANGE))
            return
        self.calls[offer.call] = call
        if not offer.transit and call.first_us == self.now:
            gap = max(1, self.now - self.last_first_dial_us)
            fade = min(1.0, gap / self.settings.warm_up_us)
            self.first_dial_rate += fade * (1e6 / gap - self.first_dial_rate)
            self.last_first_dial_us = self.now
        if self._number_busy(offer.called_number):
            self._refuse(call, self.settings.max_retry_after_us, Reason.NUMBER_BUSY)
        elif not self._route(call):
            if offer.transit:
                self._refuse(call, 0, Reason.NO_TRANSIT_ROUTE)
            elif self._late(call):
                self._refuse(call, self._stay_away(call), Reason.PAST_AIM)
            else:
                self._enqueue(call)

    def _first_try(self, offer: i.CallOffered) -> int:
        """When this caller first tried: a call to a number whose last try failed is that caller again.

        Guards against redials that crowd out calls still within their aim. A try that stood does not count,
        each failed try counts for one call, and where redials are marked an unmarked call is a first try.
        """
        if offer.transit:
            return self.now
        self.redials_marked = self.redials_marked or offer.redialled
        first = self.redial_records.pop(offer.called_number, self.now)
        give_up = self.settings.classes[offer.class_index].give_up_us
        fresh = offer.cut_before or (self.redials_marked and not offer.redialled)
        return self.now if fresh or self.now - first > give_up else first

    def _failed(self, call: Call) -> None:
        """Forget a call that did not stand, but for when its caller first tried."""
        del self.calls[call.offer.call]
        if call.offer.called_number and not call.offer.transit:
            _keep(self.redial_records, call.offer.called_number, call.first_us, MAX_REDIAL_RECORDS)

    def _late(self, call: Call) -> bool:
        return self.now - call.first_us >= call.cls.target_us

    def _route(self, call: Call) -> bool:
        """Send the call if the ordinary path and the guards admit it."""
        offer = call.offer
        if self._attempts_used_up(call) or self.now < call.not_before or self._hopeless(call):
            return False
        target = self.by_number.get(offer.destination)
        if target is None or not target.ready:
            return False
        group = target.group
        cls = TWO_LEG if offer.transit else DIRECT
        late = self._late(call) and not offer.transit
        reserve = LATE_RESERVE * group.size
        if late and (target.congested() or group.free_circuits - offer.width < reserve):
            return False
        closed = not target.accepts_set_up(self.now) or (target.congested() if offer.transit else self._yields(call))
        closed = closed or (self._cold(target) and not self._cold_open(target))
        if not closed and group.admits(cls, offer.width):
            begin = self.now if late else call.first_us
            self._send(call, target, cls, int(begin + call.cls.target_us * DIRECT_TIMEOUT - self.now))
            return True
        if offer.transit or late or target.congested() or self._cold(target):
            return False
        best = self._tandem(call)
        if best is None:
            return False
        self._send(call, best, TWO_LEG, int(call.cls.target_us * TWO_LEG_TIMEOUT))
        return True

    def _tandem(self, call: Call) -> Exchange | None:
        """The tandem whose first leg admits the call, with most told free circuits.

        Guards against onward groups that are thin or not there, which no proxy is told: while two-leg set-ups
        mostly come back, tandems that have reached the destination come first, and a call tries one other.
        """
        offer = call.offer
        best, best_rank = None, (False, 0)
        proven_first = self.tandem_refusal_share >= BACKS_MANY
        for number, tandem in self.by_number.items():
            if number in (offer.destination, self.settings.own_number) or number in call.tried:
                continue
            if self.uses_pools and number not in call.cls.pools:
                continue
            if not tandem.accepts_set_up(self.now) or tandem.congested() or self._cold(tandem):
                continue
            if tandem.tandem_back_offs.get(offer.destination, NEVER)[1] > self.now:
                continue
            if not tandem.group.admits(TWO_LEG, offer.width):
                continue
            proven = proven_first and offer.destination in tandem.reached_destinations
            if proven_first and not proven and call.tried:
                continue
            rank = (proven, tandem.group.free_circuits)
            if best is None or rank > best_rank:
                best, best_rank = tandem, rank
        return best

    def _send(self, call: Call, to: Exchange, cls: int, timeout: int) -> None:
        """Send a set-up and enter it; the time-out is kept between the least that works and the deadline."""
        to.group.seize(cls, call.offer.width)
        if self._cold(to):
            gap = self._warm_up_gap()
            to.next_turn_us = self._cold_turn(to, self.now + gap // 2, gap)
        to.outstanding += 1
        call.at, call.two_leg, call.sent_us, call.out = to, cls == TWO_LEG, self.now, True
        call.attempts += 1
        if call.two_leg and not call.offer.transit:
            call.tried.append(to.number)
        if call.waiting:
            self._leave_line(call)
        timeout = min(call.offer.deadline_us - self.now, max(timeout, int(MIN_TIMEOUT * self.shortest_target_us)))
        self.actions.append(i.SendSetup(call.offer.call, to.exchange_id, timeout))

    def _attempts_used_up(self, call: Call) -> bool:
        """Whether a call may have no further attempt, by what it was offered with or what counts now."""
        return call.attempts >= min(call.most, self.settings.max_attempts)

    def _hopeless(self, call: Call) -> bool:
        """Whether its caller leaves too soon for an attempt; where set-ups are quick little time will do."""
        return call.offer.deadline_us - self.now < int(LEAST_TIME * self.usual_set_up_us)

    def _enqueue(self, call: Call) -> None:
        """Hold a call in line until a circuit or a window opens, or its aim or its deadline is near."""
        aim_near = call.first_us + int(call.cls.target_us * WAIT_SHARE)
        least = max(int(ANSWER_MARGIN * self.shortest_target_us), int(LEAST_TIME * self.usual_set_up_us))
        call.until = min(aim_near, call.offer.deadline_us - least)
        if reason := self._given_up(call):
            self._refuse(call, self._stay_away(call), reason)
            return
        call.waiting = True
        self.queues.setdefault(call.offer.destination, []).append(call)
        self._set_timer(call.until - self.now, call.offer.call)
        opens = self._opens(call)
        if self.now < opens:
            self._set_timer(opens - self.now, call.offer.call)

    def _given_up(self, call: Call) -> Reason | None:
        """Why a call in line can be sent no more, None if it still can.

        Guards against a caller kept in line for nothing: its final answer is due at once, be the line's
        end ever so far.
        """
        target = self.by_number.get(call.offer.destination)
        if target is None or not target.ready:
            return Reason.DESTINATION_NOT_READY
        if self._attempts_used_up(call):
            return Reason.ATTEMPTS_USED
        if self._hopeless(call):
            return Reason.TOO_LITTLE_TIME
        if self.now >= call.until:
            return Reason.WAITED_OUT
        return Reason.OPENS_TOO_LATE if self._opens(call) >= call.until else None

    def _opens(self, call: Call) -> int:
        """The first moment at which a call may be sent, as far as that is known now."""
        target = self.by_number[call.offer.destination]
        opens = max(call.not_before, target.next_turn_us if self._cold(target) else 0)
        # An answer that is still out may end a pause early; under pressure no tandem serves in its place.
        paused = target.congested() and target.outstanding == 0
        return max(opens, target.blocked_until) if paused else opens

    def _stay_away(self, call: Call) -> int:
        """When a refused caller does well to come back: once a circuit is likely to have come free, as
        standing calls end one by one, and a known pause is over; as late as callers allow where no circuit
        is likely within its aim."""
        target = self.by_number.get(call.offer.destination)
        if target is None or not target.ready or not target.group.size_known:
            return self.settings.max_retry_after_us
        group = target.group
        short = max(0, call.offer.width - group.free_circuits)
        frees = int(short * call.cls.holding_us / max(1, group.size - group.free_circuits))
        if self.now + frees >= call.first_us + call.cls.target_us:
            return self.settings.max_retry_after_us
        # Guards against callers that come too late for their aim where nothing but chance stood in the way:
        # an exchange that fails set-ups at random has used the call's attempts up.
        soon = int(SOON * self.shortest_target_us) if self._attempts_used_up(call) else 0
        return max(frees, self._opens(call) - self.now, soon)

    def _yields(self, call: Call) -> bool:
        """Whether a wider call that is worth as much for each circuit waits for the same group.

        Guards against narrow calls that take every freed circuit before a wide one can have all of its own.
        """
        line = self.queues.get(call.offer.destination, ())
        return any(c.offer.width > call.offer.width and c.value_per_circuit >= call.value_per_circuit for c in line)

    def _leave_line(self, call: Call) -> None:
        call.waiting = False
        line = self.queues[call.offer.destination]
        line.remove(call)
        if not line:
            del self.queues[call.offer.destination]

    def _serve(self, number: int) -> None:
        """Send waiting calls for a destination, the most worth for its circuits first."""
        line = self.queues.get(number)
        if not line:
            return
        blocked = False
        for call in sorted(line, key=lambda c: (-c.value_per_circuit, c.first_us, c.offer.call)):
            if reason := self._given_up(call):
                self._refuse(call, self._stay_away(call), reason)
            elif not blocked and not self._route(call) and self.now >= call.not_before:
                blocked = True

    def _refuse(self, call: Call, stay_away: int, reason: Reason) -> None:
        if call.waiting:
            self._leave_line(call)
        self._failed(call)
        stay_away = min(stay_away, self.settings.max_retry_after_us)
        self.actions.append(i.Refuse(call.offer.call, stay_away, reason))

    def _stands(self, event: i.CallAnswered) -> None:
        call = self.calls.get(event.call)
        if call is None or not call.out or call.at is None:
            return
        call.out = False
        call.at.outstanding -= 1
        self._answered(call, call.at)
        self.busy_numbers.pop(call.offer.called_number, None)
        if call.two_leg:
            call.at.tandem_back_offs.pop(call.offer.destination, None)
            call.at.reached_destinations.add(call.offer.destination)
            self.tandem_refusal_share -= ANSWER_FADE * self.tandem_refusal_share
        self._serve(call.at.number)

    def _answered(self, call: Call, at: Exchange) -> None:
        """An answer came: judge the far processor by how long it took."""
        at.last_answer_us = self.now
        if at.consecutive_unanswered >= SILENCES:
            at.blocked_until = 0
            self._log(f"exchange {at.number} answers again")
        at.consecutive_unanswered = 0
        took = self.now - call.sent_us
        if not call.two_leg:
            self.usual_set_up_us += ANSWER_FADE * (took - self.usual_set_up_us)
        if took <= self.shortest_target_us * PROMPT_SHARE:
            at.window = min(WINDOW_MOST, at.window + 1.0)
        elif not call.two_leg or call.offer.transit:
            self._shrink(at, call.sent_us)

    def _shrink(self, at: Exchange, sent_us: int) -> None:
        if sent_us >= at.last_shrunk_us:
            at.last_shrunk_us = self.now
            at.window = max(1.0, at.window * SHRINK)

    def _ended(self, event: i.AttemptEnded) -> None:
        far = self.exchanges.get(event.exchange)
        if far is not None and event.report is not None:
            self._report(far, event.report)
        call = self.calls.get(event.call)
        if call is None or call.at is None or call.attempts != event.attempt + 1:
            return
        at, was_out, outcome, cause = call.at, call.out, event.outcome, event.cause
        cls = TWO_LEG if call.two_leg else DIRECT
        at.group.release(cls, call.offer.width)
        call.at = None
        if outcome is i.Outcome.NOT_SENT and cause is i.Cause.NO_CIRCUIT:
            # Guards against a call's attempts being spent at once on a group that the far end has just
            # filled, where the word of it comes later than the refusal.
            at.group.free_circuits = min(at.group.free_circuits, call.offer.width - 1)
        if was_out:
            self._judge(call, at, event)
        if outcome in (i.Outcome.TIMED_OUT, i.Outcome.CUT, i.Outcome.CANCELLED):
            call.not_before = self.now + self.settings.release_us
        if event.concluded or call.left:
            if was_out:
                self._failed(call)
            else:
                del self.calls[event.call]
        elif call.cls.at_most_once and outcome not in NEVER_RAN:
            # Guards against effects that come twice: its caller would try a refused call again.
            self._failed(call)
            self.actions.append(i.Fail(event.call, Reason.MAY_HAVE_RUN))
        elif cause is i.Cause.NUMBER_BUSY:
            self._refuse(call, self.settings.max_retry_after_us, Reason.NUMBER_BUSY)
        elif call.offer.transit:
            self._refuse(call, 0, Reason.TRANSIT_ATTEMPT_ENDED)
        elif outcome is i.Outcome.NOT_SENT and cause is i.Cause.PROCESSOR_FULL:
            # Guards against spending all attempts at once while the own processor is out of service.
            self._refuse(call, self.settings.max_retry_after_us, Reason.OWN_PROCESSOR_FULL)
        elif self._hopeless(call):
            self._failed(call)
            self.actions.append(i.Fail(event.call, Reason.TOO_LITTLE_TIME))
        elif call.not_before > self.now or not self._route(call):
            self._enqueue(call)
        self._serve(at.number)

    def _judge(self, call: Call, at: Exchange, event: i.AttemptEnded) -> None:
        """What the end of an attempt that did not stand tells of the far end."""
        call.out = False
        at.outstanding -= 1
        outcome, cause = event.outcome, event.cause
        if outcome in (i.Outcome.TIMED_OUT, i.Outcome.UNREACHABLE):
            if outcome is i.Outcome.UNREACHABLE or at.last_answer_us < call.sent_us:
                self._silent(at)
            if not call.two_leg:
                self._shrink(at, call.sent_us)
        elif outcome not in (i.Outcome.NOT_SENT, i.Outcome.CANCELLED, i.Outcome.CUT):
            self._answered(call, at)
            if cause is i.Cause.PROCESSOR_FULL:
                at.window = 1.0
                at.blocked_until = max(at.blocked_until, self.now + max(event.wait_us, self.settings.release_us))
            elif cause in (i.Cause.REFUSED_BY_TANDEM, i.Cause.DESTINATION_PROCESSOR_FULL) and call.two_leg:
                self.tandem_refusal_share += ANSWER_FADE * (1.0 - self.tandem_refusal_share)
                # Guards against tandems whose onward group stays full: their turn-backs feed processors.
                times = at.tandem_back_offs.get(call.offer.destination, NEVER)[0]
                pause = min(TURN_BACK_MOST, TURN_BACK_FIRST * 2 ** min(times, 20))
                at.tandem_back_offs[call.offer.destination] = (
                    times + 1,
                    self.now + int(self.shortest_target_us * pause),
                )
            if cause is i.Cause.DESTINATION_PROCESSOR_FULL:
                target = self.by_number.get(call.offer.destination)
                if target is not None:
                    self._shrink(target, call.sent_us)
            if cause is i.Cause.NUMBER_BUSY and call.offer.called_number:
                self._mark_busy(call.offer.called_number)

    def _silent(self, at: Exchange) -> None:
        """Guards against hung and cut-off exchanges: silence spaces further set-ups out."""
        at.consecutive_unanswered += 1
        if at.consecutive_unanswered >= SILENCES:
            pause = min(RETRY_MOST, RETRY_FIRST * 2 ** min(at.consecutive_unanswered - SILENCES, 20))
            at.window = 1.0
            at.blocked_until = max(at.blocked_until, self.now + int(pause * self.settings.release_us))
            if at.consecutive_unanswered == SILENCES:
                self._log(f"exchange {at.number} is silent, tried sparingly")

    def _mark_busy(self, called_number: int) -> None:
        gap = self.shortest_target_us * BUSY_GAP * self.settings.controllers
        _keep(self.busy_numbers, called_number, self.now + int(gap), MAX_BUSY_NUMBERS)

    def _number_busy(self, called_number: int) -> bool:
        """Guards against a hot number: after 'all lines busy' one set-up in each gap may try it."""
        until = self.busy_numbers.get(called_number)
        if until is None or self.now < until:
            return until is not None
        self._mark_busy(called_number)
        return False

    def _left(self, event: i.CallerLeft) -> None:
        call = self.calls.get(event.call)
        if call is None:
            return
        if call.waiting:
            self._leave_line(call)
        if call.at is None:
            self._failed(call)
        call.left = True

    def _timer(self, event: i.TimerDue) -> None:
        ident = self.timers.pop(event.token, None)
        if ident is None:
            return
        if ident == -1:
            self.actions.append(i.SubscribeToList())
            return
        call = self.calls.get(ident)
        if call is None or not call.waiting or self._route(call):
            return
        if reason := self._given_up(call):
            self._refuse(call, self._stay_away(call), reason)

    def _set_timer(self, delay: int, ident: int) -> None:
        token = self.next_token
        self.next_token = token % 0xFFFFFFFF + 1
        self.timers[token] = ident
        self.actions.append(i.SetTimer(max(1, delay), token))

    # --- what far ends tell ---

    def _told(self, event: i.ExchangeReport) -> None:
        far = self.exchanges.get(event.exchange)
        if far is not None:
            self._report(far, event.report)
            self._serve(far.number)

    def _report(self, far: Exchange, report: i.LoadReport) -> None:
        group = far.group
        if report.size is not None and (report.size != group.size or not group.size_known):
            group.resize(report.size)
        if report.free is not None:
            group.free_circuits = report.free
        if report.throttle_share is not None:
            far.throttle_share = report.throttle_share
        if report.setups_per_s is not None:
            far.max_reported_rate = max(far.max_reported_rate, report.setups_per_s)

    def _cold(self, far: Exchange) -> bool:
        return far.warm_up_until > self.now

    def _cold_turn(self, far: Exchange, after: int, gap: int) -> int:
        """The next turn of this proxy at a processor just started.

        Guards a cold processor against what all proxies together send it. Each proxy has one turn in each
        gap, at a place in it that hangs on its number: turns of all proxies lie evenly, from the first on,
        however late each hears of the start and whether it restarts itself.
        """
        start = far.warm_up_until - self.settings.warm_up_us + int(self.turn_offset * gap)
        return start + -((start - after) // gap) * gap

    def _cold_open(self, far: Exchange) -> bool:
        """Whether it is this proxy's turn at a cold processor: a turn not used in time is lost, so that
        calls that come to all proxies at one moment cannot use all turns at once."""
        if self.now < far.next_turn_us:
            return False
        gap = self._warm_up_gap()
        if self.now >= far.next_turn_us + COLD_TURN * gap:
            far.next_turn_us = self._cold_turn(far, self.now, gap)
        return self.now >= far.next_turn_us

    def _warm_up_gap(self) -> int:
        """Time between two turns at a cold processor, such that all proxies' turns fit what it can do.

        What it takes once warm is judged by the middle one of the exchanges' largest reports, else by the
        own calls: an exchange carries at least as many calls in as out, and its processor works for both.
        """
        s = self.settings
        told = sorted(e.max_reported_rate for e in self.exchanges.values() if e.max_reported_rate > 0)
        takes = 2.0 * self.first_dial_rate + (told[len(told) // 2] if told else self.first_dial_rate)
        each = COLD_SAFETY * s.collapse_multiple * s.cold_start_share * takes / s.controllers
        return int(1e6 / each) if each > 0.0 else 2 * s.warm_up_us

    def _log(self, text: str) -> None:
        self.actions.append(i.Log(text))


def _keep(table: dict[int, int], number: int, value: int, most: int) -> None:
    """Enter a number; in a full table its oldest entry makes room."""
    if number not in table and len(table) >= most:
        del table[next(iter(table))]
    table[number] = value


def validate(s: i.Settings) -> None:
    """Raise ValueError, naming the field, for settings that cannot be."""

    def need(good: bool, name: str, value: object) -> None:
        if not good:
            raise ValueError(f"setting {name} cannot be {value!r}")

    need(len(s.classes) > 0, "classes", s.classes)
    for k, c in enumerate(s.classes):
        need(c.target_us > 0, f"classes[{k}].target_us", c.target_us)
        need(c.give_up_us > 0, f"classes[{k}].give_up_us", c.give_up_us)
        need(c.width > 0, f"classes[{k}].width", c.width)
        need(c.holding_us > 0, f"classes[{k}].holding_us", c.holding_us)
        need(c.value >= 0, f"classes[{k}].value", c.value)
    for name in ("controllers", "max_attempts", "warm_up_us", "collapse_us"):
        need(getattr(s, name) > 0, name, getattr(s, name))
    for name in ("release_us", "drain_grace_us", "ask_within_us", "max_retry_after_us", "resend_us"):
        need(getattr(s, name) >= 0, name, getattr(s, name))
    need(0 < s.cold_start_share <= 1, "cold_start_share", s.cold_start_share)
    need(s.collapse_multiple > 0, "collapse_multiple", s.collapse_multiple)
