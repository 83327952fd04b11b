import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / 'docs' / 'PROOF.md'


def _defined():
    found = set()
    for path in (ROOT / 'tests').rglob('test_*.py'):
        found.update(re.findall(r'def (test_\w+)', path.read_text()))
    return found


def test_every_test_on_the_page_exists():
    named = set(re.findall(r'`(test_\w+)`', PAGE.read_text()))
    assert len(named) > 40
    assert named - _defined() == set()


def test_every_trace_on_the_page_exists():
    page = PAGE.read_text()
    named = re.findall(r'trace\s+`([\w-]+)`', page)
    assert named
    for name in named:
        assert (ROOT / 'traces' / f'{name}.jsonl').exists(), name
