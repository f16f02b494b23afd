"""The words in which the reducer and its fronts talk: what has happened, and what is to be done.

Plain values only. Streams are connections: those accepted are numbered from 1 up by the caller of `step`,
links to exchanges from -1 down by the reducer. Times are microseconds on the clock handed to `step`.
"""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as i
from .. import operations
from ..protocol import ListUpdate, Message

# --- what has happened ---


@dataclass(slots=True, frozen=True)
class Started:
    """The program runs; the list of exchanges as the configuration holds it."""

    known: tuple[ListUpdate, ...]
    cursor: int  # the number of the last event in it
    channel: tuple[str, int] = ("", 0)  # address of the command channel
    replaces: bool = False  # whether another process serves at the address until this one does


@dataclass(slots=True, frozen=True)
class Reconfigured:
    """A new configuration that can be used has been read while the program runs."""

    known: tuple[ListUpdate, ...]
    channel: tuple[str, int]
    socket_limit: int
    settings: i.Settings


@dataclass(slots=True, frozen=True)
class Accepted:
    stream: int


@dataclass(slots=True, frozen=True)
class MessageReceived:
    stream: int
    message: Message
    waited_us: int = 0  # how long it may have lain unread


@dataclass(slots=True, frozen=True)
class MalformedInput:
    """Input that cannot be read; nothing more is read from the stream."""

    stream: int
    reason: str


@dataclass(slots=True, frozen=True)
class PartialMessage:
    """Whether the input read last ends within a message; told when it does, and when it does no more."""

    stream: int
    half: bool


@dataclass(slots=True, frozen=True)
class EndOfInput:
    """The peer sends no more, but may still read."""

    stream: int


@dataclass(slots=True, frozen=True)
class ConnectionClosed:
    stream: int


@dataclass(slots=True, frozen=True)
class Connected:
    stream: int


@dataclass(slots=True, frozen=True)
class ConnectFailed:
    stream: int
    refused: bool


@dataclass(slots=True, frozen=True)
class WriteCompleted:
    """The last `Write` on the stream is through."""

    stream: int


@dataclass(slots=True, frozen=True)
class ListUpdateReceived:
    update: ListUpdate


@dataclass(slots=True, frozen=True)
class ChannelLost:
    """The connection to the command channel that the last `ConnectChannel` asked for is no more."""

    reason: str


@dataclass(slots=True, frozen=True)
class Tick:
    """A timer may be due."""


@dataclass(slots=True, frozen=True)
class AdminRequest:
    """A line at the admin listener; no command if it is none of an operator's. It is answered with a `Reply`."""

    connection: int
    command: operations.Command | None


@dataclass(slots=True, frozen=True)
class ListenerReady:
    """The listener for callers serves."""


@dataclass(slots=True, frozen=True)
class SuccessorChanged:
    """Whether a successor serves at the address; it was one that did, if not."""

    serves: bool


@dataclass(slots=True, frozen=True)
class OtherProcessUsage:
    """How many descriptors and calls the process before or after this one holds."""

    descriptors: int
    calls: int = 0


@dataclass(slots=True, frozen=True)
class CallInherited:
    """A call that stood at an exchange in the process before this one, which ends."""

    call: int
    exchange: int


@dataclass(slots=True, frozen=True)
class ReleaseForwarded:
    """A caller has told the other process that a call is over which may be one of this one's."""

    call: int
    cause: int


@dataclass(slots=True, frozen=True)
class ConfigRejected:
    """A file read on SIGHUP cannot be used."""

    reason: str


@dataclass(slots=True, frozen=True)
class Terminate:
    """The program is to finish what it has taken, then end."""


Input = (
    Started | Reconfigured | Accepted | MessageReceived | PartialMessage | MalformedInput | EndOfInput
    | ConnectionClosed | Connected | ConnectFailed | WriteCompleted | ListUpdateReceived | ChannelLost | Tick
    | AdminRequest | ListenerReady | ConfigRejected | SuccessorChanged | OtherProcessUsage | CallInherited
    | ReleaseForwarded | Terminate
)  # fmt: skip


# --- what is to be done ---


@dataclass(slots=True, frozen=True)
class Connect:
    stream: int
    address: tuple[str, int]
    timeout_us: int


@dataclass(slots=True, frozen=True)
class Write:
    """Write the messages; no other write on the stream is asked for until `WriteCompleted`."""

    stream: int
    messages: tuple[Message, ...]


@dataclass(slots=True, frozen=True)
class Close:
    stream: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close if nothing lies unread on the stream; until `ConnectionClosed` it is as it was."""

    stream: int


@dataclass(slots=True, frozen=True)
class ConnectChannel:
    """Connect to the command channel in place of any connection to it; ask for what follows an event."""

    address: tuple[str, int]
    cursor: int
    timeout_us: int  # of the connect


@dataclass(slots=True, frozen=True)
class AcceptCallers:
    """Accept connections from now on, as the one process at the address, or no more."""

    on: bool


@dataclass(slots=True, frozen=True)
class HandOverCalls:
    """Tell the successor of calls that stand, each with its exchange: this process ends."""

    calls: tuple[tuple[int, int], ...]


@dataclass(slots=True, frozen=True)
class ForwardRelease:
    """Tell the other process that a call is over."""

    call: int
    cause: int


@dataclass(slots=True, frozen=True)
class Reply:
    """Answer a connection at the admin listener, and close."""

    connection: int
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    text: str


@dataclass(slots=True, frozen=True)
class Exit:
    pass


Effect = (
    Connect | Write | Close | CloseIdle | ConnectChannel | AcceptCallers | HandOverCalls | ForwardRelease
    | Reply | Log | Exit
)  # fmt: skip
