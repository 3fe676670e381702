"""A configuration after the store has come back from a copy."""

from __future__ import annotations

import asyncio
import pathlib
import time
from typing import Any

import testbed

_COPY_AGE_SECONDS = 8.0
_AWAY_SECONDS = 1.5
# From the return of the store to the next change: more than the stability
# window of 3 s.
_CALM_SECONDS = 4.5
_APPLY_SECONDS = 2.0  # config_apply_ms
_WATCH_SECONDS = 12.0
_WITHDRAWN_KEY = "key-of-the-shop-that-was-withdrawn"
_KEPT_KEY = "key-of-the-shop-that-stays"


def _build(version: int, *, is_changed: bool) -> dict[str, Any]:
    """Build a configuration, before or after the change under test."""
    route = {
        "host": testbed.HOST,
        "kind": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 1000,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
    }
    keys = [_KEPT_KEY] if is_changed else [_KEPT_KEY, _WITHDRAWN_KEY]
    return testbed.build_configuration(
        version,
        [
            route
            | {
                "name": "bills",
                "prefix": "/bills/",
                "service": "ledger" if is_changed else "desk",
            },
            route | {"name": "desk", "prefix": "/desk/", "service": "desk"},
        ],
        ["desk", "ledger"],
        [{"name": "shop", "api_keys": keys, "rate_per_s": 0, "burst": 0}],
    )


async def _ask_all(
    bed: testbed.Bed, label: str, number: int
) -> list[tuple[str, testbed.Answer]]:
    """Ask each node once on the moved route and once with the old key."""
    questions = []
    for machine in bed.machines:
        name = f"{label}-{number}-{machine.name}"
        questions.append(("route", machine, f"{name}-r", "/bills/1", _KEPT_KEY))
        questions.append(
            ("key", machine, f"{name}-k", "/desk/1", _WITHDRAWN_KEY)
        )

    async def ask(what, machine, request_id, path, key):
        client = testbed.Client(machine, bed.record)
        answer = await client.ask(request_id, path, key=key)
        client.close()
        return what, answer

    return await asyncio.gather(*(ask(*question) for question in questions))


async def _scenario(bed: testbed.Bed) -> list[str]:
    for name, service, zone in (
        ("node-1", "desk", "zone-a"),
        ("node-2", "desk", "zone-b"),
        ("node-3", "ledger", "zone-a"),
        ("node-4", "ledger", "zone-b"),
    ):
        await bed.add_machine(name, service, zone)
    store = bed.store
    store.write("op/config", _build(11, is_changed=False))
    await bed.start()
    await asyncio.sleep(5.0)
    await _ask_all(bed, "before", 0)
    # Three configurations in the last seconds before the copy is taken back.
    for version in (13, 16, 18):
        store.write("op/config", _build(version, is_changed=False))
        await asyncio.sleep(1.5)
    if bed.has_trouble:
        store.stop()
        await asyncio.sleep(_AWAY_SECONDS)
        store.restore_copy(_COPY_AGE_SECONDS + _AWAY_SECONDS)
        await bed.start_store()
        # The operator writes its newest configuration again.
        await asyncio.sleep(0.2)
        store.write("op/config", _build(18, is_changed=False))
    calls, refused = store.calls, store.refused_watches
    await asyncio.sleep(_CALM_SECONDS)
    bed.record.say(
        f"in {_CALM_SECONDS:g} s the nodes made {store.calls - calls} calls, "
        f"{store.refused_watches - refused} of them watches that got 410; "
        f"{store.refused_calls} calls got 429"
    )
    store.write("op/config", _build(21, is_changed=True))
    acknowledged = time.monotonic()
    bed.record.say("version 21 is acknowledged: key withdrawn, route moved")
    found: dict[str, list[testbed.Answer]] = {"key": [], "route": []}
    number = 0
    while time.monotonic() < acknowledged + _WATCH_SECONDS:
        number += 1
        for what, answer in await _ask_all(bed, "after", number):
            is_late = answer.sent > acknowledged + _APPLY_SECONDS
            is_old = answer.status == 200 and (
                what == "key" or answer.body.startswith(b"desk")
            )
            if is_late and is_old:
                found[what].append(answer)
        await asyncio.sleep(0.5)
    runs = {
        run.request_id: run for m in bed.machines for run in m.upstream.runs
    }
    lines = []
    for what, answers in found.items():
        ran = [a for a in answers if a.request_id in runs]
        if not ran:
            continue
        last = max(a.sent for a in ran) - acknowledged
        lines.append(
            f"CONFIG: {len(ran)} requests sent more than {_APPLY_SECONDS:g} s "
            f"after the ack ran with the old {what}, the last one {last:.1f} s "
            "after it"
        )
    return lines


if __name__ == "__main__":
    testbed.main(pathlib.Path(__file__).resolve().parent, _scenario)
