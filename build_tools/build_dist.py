"""Build dist/limpetroute: one file with all that the daemons need.

Everything comes from the running environment, so that the build needs
no network and ships exactly the locked versions that were tested. The
development tools and the plotting libraries of ``bench`` stay out.

Usage: python build_tools/build_dist.py [OUTPUT]
"""

import importlib.metadata
import pathlib
import shutil
import subprocess
import sys
import tempfile
import zipfile

import packaging.requirements

ROOT = pathlib.Path(__file__).resolve().parents[1]
SHEBANG = b'#!/usr/bin/env python3\n'
ENTRY_POINT = 'limpetroute.cli.main:main'
SKIPPED_FOLDERS = ('__pycache__', 'tests')


def wanted_distributions() -> dict[str, importlib.metadata.Distribution]:
    """Return the runtime requirements and all that they require."""
    text = (ROOT / 'pyproject.toml').read_text()
    # Imported here: the module is new in Python 3.11.
    import tomllib

    waiting = list(tomllib.loads(text)['project']['dependencies'])
    found: dict[str, importlib.metadata.Distribution] = {}
    while waiting:
        wanted = packaging.requirements.Requirement(waiting.pop())
        if wanted.marker and not wanted.marker.evaluate({'extra': ''}):
            continue
        if wanted.name in found:
            continue
        item = importlib.metadata.distribution(wanted.name)
        found[wanted.name] = item
        waiting.extend(item.requires or [])
    return found


def copy_distribution(
    item: importlib.metadata.Distribution, target: pathlib.Path
) -> None:
    """Copy the files of one installed distribution."""
    for name in item.files or []:
        if '..' in name.parts or name.is_absolute():
            continue
        if '__pycache__' in name.parts:
            continue
        source = pathlib.Path(str(item.locate_file(name)))
        if not source.is_file():
            continue
        place = target / name
        place.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(source, place)


def replace_main(built: pathlib.Path, output: pathlib.Path) -> None:
    """Put our own first step into the file that shiv built."""
    main = (ROOT / 'build_tools' / 'dist_main.py').read_text()
    version = f'{sys.version_info.major}.{sys.version_info.minor}'
    main = main.replace('@PYTHON@', version)
    with output.open('wb') as file:
        file.write(SHEBANG)
        with (
            zipfile.ZipFile(built) as source,
            zipfile.ZipFile(file, 'w', zipfile.ZIP_DEFLATED) as target,
        ):
            for info in source.infolist():
                data = source.read(info)
                if info.filename == '__main__.py':
                    data = main.encode()
                target.writestr(info, data, zipfile.ZIP_DEFLATED)
    output.chmod(0o755)


def build(output: pathlib.Path) -> None:
    """Build the file."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        site = pathlib.Path(folder) / 'site-packages'
        site.mkdir()
        for item in wanted_distributions().values():
            copy_distribution(item, site)
        shutil.copytree(
            ROOT / 'limpetroute',
            site / 'limpetroute',
            ignore=shutil.ignore_patterns(*SKIPPED_FOLDERS),
        )
        built = pathlib.Path(folder) / 'built'
        subprocess.run(
            [
                sys.executable,
                '-m',
                'shiv',
                '--site-packages',
                str(site),
                '--entry-point',
                ENTRY_POINT,
                '--reproducible',
                '--compressed',
                '--output-file',
                str(built),
            ],
            check=True,
        )
        replace_main(built, output)


if __name__ == '__main__':
    words = sys.argv[1:] or ['dist/limpetroute']
    build(pathlib.Path(words[0]))
    print(f'built {words[0]}')
