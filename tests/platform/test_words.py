"""The platform's header names and keys occur only in its adapter."""

import pathlib
import re

import limpetroute

ROOT = pathlib.Path(limpetroute.__file__).parent
WORDS = re.compile(
    'kv[-_]handle|token[-_]usage|runner[-_]stamp|expect[-_]instance|'
    'slo[-_]ms|heartbeat[-_]addr|not-run|kv-from|'
    '(?<!limpetroute-)deadline[-_]ms|'
    'length-hint|/api/|path-prefix|timeout-ms',
    re.IGNORECASE,
)


def test_the_platforms_names_occur_only_in_the_adapter():
    found = {}
    for path in sorted(ROOT.rglob('*.py')):
        hits = WORDS.findall(path.read_text())
        if hits:
            found[str(path.relative_to(ROOT))] = hits
    outside = [name for name in found if not name.startswith('platform/')]
    assert not outside
    assert len(found) >= 3


def test_the_adapter_stays_small():
    def lines(folder):
        return sum(
            len(path.read_text().splitlines()) for path in folder.rglob('*.py')
        )

    assert lines(ROOT / 'platform') < lines(ROOT) / 10
