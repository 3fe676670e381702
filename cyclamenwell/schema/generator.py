"""Generates data classes, Thrift IDL and the settings reference.

Run ``python -m cyclamenwell.schema.generator`` after a change of a schema
file, with ``--check`` to verify that the committed files are current.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import pathlib
import sys
from typing import Any

import jinja2
import yaml

__all__ = ["generate_files", "main"]

_SCHEMA = pathlib.Path(__file__).parent
_PACKAGE = _SCHEMA.parent
_ROOT = _PACKAGE.parent
_SOURCES = (
    "enumerations",
    "httpfields",
    "messages",
    "documents",
    "settings",
    "experiments",
    "deployment",
    "sidecar",
)
_WIRE_SOURCES = frozenset({"httpfields", "messages", "deployment"})

_THRIFT_TYPES = {
    "bool": "BOOL",
    "i32": "I32",
    "i64": "I64",
    "double": "DOUBLE",
    "string": "STRING",
    "binary": "STRING",
}
_PYTHON_TYPES = {
    "bool": "bool",
    "i32": "int",
    "i64": "int",
    "double": "float",
    "string": "str",
    "binary": "bytes",
    "milliseconds": "clock.Milliseconds",
}
_ZERO_VALUES = {
    "bool": "False",
    "i32": "0",
    "i64": "0",
    "double": "0.0",
    "string": '""',
    "binary": 'b""',
    "milliseconds": "clock.Milliseconds(0)",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """A field of the schema with everything that the templates print."""

    id: int
    name: str
    declared: str
    annotation: str
    default: str
    spec: str
    thrift: str
    idl: str
    doc: str
    unit: str
    allowed: str
    shown_default: str


@dataclasses.dataclass(frozen=True, slots=True)
class Struct:
    """A struct of the schema."""

    name: str
    doc: str
    fields: tuple[Field, ...]
    enum_fields: tuple[Field, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Names:
    """Names of enumerations and structs, to resolve field types."""

    enums: frozenset[str]
    structs: dict[str, str]  # Name of the struct to its module.
    module: str  # Module that is being rendered.

    def qualify(self, struct: str) -> str:
        """Return the name of a struct as the rendered module writes it."""
        module = self.structs[struct]
        return struct if module == self.module else f"{module}.{struct}"


def _load(name: str) -> dict[str, Any]:
    return yaml.safe_load((_SCHEMA / f"{name}.yaml").read_text("utf-8"))


def _split_list(declared: str) -> str | None:
    if declared.startswith("list<") and declared.endswith(">"):
        return declared[5:-1]
    return None


def _annotate(declared: str, names: _Names) -> str:
    item = _split_list(declared)
    if item is not None:
        return f"tuple[{_annotate(item, names)}, ...]"
    if declared in names.enums:
        return f"enumerations.{declared}"
    if declared in names.structs:
        return names.qualify(declared)
    return _PYTHON_TYPES[declared]


def _render_default(declared: str, value: Any, names: _Names) -> str:
    if declared in names.enums:
        return f"enumerations.{declared}.{value}"
    if declared == "milliseconds":
        return f"clock.Milliseconds({value})"
    return repr(value)


def _find_default(raw: dict[str, Any], names: _Names) -> str:
    declared = raw["type"]
    if raw.get("optional") or raw.get("required"):
        return "None"
    if "default" in raw:
        return _render_default(declared, raw["default"], names)
    if _split_list(declared) is not None:
        return "()"
    if declared in names.structs:
        return f"{names.qualify(declared)}()"
    if declared in names.enums:
        raise ValueError(f"field {raw['name']!r} needs a default")
    return _ZERO_VALUES[declared]


def _render_kind(declared: str, names: _Names) -> str:
    if _split_list(declared) is not None:
        return "fields.Kind.LIST"
    if declared in names.enums:
        return "fields.Kind.ENUM"
    if declared in names.structs:
        return "fields.Kind.STRUCT"
    return f"fields.Kind.{declared.upper()}"


def _render_class(declared: str, names: _Names) -> str:
    declared = _split_list(declared) or declared
    if declared in names.enums:
        return f"enumerations.{declared}"
    if declared in names.structs:
        return names.qualify(declared)
    return "None"


def _render_spec(raw: dict[str, Any], names: _Names) -> str:
    declared = raw["type"]
    item = _split_list(declared)
    parts = [repr(raw["name"]), _render_kind(declared, names)]
    if item is not None:
        parts.append(f"item_kind={_render_kind(item, names)}")
    if _render_class(declared, names) != "None":
        parts.append(f"type_class={_render_class(declared, names)}")
    for key, argument in (
        ("required", "required"),
        ("min", "minimum"),
        ("max", "maximum"),
        ("min_items", "min_items"),
        ("pattern", "pattern"),
        ("unit", "unit"),
        ("doc", "doc"),
    ):
        if key in raw:
            parts.append(f"{argument}={raw[key]!r}")
    return f"fields.FieldSpec({', '.join(parts)})"


def _render_thrift_type(declared: str, names: _Names) -> tuple[str, str]:
    """Return the wire type and the type argument of a Thrift specification."""
    item = _split_list(declared)
    if item is not None:
        wire, argument = _render_thrift_type(item, names)
        return "LIST", f"(Thrift.TType.{wire}, {argument}, True)"
    if declared in names.enums:
        return "I32", "None"
    if declared in names.structs:
        struct = names.qualify(declared)
        return "STRUCT", f"[{struct}, {struct}.THRIFT_SPEC]"
    argument = {"string": "'UTF8'", "binary": "'BINARY'"}.get(declared, "None")
    return _THRIFT_TYPES[declared], argument


def _render_thrift(raw: dict[str, Any], names: _Names) -> str:
    if raw["type"] == "milliseconds":
        return "None"
    wire, argument = _render_thrift_type(raw["type"], names)
    return (
        f"({raw['id']}, Thrift.TType.{wire}, {raw['name']!r}, {argument}, None)"
    )


def _describe_allowed(raw: dict[str, Any]) -> str:
    if "pattern" in raw:
        return f"`{raw['pattern']}`"
    if "min" in raw or "max" in raw:
        return f"{raw.get('min', '')} to {raw.get('max', '')}"
    return ""


def _build_field(raw: dict[str, Any], names: _Names) -> Field:
    annotation = _annotate(raw["type"], names)
    if raw.get("optional"):
        annotation += " | None"
    unit = raw.get("unit", "ms" if raw["type"] == "milliseconds" else "")
    default = "required" if raw.get("required") else raw.get("default", "")
    return Field(
        id=raw["id"],
        name=raw["name"],
        declared=raw["type"],
        annotation=annotation,
        default=_find_default(raw, names),
        spec=_render_spec(raw, names),
        thrift=_render_thrift(raw, names),
        idl=raw["type"],
        doc=raw["doc"],
        unit=unit,
        allowed=_describe_allowed(raw),
        shown_default=str(default),
    )


def _build_structs(source: dict[str, Any], names: _Names) -> Iterator[Struct]:
    for name, raw in source.get("structs", {}).items():
        built = tuple(_build_field(item, names) for item in raw["fields"])
        yield Struct(
            name=name,
            doc=raw["doc"],
            fields=built,
            enum_fields=tuple(f for f in built if f.declared in names.enums),
        )


def _list_imports(
    structs: tuple[Struct, ...], modules: dict[str, str], name: str
) -> list[str]:
    """Return the generated modules whose structs a module refers to."""
    used = {
        modules.get(_split_list(field.declared) or field.declared, name)
        for struct in structs
        for field in struct.fields
    }
    return sorted(used - {name})


def generate_files() -> dict[pathlib.Path, str]:
    """Render every generated file.

    Returns
    -------
    dict of pathlib.Path to str
        Path and contents of each file.

    Raises
    ------
    ValueError
        If the schema lacks a default that the code needs, or names a struct
        twice.
    """
    sources = {name: _load(name) for name in _SOURCES}
    enums = frozenset(sources["enumerations"]["enums"])
    modules: dict[str, str] = {}
    for name, source in sources.items():
        for struct in source.get("structs", {}):
            if struct in modules:
                raise ValueError(
                    f"struct {struct!r} stands in {modules[struct]!r} and "
                    f"in {name!r}"
                )
            modules[struct] = name
    built = {
        name: tuple(_build_structs(sources[name], _Names(enums, modules, name)))
        for name in _SOURCES[1:]
    }
    environment = jinja2.Environment(
        loader=jinja2.FileSystemLoader(_SCHEMA / "templates"),
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
    )
    generated = _PACKAGE / "generated"
    files = {
        generated / "__init__.py": environment.get_template(
            "package.py.jinja"
        ).render(),
        generated / "enumerations.py": environment.get_template(
            "enumerations.py.jinja"
        ).render(source=sources["enumerations"]),
        generated / "cyclamenwell.thrift": environment.get_template(
            "messages.thrift.jinja"
        ).render(
            enums=sources["enumerations"]["enums"],
            structs=tuple(
                struct
                for name in _SOURCES[1:]
                if name in _WIRE_SOURCES
                for struct in built[name]
            ),
        ),
    }
    for name, structs in built.items():
        files[generated / f"{name}.py"] = environment.get_template(
            "structs.py.jinja"
        ).render(
            source=sources[name],
            structs=structs,
            wire=name in _WIRE_SOURCES,
            imported=_list_imports(structs, modules, name),
        )
        if name not in _WIRE_SOURCES:
            files[_ROOT / "docs" / f"{name}.md"] = environment.get_template(
                "reference.md.jinja"
            ).render(
                title=name.capitalize(),
                source=sources[name],
                structs=structs,
            )
    return files


def main(arguments: list[str]) -> int:
    """Write the generated files, or check that they are current.

    Parameters
    ----------
    arguments : list of str
        ``["--check"]`` to compare only.

    Returns
    -------
    int
        Exit status, 1 if a checked file is not current.
    """
    status = 0
    for path, text in generate_files().items():
        if "--check" not in arguments:
            path.parent.mkdir(exist_ok=True)
            path.write_text(text, "utf-8")
            continue
        if not path.exists() or path.read_text("utf-8") != text:
            print(f"{path} is not current; run make generate", file=sys.stderr)
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
