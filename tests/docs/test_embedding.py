import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = ROOT / 'docs' / 'EMBEDDING.md'
BLOCK = re.compile(r'^## ([^\n]+)\n.*?^```python\n(.*?)^```', re.S | re.M)


def _examples():
    found = BLOCK.findall(PAGE.read_text())
    return [pytest.param(code, id=title) for title, code in found]


def test_every_section_has_an_example():
    sections = re.findall(r'^## ', PAGE.read_text(), re.M)
    assert len(_examples()) == len(sections) >= 2


@pytest.mark.parametrize('code', _examples())
def test_example_runs_as_it_stands(code):
    exec(compile(code, str(PAGE), 'exec'), {})
