"""Field descriptions that generated classes carry at run time."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

__all__ = ["FieldSpec", "Kind"]


class Kind(enum.Enum):
    """Type of a field or of a list's items."""

    BOOL = "bool"
    I32 = "i32"
    I64 = "i64"
    DOUBLE = "double"
    STRING = "string"
    BINARY = "binary"
    MILLISECONDS = "milliseconds"
    ENUM = "enum"
    STRUCT = "struct"
    LIST = "list"


@dataclasses.dataclass(frozen=True, slots=True)
class FieldSpec:
    """Constraints and description of one field.

    Parameters
    ----------
    name : str
        Name of the YAML key and of the attribute.
    kind : Kind
        Type of the value.
    item_kind : Kind or None
        Type of a list's items, None for other kinds.
    type_class : type or None
        Class of an enumeration or struct, also as the item type of a list.
    required : bool
        Whether the field must be present.
    minimum, maximum : float or None
        Inclusive bounds of a number, in `unit`.
    min_items : int
        Smallest number of items of a list.
    pattern : str
        Regular expression that must match the entire string, or empty.
    unit : str
        Unit of a number, or empty.
    doc : str
        Description for operators.
    """

    name: str
    kind: Kind
    item_kind: Kind | None = None
    type_class: Any = None
    required: bool = False
    minimum: float | None = None
    maximum: float | None = None
    min_items: int = 0
    pattern: str = ""
    unit: str = ""
    doc: str = ""
