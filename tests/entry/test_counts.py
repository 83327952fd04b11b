import typing

from limpetroute.telemetry import meters as meters_module
from tests.entry import fleet as fleet_module
from tests.entry import raw_caller


class RecordingMeters(meters_module.NullMeters):
    """Records all calls with their arguments."""

    def __init__(self) -> None:
        self.calls: list[tuple[typing.Any, ...]] = []

    def names(self) -> list[str]:
        return [item[0] for item in self.calls]

    def first_token(self, seconds: float) -> None:
        self.calls.append(('first_token', seconds))

    def token_gap(self, seconds: float) -> None:
        self.calls.append(('token_gap', seconds))

    def ended(self, outcome: str, *, good: bool) -> None:
        self.calls.append(('ended', outcome, good))

    def refused(self, reason: str) -> None:
        self.calls.append(('refused', reason))

    def retried(self, stage: str) -> None:
        self.calls.append(('retried', stage))

    def wasted_prefill(self, tokens: int) -> None:
        self.calls.append(('wasted_prefill', tokens))

    def gone_caller_freed(self, stage: str, seconds: float) -> None:
        self.calls.append(('gone_caller_freed', stage, seconds))


def _record_meters(fleet: fleet_module.Fleet) -> RecordingMeters:
    meters = RecordingMeters()
    fleet.host.meters = meters
    return meters


def test_good_and_late_answers() -> None:
    # Only an answer that meets its latency targets counts as goodput.
    async def story(fleet: fleet_module.Fleet) -> None:
        meters = _record_meters(fleet)
        caller = await raw_caller.ask(fleet)
        await caller.read_events()
        assert meters.names() == ['first_token', 'token_gap', 'ended']
        assert meters.calls[-1] == ('ended', 'completed', True)
        fleet.fault(fleet.decodes[0], slow_factor=10.0)
        caller = await raw_caller.ask(fleet)
        await caller.read_events()
        assert meters.calls[-1] == ('ended', 'completed', False)

    fleet_module.play(story, token_gap_s=0.03)


def test_wasted_prefill_and_gone_caller() -> None:
    # Each transfer stalls, so the prefill before it is counted as
    # wasted. After the runners work again, a caller disconnects during
    # a decode, and the time until its memory is freed is counted.
    async def story(fleet: fleet_module.Fleet) -> None:
        meters = _record_meters(fleet)
        for engine in fleet.decodes:
            fleet.fault(engine, stall_transfer=True)
        caller = await raw_caller.ask(fleet)
        await caller.read_head()
        await fleet_module.until(
            lambda: meters.names().count('wasted_prefill') == 3
        )
        await fleet_module.until(
            lambda: ('ended', 'unknown', False) in meters.calls
        )
        assert meters.names().count('wasted_prefill') == 3
        assert meters.names().count('retried') == 2
        for engine in fleet.decodes:
            fleet.fault(engine)
        caller = await raw_caller.ask(fleet, max_tokens=4000)
        await caller.read_events(1)
        caller.fin()
        await fleet_module.until(lambda: 'gone_caller_freed' in meters.names())
        freed = next(
            item for item in meters.calls if item[0] == 'gone_caller_freed'
        )
        assert freed[1] == 'decode'
        assert ('ended', 'cancelled', False) in meters.calls

    fleet_module.play(story, prefills=3, decodes=3, transfer_timeout_s=0.2)


def test_refusals_are_counted() -> None:
    # One request is refused by the router and one before it gets there.
    async def story(fleet: fleet_module.Fleet) -> None:
        meters = _record_meters(fleet)
        fleet.fault(fleet.prefills[0], refuse=True)
        caller = await raw_caller.ask(fleet)
        assert await caller.read_head() == 503
        caller = await raw_caller.ask(fleet, model='other')
        assert await caller.read_head() == 404
        reasons = [item[1] for item in meters.calls if item[0] == 'refused']
        assert reasons == ['retries', 'unknown_model']

    fleet_module.play(story, first_token_s=0.3, keep_alive_s=5.0)
