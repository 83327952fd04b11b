"""What one host does about requests under which runners crash."""

import asyncio

import pytest

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import quarantine_client
from limpetroute.forwarding import quarantine_gate
from limpetroute.routing import quarantine
from tests.routing import builders


class Control:
    """Answers for the control hosts as the test says; None is silence."""

    def __init__(self, trial=None):
        self.trial = trial
        self.reachable = True
        # Calls that were answered, and all of them.
        self.calls = []
        self.asked = 0

    def client(self):
        client = quarantine_client.QuarantineClient(http=None, urls=list)
        client._call = self._call
        return client

    async def _call(self, path, body):
        self.asked += 1
        if not self.reachable:
            return None
        self.calls.append((path, body))
        if path.endswith('/trial'):
            return self.trial
        return {'outcome': 'done'}

    def called(self, end):
        return [body for path, body in self.calls if path.endswith(end)]


def _request(body=b'bad', request_id='q'):
    return caller_request.CallerRequest(
        request_id=request_id,
        method='POST',
        target='/a/1',
        host='h.example',
        headers={},
        body=body,
        received_s=0.0,
        deadline_s=None,
        generation=None,
        resume_after='',
    )


def _crash(client, body=b'bad', count=3, begun=False, first=0):
    for number in range(first, first + count):
        runner = builders.make_runner(f'r{number}')
        client.note_crash(_request(body), runner, begun=begun)


def _may_send(client, body=b'bad'):
    gate = quarantine_gate.QuarantineGate(
        client=client, request=_request(body)
    )
    return gate.may_send()


GRANTED = {'outcome': 'granted', 'wait_s': 30.0}
WAIT = {'outcome': 'wait', 'wait_s': 2.0}
RELEASED = {'outcome': 'released', 'wait_s': 0.0}


def test_a_host_that_reaches_no_control_host_keeps_to_its_own_count():
    """Cut off, it would send the request to each runner that is back."""

    async def work():
        control = Control()
        control.reachable = False
        client = control.client()
        _crash(client, count=2)
        assert await _may_send(client)
        _crash(client, count=1, first=2)
        assert not await _may_send(client)
        assert await _may_send(client, b'another')
        await asyncio.sleep(0.05)
        client.stop()

    asyncio.run(work())


def test_what_could_not_be_told_is_told_again(monkeypatch):
    monkeypatch.setattr(quarantine_client, 'RETRY_S', 0.01)

    async def work():
        control = Control(trial=WAIT)
        control.reachable = False
        client = control.client()
        _crash(client, count=3)
        await asyncio.sleep(0.05)
        assert control.asked
        control.reachable = True
        await asyncio.sleep(0.1)
        told = control.called('/crashes')[-1]['crashes']
        assert [one['runner_id'] for one in told] == ['r0', 'r1', 'r2']
        fingerprint = _request().fingerprint
        assert all(one['suspects'] == {fingerprint: False} for one in told)
        count = control.asked
        await asyncio.sleep(0.1)
        assert control.asked == count

    asyncio.run(work())


def test_a_crash_at_another_host_stops_the_request_here():
    async def work():
        control = Control(trial=WAIT)
        client = control.client()
        client.update([_request().fingerprint])
        assert not await _may_send(client)
        assert await _may_send(client, b'another')

    asyncio.run(work())


def test_a_refused_request_is_asked_for_once_while_it_has_to_wait():
    """A flood of repeats must not become a flood of calls."""

    async def work():
        control = Control(trial=WAIT)
        client = control.client()
        client.update([_request().fingerprint])
        for _ in range(50):
            gate = quarantine_gate.QuarantineGate(
                client=client, request=_request()
            )
            assert not await gate.may_send()
            assert gate.is_closed()
            assert 0.0 < gate.retry_after_s <= 2.0
        assert len(control.called('/trial')) == 1

    asyncio.run(work())


def test_a_trial_is_one_send():
    async def work():
        control = Control(trial=GRANTED)
        client = control.client()
        client.update([_request().fingerprint])
        assert await _may_send(client)
        assert not await _may_send(client)

    asyncio.run(work())


def test_a_trial_that_ends_well_clears_the_request():
    async def work():
        control = Control(trial=GRANTED)
        client = control.client()
        fingerprint = _request().fingerprint
        client.update([fingerprint])
        assert await _may_send(client)
        client.note_answered(_request())
        await asyncio.sleep(0.05)
        assert control.called('/clear') == [{'fingerprint': fingerprint}]
        client.update([])
        assert await _may_send(client)
        assert await _may_send(client)

    asyncio.run(work())


def test_the_fleets_word_goes_before_the_own_count():
    """Others saw who else was at the runners that crashed."""

    async def work():
        control = Control(trial=RELEASED)
        client = control.client()
        _crash(client, count=3)
        await asyncio.sleep(0.05)
        assert await _may_send(client)
        assert not client.is_quarantined(_request())

    asyncio.run(work())


def test_answers_cost_nothing_while_nothing_crashed(monkeypatch):
    """No body is hashed on an ordinary day."""
    client = Control().client()

    def hashes(request):
        pytest.fail('hashed')

    monkeypatch.setattr(
        caller_request.CallerRequest, 'fingerprint', property(hashes)
    )
    assert not client.is_quarantined(_request())
    client.note_answered(_request())


def test_crashes_that_cannot_be_told_take_a_bounded_place():
    async def work():
        control = Control()
        control.reachable = False
        client = control.client()
        for number in range(3 * quarantine_client.MAX_UNREPORTED):
            _crash(client, b'%d' % number, count=1, first=number)
        assert len(client._unreported) == quarantine_client.MAX_UNREPORTED
        for number in range(2 * quarantine.MAX_QUARANTINED_REQUESTS):
            client._refuse(f'f{number}', 5.0)
        assert (
            len(client._waits_until_s) == quarantine.MAX_QUARANTINED_REQUESTS
        )
        client.stop()

    asyncio.run(work())
