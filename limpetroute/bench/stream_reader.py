"""Reads one streamed answer and checks it word by word."""

import asyncio
import dataclasses
import json
import time
import urllib.parse

from limpetroute.standins import answer_text


@dataclasses.dataclass(kw_only=True, slots=True)
class StreamSeen:
    """What one stream brought.

    Parameters
    ----------
    events, lost, doubled, disordered : int
        Events in all; words that did not come, came twice, or came
        before an earlier one.
    first_s : float
        Time to the first word.
    ended : bool
        Whether the stream ended with its mark.
    told : str
        Error code that the caller was told, if any. The words of such a
        stream do not count as lost.
    """

    events: int = 0
    lost: int = 0
    doubled: int = 0
    disordered: int = 0
    first_s: float = 0.0
    ended: bool = False
    told: str = ''


async def read(
    url: str, *, prompt: str, words: int, wait_s: float = 0.0
) -> StreamSeen:
    """Ask for an answer of ``words`` words and read it to its end."""
    await asyncio.sleep(wait_s)
    parts = urllib.parse.urlsplit(url)
    reader, writer = await asyncio.open_connection(
        parts.hostname, parts.port, limit=1 << 20
    )
    body = json.dumps(
        {
            'model': 'review',
            'prompt': prompt,
            'max_tokens': words,
            'stream': True,
        }
    ).encode()
    writer.write(
        b'POST /v1/completions HTTP/1.1\r\nHost: bench\r\n'
        b'Content-Length: %d\r\n\r\n' % len(body) + body
    )
    seen = StreamSeen()
    start_s = time.monotonic()
    want = [
        answer_text.word(answer_text.tag_of(prompt), place)
        for place in range(words)
    ]
    got: list[str] = []
    try:
        while line := await reader.readline():
            if line.startswith(b'data: [DONE]'):
                seen.ended = True
                break
            if line.startswith(b'{"error"'):
                seen.told = json.loads(line)['error']['code']
                break
            if not line.startswith(b'data: '):
                continue
            if not got:
                seen.first_s = time.monotonic() - start_s
            event = json.loads(line[6:])
            if 'error' in event:
                seen.told = event['error']['code']
                break
            choices = event['choices']
            if choices[0]['text']:
                got.append(choices[0]['text'])
    finally:
        writer.close()
    _judge(seen, want, got)
    return seen


def _judge(seen: StreamSeen, want: list[str], got: list[str]) -> None:
    seen.events = len(got)
    if not seen.told:
        seen.lost = len(set(want) - set(got))
    seen.doubled = len(got) - len(set(got))
    places = {text: place for place, text in enumerate(want)}
    order = [places.get(text, -1) for text in got]
    seen.disordered = sum(
        1 for one, other in zip(order, order[1:], strict=False) if one >= other
    )
