"""Wire names of the platform occur only in the adapter."""

import pathlib
import re

PACKAGE = pathlib.Path(__file__).parents[2]
# Names that occur only on the wire of the platform, without common words.
WIRE_NAMES = re.compile(
    r"kv-(key|range|watch)|store_revision|app_addr|internal_port_range|"
    r"traffic_split|target_latency_ms|api_keys|rate_per_s\b|cold_per_s\b|"
    r"cold_remaining_ms['\"]\]|heartbeat_ms|x-api-key|response-seal|"
    r"not-executed|target-instance|caller-service|deadline-ms|"
    r"\bnon_idempotent['\"]|CYCLAMENWELL_NODE_FILE|op/(config|evacuate)",
    re.IGNORECASE,
)


def test_no_other_package_contains_wire_names():
    """Guards against code outside the adapter that depends on wire names."""
    found = [
        f"{path.relative_to(PACKAGE)}:{number}: {line.strip()}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if "platform" not in path.relative_to(PACKAGE).parts
        and "tests" not in path.parts
        for number, line in enumerate(path.read_text("utf-8").splitlines(), 1)
        if WIRE_NAMES.search(line)
    ]
    assert not found
