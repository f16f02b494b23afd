"""The decision module: decides for each call where to send it, when to queue it and when to refuse it.

The basic rule is the upper-limit and guaranteed-minimum admission test of Choudhury, Leung and Whitt on
each of the own trunk groups: the direct route first, otherwise the tandem whose trunk group has the most
free circuits by its last report (docs/design.md). Every other rule is a guard, and the comment or
docstring at its place states what it prevents and when it acts. The interface is latchturn/interface.py.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from . import interface as i
from .interface import FinalReason as Reason

# Traffic classes of a trunk group. A two-leg call reaches its destination over a tandem, and so takes up
# circuits of two groups.
DIRECT, TWO_LEG = 0, 1
# Outcomes after which the attempt has certainly not been set up.
NEVER_SET_UP = (i.Outcome.TURNED_AWAY, i.Outcome.NOT_SENT, i.Outcome.UNREACHABLE)
DIRECT_MINIMUM_SHARE = 0.3  # of a group's circuits: guaranteed minimum of direct calls
NO_REFUSALS = (0, 0)  # default in `Exchange.tandem_back_offs`: refusals in a row, end of the back-off
NO_LIMIT = 1 << 30  # circuits: upper limit of direct calls
TWO_LEG_LIMIT_SHARE = 0.5  # of a group's circuits: upper limit of two-leg calls

# A call without a route is queued here for a circuit, because a refused caller only redials and costs
# another decision. It is queued for this share of its target set-up time at most: a later set-up would miss
# the target and not earn the full value.
QUEUE_SHARE = 0.75
# Time-outs of set-ups, as a share of the class's target set-up time. That of a direct call runs from the first dial,
# or from now if the call is past its target: a later set-up earns little and ties circuits up.
DIRECT_TIMEOUT_SHARE = 1.0
TWO_LEG_TIMEOUT_SHARE = 0.7  # a tandem that has not answered by then is not worth waiting for
# Further times, as a share of the shortest target set-up time of all classes unless another base is named.
MIN_TIMEOUT_SHARE = 0.2  # minimum time-out, unless the deadline is nearer: a shorter one cuts set-ups under way
CHANCE_RETRY_SHARE = 0.05  # minimum retry-after of a caller whose attempts are used up
MIN_TIME_LEFT_SHARE = 0.5  # of the usual set-up time: with less time left an attempt is not worth its work
FINAL_ANSWER_MARGIN_SHARE = 0.05  # time before the deadline at which a queued call gets its final answer
INITIAL_SET_UP_SHARE = 0.1  # usual set-up time that is assumed before the first answer

SMOOTHING_WEIGHT = 0.05  # weight of each answer in the usual set-up time and in the share refused by tandems

# Congestion window: how many set-ups may be outstanding at one exchange. Each prompt answer widens it, each
# round of slow answers narrows it.
INITIAL_WINDOW = 2.0  # one call and the next, before anything is known of the exchange
MAX_WINDOW = 4.0  # the windows of several controllers together must not queue more work than fits in the target
PROMPT_ANSWER_SHARE = 0.25  # of the shortest target: an answer within it leaves the exchange time for other work
WINDOW_SHRINK_FACTOR = 0.7  # two rounds of slow answers bring the widest window below MIN_TANDEM_WINDOW
MIN_TANDEM_WINDOW = 2.0  # an exchange with a narrower window is congested and carries no transit calls
CONGESTION_THROTTLE_SHARE = 0.1  # a reported throttle share from which the exchange is congested

# Back-off of an exchange that does not answer.
BACK_OFF_THRESHOLD = 2  # unanswered attempts in a row from which it is backed off
FIRST_BACK_OFF = 2.0  # x release time; doubled with each further unanswered attempt
MAX_BACK_OFF = 8.0  # x release time
BUSY_NUMBER_GAP = 0.25  # x shortest target x controllers, between set-ups to a busy number: all controllers try it
# Back-off of a tandem for one destination after it refused a call to it, in shortest target times. Each further
# refusal doubles it, and a call answered over that tandem ends it.
FIRST_TANDEM_BACK_OFF = 4.0
MAX_TANDEM_BACK_OFF = 24.0
PROVEN_FIRST_SHARE = 0.5  # share of two-leg set-ups refused by tandems from which proven tandems come first
TURN_OPEN_SHARE = 0.5  # share of the gap between two warm-up turns during which a turn may be used
WARM_UP_SAFETY = 0.7  # share of the collapse rate that is used: set-ups bunch, and redials come on top
MAX_BUSY_NUMBERS = 500  # entries of `Controller.busy_numbers`
MAX_REDIAL_RECORDS = 4000  # entries of `Controller.redial_records`
# Trunk reservation against calls past their target, which earn little and hold their circuits as long as others:
# the share of a group that they must leave free.
LATE_CALL_RESERVE = 0.1


class TrunkGroup:
    """Upper limits and guaranteed minimums on one own trunk group (Panel 3 of the paper, with the test of the design).

    There are two traffic classes, both counted in circuits: direct calls of every width, and two-leg calls.
    Direct calls are one class, because a class of its own for wide calls would keep most of a small group
    idle for its minimum.
    """

    def __init__(self) -> None:
        self.size_known = False
        self.size = 0
        self.free_circuits = 0  # last report, less what was seized since
        # By traffic class, in circuits.
        self.in_use = [0, 0]
        self.minimum = [0, 0]
        self.limit = [NO_LIMIT, 0]
        self.unreserved = 0  # F of the paper: circuits that are neither in use nor kept for a minimum

    def resize(self, size: int) -> None:
        """Set the limit and the minimum for a size; calls in progress stay counted."""
        self.size_known = True
        self.size = size
        self.minimum[DIRECT] = min(size, max(1, int(DIRECT_MINIMUM_SHARE * size)))
        self.limit[TWO_LEG] = min(max(1, int(TWO_LEG_LIMIT_SHARE * size)), max(0, size - 1))
        self.unreserved = size - sum(max(low, n) for low, n in zip(self.minimum, self.in_use))

    def admits(self, traffic_class: int, width: int) -> bool:
        """Whether a call may be sent: the limit and minimum test, and enough free circuits by the last report."""
        if not self.size_known:
            # Exception until the first report of the circuits: direct calls are admitted, two-leg calls are not.
            return traffic_class == DIRECT
        if self.in_use[traffic_class] + width > self.limit[traffic_class]:
            return False
        # Exception while F is negative: a group that has shrunk has no room for the minimums, so the reported
        # free circuits alone decide for direct calls.
        shrunken = self.unreserved < 0 and traffic_class == DIRECT
        if not (self.in_use[traffic_class] < self.minimum[traffic_class] or width <= self.unreserved or shrunken):
            return False
        unfilled = max(0, self.minimum[DIRECT] - self.in_use[DIRECT]) if traffic_class == TWO_LEG else 0
        return self.free_circuits >= width + unfilled

    def seize(self, traffic_class: int, width: int) -> None:
        """Count the circuits of a call that is sent."""
        self.free_circuits -= width
        before = max(self.in_use[traffic_class], self.minimum[traffic_class])
        self.in_use[traffic_class] += width
        self.unreserved -= max(self.in_use[traffic_class], self.minimum[traffic_class]) - before

    def release(self, traffic_class: int, width: int) -> None:
        """Stop counting a call. Its circuits are free again only when the exchange reports them."""
        before = max(self.in_use[traffic_class], self.minimum[traffic_class])
        self.in_use[traffic_class] -= width
        self.unreserved += before - max(self.in_use[traffic_class], self.minimum[traffic_class])


class Exchange:
    """What is known of one remote exchange."""

    def __init__(self, exchange: int, number: int, group: TrunkGroup) -> None:
        self.exchange_id = exchange
        self.number = number
        self.group = group
        self.ready = False
        self.warm_up_until_us = 0
        self.outstanding = 0  # attempts sent and not answered yet
        self.window = INITIAL_WINDOW
        self.last_shrunk_us = 0
        self.blocked_until_us = 0  # no set-up before this: back-off, or a wait that the exchange asked for
        self.consecutive_unanswered = 0  # attempts in a row
        self.last_answer_us = 0
        self.throttle_share = 0.0  # last report
        self.max_reported_rate = 0.0  # set-ups a second, the highest that it ever reported
        # Destination number -> refusals in a row of calls to it over this tandem, and end of the back-off.
        self.tandem_back_offs: dict[int, tuple[int, int]] = {}
        self.reached_destinations: set[int] = set()  # destinations to which a call over this tandem was answered
        self.next_turn_us = 0  # no set-up before this during the warm-up

    def accepts_set_up(self, now: int) -> bool:
        """Whether a set-up may be sent at all, by list state, back-off and congestion window."""
        return self.ready and now >= self.blocked_until_us and self.outstanding < self.window

    def congested(self) -> bool:
        """Whether its processor seems overloaded, by its answers or by its reports."""
        return (
            self.window < MIN_TANDEM_WINDOW
            or self.throttle_share >= CONGESTION_THROTTLE_SHARE
            or self.consecutive_unanswered > 0
        )


@dataclass(slots=True)
class Call:
    """The state of one call, from the offer to the end."""

    offer: i.CallOffered
    call_class: i.CallClass
    first_dialled_us: int  # when its caller first dialled the number
    attempts_allowed: int  # by the settings in force when it was offered
    attempts: int = 0
    sent_to: Exchange | None = None  # exchange that has its attempt or, once answered, the call
    two_leg: bool = False
    sent_us: int = 0
    awaiting_answer: bool = False
    not_before_us: int = 0  # no further attempt before this: the last one is still being released
    queued: bool = False
    queue_until_us: int = 0  # end of its time in the queue
    caller_left: bool = False
    tandems_tried: list[int] = field(default_factory=list)  # exchange numbers

    @property
    def value_per_circuit(self) -> float:
        """The value of the call for each circuit that it takes up."""
        return self.call_class.value / self.offer.width


class Controller:
    """The decisions of one session controller.

    Takes events and the time, returns actions, and does no input or output of its own.
    """

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self._apply_settings(settings)
        self.random = random.Random(seed)
        self.tandem_refusal_share = 0.0  # share of two-leg set-ups that tandems refused, smoothed
        self.usual_set_up_us = INITIAL_SET_UP_SHARE * self.shortest_target_us  # set-up time of direct calls, smoothed
        number = settings.own_number
        # Offset of the warm-up turns within a gap, from 0 to 1. Steps of the golden ratio spread the offsets of
        # controllers with consecutive numbers evenly.
        self.turn_offset = number * 0.618034 % 1.0 if number >= 0 else self.random.random()
        self.exchanges: dict[int, Exchange] = {}
        self.groups: dict[int, TrunkGroup] = {}
        self.by_number: dict[int, Exchange] = {}  # of several with one number a ready one
        self.calls: dict[int, Call] = {}
        self.queues: dict[int, list[Call]] = {}  # destination number -> queued calls
        self.timers: dict[int, int] = {}  # token -> call, or -1 to subscribe to the exchange list
        self.next_token = 1
        self.busy_numbers: dict[int, int] = {}  # called number -> when the next set-up to it may be sent
        # Called number -> first dial of the caller whose call to it failed last.
        self.redial_records: dict[int, int] = {}
        self.redials_marked = False  # whether any call offered so far was marked as a redial
        self.first_dial_rate = 0.0  # own calls a second without redials, smoothed over the warm-up time
        self.last_first_dial_us = 0
        self.started = False
        self.actions: list[i.Action] = []
        self.now = 0

    def _apply_settings(self, settings: i.Settings) -> None:
        """Validate settings and replace the ones in use."""
        validate(settings)
        self.settings = settings
        self.uses_pools = settings.topology is i.Topology.POOLS
        self.shortest_target_us = min(c.target_us for c in settings.classes)

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]:
        """Take one event at time `now_us` (microseconds) and return the actions to carry out, in order."""
        self.actions = []
        self.now = now_us
        if not self.started:
            self.started = True
            if self.settings.list_on_request:
                self.actions.append(i.SubscribeToList())
        if isinstance(event, i.CallOffered):
            self._on_call_offered(event)
        elif isinstance(event, i.AttemptEnded):
            self._on_attempt_ended(event)
        elif isinstance(event, i.CallAnswered):
            self._on_call_answered(event)
        elif isinstance(event, i.ExchangeReport):
            self._on_exchange_report(event)
        elif isinstance(event, i.TimerDue):
            self._on_timer(event)
        elif isinstance(event, i.ExchangeList):
            self._on_exchange_list(event)
        elif isinstance(event, i.CallerLeft):
            self._on_caller_left(event)
        elif isinstance(event, i.SettingsChanged):
            self._apply_settings(event.settings)
            for number in list(self.queues):  # queued calls may have no attempts left now
                self._serve_queue(number)
        return self.actions

    def backed_off(self, now_us: int) -> int:
        """Number of listed exchanges that get no set-ups now, because they did not answer or were full."""
        return sum(e.blocked_until_us > now_us for e in self.exchanges.values())

    # --- the exchange list ---

    def _on_exchange_list(self, event: i.ExchangeList) -> None:
        """Apply a list message, then serve the queues, since destinations may have changed."""
        if event.kind is i.ListKind.FAILED:
            if self.settings.list_on_request:
                self._set_timer(int(self.settings.release_us * (1 + self.random.random())), -1)
            return
        listed = set()
        for entry in event.entries:
            listed.add(entry.exchange)
            self._apply_entry(entry)
        if event.kind is not i.ListKind.CHANGES:
            for exchange_id in [exchange_id for exchange_id in self.exchanges if exchange_id not in listed]:
                self._remove_exchange(exchange_id)
        self.by_number = {}
        for exchange in self.exchanges.values():
            if exchange.ready or exchange.number not in self.by_number:
                self.by_number[exchange.number] = exchange
        for number in [n for n, g in self.groups.items() if n not in self.by_number and not any(g.in_use)]:
            del self.groups[number]
        for number in list(self.queues):
            self._serve_queue(number)

    def _remove_exchange(self, exchange_id: int) -> None:
        """Forget an exchange that is no longer listed. Its calls keep a reference to it until they end.

        Without this, memory would grow with every exchange that is replaced.
        """
        gone = self.exchanges.pop(exchange_id, None)
        if gone is not None and gone.ready:
            gone.ready = False
            self._log(f"exchange {gone.number} was removed from the exchange list")

    def _apply_entry(self, entry: i.ListEntry) -> None:
        """Add, update or remove one exchange; one that has just restarted begins its warm-up."""
        known = self.exchanges.get(entry.exchange)
        if entry.state is i.ListState.GONE:
            self._remove_exchange(entry.exchange)
            return
        if known is None:
            group = self.groups.setdefault(entry.number, TrunkGroup())
            known = self.exchanges[entry.exchange] = Exchange(entry.exchange, entry.number, group)
        ready = entry.state is i.ListState.READY
        warm_up_until_us = entry.started_us + self.settings.warm_up_us if entry.started_us else 0
        if warm_up_until_us != known.warm_up_until_us:
            known.warm_up_until_us = warm_up_until_us
            if warm_up_until_us > self.now:
                known.window = INITIAL_WINDOW
                known.blocked_until_us = known.consecutive_unanswered = 0
                known.next_turn_us = self._next_warm_up_turn(known, self.now, self._warm_up_gap())
        if known.ready and not ready:
            self._log(f"exchange {known.number} is draining and gets no new set-ups")
        known.ready = ready

    # --- calls ---

    def _on_call_offered(self, offer: i.CallOffered) -> None:
        """Send a new call, or queue it, or refuse it if neither is of use."""
        if not 0 <= offer.class_index < len(self.settings.classes):
            self.actions.append(i.Refuse(offer.call, 0, Reason.CLASS_UNKNOWN))
            return
        if offer.call in self.calls:
            return
        call_class = self.settings.classes[offer.class_index]
        call = Call(offer, call_class, self._first_dial_time(offer), self.settings.max_attempts)
        if offer.destination == self.settings.own_number and not self.uses_pools:
            self.actions.append(i.Refuse(offer.call, 0, Reason.OWN_EXCHANGE))
            return
        self.calls[offer.call] = call
        if not offer.transit and call.first_dialled_us == self.now:
            gap_us = max(1, self.now - self.last_first_dial_us)
            weight = min(1.0, gap_us / self.settings.warm_up_us)
            self.first_dial_rate += weight * (1e6 / gap_us - self.first_dial_rate)
            self.last_first_dial_us = self.now
        if self._number_deferred(offer.called_number):
            self._refuse(call, self.settings.max_retry_after_us, Reason.NUMBER_BUSY)
        elif not self._route(call):
            if offer.transit:
                self._refuse(call, 0, Reason.NO_TRANSIT_ROUTE)
            elif self._past_target(call):
                self._refuse(call, self._retry_after(call), Reason.PAST_AIM)
            else:
                self._enqueue(call)

    def _first_dial_time(self, offer: i.CallOffered) -> int:
        """When the caller of this call first dialled: a call to a number whose last call failed is a redial of it.

        Prevents redials from crowding out calls that are still within their target set-up time. An answered
        call leaves no record, each failed call makes one later call a redial, and in a network that marks
        redials an unmarked call is a first dial.
        """
        if offer.transit:
            return self.now
        self.redials_marked = self.redials_marked or offer.redialled
        recorded_us = self.redial_records.pop(offer.called_number, self.now)
        longest_redial_us = self.settings.classes[offer.class_index].give_up_us
        is_first_dial = offer.cut_before or (self.redials_marked and not offer.redialled)
        return self.now if is_first_dial or self.now - recorded_us > longest_redial_us else recorded_us

    def _remove_unanswered(self, call: Call) -> None:
        """Forget a call that was not answered, but keep the time of its caller's first dial."""
        del self.calls[call.offer.call]
        if call.offer.called_number and not call.offer.transit:
            _remember(self.redial_records, call.offer.called_number, call.first_dialled_us, MAX_REDIAL_RECORDS)

    def _past_target(self, call: Call) -> bool:
        """Whether the target set-up time of a call is over, counted from its caller's first dial."""
        return self.now - call.first_dialled_us >= call.call_class.target_us

    def _route(self, call: Call) -> bool:
        """Send the call if a route and all guards admit it, and return whether it was sent.

        A call past its target is sent on the direct route alone, not to a congested exchange, and only if it
        leaves LATE_CALL_RESERVE of the trunk group free. A transit call is sent to its destination alone, and
        not if that is congested. Nothing goes over a tandem to a destination that is congested or warming up:
        its processor has to handle the call all the same.
        """
        offer = call.offer
        if self._attempts_used_up(call) or self.now < call.not_before_us or self._too_little_time(call):
            return False
        destination_exchange = self.by_number.get(offer.destination)
        if destination_exchange is None or not destination_exchange.ready:
            return False
        group = destination_exchange.group
        traffic_class = TWO_LEG if offer.transit else DIRECT
        late = self._past_target(call) and not offer.transit
        reserve = LATE_CALL_RESERVE * group.size
        if late and (destination_exchange.congested() or group.free_circuits - offer.width < reserve):
            return False
        direct_blocked = not destination_exchange.accepts_set_up(self.now) or (
            destination_exchange.congested() if offer.transit else self._wider_call_queued(call)
        )
        direct_blocked = direct_blocked or (
            self._warming_up(destination_exchange) and not self._warm_up_turn_open(destination_exchange)
        )
        if not direct_blocked and group.admits(traffic_class, offer.width):
            start_us = self.now if late else call.first_dialled_us
            self._send(
                call,
                destination_exchange,
                traffic_class,
                int(start_us + call.call_class.target_us * DIRECT_TIMEOUT_SHARE - self.now),
            )
            return True
        if offer.transit or late or destination_exchange.congested() or self._warming_up(destination_exchange):
            return False
        best = self._best_tandem(call)
        if best is None:
            return False
        self._send(call, best, TWO_LEG, int(call.call_class.target_us * TWO_LEG_TIMEOUT_SHARE))
        return True

    def _best_tandem(self, call: Call) -> Exchange | None:
        """The tandem with the most free circuits among those whose trunk group admits the call.

        Prevents repeated set-ups over tandems whose trunk group onward is small or missing, which is not
        reported to any controller: while tandems refuse at least PROVEN_FIRST_SHARE of the two-leg set-ups,
        tandems that have reached the destination before come first, and a call tries one other at most.
        """
        offer = call.offer
        best, best_rank = None, (False, 0)
        proven_first = self.tandem_refusal_share >= PROVEN_FIRST_SHARE
        for number, tandem in self.by_number.items():
            if number in (offer.destination, self.settings.own_number) or number in call.tandems_tried:
                continue
            if self.uses_pools and number not in call.call_class.pools:
                continue
            if not tandem.accepts_set_up(self.now) or tandem.congested() or self._warming_up(tandem):
                continue
            if tandem.tandem_back_offs.get(offer.destination, NO_REFUSALS)[1] > self.now:
                continue
            if not tandem.group.admits(TWO_LEG, offer.width):
                continue
            proven = proven_first and offer.destination in tandem.reached_destinations
            if proven_first and not proven and call.tandems_tried:
                continue
            rank = (proven, tandem.group.free_circuits)
            if best is None or rank > best_rank:
                best, best_rank = tandem, rank
        return best

    def _send(self, call: Call, chosen: Exchange, traffic_class: int, timeout_us: int) -> None:
        """Send a set-up and count it.

        The time-out is raised to MIN_TIMEOUT_SHARE of the shortest target, but never goes past the deadline.
        """
        chosen.group.seize(traffic_class, call.offer.width)
        if self._warming_up(chosen):
            gap_us = self._warm_up_gap()
            chosen.next_turn_us = self._next_warm_up_turn(chosen, self.now + gap_us // 2, gap_us)
        chosen.outstanding += 1
        call.sent_to, call.two_leg, call.sent_us, call.awaiting_answer = (
            chosen,
            traffic_class == TWO_LEG,
            self.now,
            True,
        )
        call.attempts += 1
        if call.two_leg and not call.offer.transit:
            call.tandems_tried.append(chosen.number)
        if call.queued:
            self._dequeue(call)
        timeout_us = min(
            call.offer.deadline_us - self.now, max(timeout_us, int(MIN_TIMEOUT_SHARE * self.shortest_target_us))
        )
        self.actions.append(i.SendSetup(call.offer.call, chosen.exchange_id, timeout_us))

    def _attempts_used_up(self, call: Call) -> bool:
        """Whether a call has no attempt left, by the lower of the limits at its offer and now."""
        return call.attempts >= min(call.attempts_allowed, self.settings.max_attempts)

    def _too_little_time(self, call: Call) -> bool:
        """Whether its deadline is too near for an attempt, compared with the usual set-up time."""
        return call.offer.deadline_us - self.now < int(MIN_TIME_LEFT_SHARE * self.usual_set_up_us)

    def _enqueue(self, call: Call) -> None:
        """Queue a call until a circuit or a window opens, or until its target or its deadline is near."""
        target_near = call.first_dialled_us + int(call.call_class.target_us * QUEUE_SHARE)
        answer_margin = max(
            int(FINAL_ANSWER_MARGIN_SHARE * self.shortest_target_us), int(MIN_TIME_LEFT_SHARE * self.usual_set_up_us)
        )
        call.queue_until_us = min(target_near, call.offer.deadline_us - answer_margin)
        if reason := self._refusal_reason(call):
            self._refuse(call, self._retry_after(call), reason)
            return
        call.queued = True
        self.queues.setdefault(call.offer.destination, []).append(call)
        self._set_timer(call.queue_until_us - self.now, call.offer.call)
        earliest_us = self._earliest_send(call)
        if self.now < earliest_us:
            self._set_timer(earliest_us - self.now, call.offer.call)

    def _refusal_reason(self, call: Call) -> Reason | None:
        """Why a queued call cannot be sent any more, None if it still can.

        Prevents a call from staying queued to no purpose: with a reason its final answer is sent at once, however
        much of its time in the queue is left.
        """
        destination_exchange = self.by_number.get(call.offer.destination)
        if destination_exchange is None or not destination_exchange.ready:
            return Reason.DESTINATION_NOT_READY
        if self._attempts_used_up(call):
            return Reason.ATTEMPTS_USED
        if self._too_little_time(call):
            return Reason.TOO_LITTLE_TIME
        if self.now >= call.queue_until_us:
            return Reason.WAITED_OUT
        return Reason.OPENS_TOO_LATE if self._earliest_send(call) >= call.queue_until_us else None

    def _earliest_send(self, call: Call) -> int:
        """The first time at which a call may be sent, as far as is known now."""
        destination_exchange = self.by_number[call.offer.destination]
        earliest_us = max(
            call.not_before_us, destination_exchange.next_turn_us if self._warming_up(destination_exchange) else 0
        )
        # A back-off counts only while no set-up is outstanding, since an answer may end it early, and only if the
        # destination is congested, since it may otherwise be reached over a tandem.
        paused = destination_exchange.congested() and destination_exchange.outstanding == 0
        return max(earliest_us, destination_exchange.blocked_until_us) if paused else earliest_us

    def _retry_after(self, call: Call) -> int:
        """The retry-after for a refused caller, in microseconds.

        It ends when a circuit has probably come free, at the rate at which calls in progress end, and any known
        back-off is over. If no circuit is likely to come free within the target, it is the longest allowed.
        """
        destination_exchange = self.by_number.get(call.offer.destination)
        if destination_exchange is None or not destination_exchange.ready or not destination_exchange.group.size_known:
            return self.settings.max_retry_after_us
        group = destination_exchange.group
        missing_circuits = max(0, call.offer.width - group.free_circuits)
        frees_in_us = int(missing_circuits * call.call_class.holding_us / max(1, group.size - group.free_circuits))
        if self.now + frees_in_us >= call.first_dialled_us + call.call_class.target_us:
            return self.settings.max_retry_after_us
        # Without this, callers would redial too late for their target after an exchange that fails set-ups at
        # random has used up their attempts.
        chance_retry_us = int(CHANCE_RETRY_SHARE * self.shortest_target_us) if self._attempts_used_up(call) else 0
        return max(frees_in_us, self._earliest_send(call) - self.now, chance_retry_us)

    def _wider_call_queued(self, call: Call) -> bool:
        """Whether a wider call with at least the same value per circuit is queued for the same trunk group.

        Prevents narrow calls from taking every circuit that comes free before a wide call can get all it needs.
        """
        queue = self.queues.get(call.offer.destination, ())
        return any(c.offer.width > call.offer.width and c.value_per_circuit >= call.value_per_circuit for c in queue)

    def _dequeue(self, call: Call) -> None:
        """Take a call out of the queue of its destination."""
        call.queued = False
        queue = self.queues[call.offer.destination]
        queue.remove(call)
        if not queue:
            del self.queues[call.offer.destination]

    def _serve_queue(self, number: int) -> None:
        """Send the queued calls for a destination, by falling value per circuit, and refuse those that are too late.

        A call that is not admitted holds up the calls behind it, unless it only waits for its release time.
        """
        queue = self.queues.get(number)
        if not queue:
            return
        head_blocked = False
        for call in sorted(queue, key=lambda c: (-c.value_per_circuit, c.first_dialled_us, c.offer.call)):
            if reason := self._refusal_reason(call):
                self._refuse(call, self._retry_after(call), reason)
            elif not head_blocked and not self._route(call) and self.now >= call.not_before_us:
                head_blocked = True

    def _refuse(self, call: Call, retry_after_us: int, reason: Reason) -> None:
        """Refuse a call with a retry-after in microseconds, limited to the setting."""
        if call.queued:
            self._dequeue(call)
        self._remove_unanswered(call)
        retry_after_us = min(retry_after_us, self.settings.max_retry_after_us)
        self.actions.append(i.Refuse(call.offer.call, retry_after_us, reason))

    def _on_call_answered(self, event: i.CallAnswered) -> None:
        """Note an answered call; its circuits stay counted until it ends."""
        call = self.calls.get(event.call)
        if call is None or not call.awaiting_answer or call.sent_to is None:
            return
        call.awaiting_answer = False
        call.sent_to.outstanding -= 1
        self._note_answer(call, call.sent_to)
        self.busy_numbers.pop(call.offer.called_number, None)
        if call.two_leg:
            call.sent_to.tandem_back_offs.pop(call.offer.destination, None)
            call.sent_to.reached_destinations.add(call.offer.destination)
            self.tandem_refusal_share -= SMOOTHING_WEIGHT * self.tandem_refusal_share
        self._serve_queue(call.sent_to.number)

    def _note_answer(self, call: Call, sent_to: Exchange) -> None:
        """Adjust back-off and congestion window of an exchange that answered, positively or not.

        A prompt answer widens the window, a slow one narrows it. The window of a tandem is not narrowed by slow
        answers to calls sent over it, since the delay may lie behind the tandem.
        """
        sent_to.last_answer_us = self.now
        if sent_to.consecutive_unanswered >= BACK_OFF_THRESHOLD:
            sent_to.blocked_until_us = 0
            self._log(f"exchange {sent_to.number} answers again")
        sent_to.consecutive_unanswered = 0
        answer_time_us = self.now - call.sent_us
        if not call.two_leg:
            self.usual_set_up_us += SMOOTHING_WEIGHT * (answer_time_us - self.usual_set_up_us)
        if answer_time_us <= self.shortest_target_us * PROMPT_ANSWER_SHARE:
            sent_to.window = min(MAX_WINDOW, sent_to.window + 1.0)
        elif not call.two_leg or call.offer.transit:
            self._shrink_window(sent_to, call.sent_us)

    def _shrink_window(self, sent_to: Exchange, sent_us: int) -> None:
        """Narrow the window, unless the set-up was sent before it was last narrowed: a round counts only once."""
        if sent_us >= sent_to.last_shrunk_us:
            sent_to.last_shrunk_us = self.now
            sent_to.window = max(1.0, sent_to.window * WINDOW_SHRINK_FACTOR)

    def _on_attempt_ended(self, event: i.AttemptEnded) -> None:
        """Take the end of an attempt or of an answered call; send, queue, refuse or fail a call without answer."""
        remote = self.exchanges.get(event.exchange)
        if remote is not None and event.report is not None:
            self._apply_report(remote, event.report)
        call = self.calls.get(event.call)
        if call is None or call.sent_to is None or call.attempts != event.attempt + 1:
            return
        sent_to, was_awaiting_answer, outcome, cause = call.sent_to, call.awaiting_answer, event.outcome, event.cause
        traffic_class = TWO_LEG if call.two_leg else DIRECT
        sent_to.group.release(traffic_class, call.offer.width)
        call.sent_to = None
        if outcome is i.Outcome.NOT_SENT and cause is i.Cause.NO_CIRCUIT:
            # Without this, a call would spend all its attempts at once on a group that the remote exchange has
            # just filled, because the report of that comes later than the refusal.
            sent_to.group.free_circuits = min(sent_to.group.free_circuits, call.offer.width - 1)
        if was_awaiting_answer:
            self._note_attempt_end(call, sent_to, event)
        if outcome in (i.Outcome.TIMED_OUT, i.Outcome.CUT, i.Outcome.CANCELLED):
            call.not_before_us = self.now + self.settings.release_us
        if event.concluded or call.caller_left:
            if was_awaiting_answer:
                self._remove_unanswered(call)
            else:
                del self.calls[event.call]
        elif call.call_class.at_most_once and outcome not in NEVER_SET_UP:
            # Prevents the same effect from being caused twice: the caller would redial a refused call.
            self._remove_unanswered(call)
            self.actions.append(i.Fail(event.call, Reason.MAY_HAVE_RUN))
        elif cause is i.Cause.NUMBER_BUSY:
            self._refuse(call, self.settings.max_retry_after_us, Reason.NUMBER_BUSY)
        elif call.offer.transit:
            self._refuse(call, 0, Reason.TRANSIT_ATTEMPT_ENDED)
        elif outcome is i.Outcome.NOT_SENT and cause is i.Cause.PROCESSOR_FULL:
            # Without this, a call would spend all its attempts at once while the own processor is out of service.
            self._refuse(call, self.settings.max_retry_after_us, Reason.OWN_PROCESSOR_FULL)
        elif self._too_little_time(call):
            self._remove_unanswered(call)
            self.actions.append(i.Fail(event.call, Reason.TOO_LITTLE_TIME))
        elif call.not_before_us > self.now or not self._route(call):
            self._enqueue(call)
        self._serve_queue(sent_to.number)

    def _note_attempt_end(self, call: Call, sent_to: Exchange, event: i.AttemptEnded) -> None:
        """Adjust what is known of exchanges and numbers after an attempt ended without an answered call.

        Every refusal counts as an answer. A time-out counts as unanswered only if the exchange has answered nothing
        since the set-up was sent. PROCESSOR_FULL blocks the exchange for the wait that it asked for, and for the
        release time at least. A refusal by a tandem or behind it starts a back-off of that tandem for the
        destination, and a full processor at the destination narrows the destination's window as well.
        """
        call.awaiting_answer = False
        sent_to.outstanding -= 1
        outcome, cause = event.outcome, event.cause
        if outcome in (i.Outcome.TIMED_OUT, i.Outcome.UNREACHABLE):
            if outcome is i.Outcome.UNREACHABLE or sent_to.last_answer_us < call.sent_us:
                self._note_silence(sent_to)
            if not call.two_leg:
                self._shrink_window(sent_to, call.sent_us)
        elif outcome not in (i.Outcome.NOT_SENT, i.Outcome.CANCELLED, i.Outcome.CUT):
            self._note_answer(call, sent_to)
            if cause is i.Cause.PROCESSOR_FULL:
                sent_to.window = 1.0
                sent_to.blocked_until_us = max(
                    sent_to.blocked_until_us, self.now + max(event.wait_us, self.settings.release_us)
                )
            elif cause in (i.Cause.REFUSED_BY_TANDEM, i.Cause.DESTINATION_PROCESSOR_FULL) and call.two_leg:
                self.tandem_refusal_share += SMOOTHING_WEIGHT * (1.0 - self.tandem_refusal_share)
                # Prevents set-ups over a tandem whose onward group stays full: refusing them loads processors.
                refusals = sent_to.tandem_back_offs.get(call.offer.destination, NO_REFUSALS)[0]
                pause = min(MAX_TANDEM_BACK_OFF, FIRST_TANDEM_BACK_OFF * 2 ** min(refusals, 20))
                sent_to.tandem_back_offs[call.offer.destination] = (
                    refusals + 1,
                    self.now + int(self.shortest_target_us * pause),
                )
            if cause is i.Cause.DESTINATION_PROCESSOR_FULL:
                destination_exchange = self.by_number.get(call.offer.destination)
                if destination_exchange is not None:
                    self._shrink_window(destination_exchange, call.sent_us)
            if cause is i.Cause.NUMBER_BUSY and call.offer.called_number:
                self._defer_number(call.offer.called_number)

    def _note_silence(self, sent_to: Exchange) -> None:
        """Count an unanswered attempt; from BACK_OFF_THRESHOLD in a row on, back the exchange off.

        Prevents a hung or disconnected exchange from using up attempts and time: set-ups to it are spaced out
        until it answers.
        """
        sent_to.consecutive_unanswered += 1
        if sent_to.consecutive_unanswered >= BACK_OFF_THRESHOLD:
            pause = min(
                MAX_BACK_OFF, FIRST_BACK_OFF * 2 ** min(sent_to.consecutive_unanswered - BACK_OFF_THRESHOLD, 20)
            )
            sent_to.window = 1.0
            sent_to.blocked_until_us = max(sent_to.blocked_until_us, self.now + int(pause * self.settings.release_us))
            if sent_to.consecutive_unanswered == BACK_OFF_THRESHOLD:
                self._log(f"exchange {sent_to.number} does not answer, backing off")

    def _defer_number(self, called_number: int) -> None:
        """Allow the next set-up to a busy number only after a gap."""
        gap_us = self.shortest_target_us * BUSY_NUMBER_GAP * self.settings.controllers
        _remember(self.busy_numbers, called_number, self.now + int(gap_us), MAX_BUSY_NUMBERS)

    def _number_deferred(self, called_number: int) -> bool:
        """Whether a call to a busy number must be refused; if not, the next gap begins.

        Prevents load from calls to a number in heavy demand: after the report that all its lines are busy, one
        set-up in each gap tries it, until one is answered.
        """
        until_us = self.busy_numbers.get(called_number)
        if until_us is None or self.now < until_us:
            return until_us is not None
        self._defer_number(called_number)
        return False

    def _on_caller_left(self, event: i.CallerLeft) -> None:
        """Forget a call whose caller has left; one with an attempt or answered stays counted until that ends."""
        call = self.calls.get(event.call)
        if call is None:
            return
        if call.queued:
            self._dequeue(call)
        if call.sent_to is None:
            self._remove_unanswered(call)
        call.caller_left = True

    def _on_timer(self, event: i.TimerDue) -> None:
        """Try a queued call again, or refuse it, or subscribe to the exchange list again."""
        call_id = self.timers.pop(event.token, None)
        if call_id is None:
            return
        if call_id == -1:
            self.actions.append(i.SubscribeToList())
            return
        call = self.calls.get(call_id)
        if call is None or not call.queued or self._route(call):
            return
        if reason := self._refusal_reason(call):
            self._refuse(call, self._retry_after(call), reason)

    def _set_timer(self, delay_us: int, call_id: int) -> None:
        """Request a `TimerDue` for a call, or with -1 for the exchange list. Tokens have 32 bits and are never 0."""
        token = self.next_token
        self.next_token = token % 0xFFFFFFFF + 1
        self.timers[token] = call_id
        self.actions.append(i.SetTimer(max(1, delay_us), token))

    # --- reports of exchanges, and the warm-up of recently started ones ---

    def _on_exchange_report(self, event: i.ExchangeReport) -> None:
        remote = self.exchanges.get(event.exchange)
        if remote is not None:
            self._apply_report(remote, event.report)
            self._serve_queue(remote.number)

    def _apply_report(self, remote: Exchange, report: i.LoadReport) -> None:
        group = remote.group
        if report.size is not None and (report.size != group.size or not group.size_known):
            group.resize(report.size)
        if report.free is not None:
            group.free_circuits = report.free
        if report.throttle_share is not None:
            remote.throttle_share = report.throttle_share
        if report.setups_per_s is not None:
            remote.max_reported_rate = max(remote.max_reported_rate, report.setups_per_s)

    def _warming_up(self, remote: Exchange) -> bool:
        return remote.warm_up_until_us > self.now

    def _next_warm_up_turn(self, remote: Exchange, after_us: int, gap_us: int) -> int:
        """The first turn of this controller after a given time at an exchange that is warming up (slow start).

        Prevents all controllers together from overloading a recently started processor. Each controller has
        one turn in every gap, at an offset that depends on its number alone. So the turns of all controllers
        are spread evenly from the first one on, however late each learns of the start, and even if it is
        restarted itself.
        """
        start = remote.warm_up_until_us - self.settings.warm_up_us + int(self.turn_offset * gap_us)
        return start + -((start - after_us) // gap_us) * gap_us

    def _warm_up_turn_open(self, remote: Exchange) -> bool:
        """Whether it is this controller's turn at an exchange that is warming up.

        A turn that is not used within TURN_OPEN_SHARE of the gap is lost. Otherwise calls that reach all controllers
        at the same time could use all turns at once.
        """
        if self.now < remote.next_turn_us:
            return False
        gap_us = self._warm_up_gap()
        if self.now >= remote.next_turn_us + TURN_OPEN_SHARE * gap_us:
            remote.next_turn_us = self._next_warm_up_turn(remote, self.now, gap_us)
        return self.now >= remote.next_turn_us

    def _warm_up_gap(self) -> int:
        """Microseconds between two turns, such that the set-ups of all controllers cause no overload collapse.

        The rate that the processor can take after the warm-up is estimated in two parts. The first is what it
        carries, twice the rate of the own calls: an exchange carries at least as many incoming calls as outgoing
        ones, and its processor works for both. The second is what it can take in addition, the median of the
        highest rates that the exchanges reported, or without reports the rate of the own calls once more.
        """
        s = self.settings
        reported_rates = sorted(e.max_reported_rate for e in self.exchanges.values() if e.max_reported_rate > 0)
        capacity = 2.0 * self.first_dial_rate + (
            reported_rates[len(reported_rates) // 2] if reported_rates else self.first_dial_rate
        )
        rate_per_controller = WARM_UP_SAFETY * s.collapse_multiple * s.cold_start_share * capacity / s.controllers
        return int(1e6 / rate_per_controller) if rate_per_controller > 0.0 else 2 * s.warm_up_us

    def _log(self, text: str) -> None:
        self.actions.append(i.Log(text))


def _remember(table: dict[int, int], number: int, time_us: int, most: int) -> None:
    """Set an entry; in a table with `most` entries the oldest one is dropped for a new one."""
    if number not in table and len(table) >= most:
        del table[next(iter(table))]
    table[number] = time_us


def validate(s: i.Settings) -> None:
    """Raise ValueError that names the field for settings out of their range."""

    def require(valid: bool, name: str, given: object) -> None:
        if not valid:
            raise ValueError(f"setting {name} cannot be {given!r}")

    require(len(s.classes) > 0, "classes", s.classes)
    for k, c in enumerate(s.classes):
        require(c.target_us > 0, f"classes[{k}].target_us", c.target_us)
        require(c.give_up_us > 0, f"classes[{k}].give_up_us", c.give_up_us)
        require(c.width > 0, f"classes[{k}].width", c.width)
        require(c.holding_us > 0, f"classes[{k}].holding_us", c.holding_us)
        require(c.value >= 0, f"classes[{k}].value", c.value)
    for name in ("controllers", "max_attempts", "warm_up_us", "collapse_us"):
        require(getattr(s, name) > 0, name, getattr(s, name))
    for name in ("release_us", "drain_grace_us", "ask_within_us", "max_retry_after_us", "resend_us"):
        require(getattr(s, name) >= 0, name, getattr(s, name))
    require(0 < s.cold_start_share <= 1, "cold_start_share", s.cold_start_share)
    require(s.collapse_multiple > 0, "collapse_multiple", s.collapse_multiple)
