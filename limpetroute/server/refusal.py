"""Why a request is refused before it was read."""

import enum
import typing


class Refusal(enum.Enum):
    """Why a request is refused."""

    TOO_LARGE = 'the body is over the limit'
    NO_MEMORY = 'no memory for the body'
    NO_MEMORY_FOR_HEAD = 'no memory for the head'


# Status of the answer.
STATUS = {
    Refusal.TOO_LARGE: 413,
    Refusal.NO_MEMORY: 503,
    Refusal.NO_MEMORY_FOR_HEAD: 503,
}


@typing.runtime_checkable
class RefusingDelegate(typing.Protocol):
    """Answers refused requests, and has a memory budget for bodies."""

    def refuse(self, refusal: Refusal) -> None:
        """Answer with the status of the refusal.

        The rest of the request is dropped, and `finish` is called after it.
        """

    def has_room(self, count: int) -> bool:
        """Return whether there is memory for so many bytes of a body."""

    def release(self) -> None:
        """Release the memory of a request whose connection is closed."""
