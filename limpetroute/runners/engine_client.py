"""Interface of a client for an engine."""

import typing

from limpetroute.runners import engine_call
from limpetroute.runners import engine_failure


class EngineClient(typing.Protocol):
    """Client for the engine of a runner.

    Calls return or yield an `EngineFailure` for a fault of the network or
    the runner; they raise no exception for it.
    """

    @property
    def url(self) -> str:
        """Address of the runner."""

    async def prefill(
        self, call: engine_call.PrefillCall, *, timeout_s: float
    ) -> engine_call.PrefillResult | engine_failure.EngineFailure:
        """Prefill a prompt."""

    async def import_kv(
        self, call: engine_call.ImportCall, *, timeout_s: float
    ) -> int | engine_failure.EngineFailure:
        """Fetch a KV cache from another runner; return its size in bytes."""

    def decode(
        self, call: engine_call.DecodeCall, *, token_timeout_s: float
    ) -> typing.AsyncIterator[
        engine_call.DecodeEvent | engine_failure.EngineFailure
    ]:
        """Stream the events of an answer."""

    def resume(
        self, run_id: str, *, after_index: int, token_timeout_s: float
    ) -> typing.AsyncIterator[
        engine_call.DecodeEvent | engine_failure.EngineFailure
    ]:
        """Stream the remaining events of a run, after ``after_index``."""

    async def cancel(self, run_id: str, *, timeout_s: float) -> bool:
        """Cancel a run and free its KV memory; idempotent.

        Returns whether the runner confirmed that the run uses no memory.
        """

    async def order(
        self, body: typing.Mapping[str, typing.Any], *, timeout_s: float
    ) -> None | engine_failure.EngineFailure:
        """Load a model, adapter or version, or change the role."""
