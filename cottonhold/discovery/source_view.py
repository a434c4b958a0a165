"""One source's view of the engines, with the safeguards against a faulty source applied; does no I/O.

Three safeguards apply to a source that is not trusted:

- *Minimum in service*: failed checks and absences can't take more than a configured share of the engines out
  of service. Losses beyond that are deferred: the engine stays in service until enough other engines are in
  service, it recovers, or a consistent read confirms that it is absent. If all engines seem to fail at the
  same time, the observer is more likely to be at fault than the engines, and the scheduler still detects the
  engines that really failed (refused connections, time-outs, errors).
- *Flap damping*: a loss takes effect immediately; an engine returns only after it was healthy for a quiet
  time (damping.py).
- *Cold start*: an engine that returns is treated as a new process with empty caches, unless the source proves
  that it is the same process as before.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import replace

from cottonhold.discovery.claim import Claim, PastStart
from cottonhold.discovery.damping import FlapDamping
from cottonhold.discovery.model import (
    ConfirmAbsence,
    LogEvent,
    Observation,
    ServiceStatus,
    SourceGuard,
    SourceReport,
    SourceUnavailable,
)
from cottonhold.discovery.start_times import StartTimes
from cottonhold.scheduler.events import EngineState

STATE_BY_STATUS = {
    ServiceStatus.IN_SERVICE: EngineState.LIVE,
    ServiceStatus.UNHEALTHY: EngineState.DRAINING,
    ServiceStatus.DRAINED: EngineState.DRAINING,
    ServiceStatus.ENDED: EngineState.REMOVED,
}
LOSSES = (ServiceStatus.UNHEALTHY, ServiceStatus.ENDED)  # the statuses that `min_in_service` limits
MAX_PAST_STARTS = 1024  # number of removed engines whose start times are kept


class SourceView:
    """All claims of one source, with its safeguards applied.

    `on_report`, `on_source_unavailable` and `step` change the claims. Afterwards `changed_engines` names the
    engines to evaluate again, and `actions` holds log events and reads to request; the caller clears both.
    """

    def __init__(self, name: str, precedence: int, guard: SourceGuard, seed: int, unix_offset: float) -> None:
        self.name, self.precedence, self.guard = name, precedence, guard
        self.start_times = StartTimes(unix_offset)
        self.damping = FlapDamping(guard, random.Random(f"{seed}/{name}"))
        self.claims: dict[str, Claim] = {}
        self.return_times: dict[str, float] = {}  # end of the quiet time, by engine
        self.deferred_losses: dict[str, Claim] = {}
        self.past_starts: dict[str, PastStart] = {}  # by id of a removed engine
        self.in_service_count = 0  # engines whose last applied observation is IN_SERVICE
        self.unhealthy_count = 0  # engines whose last applied observation is in LOSSES
        self.index, self.answer_count, self.last_answer_at = 0, 0, 0.0
        self.unreachable_since, self.unreachable_reason = math.inf, ""
        self.changed_engines: set[str] = set()
        self.actions: list[LogEvent | ConfirmAbsence] = []

    def on_report(self, now: float, report: SourceReport) -> None:
        """Apply a report, and add the engines that may have changed to `changed_engines`."""
        if self.unreachable_since < math.inf:
            self._log(
                "source_recovered", counted_as="source_back", after_ms=round(now - self.unreachable_since)
            )
            self.unreachable_since, self.unreachable_reason = math.inf, ""
        is_first, self.answer_count = self.answer_count == 0, self.answer_count + 1
        self.index, self.last_answer_at = report.index, now
        absent = list(report.absent)
        if report.is_complete:
            named = {observation.id for observation in report.observations}
            absent += [engine_id for engine_id in self.claims if engine_id not in named]
        absences = [
            (engine_id, self._as_absent(engine_id))
            for engine_id in dict.fromkeys(absent)
            if engine_id in self.claims
        ]
        losses: list[tuple[str, Observation]] = []
        for observation in report.observations:
            if self._on_observation(now, observation, report.index, is_first):
                losses.append((observation.id, observation))
        if report.is_confirmed:
            for engine_id, observation in absences:
                self._remove(now, engine_id, observation, "a consistent reading agrees")
        else:
            losses += absences
        self._on_losses(now, losses, report.index, report.is_confirmed)
        # A complete answer of the event stream, which is trusted, may be divided into many reports.
        if not self.guard.is_trusted:
            self.start_times.on_complete_answer(now)

    def on_source_unavailable(self, now: float, event: SourceUnavailable) -> None:
        """Log that the source is unavailable, and again only if the reason changes; keep all claims."""
        if self.unreachable_since == math.inf:
            self.unreachable_since = now
            self._log("source_lost", reason=event.reason, known_engines=len(self.claims), index=self.index)
        elif event.reason != self.unreachable_reason:
            self._log("source_still_lost", reason=event.reason, after_ms=round(now - self.unreachable_since))
        self.unreachable_reason = event.reason

    def step(self, now: float) -> None:
        """Return engines to service whose quiet time has ended, and apply deferred losses if possible."""
        for engine_id in [engine_id for engine_id, at in self.return_times.items() if at <= now]:
            claim = self.claims[engine_id]
            del self.return_times[engine_id]
            claim.returns_at = math.inf
            self._put_in_service(now, claim, claim.observation, "quiet for long enough")
        self._apply_deferred_losses(now)

    def next_at(self) -> float:
        """Return the time at which `step` is due; infinity if there is none."""
        return min(self.return_times.values(), default=math.inf)

    def _as_absent(self, engine_id: str) -> Observation:
        return replace(
            self.claims[engine_id].observation, status=ServiceStatus.ENDED, reason="no longer listed"
        )

    def _on_observation(self, now: float, observation: Observation, index: int, is_first: bool) -> bool:
        """Apply an observation of one engine; return true for a loss that `min_in_service` may defer."""
        claim = self.claims.get(observation.id)
        if claim is None:
            return self._add_claim(now, observation, index, is_first)
        claim.last_seen_at, claim.index = now, index
        observation = observation.completed_by(claim.observation)
        # A loss isn't stored as the observation yet: an engine that is in service only because its loss is
        # deferred must not be counted as healthy.
        if observation.status in LOSSES:
            if self.guard.is_trusted or claim.state is not EngineState.LIVE:
                self._apply_loss(now, claim, observation)
                return False
            return True
        self._set_observation(claim, observation)
        if observation.status is ServiceStatus.DRAINED:
            self._drain(now, claim, observation)
        elif claim.state is EngineState.LIVE:
            self._on_still_in_service(now, claim, observation)
        else:
            self._on_recovery(now, claim, observation)
        return False

    def _add_claim(self, now: float, observation: Observation, index: int, is_first: bool) -> bool:
        """Add a new engine; one without a stamp in the first answer is regarded as started long ago.

        An engine whose first observation is unhealthy is out of service: there is no earlier state that could
        remain in effect.
        """
        if observation.status is ServiceStatus.ENDED:
            return False
        started = 0.0 if is_first and observation.started_at <= 0 else self._derive_start(now, observation)
        past = self.past_starts.pop(observation.id, PastStart(0.0, 0.0))
        if self.guard.is_trusted and observation.started_at == past.stamp > 0:
            # The same stamp proves that the engine kept running while it wasn't listed.
            started = past.started_at
        state = STATE_BY_STATUS[observation.status]
        claim = Claim(
            observation,
            state,
            now,
            now,
            index,
            started,
            observation.started_at,
            observation.process_id,
            observation.registration_index,
            observation.address,
        )
        self.claims[observation.id] = claim
        self.changed_engines.add(observation.id)
        self._count_status(observation.status, 1)
        quiet_ms = 0.0 if self.guard.is_trusted else self.damping.quiet_ms(observation.id, now)
        if observation.status is ServiceStatus.IN_SERVICE and quiet_ms > 0:
            claim.state = EngineState.DRAINING
            self._delay_return(now, claim, quiet_ms)
        return False

    def _on_still_in_service(self, now: float, claim: Claim, observation: Observation) -> None:
        """Update an engine in service that is reported again, by the same or by a new process."""
        if self.guard.is_trusted:
            started = self._trusted_start(now, claim, observation)
        elif self._is_same_process(claim, observation):
            started = claim.started_at
            if started <= 0 < observation.started_at:
                # The initial list has no start times, and the engine may have restarted since then.
                started = self._derive_start(now, observation)
        else:
            started = self._derive_start(now, observation)
            self._log("engine_new_process", engine=observation.id, address=str(observation.address))
        self._set_process(claim, observation, started)

    def _set_process(self, claim: Claim, observation: Observation, started: float) -> None:
        claim.started_at = started
        claim.process_id, claim.registration_index = observation.process_id, observation.registration_index
        claim.address, claim.start_stamp = observation.address, observation.started_at
        self.changed_engines.add(observation.id)

    def _is_same_process(self, claim: Claim, observation: Observation) -> bool:
        """Return whether the observation can be of the process that served last."""
        if claim.process_id and observation.process_id:
            return claim.process_id == observation.process_id and claim.address == observation.address
        # An engine list from the configuration has no registration indexes (0): compare the address only.
        return (
            claim.registration_index in (0, observation.registration_index)
            and claim.address == observation.address
        )

    def _derive_start(self, now: float, observation: Observation) -> float:
        """Return the start of a new process on the local clock.

        Without a stamp that is long ago (0) for a trusted source, and `now` for any other.
        """
        if observation.started_at > 0:
            return self.start_times.local_start(now, observation.started_at)
        return 0.0 if self.guard.is_trusted else now

    def _trusted_start(self, now: float, claim: Claim, observation: Observation) -> float:
        """Return the start of an engine reported again; an unchanged stamp means the same process."""
        if observation.started_at == claim.start_stamp:
            return claim.started_at
        return self._derive_start(now, observation)

    def _on_recovery(self, now: float, claim: Claim, observation: Observation) -> None:
        if self.guard.is_trusted:
            self._put_in_service(now, claim, observation, observation.reason)
        elif claim.returns_at == math.inf:
            quiet_ms = self.damping.quiet_ms(observation.id, now)
            if quiet_ms > 0:
                self._delay_return(now, claim, quiet_ms)
            else:
                self._put_in_service(now, claim, observation, observation.reason)

    def _delay_return(self, now: float, claim: Claim, quiet_ms: float) -> None:
        claim.returns_at = self.return_times[claim.observation.id] = now + quiet_ms
        self._log(
            "engine_return_delayed",
            counted_as="engine_waits",
            engine=claim.observation.id,
            quiet_ms=round(quiet_ms),
        )

    def _put_in_service(self, now: float, claim: Claim, observation: Observation, reason: str) -> None:
        is_same = bool(observation.process_id) and self._is_same_process(claim, observation)
        if self.guard.is_trusted:
            started = self._trusted_start(now, claim, observation)
        else:
            started = claim.started_at if is_same else self._derive_start(now, observation)
        claim.state, claim.since = EngineState.LIVE, now
        self._set_process(claim, observation, started)
        self._log(
            "engine_in_service",
            counted_as="engine_in",
            engine=observation.id,
            reason=reason,
            is_warm=is_same,
        )

    def _drain(self, now: float, claim: Claim, observation: Observation) -> None:
        """Drain the engine: no new queries; those in progress may finish."""
        if claim.state is EngineState.LIVE or claim.returns_at < math.inf:
            self._count_failure(observation.id, now)
            self._log(
                "engine_draining",
                counted_as="engine_out",
                engine=observation.id,
                reason=observation.reason,
            )
        if claim.state is EngineState.LIVE:
            claim.since = now
        claim.returns_at = math.inf
        self.return_times.pop(observation.id, None)
        claim.state = EngineState.DRAINING
        self.changed_engines.add(observation.id)

    def _remove(self, now: float, engine_id: str, observation: Observation, reason: str) -> None:
        claim = self.claims.pop(engine_id)
        self._end_deferral(engine_id, claim)
        self._count_status(claim.observation.status, -1)
        self.return_times.pop(engine_id, None)
        if claim.start_stamp > 0:
            self.past_starts[engine_id] = PastStart(claim.start_stamp, claim.started_at)
            if len(self.past_starts) > MAX_PAST_STARTS:
                del self.past_starts[next(iter(self.past_starts))]
        if claim.state is EngineState.LIVE:
            self._count_failure(engine_id, now)
        self.changed_engines.add(engine_id)
        full_reason = f"{observation.reason}; {reason}" if reason else observation.reason
        self._log("engine_removed", counted_as="engine_gone", engine=engine_id, reason=full_reason)

    def _count_failure(self, engine_id: str, now: float) -> None:
        if not self.guard.is_trusted:  # a trusted source needs no quiet time
            self.damping.on_failure(engine_id, now)

    def _apply_loss(self, now: float, claim: Claim, observation: Observation) -> None:
        """Take the engine out of service, or remove it if it ended."""
        if observation.status is ServiceStatus.ENDED:
            self._remove(now, observation.id, observation, "")
        else:
            self._end_deferral(observation.id, claim)
            self._set_observation(claim, observation)
            self._drain(now, claim, observation)

    def _on_losses(
        self, now: float, losses: Iterable[tuple[str, Observation]], index: int, is_confirmed: bool
    ) -> None:
        """Apply the losses of one answer and all deferred ones, either all together or none of them."""
        known = [(engine_id, observation) for engine_id, observation in losses if engine_id in self.claims]
        for engine_id, observation in known:
            claim = self.claims[engine_id]
            if claim.state is not EngineState.LIVE or self.guard.is_trusted:
                self._apply_loss(now, claim, observation)
            elif claim.is_loss_deferred:
                claim.observation = observation
            else:
                self._defer_loss(claim, observation)
        if self._apply_deferred_losses(now) and known:
            self._log(
                "engine_losses_held",
                counted_as="floor_holds",
                held=len(self.deferred_losses),
                unhealthy=self.unhealthy_count,
                in_service=self.in_service_count,
                index=index,
            )
        absent = tuple(
            sorted(
                engine_id
                for engine_id, c in self.deferred_losses.items()
                if c.observation.status is ServiceStatus.ENDED
            )
        )
        if absent and not is_confirmed:
            self.actions.append(ConfirmAbsence(self.name, absent))

    def _apply_deferred_losses(self, now: float) -> bool:
        """Apply all deferred losses if enough engines remain in service; return whether any remain deferred.

        Healthy engines in their quiet time receive no queries, so they aren't counted as in service.
        """
        listed = self.in_service_count + self.unhealthy_count + len(self.deferred_losses)
        remaining = self.in_service_count - len(self.return_times)
        if remaining >= max(1, math.ceil(listed * self.guard.min_in_service - 1e-9)):
            for engine_id in list(self.deferred_losses):
                self._apply_loss(now, self.claims[engine_id], self.deferred_losses[engine_id].observation)
        return bool(self.deferred_losses)

    def _defer_loss(self, claim: Claim, observation: Observation) -> None:
        self._count_status(claim.observation.status, -1)
        claim.is_loss_deferred, claim.observation = True, observation
        self.deferred_losses[observation.id] = claim

    def _end_deferral(self, engine_id: str, claim: Claim) -> None:
        """End the deferral of a loss, and count the claim's status again until the caller replaces it."""
        if claim.is_loss_deferred:
            del self.deferred_losses[engine_id]
            claim.is_loss_deferred = False
            self._count_status(claim.observation.status, 1)

    def _set_observation(self, claim: Claim, observation: Observation) -> None:
        self._end_deferral(observation.id, claim)
        self._count_status(claim.observation.status, -1)
        claim.observation = observation
        self._count_status(observation.status, 1)

    def _count_status(self, status: ServiceStatus, by: int) -> None:
        if status is ServiceStatus.IN_SERVICE:
            self.in_service_count += by
        elif status in LOSSES:
            self.unhealthy_count += by

    def _log(self, event: str, counted_as: str = "", **fields: object) -> None:
        if not self.guard.is_trusted or event.startswith("source"):
            self.actions.append(LogEvent(event, {"source": self.name, **fields}, counted_as))
