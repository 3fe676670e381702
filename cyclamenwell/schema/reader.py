"""Strict YAML reader for generated classes."""

from __future__ import annotations

import pathlib
import re
from typing import Any
from typing import TypeVar

import yaml

from cyclamenwell import clock
from cyclamenwell import exceptions
from cyclamenwell.schema import fields

__all__ = ["read_struct", "read_text"]

# The C parser reads a document of 924 KB in 0.15 s, the Python parser in 1.7 s.
# Every node that a change passes through parses it once.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
# The C parser overflows a thread stack of 256 KB at 1,000 levels.
_MAX_NESTING_LEVELS = 64
_T = TypeVar("_T")

_SCALARS: dict[fields.Kind, tuple[tuple[type, ...], str]] = {
    fields.Kind.BOOL: ((bool,), "true or false"),
    fields.Kind.I32: ((int,), "a whole number"),
    fields.Kind.I64: ((int,), "a whole number"),
    fields.Kind.DOUBLE: ((int, float), "a number"),
    fields.Kind.MILLISECONDS: ((int, float), "a number of milliseconds"),
    fields.Kind.STRING: ((str,), "a string"),
}


class _Reader:
    """Converts the nodes of one text and collects all problems."""

    def __init__(self, source: str) -> None:
        self._source = source
        self.problems: list[str] = []

    def report(self, node: yaml.Node, field_path: str, text: str) -> None:
        line = node.start_mark.line + 1
        label = f"{field_path}: " if field_path else ""
        self.problems.append(f"{self._source}:{line}: {label}{text}")

    def read_mapping(self, node: yaml.Node, cls: type, field_path: str) -> Any:
        if not isinstance(node, yaml.MappingNode):
            self.report(node, field_path, "must be a mapping")
            return None
        specs = {spec.name: spec for spec in cls.FIELDS}
        values: dict[str, Any] = {}
        for key_node, value_node in node.value:
            name = str(key_node.value)
            spec = specs.get(name)
            inner_path = f"{field_path}.{name}" if field_path else name
            if spec is None:
                allowed = ", ".join(sorted(specs))
                self.report(
                    key_node, inner_path, f"unknown field; allowed: {allowed}"
                )
                continue
            if name in values:
                self.report(key_node, inner_path, "duplicate field")
                continue
            values[name] = self.read_value(
                value_node, spec, spec.kind, inner_path
            )
        missing = [s for s in cls.FIELDS if s.required and s.name not in values]
        for spec in missing:
            self.report(node, field_path, f"field {spec.name!r} is missing")
        if self.problems:
            return None
        return cls(**values)

    def read_value(
        self,
        node: yaml.Node,
        spec: fields.FieldSpec,
        kind: fields.Kind | None,
        field_path: str,
    ) -> Any:
        if kind is fields.Kind.LIST:
            return self.read_list(node, spec, field_path)
        if kind is fields.Kind.STRUCT:
            return self.read_mapping(node, spec.type_class, field_path)
        if kind is fields.Kind.ENUM:
            return self.read_enum(node, spec, field_path)
        return self.read_scalar(node, spec, kind, field_path)

    def read_list(
        self, node: yaml.Node, spec: fields.FieldSpec, field_path: str
    ) -> tuple[Any, ...]:
        if not isinstance(node, yaml.SequenceNode):
            self.report(node, field_path, "must be a list")
            return ()
        if len(node.value) < spec.min_items:
            self.report(
                node, field_path, f"must have at least {spec.min_items} items"
            )
        return tuple(
            self.read_value(
                item, spec, spec.item_kind, f"{field_path}[{index}]"
            )
            for index, item in enumerate(node.value)
        )

    def read_enum(
        self, node: yaml.Node, spec: fields.FieldSpec, field_path: str
    ) -> Any:
        members = {m.name.lower(): m for m in spec.type_class}
        if isinstance(node, yaml.ScalarNode) and node.value in members:
            return members[node.value]
        allowed = ", ".join(members)
        self.report(
            node,
            field_path,
            f"got {_describe_node(node)}, must be one of {allowed}",
        )
        return None

    def read_scalar(
        self,
        node: yaml.Node,
        spec: fields.FieldSpec,
        kind: fields.Kind,
        field_path: str,
    ) -> Any:
        types, expected = _SCALARS[kind]
        value = _construct(node)
        is_stray_bool = isinstance(value, bool) and bool not in types
        if not isinstance(value, types) or is_stray_bool:
            self.report(
                node,
                field_path,
                f"got {_describe_node(node)}, must be {expected}",
            )
            return None
        self.check_bounds(node, value, spec, field_path)
        if kind is fields.Kind.MILLISECONDS:
            return clock.Milliseconds(value)
        if kind is fields.Kind.DOUBLE:
            return float(value)
        return value

    def check_bounds(
        self,
        node: yaml.Node,
        value: Any,
        spec: fields.FieldSpec,
        field_path: str,
    ) -> None:
        unit = f" {spec.unit}" if spec.unit else ""
        # Negated comparisons, so that NaN violates every bound.
        if spec.minimum is not None and not value >= spec.minimum:
            self.report(
                node,
                field_path,
                f"got {value}, must be at least {spec.minimum}{unit}",
            )
        if spec.maximum is not None and not value <= spec.maximum:
            self.report(
                node,
                field_path,
                f"got {value}, must be at most {spec.maximum}{unit}",
            )
        if spec.pattern and not re.fullmatch(spec.pattern, str(value)):
            self.report(
                node, field_path, f"got {value!r}, must match {spec.pattern}"
            )


