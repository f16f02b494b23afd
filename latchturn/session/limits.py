"""Time limits, intervals and sizes of the session reducer.

Names end in their unit (`_US`: microseconds, `_MS`: milliseconds); all others are counts or shares. Limits of routing
decisions stand in `brain`.
"""

SECOND = 1_000_000  # microseconds

# --- calls and releases ---

DEADLINE_MARGIN_US = 50_000  # the decision module's deadline is this much before the caller's: a busy machine is late
DEADLINE_OVERRUN_US = 15_000  # the reducer fails a call that is still open this long after the module's deadline
CALLER_RELEASE_TTL_US = 8 * SECOND  # a release that could not be sent to a caller is dropped after this
CONFIRMATION_TIMEOUT_US = SECOND // 5  # a release not confirmed by its caller is then sent on another connection too
MAX_RELEASE_RESENDS = 8  # per release, for callers that never confirm
RECENT_WRITE_US = SECOND  # when a connection closes, releases written on it within this time are sent on another
WRITE_TIMEOUT_US = 2 * SECOND  # a write that takes longer means that the peer has vanished
GIVE_UP_TIMEOUT_US = 50_000  # if a give-up is not written by then, its link is closed

# --- releases to exchanges ---

# Before the first repetition if the link has delivered nothing since; doubled with each further one.
SILENT_CONFIRMATION_WAIT_US = SECOND // 2
# Before the first one if it has: an exchange whose processor is busy confirms late, and each repetition costs it work.
CONFIRMATION_WAIT_US = 2 * SECOND
CONFIRMATION_WAIT_MAX_US = 30 * SECOND
MAX_UNCONFIRMED_REPETITIONS = 2  # of one release, to an exchange that has never confirmed any
MAX_UNCONFIRMED_WAITS = 7  # then a release counts as arrived at an exchange that has never confirmed any
MAX_PENDING_RELEASES = 4000  # at one exchange; the oldest one is dropped for a further one
END_VERDICT_TIMEOUT_US = SECOND // 4  # for the other process; the caller must be notified within 1 s
EXIT_CONFIRMATION_WAIT_US = SECOND // 20  # before the first repetition after SIGTERM
EXIT_CONFIRMATION_LIMIT_US = SECOND  # the exit waits this long for the confirmation of a release

# --- failure detector: silence limit and probe links ---

# An exchange may vanish, and a call end, right after its last message; the caller must be notified within 8 s of that
# end. The 1.25 s left after SILENCE_LIMIT_US are for the sweep, a busy machine and a caller that has to connect first.
SILENCE_LIMIT_US = 6_750_000  # without a proof of life for this long, the exchange's standing calls count as ended
PROBE_AFTER_US = 4_500_000  # silent this long: a probe link is opened, which a live exchange answers at once
PROBE_INTERVAL_US = 650_000  # longer than the usual connect time-out; three probes fit before SILENCE_LIMIT_US

# --- recovery links: opened to receive releases that were sent on lost links ---

RECOVERY_DELAY_US = SECOND // 4  # after the loss of a link, or after a late first message
RECOVERY_INTERVAL_US = 5 * SECOND  # while calls stand whose own link is lost
# After the start; for 8 s of it, callers of the predecessor must still be notified of ends.
PREDECESSOR_ENDS_US = 10 * SECOND
INITIAL_MESSAGES_US = SECOND // 4  # all initial messages on a new link arrive within this time of the first one
LATE_FIRST_MESSAGE_US = SECOND // 2  # an exchange that sends nothing on a new link for this long has hung

# --- silent, reset, missing and refused links ---

SILENT_LINK_WAIT_US = SECOND  # a link up this long without a message no longer prevents the next probe link
SIMULTANEOUS_RESET_US = 500_000  # resets of links within this time count as one event
# A draining exchange that has refused connections for this long has ended its calls. Without this limit, another
# process that has taken over its address by then would keep them standing.
DRAINED_AFTER_US = 3 * SECOND

# --- sweeps and memory ---

SWEEP_INTERVAL_US = SECOND // 4  # between two runs of the housekeeping
MAX_REMEMBERED_IDS = 20_000  # ids of set-ups refused on arrival are remembered only while fewer ids are
ENDED_CALL_TTL_US = 10 * SECOND  # ids of ended calls are kept this long to recognize late messages
MAX_SWEEP_DELAY_US = SECOND // 4  # a sweep more than this late shows that this process has been stopped for a time
MAX_OUTBOX_MESSAGES = 2000  # waiting on one connection; with more, it is closed
MAX_WRITE_MESSAGES = 100  # in one write

# --- links to exchanges ---

GROUP_STATE_SPREAD_US = SECOND // 4  # an exchange sends a group state on all its links within this time
UNRESPONSIVE_US = SECOND // 4  # a link that lacks for this long what other links of its exchange receive is closed
MAX_UNANSWERED_TIMEOUTS = 2  # attempts in a row that time out without any message, where no other link can be compared
KEPT_LINKS = 2  # links kept open to each exchange at all times, so that each can be compared with the other
MAX_ATTEMPT_MOVES = 2  # times that an unsent attempt may move to another link
MAX_LINKS_PER_EXCHANGE = 4  # links beyond KEPT_LINKS carry further attempts of the same call
RECONNECT_MIN_US = 50_000  # base of the reconnect pause, doubled with each failure in a row
RECONNECT_MAX_US = 400_000  # upper limit of the reconnect pause

