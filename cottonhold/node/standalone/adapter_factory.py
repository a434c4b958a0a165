"""Makes the adapters of membership, recovery and the fleet for one dispatcher.

Each adapter is made from the configuration in force and the dispatcher's own parts. The dispatcher decides
which adapters it needs, and connects them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from cottonhold.config.installation import Installation
from cottonhold.fleet_adapters.engine_drain import EngineDrainAdapter, EngineListOwner
from cottonhold.fleet_adapters.membership import MembershipAdapter, make_instance
from cottonhold.fleet_adapters.recovery import RecoveryAdapter, make_unavailable_guard
from cottonhold.fleet_adapters.recovery_folder import INCARNATIONS_PER_BOOT, incarnation_of
from cottonhold.fleet_adapters.rolling_replacement import RollingReplacementAdapter
from cottonhold.fleet_adapters.session_affinity import SessionAffinityAdapter
from cottonhold.fleet_adapters.unavailable_load_guard import UnavailableLoadGuard
from cottonhold.fleet_adapters.zone_failover import ZoneFailoverAdapter, make_coordinator
from cottonhold.node.dispatcher import Dispatcher
from cottonhold.store.ledger import Ledger


class AdapterFactory:
    """Makes adapters for one dispatcher; `installation` returns the configuration in force."""

    def __init__(self, dispatcher: Dispatcher, installation: Callable[[], Installation]) -> None:
        self.dispatcher, self.installation = dispatcher, installation
        self.clock, self.counters = dispatcher.event_loop.clock, dispatcher.counters
        self.log_event = dispatcher.log.note
        self.call_in_loop = dispatcher.event_loop.loop.call_soon_threadsafe

    def unavailable_load_guard(self, loads: Mapping[bytes, bytes]) -> UnavailableLoadGuard:
        """Make the load guard for the time without a ledger from the folder's readable records of loads."""
        return make_unavailable_guard(self.installation(), loads, self.clock, self.counters)

    def membership(
        self, ledger: Ledger | None, on_health_check: Callable[[str, dict[str, float]], None]
    ) -> MembershipAdapter:
        """Make membership, with a higher incarnation than at all former starts.

        `on_health_check` receives an engine and its load report after another instance's successful check.
        """
        # Without a ledger, the Unix time in ms is used, which is normally higher than at former starts.
        first_incarnation = int(self.clock.unix())
        if ledger is not None:
            first_incarnation = INCARNATIONS_PER_BOOT * ledger.boot_count
        return MembershipAdapter(
            make_instance(self.installation(), self.clock.now(), first_incarnation),
            self.clock,
            self.counters,
            self.dispatcher.event_loop.datagrams.send,
            self.dispatcher.engines.check_health,
            on_health_check,
            self.log_event,
        )

    def zone_failover(self, ledger: Ledger | None, membership: MembershipAdapter) -> ZoneFailoverAdapter:
        """Make the adapter of the fleet's coordinator: zone failover, admission and slow start."""
        swim = membership.instance.swim
        start_s = max(int(self.clock.unix() / 1000), 1)
        incarnation = incarnation_of(ledger) if ledger is not None else start_s
        return ZoneFailoverAdapter(
            make_coordinator(self.installation(), swim.id, self.clock.now(), incarnation),
            swim,
            self.clock,
            self.counters,
            membership.send_payload,
            self.dispatcher.gateway.push,
            self.log_event,
            self.dispatcher.engines.check_health,
            self.installation().file.dispatcher_index,
        )

    def recovery(
        self, ledger: Ledger, membership: MembershipAdapter | None, fleet: ZoneFailoverAdapter | None
    ) -> RecoveryAdapter:
        """Make recovery with its load guard; without membership it queries no other instances."""
        return RecoveryAdapter(
            self.installation(),
            ledger,
            membership.instance.swim if membership is not None else None,
            fleet.coordinator if fleet is not None else None,
            self.clock,
            self.call_in_loop,
            membership.send_payload if membership is not None else lambda member, payload: None,
            self.counters,
            self.log_event,
        )

    def engine_drains(
        self,
        owner: EngineListOwner,
        ledger: Ledger,
        membership: MembershipAdapter,
        fleet: ZoneFailoverAdapter,
        voters: Sequence[str],
    ) -> EngineDrainAdapter:
        """Make engine drains; `owner` has the engine list in which they quarantine engines."""
        return EngineDrainAdapter(owner, ledger, membership, fleet.coordinator, voters, self.call_in_loop)

    def rolling_replacement(
        self,
        ledger: Ledger,
        membership: MembershipAdapter,
        fleet: ZoneFailoverAdapter,
        recovery: RecoveryAdapter,
        drains: EngineDrainAdapter,
    ) -> RollingReplacementAdapter:
        """Make rolling replacement of machines, with the registers that the voters share."""
        gateway = self.dispatcher.gateway
        return RollingReplacementAdapter(
            self.installation(),
            ledger,
            membership.instance.swim,
            fleet.coordinator,
            recovery.survey,
            self.dispatcher.lifecycle,
            self.clock,
            self.call_in_loop,
            membership.send_payload,
            lambda: gateway.open_count,
            self.counters,
            self.log_event,
            drains,
        )

    def session_affinity(
        self,
        ledger: Ledger,
        membership: MembershipAdapter,
        fleet: ZoneFailoverAdapter,
        recovery: RecoveryAdapter,
        replacement: RollingReplacementAdapter,
    ) -> SessionAffinityAdapter:
        """Make session affinity, by which loads with an ordering key start at the key's owner."""
        return SessionAffinityAdapter(
            self.installation(),
            ledger,
            membership.instance.swim,
            fleet.coordinator,
            recovery.survey,
            replacement,
            recovery.load_guard,
            self.dispatcher.gateway,
            self.clock,
            self.call_in_loop,
            membership.send_payload,
            self.counters,
            self.log_event,
        )
