"""The verbs of an engine."""

import typing

from limpetroute.runners import engine_call
from limpetroute.runners import engine_failure


class EngineClient(typing.Protocol):
    """Drives one runner.

    Each verb gives its result or an `EngineFailure`, and none raises
    for what the network or the runner does.
    """

    @property
    def url(self) -> str:
        """Address of the runner."""

    async def prefill(
        self, call: engine_call.PrefillCall, *, timeout_s: float
    ) -> engine_call.PrefillResult | engine_failure.EngineFailure:
        """Read a prompt."""

    async def import_kv(
        self, call: engine_call.ImportCall, *, timeout_s: float
    ) -> int | engine_failure.EngineFailure:
        """Fetch a KV cache from another runner; return its bytes."""

    def decode(
        self, call: engine_call.DecodeCall, *, token_timeout_s: float
    ) -> typing.AsyncIterator[
        engine_call.DecodeEvent | engine_failure.EngineFailure
    ]:
        """Write an answer, piece by piece."""

    def resume(
        self, run_id: str, *, after_index: int, token_timeout_s: float
    ) -> typing.AsyncIterator[
        engine_call.DecodeEvent | engine_failure.EngineFailure
    ]:
        """Receive the rest of an answer that the engine still holds."""

    async def cancel(self, run_id: str, *, timeout_s: float) -> bool:
        """End a run and free its KV memory; idempotent.

        Returns whether the runner confirmed that it holds nothing.
        """

    async def order(
        self, body: typing.Mapping[str, typing.Any], *, timeout_s: float
    ) -> None | engine_failure.EngineFailure:
        """Load a model, adapter or version, or change the role."""
