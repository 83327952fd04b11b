"""Runs, or at least parses, every command on the pages."""

import importlib
import pathlib
import re
import shlex

import docopt
import pytest

from limpetroute.cli import main
from limpetroute.replay import parts
from tests.cli import commands

ROOT = commands.ROOT
PAGES = sorted([*ROOT.glob('*.md'), *(ROOT / 'docs').glob('*.md')])
FENCE = re.compile(r'^```sh\n(.*?)^```', re.MULTILINE | re.DOTALL)
MAKE_TARGETS = re.compile(r'^([a-z]+):', re.MULTILINE)
# Commands that end by themselves and need nothing that runs.
RUN = {'check', 'replay', '--version'}


def _lines(page):
    """Return the commands of a page, continued lines joined."""
    found = []
    for block in FENCE.findall(page.read_text()):
        for line in block.replace('\\\n', ' ').splitlines():
            if line.strip() and not line.strip().startswith('#'):
                found.append(line.strip())
    return found


COMMANDS = sorted({(page, line) for page in PAGES for line in _lines(page)})


def _words(line):
    """Split a line, without its redirections, and expand its globs."""
    words = shlex.split(line.partition(' > ')[0], comments=True)
    found = []
    for word in words:
        names = sorted(ROOT.glob(word)) if '*' in word else []
        found.extend([str(path.relative_to(ROOT)) for path in names] or [word])
    return found


def test_pages_have_commands():
    assert len(COMMANDS) > 5


@pytest.mark.parametrize(
    ('page', 'line'),
    COMMANDS,
    ids=[f'{page.name}: {line}' for page, line in COMMANDS],
)
def test_command_on_page(page, line, monkeypatch):
    monkeypatch.chdir(ROOT)
    words = _words(line)
    if words[0] == 'make':
        targets = MAKE_TARGETS.findall((ROOT / 'Makefile').read_text())
        assert set(words[1:2]) <= set(targets)
        return
    if words[0] in ('dist/limpetroute', 'limpetroute'):
        _check_limpetroute(words[1:])
        return
    assert words[0] in ('.ci/run', 'curl', 'pip', 'kill', 'export', 'openssl')


def _check_limpetroute(words):
    if words[0] in RUN:
        assert commands.run(*words)[0] == 0
        return
    assert words[0] in main.COMMANDS
    module = importlib.import_module(f'limpetroute.cli.{words[0]}')
    docopt.docopt(module.__doc__, words)
    for word in words:
        if word.startswith(('examples/', 'experiments/', 'traces/')):
            assert pathlib.Path(word).exists(), word


def test_each_trace_part_and_verb_is_on_its_page():
    page = (ROOT / 'docs' / 'TRACES.md').read_text()
    for name in parts.PARTS:
        (row,) = [
            line
            for line in page.splitlines()
            if line.startswith(f'| `{name}`')
        ]
        for verb in parts.make(name).verbs:
            assert f'`{verb}`' in row


def test_each_trace_is_on_its_page():
    page = (ROOT / 'docs' / 'TRACES.md').read_text()
    for path in (ROOT / 'traces').glob('*.jsonl'):
        assert f'`{path.stem}`' in page
