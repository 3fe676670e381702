"""Generator of data classes, Thrift IDL and reference pages.

Run ``python -m cyclamenwell.schema.generator`` after changing a schema file.
With ``--check``, it only verifies that the generated files are up to date.
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
    """A field of the schema, with all values that the templates use."""

    id: int
    name: str
    type_name: str
    annotation: str
    default: str
    spec: str
    thrift: str
    idl: str
    doc: str
    unit: str
    allowed: str
    documented_default: str


@dataclasses.dataclass(frozen=True, slots=True)
class Struct:
    """A struct of the schema."""

    name: str
    doc: str
    fields: tuple[Field, ...]
    enum_fields: tuple[Field, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _TypeIndex:
    """Enumerations and structs by name, for resolving field types."""

    enums: frozenset[str]
    structs: dict[str, str]  # Module by struct name.
    module: str  # Module being rendered.

    def qualify(self, struct: str) -> str:
        """Return the name of a struct as the rendered module refers to it."""
        module = self.structs[struct]
        return struct if module == self.module else f"{module}.{struct}"


def _load(name: str) -> dict[str, Any]:
    return yaml.safe_load((_SCHEMA / f"{name}.yaml").read_text("utf-8"))


def _get_item_type(type_name: str) -> str | None:
    if type_name.startswith("list<") and type_name.endswith(">"):
        return type_name[5:-1]
    return None


def _render_annotation(type_name: str, types: _TypeIndex) -> str:
    item = _get_item_type(type_name)
    if item is not None:
        return f"tuple[{_render_annotation(item, types)}, ...]"
    if type_name in types.enums:
        return f"enumerations.{type_name}"
    if type_name in types.structs:
        return types.qualify(type_name)
    return _PYTHON_TYPES[type_name]


def _render_default(type_name: str, value: Any, types: _TypeIndex) -> str:
    if type_name in types.enums:
        return f"enumerations.{type_name}.{value}"
    if type_name == "milliseconds":
        return f"clock.Milliseconds({value})"
    return repr(value)


def _find_default(raw_field: dict[str, Any], types: _TypeIndex) -> str:
    type_name = raw_field["type"]
    if raw_field.get("optional") or raw_field.get("required"):
        return "None"
    if "default" in raw_field:
        return _render_default(type_name, raw_field["default"], types)
    if _get_item_type(type_name) is not None:
        return "()"
    if type_name in types.structs:
        return f"{types.qualify(type_name)}()"
    if type_name in types.enums:
        raise ValueError(
            f"enumeration field {raw_field['name']!r} needs a default"
        )
    return _ZERO_VALUES[type_name]


def _render_kind(type_name: str, types: _TypeIndex) -> str:
    if _get_item_type(type_name) is not None:
        return "fields.Kind.LIST"
    if type_name in types.enums:
        return "fields.Kind.ENUM"
    if type_name in types.structs:
        return "fields.Kind.STRUCT"
    return f"fields.Kind.{type_name.upper()}"


def _render_class(type_name: str, types: _TypeIndex) -> str:
    type_name = _get_item_type(type_name) or type_name
    if type_name in types.enums:
        return f"enumerations.{type_name}"
    if type_name in types.structs:
        return types.qualify(type_name)
    return "None"


def _render_spec(raw_field: dict[str, Any], types: _TypeIndex) -> str:
    type_name = raw_field["type"]
    item = _get_item_type(type_name)
    parts = [repr(raw_field["name"]), _render_kind(type_name, types)]
    if item is not None:
        parts.append(f"item_kind={_render_kind(item, types)}")
    if _render_class(type_name, types) != "None":
        parts.append(f"type_class={_render_class(type_name, types)}")
    for key, argument in (
        ("required", "required"),
        ("min", "minimum"),
        ("max", "maximum"),
        ("min_items", "min_items"),
        ("pattern", "pattern"),
        ("unit", "unit"),
        ("doc", "doc"),
    ):
        if key in raw_field:
            parts.append(f"{argument}={raw_field[key]!r}")
    return f"fields.FieldSpec({', '.join(parts)})"


def _render_thrift_type(type_name: str, types: _TypeIndex) -> tuple[str, str]:
    """Return the wire type and the type argument of a Thrift field spec."""
    item = _get_item_type(type_name)
    if item is not None:
        wire, argument = _render_thrift_type(item, types)
        return "LIST", f"(Thrift.TType.{wire}, {argument}, True)"
    if type_name in types.enums:
        return "I32", "None"
    if type_name in types.structs:
        struct = types.qualify(type_name)
        return "STRUCT", f"[{struct}, {struct}.THRIFT_SPEC]"
    argument = {"string": "'UTF8'", "binary": "'BINARY'"}.get(type_name, "None")
    return _THRIFT_TYPES[type_name], argument


def _render_thrift(raw_field: dict[str, Any], types: _TypeIndex) -> str:
    if raw_field["type"] == "milliseconds":
        return "None"
    wire, argument = _render_thrift_type(raw_field["type"], types)
    return (
        f"({raw_field['id']}, Thrift.TType.{wire}, {raw_field['name']!r}, "
        f"{argument}, None)"
    )


def _render_allowed(raw_field: dict[str, Any]) -> str:
    if "pattern" in raw_field:
        return f"`{raw_field['pattern']}`"
    if "min" in raw_field or "max" in raw_field:
        return f"{raw_field.get('min', '')} to {raw_field.get('max', '')}"
    return ""


def _build_field(raw_field: dict[str, Any], types: _TypeIndex) -> Field:
    annotation = _render_annotation(raw_field["type"], types)
    if raw_field.get("optional"):
        annotation += " | None"
    unit = raw_field.get(
        "unit", "ms" if raw_field["type"] == "milliseconds" else ""
    )
    default = (
        "required"
        if raw_field.get("required")
        else raw_field.get("default", "")
    )
    return Field(
        id=raw_field["id"],
        name=raw_field["name"],
        type_name=raw_field["type"],
        annotation=annotation,
        default=_find_default(raw_field, types),
        spec=_render_spec(raw_field, types),
        thrift=_render_thrift(raw_field, types),
        idl=raw_field["type"],
        doc=raw_field["doc"],
        unit=unit,
        allowed=_render_allowed(raw_field),
        documented_default=str(default),
    )


def _build_structs(
    source: dict[str, Any], types: _TypeIndex
) -> Iterator[Struct]:
    for name, raw_struct in source.get("structs", {}).items():
        built = tuple(
            _build_field(item, types) for item in raw_struct["fields"]
        )
        yield Struct(
            name=name,
            doc=raw_struct["doc"],
            fields=built,
            enum_fields=tuple(f for f in built if f.type_name in types.enums),
        )


def _list_imports(
    structs: tuple[Struct, ...], modules: dict[str, str], name: str
) -> list[str]:
    """Return the generated modules that a module imports for its structs."""
    used = {
        modules.get(_get_item_type(field.type_name) or field.type_name, name)
        for struct in structs
        for field in struct.fields
    }
    return sorted(used - {name})


def generate_files() -> dict[pathlib.Path, str]:
    """Render every generated file.

    Returns
    -------
    dict of pathlib.Path to str
        Contents of each file by path.

    Raises
    ------
    ValueError
        If an enumeration field has no default, or two modules define the
        same struct.
    """
    sources = {name: _load(name) for name in _SOURCES}
    enums = frozenset(sources["enumerations"]["enums"])
    modules: dict[str, str] = {}
    for name, source in sources.items():
        for struct in source.get("structs", {}):
            if struct in modules:
                raise ValueError(
                    f"struct {struct!r} is defined in {modules[struct]!r} and "
                    f"in {name!r}"
                )
            modules[struct] = name
    built = {
        name: tuple(
            _build_structs(sources[name], _TypeIndex(enums, modules, name))
        )
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
    """Write the generated files, or check that they are up to date.

    Parameters
    ----------
    arguments : list of str
        Command line arguments; ``["--check"]`` compares without writing.

    Returns
    -------
    int
        Exit status: 1 if a checked file is out of date, else 0.
    """
    status = 0
    for path, text in generate_files().items():
        if "--check" not in arguments:
            path.parent.mkdir(exist_ok=True)
            path.write_text(text, "utf-8")
            continue
        if not path.exists() or path.read_text("utf-8") != text:
            print(f"{path} is out of date; run make generate", file=sys.stderr)
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
