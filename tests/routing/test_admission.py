from limpetroute.routing import admission
from limpetroute.routing import waiting_stream
from tests.routing import builders

PATIENCE_S = 14.0


def make_stream(name, sent_s, first_sent_s):
    request = builders.make_request(
        name, prompt_id=name, patience_s=PATIENCE_S - (sent_s - first_sent_s)
    )
    return waiting_stream.WaitingStream(
        request=request,
        sent_s=sent_s,
        first_sent_s=first_sent_s,
        tokens=request.prefill_tokens,
    )


def come_back(admitted, *, refused, served):
    """Have callers be refused and come back; some are refused again."""
    for n in range(refused + served):
        first = make_stream(f'{n}', 0.0, 0.0)
        admitted.reject(first, 0.5, 0.0)
        again = make_stream(f'{n}', 4.0, 0.0)
        assert admitted.first_sent_s(again.request, 4.0, 4.0) == 0.0
        if n < served:
            admitted.note_served(again.request, 4.0)
        else:
            admitted.reject(again, 4.5, 4.0)


# Guards against callers that are told a time at which they are refused
# again, as most before them were.
def test_who_will_not_be_served_is_not_told_to_come_back_in_vain():
    admitted = admission.Admission()
    come_back(admitted, refused=9, served=1)
    got = admitted.reject(make_stream('new', 5.0, 5.0), 5.5, 5.0)
    assert got.retry_after_s >= PATIENCE_S


def test_who_may_be_served_is_told_when():
    admitted = admission.Admission()
    come_back(admitted, refused=4, served=6)
    got = admitted.reject(make_stream('new', 5.0, 5.0), 5.5, 5.0)
    assert got.retry_after_s <= PATIENCE_S / 3


def test_what_became_of_callers_is_forgotten():
    admitted = admission.Admission()
    come_back(admitted, refused=9, served=1)
    got = admitted.reject(make_stream('new', 20.0, 20.0), 20.5, 20.0)
    assert got.retry_after_s <= PATIENCE_S / 3
