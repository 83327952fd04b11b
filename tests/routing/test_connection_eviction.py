from limpetroute.routing import connection_eviction as eviction

NOW_S = 100.0
Phase = eviction.ConnectionPhase


def _progress(phase, age_s, unsent_bytes=0):
    progress = eviction.ConnectionProgress(
        active_s=NOW_S - age_s, progress_s=NOW_S - age_s
    )
    progress.phase = phase
    progress.unsent_bytes = unsent_bytes
    return progress


def _selected(*, has_request=False, **connections):
    return eviction.select(
        connections.items(), now_s=NOW_S, has_request=has_request
    )


# Guards against kept connections that make way for stalled requests.
def test_stalled_requests_are_closed_before_idle_connections():
    assert _selected(
        idle=_progress(Phase.IDLE, 50.0),
        unused=_progress(Phase.UNUSED, 40.0),
        body=_progress(Phase.BODY, 5.0),
        head=_progress(Phase.HEAD, 6.0),
        refused=_progress(Phase.REFUSED, 0.0),
    ) == ['refused', 'head', 'body', 'unused', 'idle']


# Guards against a request that is cut off while it is being answered.
def test_an_answer_is_cut_off_only_if_its_client_takes_nothing():
    assert _selected(
        has_request=True,
        working=_progress(Phase.ANSWERING, 50.0),
        untaken=_progress(Phase.ANSWERING, 5.0, unsent_bytes=10),
    ) == ['untaken']


# Guards against new requests that are closed for others that are as new.
def test_requests_that_make_progress_stay():
    body = _progress(Phase.BODY, 30.0)
    body.note_bytes(eviction.PROGRESS_BYTES, NOW_S - 0.5)
    fresh = _progress(Phase.HEAD, 0.5)
    assert _selected(body=body, fresh=fresh) == []


# Guards against clients that keep a request alive by a byte now and then.
def test_a_few_bytes_are_no_progress():
    drip = _progress(Phase.BODY, 30.0)
    for _ in range(100):
        drip.note_bytes(1, NOW_S)
    assert _selected(drip=drip) == ['drip']


# Guards against idle connections that are closed although memory is short.
def test_connections_without_a_request_free_no_memory():
    assert (
        _selected(
            has_request=True,
            idle=_progress(Phase.IDLE, 50.0),
            unused=_progress(Phase.UNUSED, 50.0),
        )
        == []
    )
