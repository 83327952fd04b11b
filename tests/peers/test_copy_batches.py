"""Batches of record copies are small enough for a slow link."""

from limpetroute.peers import copy_holder
from limpetroute.peers import copy_sender
from limpetroute.peers import request_record

RECORDS = 100
EVENTS = 280
EVENT = 'x' * 75
PROMPT = 'p' * 20_000
# Largest batch that a link of 5 Mbit/s carries in the deadline of 0.5 s.
MAX_BATCH_CHARS = 300_000


def test_new_successor_gets_all_copies_over_a_slow_link():
    """The successor changes while 100 records with long prompts are kept.

    The new successor needs all records whole. A batch of 64 whole
    records had 2.6 MB, never arrived within its deadline, and was sent
    again in full each time.
    """
    sender = copy_sender.CopySender(owner='a@1.0')
    holder = copy_holder.CopyHolder()
    sender.set_successor('b')
    for number in range(RECORDS):
        record = request_record.RequestRecord(
            request_id=f'q{number}',
            team='t',
            key=f'k{number}',
            body_digest='d',
            run_id=f'run{number}',
        )
        record.events.extend([EVENT] * EVENTS)
        sender.add(
            copy_sender.OwnRecord(
                record=record, request={'prompt': PROMPT}, runner=dict
            )
        )
    for _ in range(RECORDS):
        batch = sender.batch()
        if batch is None:
            break
        chars = sum(
            len(EVENT) * len(item.progress.events) + len(PROMPT)
            for item in batch.items
        )
        assert chars < MAX_BATCH_CHARS
        sender.on_reply(batch, holder.take(batch), 'b')
    assert sender.uncopied == 0
    assert len(holder) == RECORDS
