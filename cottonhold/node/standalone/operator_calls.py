"""Answers operators' calls at the status socket: `cottonhold members`, `duties`, `zone` and `swap`."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from cottonhold.backend.connection_pool import EngineConnections
from cottonhold.config.relay import Config
from cottonhold.fleet.recovery.survey_results import OutageVerdict
from cottonhold.fleet.rolling_replacement.plan import ReplacementStep
from cottonhold.fleet_adapters.membership import MembershipAdapter
from cottonhold.fleet_adapters.recovery import RecoveryAdapter
from cottonhold.fleet_adapters.rolling_replacement import ReplacementCallError, RollingReplacementAdapter
from cottonhold.fleet_adapters.session_affinity import SessionAffinityAdapter
from cottonhold.fleet_adapters.zone_failover import OverrideError, ZoneFailoverAdapter
from cottonhold.membership.codec import MemberStatus
from cottonhold.node.gateway import Gateway
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import EngineState

if TYPE_CHECKING:
    from cottonhold.observe.metrics import Metrics, MetricsSnapshot


class Instance(Protocol):
    """The instance that answers; parts that are not configured, or that wait for the ledger, are None."""

    config: Config
    counters: Counters
    gateway: Gateway
    engines: EngineConnections
    membership: MembershipAdapter | None
    zone_failover: ZoneFailoverAdapter | None
    recovery: RecoveryAdapter | None
    rolling_replacement: RollingReplacementAdapter | None
    session_affinity: SessionAffinityAdapter | None


class OperatorCalls:
    """Answers calls for one instance; `has_metrics` states whether its configuration enables metrics."""

    def __init__(self, instance: Instance, has_metrics: bool) -> None:
        self.instance = instance
        self.metrics = make_metrics(instance, self.view) if has_metrics else None

    def answer(self, call: dict[str, Any]) -> dict[str, Any]:
        """Return the answer to a call, whose kind is under the key `call`, or the reason under `error`."""
        name = call.get("call")
        if name == "view":
            return self.view()
        if name == "order":
            return self._override_zone(call)
        if name in ("swap", "abort"):
            return self._replace_machines(call)
        if name == "metrics":
            if self.metrics is None:
                return {"error": "this instance has `metrics` off"}
            return {"metrics": self.metrics.text()}
        return {"error": f"there is no call {name!r}"}

    def view(self) -> dict[str, Any]:
        """Return the status of all parts."""
        instance = self.instance
        view: dict[str, Any] = {"name": instance.config.name}
        for part in (
            instance.membership,
            instance.zone_failover,
            instance.recovery,
            instance.rolling_replacement,
            instance.session_affinity,
        ):
            view |= part.status() if part is not None else {}
        return view

    def _override_zone(self, call: dict[str, Any]) -> dict[str, Any]:
        if self.instance.zone_failover is None:
            return {"error": "this instance has no section 'fleet'"}
        view = self._member_view()
        try:
            return view | self.instance.zone_failover.issue_override(call)
        except OverrideError as error:
            return {"error": str(error)}

    def _replace_machines(self, call: dict[str, Any]) -> dict[str, Any]:
        if self.instance.rolling_replacement is None:
            return {"error": "a swap needs state_dir, section 'fleet' and membership.voters"}
        view = self._member_view()
        try:
            return view | self.instance.rolling_replacement.call(call)
        except ReplacementCallError as error:
            return {"error": str(error)}

    def _member_view(self) -> dict[str, Any]:
        if self.instance.membership is None:
            return {"name": self.instance.config.name}
        return self.instance.membership.status()


def make_metrics(instance: Instance, view: Callable[[], dict[str, Any]]) -> Metrics:
    """Make the instance's metrics; `view` returns the status from which the gauges of its parts are read."""
    from cottonhold.observe.metrics import Metrics, MetricsSnapshot, count_by_label, enum_labels

    def read() -> MetricsSnapshot:
        status = view()
        engine_states = (endpoint.engine.state.value for endpoint in instance.engines.endpoints.values())
        members, verdicts, steps = dict[str, int](), dict[str, int](), dict[str, int]()
        if "members" in status:
            members = count_by_label(
                enum_labels(MemberStatus), (member["status"] for member in status["members"])
            )
        if "recovery" in status:
            verdicts = count_by_label(enum_labels(OutageVerdict), (status["recovery"]["verdict"],))
        if "swap" in status:
            steps = count_by_label(
                enum_labels(ReplacementStep), (row["step"] for row in status["swap"]["machines"])
            )
        return MetricsSnapshot(
            instance.counters.counts,
            instance.gateway.open_count,
            count_by_label((state.value for state in EngineState), engine_states),
            members,
            verdicts,
            steps,
        )

    return Metrics(read)
