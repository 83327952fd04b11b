"""A stream of a runner that came back at another version, at a new leader.

Run by hand: python -m tests.dispatch.reborn_runner. Prints what a control host
that starts after the runner came back decides about a stream that began
before, and fails unless it is refused. Not part of the default run; see
KNOWN-RED.txt.
"""

import asyncio
import sys

from limpetroute.dispatch import dispatcher as dispatcher_module
from tests.dispatch import test_stream_versions


async def take_up():
    """Return the answer of a leader that knows only the runner's last life."""
    first = test_stream_versions.Leader('v1')
    await first.begin('a', version='v1')
    second = test_stream_versions.Leader('v2')
    return await second.take_up('b', 'a')


def main():
    dispatcher_module.RESTORE_PERIOD_S = 0.0
    answer = asyncio.run(take_up())
    print(answer)
    return 0 if test_stream_versions.is_unknown(answer) else 1


if __name__ == '__main__':
    sys.exit(main())
