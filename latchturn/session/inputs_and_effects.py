"""The inputs that the reducer takes and the effects that it asks for, as plain values.

An input reports what has happened outside; an effect is a request to the sockets, the log or the other process. A
stream is the number of a connection: the caller of `Session.step` numbers accepted connections from 1 up, the reducer
numbers its links to exchanges from -1 down. Times are in microseconds on the clock handed to `step`.
"""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as i
from .. import operations
from ..protocol import ListUpdate, Message

# --- inputs ---


@dataclass(slots=True, frozen=True)
class Started:
    """The program has started, with the exchange list that its configuration holds."""

    list_updates: tuple[ListUpdate, ...]
    cursor: int  # number of the event of the command channel with which these updates end
    channel: tuple[str, int] = ("", 0)  # address of the command channel
    replaces: bool = False  # whether another process serves at the listen address until this one is ready


@dataclass(slots=True, frozen=True)
class Reconfigured:
    """A valid new configuration has been read while the program runs."""

    list_updates: tuple[ListUpdate, ...]
    channel: tuple[str, int]  # address of the command channel
    socket_limit: int  # file descriptors that the process may hold
    settings: i.Settings


@dataclass(slots=True, frozen=True)
class Accepted:
    """A caller's connection has been accepted."""

    stream: int


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A complete message has been read from a stream."""

    stream: int
    message: Message
    unread_us: int = 0  # the longest time that it may have been waiting in the socket
    end_certain: bool = True  # False for an answer whose last bytes may belong to the next message


@dataclass(slots=True, frozen=True)
class MalformedInput:
    """The input of a stream cannot be decoded; nothing more is read from it."""

    stream: int
    reason: str


@dataclass(slots=True, frozen=True)
class PartialMessage:
    """The input read last ends within a message (`partial`), or no longer does."""

    stream: int
    partial: bool


@dataclass(slots=True, frozen=True)
class EndOfInput:
    """The peer has closed its sending side; it may still read."""

    stream: int


@dataclass(slots=True, frozen=True)
class ConnectionClosed:
    """A connection is closed in both directions: reset by the peer, or closed on request."""

    stream: int


@dataclass(slots=True, frozen=True)
class Connected:
    """A connect to an exchange has succeeded."""

    stream: int


@dataclass(slots=True, frozen=True)
class ConnectFailed:
    """A connect to an exchange has failed."""

    stream: int
    refused: bool  # by the exchange; else it timed out, unless `no_descriptor` is set
    no_descriptor: bool = False  # this process or machine had none left, which says nothing about the exchange


@dataclass(slots=True, frozen=True)
class DescriptorsExhausted:
    """A connection that waits at a listener could not be accepted for lack of a file descriptor."""


@dataclass(slots=True, frozen=True)
class WriteCompleted:
    """The last `Write` on the stream is complete: the socket has taken all its bytes."""

    stream: int


@dataclass(slots=True, frozen=True)
class ListUpdateReceived:
    """A connection to the command channel has delivered a frame."""

    connection: int  # the one of a `ConnectChannel`
    update: ListUpdate


@dataclass(slots=True, frozen=True)
class ChannelLost:
    """A connection to the command channel has failed or ended; a `CloseChannel` is not followed by this."""

    connection: int
    reason: str


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed, and a timer may be due."""


@dataclass(slots=True, frozen=True)
class AdminRequest:
    """A line received by the admin listener; the reducer answers it with a `Reply`."""

    connection: int
    command: operations.Command | None  # None if the line is not a known command


@dataclass(slots=True, frozen=True)
class ListenerReady:
    """The socket that listens for callers is open."""


@dataclass(slots=True, frozen=True)
class SuccessorChanged:
    """A successor serves at the listen address from now on, or one that did has ended."""

    serves: bool


@dataclass(slots=True, frozen=True)
class OtherProcessUsage:
    """How many file descriptors and calls the predecessor or successor process holds."""

    descriptors: int
    calls: int = 0


@dataclass(slots=True, frozen=True)
class CallInherited:
    """A standing call that the predecessor hands over as it exits, with its exchange."""

    call: int
    exchange: int