def _check_depth(text: str) -> None:
    """Reject text whose nesting would overflow the stack of the C parser.

    Raises
    ------
    yaml.YAMLError
        If the text is nested too deeply or is not valid YAML.
    """
    depth = 0
    for event in yaml.parse(text, Loader=_Loader):
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        elif isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if depth > _MAX_NESTING_LEVELS:
            raise yaml.YAMLError(
                f"nested more than {_MAX_NESTING_LEVELS} levels"
            )


def _construct(node: yaml.Node) -> Any:
    if not isinstance(node, yaml.ScalarNode):
        return None
    loader = yaml.SafeLoader("")
    try:
        return loader.construct_object(node)
    except (ValueError, yaml.YAMLError):
        return None
    finally:
        loader.dispose()


def _describe_node(node: yaml.Node) -> str:
    if isinstance(node, yaml.ScalarNode):
        return repr(node.value)
    return "a list" if isinstance(node, yaml.SequenceNode) else "a mapping"


def read_text(path: pathlib.Path, error: type[exceptions.InputError]) -> str:
    """Return the text of a file.

    Parameters
    ----------
    path : pathlib.Path
        File, encoded in UTF-8.
    error : type
        Exception class to raise.

    Raises
    ------
    exceptions.InputError
        Of class `error`, if the file cannot be read.
    """
    try:
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as failure:
        raise error((f"{path}: cannot be read: {failure}",)) from failure


def read_struct(
    cls: type[_T],
    text: str,
    source: str,
    error: type[exceptions.InputError],
) -> _T:
    """Read YAML text into a generated class.

    Parameters
    ----------
    cls : type
        Class generated from the schema.
    text : str
        YAML text.
    source : str
        Name of the file or document, for error messages.
    error : type
        Exception class to raise.

    Returns
    -------
    object
        Instance of `cls`.

    Raises
    ------
    exceptions.InputError
        Of class `error`, with all problems, each with its line number.
    """
    try:
        _check_depth(text)
        node = yaml.compose(text, Loader=_Loader)
    # A lone surrogate cannot be encoded for the C parser.
    except (yaml.YAMLError, RecursionError, UnicodeError) as failure:
        detail = " ".join(str(failure).split())
        raise error((f"{source}: not valid YAML: {detail}",)) from failure
    if node is None:
        raise error((f"{source}: document is empty",))
    reader = _Reader(source)
    value = reader.read_mapping(node, cls, "")
    if reader.problems:
        raise error(tuple(reader.problems))
    return value
