"""Linear fits of measurements, and the table rows of the capacity page."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

__all__ = ["Measurements", "RoleCost", "LinearFit", "DesignTarget", "fit_line"]


@dataclasses.dataclass(frozen=True, slots=True)
class LinearFit:
    """Least-squares line through measured points.

    Parameters
    ----------
    unit : str
        Unit of the values.
    per : str
        What the sizes count, for example instances.
    sizes, values : tuple of float
        Measured points.
    slope, start : float
        Increase per unit of size, and value at size zero.
    """

    unit: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    start: float

    def at(self, size: float) -> float:
        """Return the value of the line at the given size."""
        return self.start + self.slope * size


@dataclasses.dataclass(frozen=True, slots=True)
class Measurements:
    """All measurements.

    Parameters
    ----------
    slopes : mapping of str to Slope
        Linear fit of each cost, by name.
    message_bytes : mapping of str to int
        Frame length of each type of control message.
    idle_rss_bytes : int
        Resident set size of an idle node process.
    added_p99_ms : float
        p99 latency that nodes add to a call.
    added_processor_ms : float
        Processor time that nodes add to a call.
    """

    slopes: Mapping[str, LinearFit]
    message_bytes: Mapping[str, int]
    idle_rss_bytes: int
    added_p99_ms: float
    added_processor_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class DesignTarget:
    """A design target and its projected value.

    Parameters
    ----------
    name, unit : str
        Name of the target and unit of its values.
    bound, value : float
        Upper bound and projected value.
    """

    name: str
    unit: str
    bound: float
    value: float

    @property
    def verdict(self) -> str:
        """Whether the target is met, with the factor if it is missed."""
        if self.value <= self.bound:
            return "met"
        return f"missed by a factor of {self.value / self.bound:.1f}"


@dataclasses.dataclass(frozen=True, slots=True)
class RoleCost:
    """Cost of one role of a node.

    Parameters
    ----------
    role, mechanism, state : str
        Name of the role, its mechanism and the state that it keeps.
    messages, processor_ms, traffic, memory : float
        Control messages/s, processor time in ms/s, traffic in bytes/s, and
        memory in bytes.
    """

    role: str
    mechanism: str
    state: str
    messages: float
    processor_ms: float
    traffic: float
    memory: float


def fit_line(
    unit: str, per: str, sizes: Sequence[float], values: Sequence[float]
) -> LinearFit:
    """Return the least-squares line through three or more points.

    Raises
    ------
    ValueError
        If there are fewer than three sizes.
    """
    if len(sizes) < 3:
        raise ValueError(f"got {len(sizes)} sizes, need 3 or more")
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    sum_of_squares = sum((size - mean_size) ** 2 for size in sizes)
    sum_of_products = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    slope = sum_of_products / sum_of_squares
    start = mean_value - slope * mean_size
    return LinearFit(unit, per, tuple(sizes), tuple(values), slope, start)
