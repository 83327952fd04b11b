import typing

from limpetroute.telemetry import meters as meters_module
from tests.entry import fleet as fleet_module
from tests.entry import raw_caller


class SeenMeters(meters_module.NullMeters):
    """Keeps what is counted."""

    def __init__(self) -> None:
        self.seen: list[tuple[typing.Any, ...]] = []

    def names(self) -> list[str]:
        return [item[0] for item in self.seen]

    def first_token(self, seconds: float) -> None:
        self.seen.append(('first_token', seconds))

    def token_gap(self, seconds: float) -> None:
        self.seen.append(('token_gap', seconds))

    def ended(self, outcome: str, *, good: bool) -> None:
        self.seen.append(('ended', outcome, good))

    def refused(self, reason: str) -> None:
        self.seen.append(('refused', reason))

    def retried(self, stage: str) -> None:
        self.seen.append(('retried', stage))

    def wasted_prefill(self, tokens: int) -> None:
        self.seen.append(('wasted_prefill', tokens))

    def gone_caller_freed(self, stage: str, seconds: float) -> None:
        self.seen.append(('gone_caller_freed', stage, seconds))


def _count(fleet: fleet_module.Fleet) -> SeenMeters:
    meters = SeenMeters()
    fleet.host.meters = meters
    return meters


def test_good_and_late_answers() -> None:
    # One answer meets its targets, one does not: only the first counts
    # as goodput.
    async def story(fleet: fleet_module.Fleet) -> None:
        meters = _count(fleet)
        caller = await raw_caller.ask(fleet)
        await caller.read_events()
        assert meters.names() == ['first_token', 'token_gap', 'ended']
        assert meters.seen[-1] == ('ended', 'completed', True)
        fleet.fault(fleet.decodes[0], slow_factor=10.0)
        caller = await raw_caller.ask(fleet)
        await caller.read_events()
        assert meters.seen[-1] == ('ended', 'completed', False)

    fleet_module.play(story, token_gap_s=0.03)


def test_wasted_prefill_and_gone_caller() -> None:
    # Every transfer stalls and each prompt was read in vain. Then the
    # runners are well again, and a caller goes. Both are counted.
    async def story(fleet: fleet_module.Fleet) -> None:
        meters = _count(fleet)
        for engine in fleet.decodes:
            fleet.fault(engine, stall_transfer=True)
        caller = await raw_caller.ask(fleet)
        await caller.read_head()
        await fleet_module.until(
            lambda: meters.names().count('wasted_prefill') == 3
        )
        assert ('ended', 'unknown', False) in meters.seen
        assert meters.names().count('retried') == 2
        for engine in fleet.decodes:
            fleet.fault(engine)
        caller = await raw_caller.ask(fleet, max_tokens=4000)
        await caller.read_events(1)
        caller.fin()
        await fleet_module.until(lambda: 'gone_caller_freed' in meters.names())
        freed = next(
            item for item in meters.seen if item[0] == 'gone_caller_freed'
        )
        assert freed[1] == 'decode'
        assert ('ended', 'cancelled', False) in meters.seen

    fleet_module.play(story, prefills=3, decodes=3, transfer_timeout_s=0.2)


def test_refusals_are_counted() -> None:
    # Turned away by the router, and before it.
    async def story(fleet: fleet_module.Fleet) -> None:
        meters = _count(fleet)
        fleet.fault(fleet.prefills[0], refuse=True)
        caller = await raw_caller.ask(fleet)
        assert await caller.read_head() == 503
        caller = await raw_caller.ask(fleet, model='other')
        assert await caller.read_head() == 404
        reasons = [item[1] for item in meters.seen if item[0] == 'refused']
        assert reasons == ['deadline', 'unknown_model']

    fleet_module.play(story, first_token_s=0.3, keep_alive_s=5.0)
