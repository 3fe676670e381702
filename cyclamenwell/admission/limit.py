"""Adaptive concurrency limit based on response times and failures."""

from __future__ import annotations

import collections
import math

from cyclamenwell import clock
from cyclamenwell.admission import tickets
from cyclamenwell.telemetry import logs

__all__ = ["AdaptiveLimit"]

_log = logs.ComponentLogger("admission")
_Result = tickets.Result

# Multiple of the baseline up to which a mean response time is tolerated. A
# smaller one would lower the limit below the capacity because of the noise in
# a small sample window.
_TOLERATED_RATIO = 1.5
# Up to this multiple of the baseline there is no queue at the target, so the
# limit may grow multiplicatively.
_IDLE_RATIO = 1.25
# Tolerance for scheduling jitter of a busy machine, which is not queueing.
_JITTER_MS = 1.0
_MIN_DECREASE_FACTOR = 0.5  # Lower bound of the factor of one decrease.
_FAST_GROWTH = 1.5
_WARM_UP_GROWTH = 2.0

# Samples in a window. The standard error of the mean of 40 exponentially
# distributed times is 16%; with 16 samples, noise lowered the baseline and with
# it the limit.
_MIN_WINDOW_SAMPLES = 40
_MIN_WARM_UP_WINDOW_SAMPLES = 16  # Allows fast growth from the cold limit.
# A window mean below this part of the baseline is not noise: the target has
# become faster.
_FASTER_RATIO = 0.8
# One slow window is often caused by a few slow requests; two consecutive ones
# indicate a queue.
_MIN_SLOW_WINDOWS = 2

# A mean this far above the baseline and the last window can not result from
# growth of the limit, which at most doubles the response time in one window.
_JUMP_RATIO = 3.0
_JUMP_FLOOR_MS = 5.0
_JUMP_SAMPLES = 16
_MIN_CONSECUTIVE_SHEDS = 8
# A single broken connection may be a keep-alive connection that the target has
# closed.
_MIN_CONSECUTIVE_BREAKS = 3

_MAX_FAILED_RATIO = 0.5
_FAILURE_DECREASE_FACTOR = 0.8

# For this time after a shed the limit grows by one request per window only, so
# that a target that sheds repeatedly gets few excess requests.
_SHED_RECOVERY_TIME = clock.Milliseconds(2000)
# A fallback within this time after the previous one starts or doubles the hold
# during which the limit does not grow.
_FALLBACK_BACKOFF_TIME = clock.Milliseconds(5000)
_MIN_GROWTH_HOLD = clock.Milliseconds(200)
# A longer hold would miss the objective of recovery within 5 s.
_MAX_GROWTH_HOLD = clock.Milliseconds(1600)

_PROBE_PERIOD = clock.Milliseconds(10_000)
# In mean response times: limits the cost of probes at slow targets to about one
# percent.
_PROBE_PERIOD_RESPONSE_TIMES = 100.0
_PROBE_LIMIT_FACTOR = 0.5
# Weights of a window mean in the baseline.
_COLD_BASELINE_WEIGHT = 0.5
_WARM_UP_BASELINE_WEIGHT = 0.25
_IDLE_BASELINE_WEIGHT = 0.1
_FASTER_BASELINE_WEIGHT = 0.25
_PROBE_BASELINE_WEIGHT = 0.5  # Limits the effect of one noisy probe.
_NEVER = clock.Milliseconds(-math.inf)


class _SampleWindow:
    """Samples since the last adjustment of the limit."""

    def __init__(self) -> None:
        self.count = 0
        self.failed = 0
        self.total_ms = 0.0
        self.peak = 0

    @property
    def mean_ms(self) -> float:
        return self.total_ms / self.count


