import hypothesis
import pytest

from tests import known_red

# The same examples in every run, so that CI gives one verdict.
hypothesis.settings.register_profile(
    'same', derandomize=True, deadline=None, print_blob=True
)
hypothesis.settings.load_profile('same')

RED = pytest.StashKey[list[known_red.KnownRed]]()


def pytest_addoption(parser):
    parser.addoption(
        '--known-red',
        default=str(known_red.PATH),
        help='list of tests that fail for a known fault: --known-red=FILE',
    )


def pytest_configure(config):
    path = known_red.pathlib.Path(config.getoption('--known-red'))
    try:
        config.stash[RED] = known_red.parse(path.read_text())
    except known_red.KnownRedError as exc:
        raise pytest.UsageError(f'{path.name}: {exc}') from exc


def pytest_collection_modifyitems(config, items):
    """Let the listed tests fail, and nothing else.

    The mark is strict: a listed test that passes fails the run, so that
    the list stays true, unless it is listed as one that fails sometimes. So
    does a name that no test has.
    """
    by_name = {item.nodeid: item for item in items}
    for red in config.stash[RED]:
        item = by_name.get(red.test)
        if item is None:
            continue
        reason = f'{red.cause} (issue {red.issue})'
        item.add_marker(
            pytest.mark.xfail(reason=reason, strict=not red.sometimes)
        )
    # The error of a worker process would not be shown.
    if not hasattr(config, 'workerinput'):
        _check_names(config, by_name)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_node_collection_finished(node, ids):
    _check_names(node.config, ids)


def _check_names(config, names):
    unknown = [
        red.test
        for red in config.stash[RED]
        if red.test not in names and _is_collected(config, red.test)
    ]
    if unknown:
        missing = ', '.join(unknown)
        raise pytest.UsageError(f'KNOWN-RED.txt: no such test: {missing}')


def _is_collected(config, test):
    """Return whether this run collects the whole folder of a test."""
    root = config.rootpath
    path = root / test.partition('::')[0]
    ignored = config.getoption('ignore') or ()
    if any(path.is_relative_to(root / one) for one in ignored):
        return False
    chosen = config.getoption('file_or_dir')
    if not chosen:
        return True
    if config.getoption('keyword') or config.getoption('markexpr'):
        return False
    folders = [root / one for one in chosen if (root / one).is_dir()]
    return any(path.is_relative_to(one) for one in folders)


def pytest_terminal_summary(terminalreporter, config):
    """Print how each listed test ended, and the failure if it failed."""
    failed = _reports(terminalreporter, 'xfailed')
    passed = _reports(terminalreporter, 'xpassed')
    for red in config.stash[RED]:
        result = 'not run'
        if red.test in failed:
            result = 'FAILED in this run'
        elif red.test in passed:
            result = 'passed in this run'
        terminalreporter.write_line(
            f'KNOWN RED: {red.test}: {red.cause} (issue {red.issue}): {result}'
        )
        if red.test in failed:
            terminalreporter.write_line(failed[red.test].longreprtext)


def _reports(terminalreporter, outcome):
    reports = terminalreporter.stats.get(outcome, [])
    return {report.nodeid: report for report in reports}