@dataclass(slots=True, frozen=True)
class ReleaseForwarded:
    """A caller has sent the other process a release of a call that may belong to this process."""

    call: int
    cause: int


@dataclass(slots=True, frozen=True)
class PendingReleaseInherited:
    """A call of the predecessor that has ended for its caller and may still stand at an exchange."""

    call: int
    exchange: int
    cause: int  # of the release that the exchange has not confirmed


@dataclass(slots=True, frozen=True)
class EndAskedAbout:
    """An exchange has reported the other process the end of a call that is unknown there."""

    call: int
    cause: int


@dataclass(slots=True, frozen=True)
class EndReportAnswered:
    """The answer of the other process to an `AskAboutEnd`."""

    call: int
    must_notify: bool  # whether this process has to notify the caller


@dataclass(slots=True, frozen=True)
class ConfigRejected:
    """The configuration file read on SIGHUP is invalid."""

    reason: str


@dataclass(slots=True, frozen=True)
class Terminate:
    """SIGTERM: the program is to answer its open calls, then exit."""


Input = (
    Started | Reconfigured | Accepted | MessageReceived | PartialMessage | MalformedInput | EndOfInput
    | ConnectionClosed | Connected | ConnectFailed | WriteCompleted | ListUpdateReceived | ChannelLost | Tick
    | AdminRequest | ListenerReady | ConfigRejected | SuccessorChanged | OtherProcessUsage | CallInherited
    | ReleaseForwarded | PendingReleaseInherited | EndAskedAbout | EndReportAnswered | DescriptorsExhausted | Terminate
)  # fmt: skip


# --- effects ---


@dataclass(slots=True, frozen=True)
class Connect:
    """Connect to an exchange; `Connected` or `ConnectFailed` follows."""

    stream: int
    address: tuple[str, int]
    timeout_us: int


@dataclass(slots=True, frozen=True)
class Write:
    """Write the messages; the next `Write` on the stream follows only after `WriteCompleted`."""

    stream: int
    messages: tuple[Message, ...]


@dataclass(slots=True, frozen=True)
class Close:
    """Close the connection at once."""

    stream: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the connection if it has no unread input; nothing changes before `ConnectionClosed`."""

    stream: int


@dataclass(slots=True, frozen=True)
class ConnectChannel:
    """Open a further connection to the command channel, and ask there for the events after the last one applied."""

    connection: int
    address: tuple[str, int]
    cursor: int  # number of the last event applied
    timeout_us: int  # of the connect


@dataclass(slots=True, frozen=True)
class CloseChannel:
    """Close a connection to the command channel."""

    connection: int


@dataclass(slots=True, frozen=True)
class AcceptCallers:
    """Start or stop accepting connections; only one process at the listen address accepts them at a time."""

    on: bool


@dataclass(slots=True, frozen=True)
class HandOverCalls:
    """Send the standing calls to the successor as this process exits."""

    calls: tuple[tuple[int, int], ...]  # id of the call, id of its exchange


@dataclass(slots=True, frozen=True)
class HandOverPendingReleases:
    """Send the releases that exchanges have not confirmed to the successor as this process exits."""

    releases: tuple[tuple[int, int, int], ...]  # id of the call, id of the exchange, cause


@dataclass(slots=True, frozen=True)
class AskAboutEnd:
    """Ask the other process about the end of a call that is unknown here; `EndReportAnswered` follows."""

    call: int
    cause: int


@dataclass(slots=True, frozen=True)
class AnswerEndReport:
    """Answer an `EndAskedAbout` of the other process."""

    call: int
    must_notify: bool  # whether the other process has to notify the caller


@dataclass(slots=True, frozen=True)
class ForwardRelease:
    """Send the other process the release of a call that this process does not know."""

    call: int
    cause: int


@dataclass(slots=True, frozen=True)
class Reply:
    """Answer a connection of the admin listener, then close it."""

    connection: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(slots=True, frozen=True)
class Exit:
    """End the program."""


Effect = (
    Connect | Write | Close | CloseIdle | ConnectChannel | CloseChannel | AcceptCallers | HandOverCalls | ForwardRelease
    | HandOverPendingReleases | AskAboutEnd | AnswerEndReport | Reply | Log | Exit
)  # fmt: skip
