"""Determines the kind of a settings, manifest or trace file."""

import enum
import importlib
import json
import pathlib
import typing

import pydantic


class FileKind(enum.StrEnum):
    """Kinds of files that ``limpetroute check`` accepts."""

    ENTRY = 'entry'
    CONTROL = 'control'
    FORWARD = 'forward'
    STANDIN = 'standin'
    MANIFEST = 'manifest'
    EXPERIMENT = 'experiment'
    TRACE = 'trace'


# Fields that only one kind of file has.
DISTINCTIVE_FIELDS = (
    (FileKind.STANDIN, 'runner_id'),
    (FileKind.STANDIN, 'announce_urls'),
    (FileKind.CONTROL, 'data_dir'),
    (FileKind.ENTRY, 'zones'),
    (FileKind.ENTRY, 'internal_listen'),
    (FileKind.FORWARD, 'control_port'),
    (FileKind.MANIFEST, 'number'),
    (FileKind.MANIFEST, 'teams'),
    (FileKind.EXPERIMENT, 'policies'),
)
MODELS = {
    FileKind.ENTRY: ('entry_settings', 'EntrySettings'),
    FileKind.CONTROL: ('control_settings', 'ControlSettings'),
    FileKind.FORWARD: ('forwarder_settings', 'ForwarderSettings'),
    FileKind.STANDIN: ('standin_settings', 'StandinSettings'),
    FileKind.MANIFEST: ('manifest', 'ManifestBody'),
    FileKind.EXPERIMENT: ('experiment', 'ExperimentBody'),
}


def guess(path: pathlib.Path, data: bytes) -> FileKind | None:
    """Guess the kind from the file name's suffix and the fields."""
    if path.suffix == '.jsonl':
        return FileKind.TRACE
    try:
        body = json.loads(data)
    except (ValueError, RecursionError):
        return None
    if not isinstance(body, dict):
        return None
    for kind, field in DISTINCTIVE_FIELDS:
        if field in body:
            return kind
    return None


def model_of(kind: FileKind) -> type[pydantic.BaseModel]:
    """Import and return the model of a kind, and no other model."""
    module_name, class_name = MODELS[kind]
    module = importlib.import_module(f'limpetroute.border.{module_name}')
    return typing.cast(type[pydantic.BaseModel], getattr(module, class_name))
