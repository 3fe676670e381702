"""An upstream whose entry is removed, while the store cuts waiting watches."""

from __future__ import annotations

import asyncio
import pathlib
import time
from typing import Any

import testbed

# When the store cuts the waiting watches, from the removal of the entry.
_CUTS_SECONDS = (-1.1, 0.4)
_DRAIN_SECONDS = 2.0  # drain_ms
# When the upstream that replaces the leaving one starts.
_REPLACE_SECONDS = 1.5
# When the clients on the machine of the leaving one send.
_SEND_SECONDS = 2.8
# When the leaving one ends.
_EXIT_SECONDS = 3.5
_CLIENTS = 6
_KEY = "key-of-the-shop"


def _build() -> dict[str, Any]:
    route = {
        "name": "orders",
        "host": testbed.HOST,
        "prefix": "/orders/",
        "kind": "non_idempotent",
        "service": "orders",
        "timeout_ms": 3000,
        "target_latency_ms": 1500,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
    }
    return testbed.build_configuration(
        11,
        [route],
        ["orders"],
        [{"name": "shop", "api_keys": [_KEY], "rate_per_s": 0, "burst": 0}],
    )


async def _start_upstream(
    bed: testbed.Bed, machine: testbed.Machine, begin: float
) -> None:
    """Report the time for which a new upstream is cold, at its heartbeats."""
    for beat, cold_ms in enumerate((3000, 1500, 0)):
        await _sleep_until(begin + 1.5 * beat)
        bed.publish(machine, cold_remaining_ms=cold_ms)


async def _cut_watches(bed: testbed.Bed, removal: float) -> None:
    for seconds in _CUTS_SECONDS:
        await _sleep_until(removal + seconds)
        if bed.has_trouble:
            bed.store.cut_waiting()


async def _sleep_until(moment: float) -> None:
    await asyncio.sleep(max(moment - time.monotonic(), 0.0))


async def _scenario(bed: testbed.Bed) -> list[str]:
    leaving = await bed.add_machine("node-1", "orders")
    await bed.add_machine("node-2", "orders", "zone-b")
    added = await bed.add_machine("node-3", "orders", "zone-b")
    bed.store.write(f"servers/{added.upstream.target_id}", None)
    for machine in bed.machines:
        machine.upstream.work_seconds = 1.0
    bed.store.write("op/config", _build())
    await bed.start()
    await asyncio.sleep(6.0)
    removal = time.monotonic() - _CUTS_SECONDS[0]
    cuts = asyncio.ensure_future(_cut_watches(bed, removal))
    await _sleep_until(removal)
    leaving.upstream.is_leaving = True
    bed.store.write(f"servers/{leaving.upstream.target_id}", None)
    bed.record.say("the entry of i-node-1 is removed; it goes on serving")
    start = asyncio.ensure_future(
        _start_upstream(bed, added, removal + _REPLACE_SECONDS)
    )

    async def order(number: int) -> testbed.Answer:
        client = testbed.Client(leaving, bed.record)
        answer = await client.ask(
            f"order-{number}",
            "/orders/1",
            method="POST",
            key=_KEY,
            body=b"shut",
        )
        client.close()
        return answer

    await _sleep_until(removal + _SEND_SECONDS)
    orders = [asyncio.ensure_future(order(i)) for i in range(_CLIENTS)]
    await _sleep_until(removal + _EXIT_SECONDS)
    leaving.upstream.stop()
    bed.record.write("i-node-1 has ended")
    answers = await asyncio.gather(*orders)
    await start
    await cuts
    bed.record.say(f"the store has cut {bed.store.cut_watches} watches")
    late = [
        run
        for run in leaving.upstream.runs
        if run.begun > removal + _DRAIN_SECONDS
    ]
    if not late:
        return []
    last = max(run.begun for run in late) - removal
    ids = {run.request_id for run in late}
    lost = [a.status for a in answers if a.request_id in ids]
    return [
        f"DRAIN: {len(late)} requests reached i-node-1 up to {last:.1f} s "
        f"after its entry was removed; their clients got {lost}"
    ]


if __name__ == "__main__":
    testbed.main(pathlib.Path(__file__).resolve().parent, _scenario)