# --- command channel ---

# Discovery sends an empty frame each second. Changes that a stopped channel withholds count as received after 4 s, so
# silence, sweep, connect and pause together must stay well below that.
CHANNEL_SILENCE_US = 1_750_000  # if a connection is silent for this long, a further one is opened
CHANNEL_SILENCE_MAX_US = 3_500_000  # grown limit; with a sweep, a connect and a pause still under 6 s
# A change counts as received 7 s after its publication. With the grace of drains and a margin, nothing that takes
# longer than this to arrive is of use.
CHANNEL_PATIENCE_US = 10 * SECOND
MAX_CHANNEL_CONNECTIONS = 5  # open at a time; one given up for another has waited for nearly CHANNEL_PATIENCE_US
CHANNEL_CONNECT_TIMEOUT_US = 700_000
CHANNEL_CONNECT_TIMEOUT_MAX_US = 1_200_000  # grown limit; a connect whose SYN is retransmitted once succeeds after 1 s
CHANNEL_TIMEOUT_GROWTH = 1.3  # factor on both limits for each connection in a row that delivered nothing
CHANNEL_RECONNECT_PAUSE_US = 200_000  # at most, after a connection that delivered nothing

# --- descriptors ---

# For the interpreter, the listeners, the admin listener, the command channel and connections that are being closed.
RESERVED_DESCRIPTORS = 40
DESCRIPTORS_PER_EXCHANGE = 3  # kept free of callers' connections beyond their guaranteed share
# Callers get at least one connection for each of this many descriptors that the other process leaves of the limit,
# however many the links need.
DESCRIPTORS_PER_GUARANTEED_CALLER = 3
EXTRA_LINK_IDLE_US = 10 * SECOND  # a link beyond the kept ones is closed once it has not been used for this long

# --- callers and calls ---

# A caller must get a message or a close within 3 s of its connect, and within 3 s of a message that stays partial. A
# valid set-up may take 2 s and more to arrive in pieces.
FIRST_MESSAGE_TIMEOUT_US = 2_600_000  # a caller without an open call to which nothing has been sent by then is closed
CALLER_PARTIAL_TIMEOUT_US = 2_600_000  # for the rest of a partial message
RECENT_ACTIVITY_US = 400_000  # a connection active this recently is closed to make room only if all others are too
# For the rest of a partial message on a link: messages of exchanges are small and arrive whole.
LINK_PARTIAL_TIMEOUT_US = SECOND // 4
ANSWER_HOLD_US = LINK_PARTIAL_TIMEOUT_US  # for the next byte after an answer whose end is uncertain
MAX_FAULTS = 40  # useless messages on one connection before it is closed, not counting forgiven ones
FAULTS_FORGIVEN_PER_SWEEP = 5  # one every 50 ms
MAX_OPEN_CALLS = 400  # calls without a final answer, on one connection
MAX_CALLS = 4000  # open and standing calls in total
RELEASE_HOLD_US = SECOND // 2  # a release waits this long for a connection that has carried a set-up
MAX_LOGGED_CALL_IDS = 20  # in one log line
MAX_EXCHANGE_NUMBERS = 1 << 16  # exchange numbers are below this, far above all that exist

# --- start and drain ---

READY_TIMEOUT_US = SECOND  # after the start, to wait for group states; one missing by then will not come soon
# The load balancer notices a drain up to 0.1 s late and sends new connections for 0.2 s more. After 4 s no connection
# may be left that is idle or has had a set-up in the last 2 s.
DRAIN_MIN_OPEN_US = 400_000  # no connection is closed earlier; a new one has this long for its first set-up
DRAIN_REFUSE_US = 1_500_000  # from then on new set-ups are refused
DRAIN_FORCE_CLOSE_US = 3_500_000  # from then on connections with a partial message are closed too
DRAIN_INTERVAL_US = 50_000  # between two searches for connections to close
DRAIN_RETRY_AFTER_MS = 100  # a refused caller finds another session controller at once

# --- SIGTERM ---

# With a successor, shares of the time from SIGTERM until all calls must be answered: after the first, connections with
# standing calls are closed too; after the second, new set-ups are refused.
SUCCEEDED_FORCE_CLOSE_SHARE = 0.5
SUCCEEDED_REFUSE_SHARE = 0.7
SIGTERM_GRACE_US = 700_000  # set-ups may arrive this long after SIGTERM
# SIGKILL may follow SIGTERM after the longest wait of a caller, 3 s at most, and 0.7 s more. All calls are answered
# SIGTERM_ANSWER_MARGIN_US before that, and the program ends SIGTERM_FLUSH_US later.
SIGTERM_MAX_WAIT_US = 3 * SECOND
SIGTERM_ANSWER_MARGIN_US = 300_000
SIGTERM_FLUSH_US = 150_000  # to write the last answers
SIGTERM_CLOSE_INTERVAL_US = 5_000  # between two searches for connections to close before the exit
SIGTERM_MAX_CLOSE_US = 120_000  # connections that still have unread input after this no longer delay the exit
SIGKILL_MARGIN_US = 50_000  # the program has ended this long before SIGKILL may come
