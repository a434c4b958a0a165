"""The invariants of a rolling replacement, checked by the model at each register change and action."""

from __future__ import annotations

from collections.abc import Callable

from cottonhold.emulator.replacement_fleet import ACTIVE_STEPS, DEATH_NOTICE_MS, Host, SimulatedFleet
from cottonhold.fleet.rolling_replacement.plan import (
    PLAN_REGISTER,
    MachineRecord,
    ReplacementStep,
    machine_id,
    register_name,
)
from cottonhold.fleet.rolling_replacement.plan_codec import decode_plan, decode_record

ZONE_NOTICE_MS = 500.0  # time after which every host has received the report of a zone's problem
CHECKED_TICKS = 40  # number of recent ticks whose running voters are checked

RecordListener = Callable[[str, MachineRecord], None]


class ReplacementInvariants:
    """Collects violations of the invariants, takeover times, and the steps of each machine.

    `record_listeners` are called with a machine's name and record after each change of the record.
    """

    def __init__(self, fleet: SimulatedFleet) -> None:
        self.fleet = fleet
        self.breaches: list[str] = []
        self.takeover_times_ms: list[float] = []
        self.steps_seen: dict[str, list[ReplacementStep]] = {}
        self.record_listeners: list[RecordListener] = []
        self._newest_effects: dict[str, tuple[int, str]] = {}  # epoch and acting host, by machine
        self._driverless_since: dict[str, float] = {}  # since when no driver runs, by machine
        self._voters_up: list[tuple[float, frozenset[str]]] = []  # time and running voters of each tick

    def breach(self, what: str) -> None:
        """Record the violation of an invariant."""
        self.breaches.append(f"{self.fleet.now:.0f}: {what}")

    def on_effect(self, host: Host, machine: str, epoch: int) -> None:
        """Check that only one host acts on a machine in an epoch, and none in an older epoch."""
        newest = self._newest_effects.get(machine, (-1, ""))
        if epoch < newest[0]:
            self.breach(f"{host.name} acts on {machine} under epoch {epoch} after {newest[0]}")
        if epoch == newest[0] and host.name != newest[1]:
            self.breach(f"{host.name} and {newest[1]} act on {machine} under epoch {epoch}")
        self._newest_effects[machine] = max(newest, (epoch, host.name))

    def is_fenced(self, machine: str, epoch: int) -> bool:
        """Return whether a host has already acted on the machine under a newer epoch than this one."""
        return epoch < self._newest_effects[machine][0]

    def on_register_changed(self, name: str, before: bytes, after: bytes) -> None:
        """Check a register's new value."""
        if name == PLAN_REGISTER:
            self._check_starts(before, after)
            return
        record, old_record = decode_record(after), decode_record(before)
        assert record is not None
        machine = next((m for m in self.fleet.hosts if register_name(m) == name), "")
        is_new_epoch = old_record is not None and old_record.epoch != record.epoch
        if is_new_epoch and machine in self._driverless_since:
            self.takeover_times_ms.append(self.fleet.now - self._driverless_since.pop(machine))
        if old_record is None or old_record.step is not record.step:
            self.steps_seen.setdefault(machine, []).append(record.step)
            self._check_limits()
            if record.step in (ReplacementStep.DRAINING, ReplacementStep.OUT):
                self._check_emptied(machine, record.step)
            if record.step is ReplacementStep.OUT:
                self._check_quorum(machine)
        self.notify_listeners(machine, record)

    def notify_listeners(self, machine: str, record: MachineRecord) -> None:
        """Call all listeners with a changed record."""
        for listener in self.record_listeners:
            listener(machine, record)

    def _check_starts(self, before: bytes, after: bytes) -> None:
        """Check that no machine is taken out while a problem of a zone is known."""
        for started in set(decode_plan(after).active_machine_ids) - set(
            decode_plan(before).active_machine_ids
        ):
            troubles = self.fleet.zone_troubles
            if any(self.fleet.now - since > ZONE_NOTICE_MS for _, since in troubles.values()):
                self.breach(f"{started:x} starts while {sorted(troubles)} is in trouble")

    def _records(self) -> dict[str, MachineRecord | None]:
        return {name: self.fleet.record(name) for name in self.fleet.hosts}

    def _check_limits(self) -> None:
        """Check that no more machines and zones are out at the same time than the plan permits."""
        plan = self.fleet.plan()
        out = [m for m, r in self._records().items() if r is not None and r.step in ACTIVE_STEPS]
        if len(out) > plan.max_concurrent:
            self.breach(f"{out} are out, at most {plan.max_concurrent} may be")
        if len({self.fleet.hosts[m].zone for m in out}) > plan.max_zones:
            self.breach(f"{out} are out, in more than {plan.max_zones} zones")

    def _check_emptied(self, machine: str, step: ReplacementStep) -> None:
        """Check that a machine drains only without sticky keys, and is out only once it may not own keys."""
        host = self.fleet.hosts[machine]
        if host.sticky_keys:
            self.breach(f"{machine} is {step.name} with {host.sticky_keys} pins")
        if step is ReplacementStep.OUT and host.is_in_membership_table:
            self.breach(f"{machine} goes out with its place in the table")

    def _check_quorum(self, machine: str) -> None:
        """Check that a majority of the voters stays up when a machine is taken out."""
        out = {m for m, r in self._records().items() if r is not None and r.step is ReplacementStep.OUT}
        out.add(machine)
        # The driver cannot have detected a fault that occurred just before.
        known_since = self.fleet.now - 1.5 * DEATH_NOTICE_MS
        remaining = [len(up - out) for at, up in self._voters_up[-CHECKED_TICKS:] if at > known_since]
        if remaining and max(remaining) <= self.fleet.host_count // 2:
            self.breach(f"{machine} goes out and leaves {max(remaining)} of {self.fleet.host_count} voters")

    def on_tick(self) -> None:
        """Record which voters are up, and since when replacements have had no running driver."""
        fleet = self.fleet
        voters = frozenset(h.name for h in fleet.hosts.values() if fleet.is_voting(h) and fleet.is_running(h))
        self._voters_up.append((fleet.now, voters))
        for machine in fleet.hosts:
            if self._is_driverless(machine):
                self._driverless_since.setdefault(machine, fleet.now)
            else:
                self._driverless_since.pop(machine, None)
        # No host can take over without a majority.
        if not any(
            h.coordinator and fleet.is_running(h) and fleet.has_majority(h) for h in fleet.hosts.values()
        ):
            self._driverless_since.clear()

    def _is_driverless(self, machine: str) -> bool:
        """Return whether a machine's replacement is active and its driver's process does not run."""
        record = self.fleet.record(machine)
        if record is None or record.step not in ACTIVE_STEPS:
            return False
        driver = next((h for n, h in self.fleet.hosts.items() if machine_id(n) == record.driver), None)
        return driver is not None and not self.fleet.is_running(driver)
