"""The complete reply to a call."""

import dataclasses
import json
import typing


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Status, headers and body of a completed call."""

    status: int
    headers: typing.Mapping[str, str]
    body: bytes

    @property
    def ok(self) -> bool:
        """Whether the status is in the 200 to 299 range."""
        return 200 <= self.status < 300

    def json(self) -> typing.Any:
        """Decode the body as JSON.

        Raises
        ------
        ValueError
            If the body is not JSON; the message quotes its start.
        """
        try:
            return json.loads(self.body)
        except ValueError as exc:
            start = self.body[:80]
            raise ValueError(f'not a JSON body: {start!r}') from exc
