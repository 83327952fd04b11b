"""Runs, or at least parses, every command on the pages."""

import importlib
import pathlib
import re
import shlex
import typing

import docopt
import pydantic
import pytest

from limpetroute.cli import file_kind
from limpetroute.cli import main
from limpetroute.entry.hosting import host_exports
from limpetroute.replay import parts
from limpetroute.telemetry import exports
from limpetroute.telemetry import port_meters
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


def _fields(model):
    """Yield the names of a model's fields, and of the models inside."""
    for name, field in model.model_fields.items():
        yield name
        stack = [field.annotation]
        while stack:
            found = stack.pop()
            stack.extend(typing.get_args(found))
            if isinstance(found, type) and issubclass(
                found, pydantic.BaseModel
            ):
                yield from _fields(found)


@pytest.mark.parametrize('kind', ['entry', 'control', 'forward', 'standin'])
def test_each_setting_is_on_its_page(kind):
    page = (ROOT / 'docs' / 'SETTINGS.md').read_text()
    model = file_kind.model_of(file_kind.FileKind(kind))
    missing = {name for name in _fields(model) if f'`{name}`' not in page}
    assert not missing


def _page_lines():
    page = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
    table = page.partition('## Log lines')[2].partition('\n## ')[0]
    return re.findall(r'^\| `([^`]+)`', table, re.MULTILINE)


FOLDERS = (
    'cli',
    'control',
    'dispatch',
    'entry',
    'forwarding',
    'platform',
    'runners',
    'server',
    'telemetry',
    'wire',
)


def _source_lines(levels):
    """Return the log lines of the daemons, with … for each value."""
    found = set()
    for folder in FOLDERS:
        for path in (ROOT / 'limpetroute' / folder).rglob('*.py'):
            for text in re.findall(
                rf"LOG\.(?:{levels})\(\s*'([^']+)'", path.read_text()
            ):
                found.add(re.sub(r'%[sd]', '…', text))
    return found


def test_log_lines_on_the_page_are_written():
    written = _source_lines('info|warning|error|exception')
    for line in _page_lines():
        assert any(text.startswith(line) for text in written), line


def test_each_log_line_of_a_fault_is_on_the_page():
    known = _page_lines()
    for line in _source_lines('warning|error|exception'):
        assert any(line.startswith(text) for text in known), line


def test_metrics_on_the_page_are_exported():
    page = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
    names = set(re.findall(r'`(limpetroute_\w+)`', page))
    found = exports.Exports(host_id='e1', zone='evere')
    meters = found.meters
    meters.first_token(1)
    meters.token_gap(1)
    meters.ended('completed', good=True)
    meters.refused('saturated')
    meters.retried('prefill')
    meters.wasted_prefill(1)
    meters.gone_caller_freed('decode', 1)
    for gauge in host_exports.GAUGES:
        found.observe(gauge, float)
    # Of other processes.
    ports = port_meters.PortMeters(meter=found.meter)
    ports.closed('callers', 'memory')
    ports.refused('callers', 413)
    found.observe('received_bytes', float)
    shown = found.text().decode()
    assert names
    for name in names:
        assert name in shown, name


def test_links_between_pages_lead_somewhere():
    for page in PAGES:
        for target in re.findall(
            r'\]\(([^)#]+)(?:#[^)]*)?\)', page.read_text()
        ):
            assert (page.parent / target).exists(), (page.name, target)
