"""Measured slopes and the rows of the page."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

__all__ = ["Figures", "Row", "Slope", "Target", "fit"]


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Least-squares line through measured points.

    Parameters
    ----------
    unit : str
        Unit of the values.
    per : str
        What the sizes count.
    sizes, values : tuple of float
        Measured points.
    slope, start : float
        Growth for each unit of size, and value at size zero.
    """

    unit: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    start: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.start + self.slope * size


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """All that was measured.

    Parameters
    ----------
    slopes : mapping of str to Slope
        By name.
    message_bytes : mapping of str to int
        Frame length of each control message.
    idle_rss_bytes : int
        Resident size of an idle node process.
    added_p99_ms : float
        Time that nodes add to a call, from `bench`.
    added_processor_ms : float
        Processor time that nodes add to a call, from `bench`.
    """

    slopes: Mapping[str, Slope]
    message_bytes: Mapping[str, int]
    idle_rss_bytes: int
    added_p99_ms: float
    added_processor_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target of the design page beside the worked-out value.

    Parameters
    ----------
    name, unit : str
        What is compared, and its unit.
    bound, value : float
        Most that is permitted, and the worked-out value.
    """

    name: str
    unit: str
    bound: float
    value: float

    @property
    def verdict(self) -> str:
        """Whether the target is met, and the factor if not."""
        if self.value <= self.bound:
            return "met"
        return f"missed by a factor of {self.value / self.bound:.1f}"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What one role costs a node.

    Parameters
    ----------
    role, mechanism, state : str
        Name, what carries it, and what it keeps.
    messages, processor_ms, traffic, memory : float
        Messages/s, ms of processor time a second, bytes/s, bytes.
    """

    role: str
    mechanism: str
    state: str
    messages: float
    processor_ms: float
    traffic: float
    memory: float


def fit(
    unit: str, per: str, sizes: Sequence[float], values: Sequence[float]
) -> Slope:
    """Return the least-squares line through at least three points."""
    if len(sizes) < 3:
        raise ValueError(f"{len(sizes)} sizes, must be 3 or more")
    middle = sum(sizes) / len(sizes)
    mean = sum(values) / len(values)
    spread = sum((size - middle) ** 2 for size in sizes)
    together = sum(
        (size - middle) * (value - mean)
        for size, value in zip(sizes, values, strict=True)
    )
    slope = together / spread
    start = mean - slope * middle
    return Slope(unit, per, tuple(sizes), tuple(values), slope, start)
