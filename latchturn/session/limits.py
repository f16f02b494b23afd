"""Every bound and pause of the reducer, with what it guards against. Times are microseconds.

Figures of decisions stand in `brain`, not here.
"""

SECOND = 1_000_000
DEADLINE_MARGIN_US = 50_000  # the module's deadline lies before the caller's: a busy machine is late
DEADLINE_OVERRUN_US = 15_000  # past the module's deadline the call is failed here
CALLER_RELEASE_TTL_US = 8 * SECOND  # a release that could not be sent for so long is dropped
CONFIRMATION_TIMEOUT_US = SECOND // 5  # a release that its caller has not confirmed by then goes another way too
MAX_RELEASE_RESENDS = 8  # times that a release is sent again, for callers that confirm none
RECENT_WRITE_US = SECOND  # a release written so lately on a connection that closes is sent on another
WRITE_TIMEOUT_US = 2 * SECOND  # a write that takes longer has a vanished peer
GIVE_UP_TIMEOUT_US = 50_000  # a give-up that has not left by then takes its link along
# The failure detector. A call may end right after the last message of an exchange that vanishes, and its caller is
# to be told within 8 s: what is left after `SILENCE_LIMIT_US` is for the sweep, a busy machine and a caller that has to
# come.
SILENCE_LIMIT_US = 6_750_000  # without a message for so long: the exchange's standing calls are over
PROBE_AFTER_US = 4_500_000  # quiet for so long: a link is opened, which an exchange that lives answers at once
PROBE_INTERVAL_US = 650_000  # longer than the usual connect time-out, and three fit before `SILENCE_LIMIT_US`
# Links opened to hear ends of calls that were told on lost links.
RECOVERY_DELAY_US = SECOND // 4  # after the loss of a link, or after a first word that came late
RECOVERY_INTERVAL_US = 5 * SECOND  # as long as calls stand whose own link is lost
PREDECESSOR_ENDS_US = 10 * SECOND  # after the start; ends of calls of the process before are owed for 8 s of that
INITIAL_MESSAGES_US = SECOND // 4  # what an exchange says first on a new link has come so long after its first word
LATE_FIRST_MESSAGE_US = SECOND // 2  # an exchange that says nothing on a new link for so long has hung
SILENT_LINK_WAIT_US = SECOND  # a link that says nothing for so long holds up no other that is to show a sign of life
SIMULTANEOUS_RESET_US = 500_000
EXCHANGE_RELEASE_TTL_US = 60 * SECOND  # a release that waits for a link to its exchange is dropped then
# An exchange that drains and has refused links so long ago has ended its calls. Guards against another that
# answers at its address by then.
DRAINED_AFTER_US = 3 * SECOND
SWEEP_INTERVAL_US = SECOND // 4
MAX_REMEMBERED_IDS = 20_000  # ids of set-ups turned down as they come are kept while no more are remembered
ENDED_CALL_TTL_US = 10 * SECOND  # ids of ended calls are kept so long, to know late messages
MAX_SWEEP_DELAY_US = SECOND // 4  # a sweep so late shows that this process has stood still
MAX_OUTBOX_MESSAGES = 2000  # messages
MAX_WRITE_MESSAGES = 100  # messages
GROUP_STATE_SPREAD_US = SECOND // 4  # a group state is told on all links of an exchange within that
UNRESPONSIVE_US = SECOND // 4  # a link that misses for so long what other links of its exchange hear is of no use
MAX_UNANSWERED_TIMEOUTS = 2  # attempts in a row that time out with nothing heard, where no other link can be compared
KEPT_LINKS = 2  # links to an exchange that are always kept, so that each can be compared with another
MAX_ATTEMPT_MOVES = 2  # of an attempt to another link
MAX_LINKS_PER_EXCHANGE = 4  # links to one exchange; those beyond the ones kept serve further attempts of a call
RECONNECT_MIN_US = 50_000
RECONNECT_MAX_US = 400_000
# An empty frame comes each second. What a channel that is silent would have told counts as told after 4 s:
# silence, sweep, connect and pause must fit well into that.
CHANNEL_SILENCE_US = 1_750_000
CHANNEL_SILENCE_MAX_US = 3_500_000  # after some that told nothing; with a sweep, a connect and a pause under 6 s
CHANNEL_CONNECT_TIMEOUT_US = 700_000
CHANNEL_CONNECT_TIMEOUT_MAX_US = 1_200_000  # a connect that the network repeats once comes up after 1 s
CHANNEL_TIMEOUT_GROWTH = 1.3  # of both, for each connection in a row that told nothing
CHANNEL_RECONNECT_PAUSE_US = 200_000  # at most, after a connection that told nothing
# For the interpreter, the listeners, the command channel and connections being closed.
RESERVED_DESCRIPTORS = 40
DESCRIPTORS_PER_EXCHANGE = (
    3  # descriptors for each exchange: further links serve second attempts and are seldom all open
)
MIN_CALLERS_DIVISOR = 3  # callers may hold one part in so many of the limit, so as much is left to them in any case
# Callers. One that has been told nothing so long after it connected, and has no call open, is closed: it is
# owed a word or a close within 3 s. So is one whose message stays half read.
# A good set-up may take 2 s and more to come in its pieces.
FIRST_MESSAGE_TIMEOUT_US = 2_600_000
CALLER_PARTIAL_TIMEOUT_US = 2_600_000
RECENT_ACTIVITY_US = 400_000  # a connection that did something so lately makes room only if all did
LINK_PARTIAL_TIMEOUT_US = SECOND // 4  # an exchange's messages are small and come whole
MAX_FAULTS = 40  # messages of no use in a row on one connection; one is forgiven every 50 ms
FAULTS_FORGIVEN_PER_SWEEP = 5  # each sweep
MAX_OPEN_CALLS = 400  # calls open on one connection
MAX_CALLS = 4000  # calls open or standing in all
RELEASE_HOLD_US = SECOND // 2  # a release waits so long for a caller that has set up a call
MAX_LOGGED_CALL_IDS = 20  # ids of calls named in one line of the log
MAX_EXCHANGE_NUMBERS = 1 << 16  # of exchanges, far above all that are
READY_TIMEOUT_US = SECOND  # after the start; an exchange that has told nothing by then will not soon
# A drain. The front hears of it up to 0.1 s late and sends new connections for 0.2 s more. At 4 s no
# connection may be left that is idle or has had a set-up in the last 2 s.
DRAIN_MIN_OPEN_US = 400_000  # no connection is closed before; a new one has as long for its first set-up
DRAIN_REFUSE_US = 1_500_000  # from then on new set-ups are refused
DRAIN_FORCE_CLOSE_US = 3_500_000  # what is still half sent then is closed
DRAIN_INTERVAL_US = 50_000
DRAIN_RETRY_AFTER_MS = 100  # a caller that is refused finds another session controller at once
# Of the time from SIGTERM until all is answered, where there is a successor: connections on which calls stand
# are closed too after the first share, and new set-ups are refused after the second.
SUCCEEDED_FORCE_CLOSE_SHARE = 0.5
SUCCEEDED_REFUSE_SHARE = 0.7
SIGTERM_GRACE_US = 700_000  # set-ups may come so long after SIGTERM
# SIGKILL may come as late after SIGTERM as callers wait, 3 s at most, and 0.7 s more. All calls are answered
# before that with time to spare, and the program ends soon after.
SIGTERM_MAX_WAIT_US = 3 * SECOND
SIGTERM_ANSWER_MARGIN_US = 300_000
SIGTERM_FLUSH_US = 150_000
SIGTERM_CLOSE_INTERVAL_US = 5_000  # between two looks for connections that can be closed as the program ends
SIGTERM_MAX_CLOSE_US = 120_000  # what cannot be closed for so long, having unread input, is closed all the same
SIGKILL_MARGIN_US = 50_000  # the program has ended so long before SIGKILL may come
