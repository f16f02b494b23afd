"""Every bound and pause of the reducer, with what it guards against. Times are microseconds.

Figures of decisions stand in `brain`, not here.
"""

SECOND = 1_000_000
DEADLINE_MARGIN_US = 50_000  # the module's deadline lies before the caller's: a busy machine is late
OVERDUE_US = 15_000  # past the module's deadline the call is failed here
STANDING_RELEASE_US = 8 * SECOND  # a release that could not be sent for so long is dropped
HEARD_US = SECOND // 5  # a release that its caller has not confirmed by then goes another way too
SENT_AGAIN_MOST = 8  # times that a release is sent again, for callers that confirm none
RESEND_US = SECOND  # a release written so lately on a connection that closes is sent on another
STUCK_US = 2 * SECOND  # a write that takes longer has a vanished peer
GIVE_UP_STUCK_US = 50_000  # a give-up that has not left by then takes its link along
# The failure detector. A call may end right after the last message of an exchange that vanishes, and its caller is
# to be told within 8 s: what is left after `SILENT_US` is for the sweep, a busy machine and a caller that has to come.
SILENT_US = 6_750_000  # without a message for so long: the exchange's standing calls are over
PROBE_AFTER_US = 4_500_000  # quiet for so long: a link is opened, which an exchange that lives answers at once
PROBE_EVERY_US = 650_000  # longer than the usual connect time-out, and three fit before `SILENT_US`
# Links opened to hear ends of calls that were told on lost links.
COLLECT_SOON_US = SECOND // 4  # after the loss of a link, or after a first word that came late
COLLECT_EVERY_US = 5 * SECOND  # as long as calls stand whose own link is lost
PREDECESSOR_US = 10 * SECOND  # after the start; ends of calls of the process before are owed for 8 s of that
OPENING_US = SECOND // 4  # what an exchange says first on a new link has come so long after its first word
LATE_WORD_US = SECOND // 2  # an exchange that says nothing on a new link for so long has hung
UNHEARD_LINK_US = SECOND  # a link that says nothing for so long holds up no other that is to show a sign of life
RESET_TOGETHER_US = 500_000
EXCHANGE_RELEASE_US = 60 * SECOND  # a release that waits for a link to its exchange is dropped then
# An exchange that drains and has refused links so long ago has ended its calls. Guards against another that
# answers at its address by then.
DRAINED_US = 3 * SECOND
SWEEP_US = SECOND // 4
OVER_MOST = 20_000  # ids of set-ups turned down as they come are kept while no more are remembered
FORGET_US = 10 * SECOND  # ids of ended calls are kept so long, to know late messages
LATE_SWEEP_US = SECOND // 4  # a sweep so late shows that this process has stood still
MAX_OUTBOX = 2000  # messages
WRITE_BATCH = 100  # messages
COPY_US = SECOND // 4  # a group state is told on all links of an exchange within that
MUTE_US = SECOND // 4  # a link that misses for so long what other links of its exchange hear is of no use
MUTE_MOST = 2  # attempts in a row that time out with nothing heard, where no other link can be compared
KEPT = 2  # links to an exchange that are always kept, so that each can be compared with another
MOVES_MOST = 2  # of an attempt to another link
SLOTS = 4  # links to one exchange; those beyond the ones kept serve further attempts of a call
RECONNECT_FIRST_US = 50_000
RECONNECT_MOST_US = 400_000
# An empty frame comes each second. What a channel that is silent would have told counts as told after 4 s:
# silence, sweep, connect and pause must fit well into that.
CHANNEL_SILENT_US = 1_750_000
CHANNEL_SILENT_MOST_US = 3_500_000  # after some that told nothing; with a sweep, a connect and a pause under 6 s
CHANNEL_CONNECT_US = 700_000
CHANNEL_CONNECT_MOST_US = 1_200_000  # a connect that the network repeats once comes up after 1 s
CHANNEL_PATIENCE_GROWTH = 1.3  # of both, for each connection in a row that told nothing
CHANNEL_PAUSE_US = 200_000  # at most, after a connection that told nothing
# For the interpreter, the listeners, the command channel and connections being closed.
DESCRIPTORS_KEPT = 40
LINKS_KEPT = 3  # descriptors for each exchange: further links serve second attempts and are seldom all open
CALLERS_LEAST = 3  # callers may hold one part in so many of the limit, so as much is left to them in any case
# Callers. One that has been told nothing so long after it connected, and has no call open, is closed: it is
# owed a word or a close within 3 s. So is one whose message stays half read.
# A good set-up may take 2 s and more to come in its pieces.
SPEAK_US = 2_600_000
HALF_READ_US = 2_600_000
FRESH_US = 400_000  # a connection that did something so lately makes room only if all did
LINK_HALF_READ_US = SECOND // 4  # an exchange's messages are small and come whole
FAULTS_MOST = 40  # messages of no use in a row on one connection; one is forgiven every 50 ms
FAULTS_FORGIVEN = 5  # each sweep
OPEN_MOST = 400  # calls open on one connection
CALLS_MOST = 4000  # calls open or standing in all
HOLD_RELEASE_US = SECOND // 2  # a release waits so long for a caller that has set up a call
CUT_CALLS_LOGGED = 20  # ids of calls named in one line of the log
NUMBERS = 1 << 16  # of exchanges, far above all that are
READY_MOST_US = SECOND  # after the start; an exchange that has told nothing by then will not soon
# A drain. The front hears of it up to 0.1 s late and sends new connections for 0.2 s more. At 4 s no
# connection may be left that is idle or has had a set-up in the last 2 s.
DRAIN_QUIET_US = 400_000  # no connection is closed before; a new one has as long for its first set-up
DRAIN_REFUSE_US = 1_500_000  # from then on new set-ups are refused
DRAIN_LAST_US = 3_500_000  # what is still half sent then is closed
DRAIN_STEP_US = 50_000
DRAIN_AWAY_MS = 100  # a caller that is refused finds another session controller at once
# Of the time from SIGTERM until all is answered, where there is a successor: connections on which calls stand
# are closed too after the first share, and new set-ups are refused after the second.
SUCCEEDED_LAST = 0.5
SUCCEEDED_REFUSE = 0.7
TERM_QUIET_US = 700_000  # set-ups may come so long after SIGTERM
# SIGKILL may come as late after SIGTERM as callers wait, 3 s at most, and 0.7 s more. All calls are answered
# before that with time to spare, and the program ends soon after.
TERM_WAIT_MOST_US = 3 * SECOND
TERM_SPARE_US = 300_000
TERM_FLUSH_US = 150_000
TERM_CLOSE_STEP_US = 5_000  # between two looks for connections that can be closed as the program ends
TERM_CLOSE_MOST_US = 120_000  # what cannot be closed for so long, having unread input, is closed all the same
TERM_KILL_SPARE_US = 50_000  # the program has ended so long before SIGKILL may come
