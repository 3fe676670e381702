"""Concurrency limit that follows what the target's answers show."""

from __future__ import annotations

import collections
import math

from cyclamenwell import clock
from cyclamenwell.admission import tickets
from cyclamenwell.telemetry import logs

__all__ = ["AdaptiveLimit"]

_log = logs.PartLog("admission")
_Result = tickets.Result

# A mean response time up to this multiple of the baseline is tolerated. With
# less, the noise of a small round would cut the limit below the capacity.
_TOLERANCE = 1.5
# Up to this multiple there is no queue at the target, so growth may be fast.
_IDLE_RATIO = 1.25
# Scheduling jitter of a busy machine, which must not look like a queue.
_JITTER_MS = 1.0
_MAX_CUT = 0.5  # Lowest factor of one cut.
_FAST_GROWTH = 1.5
_WARM_UP_GROWTH = 2.0

# Samples. The standard error of a mean of 40 exponential times is 16%; with
# 16 samples, noise pulled the baseline and with it the limit down.
_MIN_ROUND = 40
_MIN_WARM_UP_ROUND = 16  # Growth from the cold limit has to be quick.
# A round this far under the baseline is more than noise: the target is faster.
_FASTER_RATIO = 0.8
# One slow round is often a few slow requests, two in a row are a queue.
_SLOW_ROUNDS = 2

# A jump this far over the baseline and the last round can not come from growth,
# which at most doubles the response time in one round.
_JUMP_RATIO = 3.0
_JUMP_FLOOR_MS = 5.0
_JUMP_SAMPLES = 16
_SHEDS_IN_A_ROW = 8
# One broken connection may be a keep-alive connection that the target closed.
_BREAKS_IN_A_ROW = 3

_MAX_FAILED_PART = 0.5
_FAILURE_CUT = 0.8

# A target that sheds again and again is tested by one request a round only.
_SHED_MEMORY = clock.Milliseconds(2000)
_FALLBACK_MEMORY = clock.Milliseconds(5000)
_MIN_HOLD = clock.Milliseconds(200)
# Holding longer would break the target of recovery within 5 s.
_MAX_HOLD = clock.Milliseconds(1600)

_PROBE_PERIOD = clock.Milliseconds(10_000)
# Bounds the cost of probes at slow targets to about one percent.
_PROBE_PERIOD_ANSWERS = 100.0
_PROBE_PART = 0.5
_LONG_AGO = clock.Milliseconds(-math.inf)


class _Round:
    """Samples since the last decision."""

    def __init__(self) -> None:
        self.count = 0
        self.failed = 0
        self.total_ms = 0.0
        self.peak = 0

    @property
    def mean_ms(self) -> float:
        return self.total_ms / self.count


class AdaptiveLimit:
    """Requests that may be at the target at once.

    Parameters
    ----------
    cold_limit : int
        Requests at once that a target that has just started can bear.
    max_in_progress : int
        Upper bound of the limit.

    Notes
    -----
    A gradient algorithm with slow start. After a change of the limit, as many
    answers as requests were in progress are left out; the next *round* has at
    least as many answers as the limit. Rounds of the requests admitted since
    the change would favour short ones, which are answered first. At the end of
    a round the mean response time is compared with a baseline: over 1.5
    times the baseline the limit shrinks in proportion, else it grows if it was
    used. Each shed takes one off the limit at once, because a target that
    sheds answers at its usual speed and the gradient would see nothing.

    The baseline is the mean response time without a queue at the target. It
    rises only where there can be no such queue: at the cold limit, while the
    limit is less than half used, and in a probe that halves the limit for one
    round. So a lasting overload does not raise it, while a slow deeper
    service, whose time does not depend on this limit, is taken into it and the
    limit returns.

    `docs/admission.md` weighs the alternatives. The class is guarded by the
    lock of the gate.
    """

    def __init__(self, cold_limit: int, max_in_progress: int) -> None:
        self._cold_limit = min(cold_limit, max_in_progress)
        self._max_in_progress = max_in_progress
        self._cap = max_in_progress
        self._limit = float(self._cold_limit)
        self._round = _Round()
        self._recent: collections.deque[float] = collections.deque(
            maxlen=_JUMP_SAMPLES
        )
        self._baseline_ms: float | None = None
        self._baseline_at = _LONG_AGO
        self._last_mean_ms = 0.0
        self._limit_before_probe: float | None = None
        self._sheds = 0
        self._breaks = 0
        self._slow_rounds = 0
        self._last_shed = _LONG_AGO
        self._last_fallback = _LONG_AGO
        self._hold = clock.ZERO
        self._hold_until = _LONG_AGO
        self._in_progress = 0
        self._settling = 0
        self.epoch = 0
        self.cold = True

    @property
    def value(self) -> int:
        """The limit in force, at least 1."""
        bounded = min(self._limit, self._max_in_progress, self._cap)
        return max(int(bounded), 1)

    def configure(self, cold_limit: int, max_in_progress: int) -> None:
        """Take new bounds; a limit that was earned by success stays."""
        if self._cap == self._max_in_progress:
            self._cap = max_in_progress
        was_lowest = self._limit <= self._cold_limit
        self._cold_limit = min(cold_limit, max_in_progress)
        self._max_in_progress = max_in_progress
        if was_lowest or self._limit < self._cold_limit:
            self._limit = float(self._cold_limit)
        self._limit = min(self._limit, float(max_in_progress))
        self._limit_before_probe = None
        self._restart_round()

    def cap(self, cap: int | None) -> None:
        """Set an upper bound from another source, None for no such bound."""
        self._cap = self._max_in_progress if cap is None else cap

    def note_use(self, in_progress: int) -> None:
        """Take note of the requests at the target."""
        self._in_progress = in_progress
        self._round.peak = max(self._round.peak, in_progress)

    def observe(
        self,
        observation: tickets.Observation,
        epoch: int,
        now: clock.Milliseconds,
    ) -> None:
        """Learn from a request that has left the target.

        Parameters
        ----------
        observation : tickets.Observation
            What it showed.
        epoch : int
            Epoch of its admission; a fallback starts a new one.
        now : clock.Milliseconds
            Present monotonic time.
        """
        if observation.result is _Result.NOT_SENT or epoch < self.epoch:
            return
        if observation.result is _Result.UNREACHABLE:
            self._fall_back(now, "the target refuses connections")
            return
        if observation.result is _Result.SHED:
            self._note_shed(now)
            return
        if observation.result is _Result.BROKEN:
            self._note_break(now)
            return
        if observation.result is _Result.FAILED:
            self._note_failure(now)
            return
        self._note_duration(observation, now)

    def _note_shed(self, now: clock.Milliseconds) -> None:
        self._last_shed = now
        self._sheds += 1
        # Each shed takes one off the limit, so growth beyond the slots of the
        # target ends without a fallback; here the sheds have halved the limit.
        halved = self._sheds >= max(self._limit, _SHEDS_IN_A_ROW)
        if halved and self._limit > self._cold_limit:
            self._fall_back(now, f"the target shed {self._sheds} in a row")
            return
        if self._limit > self._cold_limit:
            self.cold = False
        self._limit = max(min(self._limit, float(self.value)) - 1.0, 1.0)

    def _note_break(self, now: clock.Milliseconds) -> None:
        self._breaks += 1
        if self._breaks >= _BREAKS_IN_A_ROW:
            self._fall_back(
                now, f"the target broke {self._breaks} connections in a row"
            )

    def _note_failure(self, now: clock.Milliseconds) -> None:
        if self._is_settling():
            return
        self._round.failed += 1
        self._end_round_if_full(now)

    def _note_duration(
        self,
        observation: tickets.Observation,
        now: clock.Milliseconds,
    ) -> None:
        duration_ms = observation.duration.value
        if observation.result is _Result.ANSWERED:
            self._sheds = 0
            self._breaks = 0
        elif self._baseline_ms is None or duration_ms <= self._baseline_ms:
            # An exchange that was cut off gives a lower bound of its time,
            # which says nothing below the baseline.
            return
        self._recent.append(duration_ms)
        if self._sees_jump():
            self._fall_back(now, "the response time jumped")
            return
        if self._is_settling():
            return
        self._round.count += 1
        self._round.total_ms += duration_ms
        self._end_round_if_full(now)

    def _sees_jump(self) -> bool:
        if self._baseline_ms is None or len(self._recent) < _JUMP_SAMPLES:
            return False
        mean_ms = sum(self._recent) / _JUMP_SAMPLES
        usual_ms = max(self._baseline_ms, self._last_mean_ms)
        return mean_ms > _JUMP_RATIO * usual_ms + _JUMP_FLOOR_MS

    def _fall_back(self, now: clock.Milliseconds, reason: str) -> None:
        """Treat the target as just started."""
        if self._limit > self._cold_limit:
            _log.info(
                "limit falls from %d to the cold limit %d: %s",
                self.value,
                self._cold_limit,
                reason,
            )
        if (now - self._last_fallback) < _FALLBACK_MEMORY:
            self._hold = min(max(self._hold * 2, _MIN_HOLD), _MAX_HOLD)
        else:
            self._hold = clock.ZERO
        self._last_fallback = now
        self._hold_until = now + self._hold
        self._limit = float(self._cold_limit)
        self._limit_before_probe = None
        self._baseline_ms = None
        self._last_mean_ms = 0.0
        self._recent.clear()
        self._sheds = 0
        self._breaks = 0
        self.cold = True
        # What was admitted before shows nothing of the target as it is now.
        self.epoch += 1
        self._restart_round()
        self._settling = self.value

    def _restart_round(self) -> None:
        self._round = _Round()
        self._settling = max(self._in_progress, self.value)

    def _is_settling(self) -> bool:
        if self._settling == 0:
            return False
        self._settling -= 1
        return True

    def _end_round_if_full(self, now: clock.Milliseconds) -> None:
        probes = self._limit_before_probe is not None
        low = self.cold or self._limit <= 2 * self._cold_limit
        least = _MIN_WARM_UP_ROUND if low else _MIN_ROUND
        if self._round.count + self._round.failed < max(least, self.value):
            return
        ended = self._round
        self._round = _Round()
        if ended.failed > _MAX_FAILED_PART * (ended.count + ended.failed):
            self._limit_before_probe = None
            self._cut(_FAILURE_CUT)
            return
        if probes:
            self._end_probe(ended, now)
            return
        self._last_mean_ms = ended.mean_ms
        self._decide(ended, now)

    def _decide(self, ended: _Round, now: clock.Milliseconds) -> None:
        self._update_baseline(ended, now)
        tolerated_ms = _TOLERANCE * self._baseline_ms + _JITTER_MS
        if ended.mean_ms > tolerated_ms:
            self._slow_rounds += 1
            if self._slow_rounds < _SLOW_ROUNDS:
                return
            self._cut_slow(max(tolerated_ms / ended.mean_ms, _MAX_CUT), now)
            return
        self._slow_rounds = 0
        # Full use of a cap shows nothing of the limit above it.
        if ended.peak * 2 <= int(self._limit) or now < self._hold_until:
            return
        if self._is_probe_due(ended, now):
            self._start_probe()
            return
        self._grow(ended, now)

    def _update_baseline(self, ended: _Round, now: clock.Milliseconds) -> None:
        if self._baseline_ms is None:
            self._baseline_ms = ended.mean_ms
            self._baseline_at = now
            return
        difference_ms = ended.mean_ms - self._baseline_ms
        if self._limit <= self._cold_limit:
            self._baseline_ms += 0.5 * difference_ms
            self._baseline_at = now
        elif self.cold and ended.mean_ms <= _TOLERANCE * self._baseline_ms:
            # The first small rounds of a warm-up are noisy.
            self._baseline_ms += 0.25 * difference_ms
        elif ended.peak * 2 <= self.value:
            self._baseline_ms += 0.1 * difference_ms
            self._baseline_at = now
        elif ended.mean_ms < _FASTER_RATIO * self._baseline_ms:
            self._baseline_ms += 0.25 * difference_ms

    def _cut_slow(self, factor: float, now: clock.Milliseconds) -> None:
        if self._limit * factor > 2 * self._cold_limit:
            self.cold = False
            self._cut(factor)
            return
        # The answers stay slow without a queue at the target, so the target or
        # a deeper service is slow; the baseline is measured anew.
        self._fall_back(now, "the response time stays high")

    def _cut(self, factor: float) -> None:
        # Below the cold limit only sheds, which are certain, lower the limit.
        lowest = min(float(self._cold_limit), self._limit)
        self._limit = max(self._limit * factor, lowest)
        self._slow_rounds = 0
        self._restart_round()

    def _grow(self, ended: _Round, now: clock.Milliseconds) -> None:
        idle_ms = _IDLE_RATIO * self._baseline_ms + _JITTER_MS
        if (now - self._last_shed) < _SHED_MEMORY:
            grown = self._limit + 1.0
        elif ended.mean_ms <= idle_ms:
            factor = _WARM_UP_GROWTH if self.cold else _FAST_GROWTH
            grown = max(self._limit * factor, self._limit + 1.0)
        else:
            grown = self._limit + max(math.sqrt(self._limit) / 2, 1.0)
        self._limit = min(grown, float(self._max_in_progress))
        if self._limit >= self._max_in_progress:
            self.cold = False
        self._restart_round()

    def _is_probe_due(self, ended: _Round, now: clock.Milliseconds) -> bool:
        if self.cold or self._limit <= 2 * self._cold_limit:
            return False
        answers = clock.Milliseconds(ended.mean_ms * _PROBE_PERIOD_ANSWERS)
        return now - self._baseline_at > max(_PROBE_PERIOD, answers)

    def _start_probe(self) -> None:
        self._limit_before_probe = self._limit
        self._limit *= _PROBE_PART
        self._restart_round()

    def _end_probe(self, ended: _Round, now: clock.Milliseconds) -> None:
        # Half of the new value bounds the harm of one noisy probe.
        self._baseline_ms += 0.5 * (ended.mean_ms - self._baseline_ms)
        self._baseline_at = now
        # Sheds during the probe have lowered the limit for a reason.
        if (now - self._last_shed) >= _SHED_MEMORY:
            self._limit = self._limit_before_probe
        self._limit_before_probe = None
        self._restart_round()
