"""Strict reading of YAML into generated classes."""

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

# The parser in C reads a document of 924 KB in 0.15 s, the one in Python in
# 1.7 s. Each node on the way of a change reads it once.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
# Composing 1,000 levels in C overflows a thread's stack of 256 KB.
_MAX_DEPTH = 64
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
    """Reads one text and collects its problems."""

    def __init__(self, source: str) -> None:
        self._source = source
        self.problems: list[str] = []

    def report(self, node: yaml.Node, place: str, text: str) -> None:
        line = node.start_mark.line + 1
        label = f"{place}: " if place else ""
        self.problems.append(f"{self._source}:{line}: {label}{text}")

    def read_mapping(self, node: yaml.Node, cls: type, place: str) -> Any:
        if not isinstance(node, yaml.MappingNode):
            self.report(node, place, "must be a mapping")
            return None
        specs = {spec.name: spec for spec in cls.FIELDS}
        values: dict[str, Any] = {}
        for key_node, value_node in node.value:
            name = str(key_node.value)
            spec = specs.get(name)
            inner = f"{place}.{name}" if place else name
            if spec is None:
                allowed = ", ".join(sorted(specs))
                self.report(key_node, inner, f"unknown field; known: {allowed}")
                continue
            if name in values:
                self.report(key_node, inner, "field given twice")
                continue
            values[name] = self.read_value(value_node, spec, spec.kind, inner)
        missing = [s for s in cls.FIELDS if s.required and s.name not in values]
        for spec in missing:
            self.report(node, place, f"field {spec.name!r} is missing")
        if self.problems:
            return None
        return cls(**values)

    def read_value(
        self,
        node: yaml.Node,
        spec: fields.FieldSpec,
        kind: fields.Kind | None,
        place: str,
    ) -> Any:
        if kind is fields.Kind.LIST:
            return self.read_list(node, spec, place)
        if kind is fields.Kind.STRUCT:
            return self.read_mapping(node, spec.type_class, place)
        if kind is fields.Kind.ENUM:
            return self.read_enum(node, spec, place)
        return self.read_scalar(node, spec, kind, place)

    def read_list(
        self, node: yaml.Node, spec: fields.FieldSpec, place: str
    ) -> tuple[Any, ...]:
        if not isinstance(node, yaml.SequenceNode):
            self.report(node, place, "must be a list")
            return ()
        if len(node.value) < spec.min_items:
            self.report(
                node, place, f"must have at least {spec.min_items} items"
            )
        return tuple(
            self.read_value(item, spec, spec.item_kind, f"{place}[{index}]")
            for index, item in enumerate(node.value)
        )

    def read_enum(
        self, node: yaml.Node, spec: fields.FieldSpec, place: str
    ) -> Any:
        members = {m.name.lower(): m for m in spec.type_class}
        if isinstance(node, yaml.ScalarNode) and node.value in members:
            return members[node.value]
        allowed = ", ".join(members)
        self.report(node, place, f"got {_show(node)}, must be one of {allowed}")
        return None

    def read_scalar(
        self,
        node: yaml.Node,
        spec: fields.FieldSpec,
        kind: fields.Kind,
        place: str,
    ) -> Any:
        types, wanted = _SCALARS[kind]
        value = _construct(node)
        is_flag = isinstance(value, bool) and bool not in types
        if not isinstance(value, types) or is_flag:
            self.report(node, place, f"got {_show(node)}, must be {wanted}")
            return None
        self.check_bounds(node, value, spec, place)
        if kind is fields.Kind.MILLISECONDS:
            return clock.Milliseconds(value)
        if kind is fields.Kind.DOUBLE:
            return float(value)
        return value

    def check_bounds(
        self, node: yaml.Node, value: Any, spec: fields.FieldSpec, place: str
    ) -> None:
        unit = f" {spec.unit}" if spec.unit else ""
        # The comparisons are negated so that NaN is out of every bound.
        if spec.minimum is not None and not value >= spec.minimum:
            self.report(
                node,
                place,
                f"got {value}, must be at least {spec.minimum}{unit}",
            )
        if spec.maximum is not None and not value <= spec.maximum:
            self.report(
                node,
                place,
                f"got {value}, must be at most {spec.maximum}{unit}",
            )
        if spec.pattern and not re.fullmatch(spec.pattern, str(value)):
            self.report(
                node, place, f"got {value!r}, must match {spec.pattern}"
            )


def _check_depth(text: str) -> None:
    """Refuse text whose nesting would overflow the stack of the parser in C.

    Raises
    ------
    yaml.YAMLError
        If the text is nested too deeply or is not valid.
    """
    depth = 0
    for event in yaml.parse(text, Loader=_Loader):
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        elif isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if depth > _MAX_DEPTH:
            raise yaml.YAMLError(f"nested more than {_MAX_DEPTH} levels")


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


def _show(node: yaml.Node) -> str:
    if isinstance(node, yaml.ScalarNode):
        return repr(node.value)
    return "a list" if isinstance(node, yaml.SequenceNode) else "a mapping"


def read_text(path: pathlib.Path, error: type[exceptions.InputError]) -> str:
    """Return the text of a file.

    Parameters
    ----------
    path : pathlib.Path
        File in UTF-8.
    error : type
        Exception to raise.

    Raises
    ------
    exceptions.InputError
        As the class `error`, if the file can not be read.
    """
    try:
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as failure:
        raise error((f"{path}: can not be read: {failure}",)) from failure


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
        Name of the file or document for error messages.
    error : type
        Exception to raise.

    Returns
    -------
    object
        Instance of `cls`.

    Raises
    ------
    exceptions.InputError
        As the class `error`, with every problem found, each with its line.
    """
    try:
        _check_depth(text)
        node = yaml.compose(text, Loader=_Loader)
    # A lone surrogate can not be encoded for the parser in C.
    except (yaml.YAMLError, RecursionError, UnicodeError) as failure:
        detail = " ".join(str(failure).split())
        raise error((f"{source}: not valid YAML: {detail}",)) from failure
    if node is None:
        raise error((f"{source}: empty",))
    reader = _Reader(source)
    value = reader.read_mapping(node, cls, "")
    if reader.problems:
        raise error(tuple(reader.problems))
    return value