class AdaptiveLimit:
    """Adaptive limit on the concurrent requests at the target.

    Parameters
    ----------
    cold_limit : int
        Concurrent requests that a target sustains right after its start.
    max_in_progress : int
        Upper bound of the limit.

    Attributes
    ----------
    epoch : int
        Number of fallbacks to the cold limit so far.
    cold : bool
        Whether the target is warming up.

    Notes
    -----
    A gradient algorithm with slow start. After a change of the limit, as many
    answers as requests were in progress are skipped; the next sample window has
    at least as many answers as the limit. A window of only the requests
    admitted since the change would be biased towards short ones, which are
    answered first. At the end of a window the mean response time is compared
    with a baseline: above 1.5 times the baseline the limit is decreased in
    proportion, else it grows if it was used. Each shed decreases the limit by
    one at once, because a target that sheds load responds at its usual speed
    and the gradient would not detect it.

    The baseline is the mean response time without a queue at the target. It
    rises only when there can be no such queue: at the cold limit, while at
    most half of the limit is used, and in a probe that halves the limit for
    one window. A lasting overload therefore does not raise it. A slow
    downstream service, whose response time does not depend on this limit, is
    included in the baseline, and the limit recovers.

    `docs/admission.md` compares the alternatives. Not thread-safe: the lock of
    the gate guards it.
    """

    def __init__(self, cold_limit: int, max_in_progress: int) -> None:
        self._cold_limit = min(cold_limit, max_in_progress)
        self._max_in_progress = max_in_progress
        self._cap = max_in_progress
        self._limit = float(self._cold_limit)
        self._window = _SampleWindow()
        self._recent_ms: collections.deque[float] = collections.deque(
            maxlen=_JUMP_SAMPLES
        )
        self._baseline_ms: float | None = None
        self._baseline_at = _NEVER
        self._last_mean_ms = 0.0
        self._limit_before_probe: float | None = None
        self._consecutive_sheds = 0
        self._consecutive_breaks = 0
        self._slow_windows = 0
        self._last_shed = _NEVER
        self._last_fallback = _NEVER
        self._growth_hold = clock.ZERO
        self._growth_hold_until = _NEVER
        self._in_progress = 0
        self._answers_to_skip = 0
        self.epoch = 0
        self.cold = True

    @property
    def value(self) -> int:
        """Limit in force, at least 1."""
        bounded = min(self._limit, self._max_in_progress, self._cap)
        return max(int(bounded), 1)

    def configure(self, cold_limit: int, max_in_progress: int) -> None:
        """Set new bounds; a limit that has grown within them is kept."""
        if self._cap == self._max_in_progress:
            self._cap = max_in_progress
        was_at_cold_limit = self._limit <= self._cold_limit
        self._cold_limit = min(cold_limit, max_in_progress)
        self._max_in_progress = max_in_progress
        if was_at_cold_limit or self._limit < self._cold_limit:
            self._limit = float(self._cold_limit)
        self._limit = min(self._limit, float(max_in_progress))
        self._limit_before_probe = None
        self._restart_window()

    def cap(self, cap: int | None) -> None:
        """Set an additional upper bound, or remove it with None."""
        self._cap = self._max_in_progress if cap is None else cap

    def reset_to_cold_limit(self, now: clock.Milliseconds, reason: str) -> None:
        """Reset to the cold limit, as for a target that has just started.

        Parameters
        ----------
        now : clock.Milliseconds
            Present monotonic time.
        reason : str
            Reason for the log.
        """
        if self._limit > self._cold_limit:
            _log.info(
                "limit reset from %d to the cold limit %d: %s",
                self.value,
                self._cold_limit,
                reason,
            )
        if (now - self._last_fallback) < _FALLBACK_BACKOFF_TIME:
            self._growth_hold = min(
                max(self._growth_hold * 2, _MIN_GROWTH_HOLD), _MAX_GROWTH_HOLD
            )
        else:
            self._growth_hold = clock.ZERO
        self._last_fallback = now
        self._growth_hold_until = now + self._growth_hold
        self._limit = float(self._cold_limit)
        self._limit_before_probe = None
        self._baseline_ms = None
        self._last_mean_ms = 0.0
        self._recent_ms.clear()
        self._consecutive_sheds = 0
        self._consecutive_breaks = 0
        self.cold = True
        # Samples of earlier admissions do not describe the present target.
        self.epoch += 1
        self._restart_window()
        self._answers_to_skip = self.value

    def record_in_progress(self, in_progress: int) -> None:
        """Record the number of requests at the target."""
        self._in_progress = in_progress
        self._window.peak = max(self._window.peak, in_progress)

    def observe(
        self,
        observation: tickets.Observation,
        epoch: int,
        now: clock.Milliseconds,
    ) -> None:
        """Update the limit after a request has ended.

        Parameters
        ----------
        observation : tickets.Observation
            Outcome and duration of the request.
        epoch : int
            Epoch of its admission. Requests of an earlier epoch are ignored.
        now : clock.Milliseconds
            Present monotonic time.
        """
        if observation.result is _Result.NOT_SENT or epoch < self.epoch:
            return
        if observation.result is _Result.UNREACHABLE:
            self.reset_to_cold_limit(now, "the target refuses connections")
            return
        if observation.result is _Result.SHED:
            self._record_shed(now)
            return
        if observation.result is _Result.BROKEN:
            self._record_break(now)
            return
        if observation.result is _Result.FAILED:
            self._record_failure(now)
            return
        self._record_duration(observation, now)

    def _record_shed(self, now: clock.Milliseconds) -> None:
        self._last_shed = now
        self._consecutive_sheds += 1
        # Each shed decreases the limit by one, so growth beyond the slots of
        # the target ends without a fallback; at this point consecutive sheds
        # have halved the limit.
        halved = self._consecutive_sheds >= max(
            self._limit, _MIN_CONSECUTIVE_SHEDS
        )
        if halved and self._limit > self._cold_limit:
            self.reset_to_cold_limit(
                now,
                f"{self._consecutive_sheds} consecutive requests were shed",
            )
            return
        if self._limit > self._cold_limit:
            self.cold = False
        self._limit = max(min(self._limit, float(self.value)) - 1.0, 1.0)

    def _record_break(self, now: clock.Milliseconds) -> None:
        self._consecutive_breaks += 1
        if self._consecutive_breaks >= _MIN_CONSECUTIVE_BREAKS:
            self.reset_to_cold_limit(
                now,
                f"{self._consecutive_breaks} consecutive connections broke",
            )

    def _record_failure(self, now: clock.Milliseconds) -> None:
        if self._skip_answer():
            return
        self._window.failed += 1
        self._end_window_if_full(now)

    def _record_duration(
        self,
        observation: tickets.Observation,
        now: clock.Milliseconds,
    ) -> None:
        duration_ms = observation.duration.value
        if observation.result is _Result.ANSWERED:
            self._consecutive_sheds = 0
            self._consecutive_breaks = 0
        elif self._baseline_ms is None or duration_ms <= self._baseline_ms:
            # The duration of an interrupted exchange is only a lower bound of
            # the response time, so it carries no information below the
            # baseline.
            return
        self._recent_ms.append(duration_ms)
        if self._has_latency_jump():
            self.reset_to_cold_limit(now, "the response time rose abruptly")
            return
        if self._skip_answer():
            return
        self._window.count += 1
        self._window.total_ms += duration_ms
        self._end_window_if_full(now)

    def _has_latency_jump(self) -> bool:
        if self._baseline_ms is None or len(self._recent_ms) < _JUMP_SAMPLES:
            return False
        mean_ms = sum(self._recent_ms) / _JUMP_SAMPLES
        usual_ms = max(self._baseline_ms, self._last_mean_ms)
        return mean_ms > _JUMP_RATIO * usual_ms + _JUMP_FLOOR_MS

    def _restart_window(self) -> None:
        self._window = _SampleWindow()
        self._answers_to_skip = max(self._in_progress, self.value)

    def _skip_answer(self) -> bool:
        """Return whether to skip this answer, and count it as skipped."""
        if self._answers_to_skip == 0:
            return False
        self._answers_to_skip -= 1
        return True

    def _end_window_if_full(self, now: clock.Milliseconds) -> None:
        is_probe = self._limit_before_probe is not None
        is_small = self.cold or self._limit <= 2 * self._cold_limit
        least = _MIN_WARM_UP_WINDOW_SAMPLES if is_small else _MIN_WINDOW_SAMPLES
        if self._window.count + self._window.failed < max(least, self.value):
            return
        ended = self._window
        self._window = _SampleWindow()
        if ended.failed > _MAX_FAILED_RATIO * (ended.count + ended.failed):
            self._limit_before_probe = None
            self._decrease(_FAILURE_DECREASE_FACTOR)
            return
        if is_probe:
            self._end_probe(ended, now)
            return
        self._last_mean_ms = ended.mean_ms
        self._adjust(ended, now)

    def _adjust(self, ended: _SampleWindow, now: clock.Milliseconds) -> None:
        self._update_baseline(ended, now)
        tolerated_ms = _TOLERATED_RATIO * self._baseline_ms + _JITTER_MS
        if ended.mean_ms > tolerated_ms:
            self._slow_windows += 1
            if self._slow_windows < _MIN_SLOW_WINDOWS:
                return
            self._decrease_for_latency(
                max(tolerated_ms / ended.mean_ms, _MIN_DECREASE_FACTOR), now
            )
            return
        self._slow_windows = 0
        # Full use of a cap does not show that the limit above it is sustained.
        if ended.peak * 2 <= int(self._limit) or now < self._growth_hold_until:
            return
        if self._is_probe_due(ended, now):
            self._start_probe()
            return
        self._grow(ended, now)

    def _update_baseline(
        self, ended: _SampleWindow, now: clock.Milliseconds
    ) -> None:
        if self._baseline_ms is None:
            self._baseline_ms = ended.mean_ms
            self._baseline_at = now
            return
        difference_ms = ended.mean_ms - self._baseline_ms
        if self._limit <= self._cold_limit:
            self._baseline_ms += _COLD_BASELINE_WEIGHT * difference_ms
            self._baseline_at = now
        elif (
            self.cold and ended.mean_ms <= _TOLERATED_RATIO * self._baseline_ms
        ):
            # The first, small sample windows of a warm-up are noisy.
            self._baseline_ms += _WARM_UP_BASELINE_WEIGHT * difference_ms
        elif ended.peak * 2 <= self.value:
            self._baseline_ms += _IDLE_BASELINE_WEIGHT * difference_ms
            self._baseline_at = now
        elif ended.mean_ms < _FASTER_RATIO * self._baseline_ms:
            self._baseline_ms += _FASTER_BASELINE_WEIGHT * difference_ms

    def _decrease_for_latency(
        self, factor: float, now: clock.Milliseconds
    ) -> None:
        if self._limit * factor > 2 * self._cold_limit:
            self.cold = False
            self._decrease(factor)
            return
        # Responses stay slow without a queue at the target, so the target or a
        # downstream service is slow; the baseline is measured again.
        self.reset_to_cold_limit(now, "the response time stays high")

    def _decrease(self, factor: float) -> None:
        # Below the cold limit only sheds, which are an unambiguous overload
        # signal, decrease the limit.
        lowest = min(float(self._cold_limit), self._limit)
        self._limit = max(self._limit * factor, lowest)
        self._slow_windows = 0
        self._restart_window()

    def _grow(self, ended: _SampleWindow, now: clock.Milliseconds) -> None:
        idle_ms = _IDLE_RATIO * self._baseline_ms + _JITTER_MS
        if (now - self._last_shed) < _SHED_RECOVERY_TIME:
            grown = self._limit + 1.0
        elif ended.mean_ms <= idle_ms:
            factor = _WARM_UP_GROWTH if self.cold else _FAST_GROWTH
            grown = max(self._limit * factor, self._limit + 1.0)
        else:
            grown = self._limit + max(math.sqrt(self._limit) / 2, 1.0)
        self._limit = min(grown, float(self._max_in_progress))
        if self._limit >= self._max_in_progress:
            self.cold = False
        self._restart_window()

    def _is_probe_due(
        self, ended: _SampleWindow, now: clock.Milliseconds
    ) -> bool:
        if self.cold or self._limit <= 2 * self._cold_limit:
            return False
        answers = clock.Milliseconds(
            ended.mean_ms * _PROBE_PERIOD_RESPONSE_TIMES
        )
        return now - self._baseline_at > max(_PROBE_PERIOD, answers)

    def _start_probe(self) -> None:
        self._limit_before_probe = self._limit
        self._limit *= _PROBE_LIMIT_FACTOR
        self._restart_window()

    def _end_probe(self, ended: _SampleWindow, now: clock.Milliseconds) -> None:
        self._baseline_ms += _PROBE_BASELINE_WEIGHT * (
            ended.mean_ms - self._baseline_ms
        )
        self._baseline_at = now
        # The decrease caused by sheds during the probe is kept.
        if (now - self._last_shed) >= _SHED_RECOVERY_TIME:
            self._limit = self._limit_before_probe
        self._limit_before_probe = None
        self._restart_window()
