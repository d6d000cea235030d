"""Reads YAML documents and reports errors with the path of the faulty value."""

import dataclasses
from collections.abc import Hashable, Iterator
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml

from clementinedeal._errors import SettingsError

KindT = TypeVar('KindT')

# Separates the reason and the path in a msgspec.ValidationError.
_PATH_SEPARATOR = ' - at `$'


class _Loader(yaml.SafeLoader):
    """Safe loader that rejects a repeated key in a mapping."""

    def construct_mapping(
        self,
        node: yaml.MappingNode,
        deep: bool = False,
    ) -> dict[Hashable, Any]:
        """Build a mapping; raise an error if a key is repeated."""
        seen: set[str] = set()
        for key, _ in node.value:
            if key.value in seen and isinstance(key, yaml.ScalarNode):
                raise yaml.constructor.ConstructorError(
                    problem=f'key {key.value} is given twice',
                    problem_mark=key.start_mark,
                )
            seen.add(str(key.value))
        return super().construct_mapping(node, deep=deep)


class YamlEntry:
    """A value of a YAML document, with its path for error messages."""

    def __init__(self, file: str, path: str, raw: object) -> None:
        """Wrap a value.

        :param file: file name of the document.
        :param path: dotted path of the value, empty for the whole document.
        :param raw: the value as loaded from YAML.
        """
        self.file = file
        self.path = path
        self.raw = raw

    def error(self, reason: str, subpath: str = '') -> SettingsError:
        """Return an error about this entry or one inside it.

        :param reason: what is wrong; line breaks become spaces.
        :param subpath: dotted path from this entry to the faulty one.
        """
        path = '.'.join(part for part in (self.path, subpath) if part)
        return SettingsError(
            file=self.file,
            path=path or '(document)',
            reason=' '.join(reason.split()),
        )

    def mapping(self) -> dict[str, 'YamlEntry']:
        """Return the entries of a mapping by key.

        :raises SettingsError: the value is not a mapping, or a key is not a
            string.
        """
        if not isinstance(self.raw, dict):
            raise self.error('expected a mapping')
        return {key: self._child(key) for key in self.raw}

    def sequence(self) -> Iterator['YamlEntry']:
        """Yield the entries of a list.

        :raises SettingsError: the value is not a list.
        """
        if not isinstance(self.raw, list):
            raise self.error('expected a list')
        for index, raw in enumerate(self.raw):
            yield YamlEntry(self.file, f'{self.path}.{index}', raw)

    def fields(self, required: tuple[str, ...]) -> dict[str, 'YamlEntry']:
        """Return the entries of a mapping that has exactly the given keys.

        :param required: the keys.
        :raises SettingsError: a key is missing or unknown, or the value is
            not a mapping.
        """
        entries = self.mapping()
        self._check_keys(set(entries), set(required), set(required))
        return entries

    def build(self, kind: type[KindT], **given: object) -> KindT:
        """Convert a mapping to an instance of a data class.

        :param kind: the data class.
        :param given: values of fields that the mapping must not contain.
        :raises SettingsError: a field is missing, unknown or of the wrong
            type.
        """
        fields = dataclasses.fields(kind)  # type: ignore[arg-type]
        known = {field.name for field in fields} - set(given)
        required = {field.name for field in fields if _is_required(field)}
        values = {key: entry.raw for key, entry in self.mapping().items()}
        self._check_keys(set(values), known, required - set(given))
        return self.convert({**values, **given}, kind)

    def convert(self, raw: object, kind: type[KindT]) -> KindT:
        """Convert a value to a type; errors name the path of this entry.

        :param raw: the value to convert.
        :param kind: the type to return.
        :raises SettingsError: the value is not valid for the type.
        """
        try:
            return msgspec.convert(raw, type=kind)
        except msgspec.ValidationError as exc:
            reason, _, subpath = str(exc).partition(_PATH_SEPARATOR)
            raise self.error(reason, subpath.strip('.`')) from exc

    def _child(self, key: object) -> 'YamlEntry':
        path = f'{self.path}.{key}' if self.path else str(key)
        if not isinstance(key, str):
            raise YamlEntry(self.file, path, key).error(
                'the key is not a string'
            )
        return YamlEntry(self.file, path, self.raw[key])  # type: ignore[index]

    def _check_keys(
        self,
        keys: set[str],
        known: set[str],
        required: set[str],
    ) -> None:
        if not keys <= known:
            raise self.error('unknown field', min(keys - known))
        if not required <= keys:
            raise self.error('required field is missing', min(required - keys))


def read_document(path: str) -> YamlEntry:
    """Read a YAML file.

    :param path: path of the file.
    :raises SettingsError: the file cannot be read or is not valid YAML.
    """
    top = YamlEntry(path, '', None)
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, ValueError) as exc:
        raise top.error(f'the file cannot be read: {exc}') from exc
    try:
        # _Loader is a SafeLoader that only adds a check for repeated keys.
        raw = yaml.load(text, Loader=_Loader)  # noqa: S506
    except (yaml.YAMLError, ValueError, RecursionError) as exc:
        raise top.error(f'the file is not valid YAML: {exc}') from exc
    return YamlEntry(path, '', raw)


def _is_required(field: 'dataclasses.Field[Any]') -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing
