"""Paths in settings, relative to the folder of the settings file."""

import pathlib
import typing

import pydantic


def _from_folder(
    path: pathlib.Path, info: pydantic.ValidationInfo
) -> pathlib.Path:
    folder = (info.context or {}).get('folder')
    if folder is None:
        return path
    return pathlib.Path(folder) / path


FilePath = typing.Annotated[
    pathlib.Path, pydantic.AfterValidator(_from_folder)
]
