"""The adapter of the fleet's coordinator: attempts as evidence, operators' overrides, the status socket."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path
from typing import Any

import pytest

from cottonhold.backend.attempt import Attempt
from cottonhold.discovery.model import Address
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.settings import FleetSettings
from cottonhold.fleet.zone_failover.zone_state import ZonePhase
from cottonhold.fleet_adapters.membership import FLEET_REPORT, MembershipAdapter
from cottonhold.fleet_adapters.zone_failover import OverrideError, ZoneFailoverAdapter
from cottonhold.membership.codec import KeyRing
from cottonhold.membership.duties import Duty, DutyScheduler
from cottonhold.membership.events import DatagramReceived, MessageReceived, SendDatagram
from cottonhold.membership.instance import MembershipInstance
from cottonhold.membership.leases import LeaseSettings
from cottonhold.membership.swim import Swim
from cottonhold.membership.swim_settings import SwimSettings
from cottonhold.node import status
from cottonhold.node.client_request import ClientRequest
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import AttemptEnded, Outcome
from cottonhold.transport.event_loop import EventLoop
from tests.support.scenario import FakeClock

PLACE = Address("127.0.0.1", 7000)


def make(clock: FakeClock) -> tuple[ZoneFailoverAdapter, list[Any]]:
    bounds = list[Any]()
    fleet = FleetCoordinator(1, 1, clock.now(), FleetSettings(dispatchers=1, checks_are_shared=False), 1)
    adapter = ZoneFailoverAdapter(
        fleet,
        Swim("n0", PLACE, SwimSettings(), 1, 1),
        clock,
        Counters(),
        lambda member, data: None,
        bounds.append,
        lambda event, **fields: None,
        lambda engine: True,
    )
    adapter.set_engines({zone: {f"{zone}{i}": 1.0 for i in range(3)} for zone in "ab"})
    adapter.start()
    return adapter, bounds


@pytest.mark.parametrize(
    "outcome, is_evacuated",  # failed attempts end after 1 ms, successful ones after 20 ms
    [
        (Outcome.CONNECT_FAILED, True),
        (Outcome.RESET, True),
        (Outcome.ERROR, True),
        (Outcome.TIMEOUT, False),
        (Outcome.OVERLOADED, False),
        (Outcome.NOT_STARTED, False),
        (Outcome.CANCELLED, False),
    ],
)
def test_the_results_of_attempts_decide_on_an_evacuation(outcome: Outcome, is_evacuated: bool) -> None:
    clock = FakeClock()
    adapter, bounds = make(clock)
    for n in range(300):
        engine = f"{'ab'[n % 2]}{n // 2 % 3}"
        attempt = Attempt(f"q{n}", 0, engine, "lookup", b"", 1, clock.now(), 0.0)
        adapter.on_request_arrived(
            ClientRequest(f"q{n}", 0, "lookup", clock.now(), 1000.0, 0.0, 0.0, -1, None, False, b"")
        )
        adapter.on_attempt_sent(attempt, 0)
        has_failed = n >= 100 and engine[0] == "a"
        end = AttemptEnded(
            attempt.request_id, 0, engine, outcome if has_failed else Outcome.OK, 1.0 if has_failed else 20.0
        )
        adapter.on_attempt_ended(attempt, end)
        clock.run_until(clock.now() + 5.0, lambda: None)
    assert (adapter.coordinator.evacuation.states["a"].phase is ZonePhase.EVACUATED) is is_evacuated
    assert adapter.coordinator.evacuation.states["b"].phase is ZonePhase.IN_SERVICE
    assert bool(bounds) is is_evacuated and (
        not is_evacuated or set(bounds[-1].work_rate_by_engine.values()) == {0.0}
    )


@pytest.mark.parametrize(
    "changes, wanted",
    [
        ({"zone": "nowhere"}, "no zone"),
        ({"zone": None}, "no zone"),
        ({"mode": "explode"}, "mode"),
        ({"for_ms": 0}, "for_ms"),
        ({"for_ms": True}, "for_ms"),
        ({"for_ms": "long"}, "for_ms"),
        ({"for_ms": 1e12}, "for_ms"),
        ({"who": ""}, "who"),
        ({"why": 7}, "why"),
    ],
    ids=str,
)
def test_an_invalid_override_is_rejected_with_its_reason(changes: dict[str, Any], wanted: str) -> None:
    adapter, bounds = make(FakeClock())
    valid_call = {"zone": "a", "mode": "leave", "for_ms": 1000, "who": "me", "why": "work"}
    with pytest.raises(OverrideError, match=wanted):
        adapter.issue_override(valid_call | changes)
    assert not bounds
    (row, _) = adapter.issue_override(valid_call)["zones"]
    assert row["phase"] == "out" and row["order"]["why"] == "work" and bounds


@pytest.mark.parametrize(
    "sent, wanted",
    [
        (b"", {"echo": {"call": "view"}}),
        (b'{"call": "view"}\n', {"echo": {"call": "view"}}),
        (b'{"call": "order", "zone": "a"}\n', {"echo": {"call": "order", "zone": "a"}}),
        (b"[1]\n", "not an object"),
        (b"nonsense\n", "can't be read"),
        (b"x" * 5000, "too long"),
    ],
    ids=["silent", "view", "order", "list", "nonsense", "long"],
)
def test_a_call_at_the_local_socket(tmp_path: Path, sent: bytes, wanted: Any) -> None:
    path = tmp_path / "n.sock"

    async def scenario() -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        driver = EventLoop(loop, Counters(), lambda text: None)
        serving = asyncio.create_task(status.serve(driver, status.listen(path), lambda call: {"echo": call}))

        def call() -> dict[str, Any]:
            if sent.startswith(b"{"):
                return status.call_instance(path, json.loads(sent))
            data = b""
            with socket.socket(socket.AF_UNIX) as sock:
                sock.settimeout(10)
                sock.connect(str(path))
                sock.sendall(sent)
                while part := sock.recv(65536):
                    data += part
            answer: dict[str, Any] = json.loads(data)
            return answer

        answer = await asyncio.to_thread(call)
        serving.cancel()
        return answer

    answer = asyncio.run(scenario())
    assert answer == wanted if isinstance(wanted, dict) else wanted in answer["error"]


def test_fleet_messages_travel_in_membership_datagrams_up_to_their_limit() -> None:
    keys, places = KeyRing({1: b"a shared key"}, 1), [Address("127.0.0.1", 1), Address("127.0.0.1", 2)]
    ends = [Swim(f"n{i}", places[i], SwimSettings(), i, 5, keys, places) for i in range(2)]
    here, there = ends
    assert here.payload_to(b"x", there.id) is None, "never met"
    for now in range(0, 3000, 100):
        for one, other in ((here, there), (there, here)):
            for action in one.step(float(now)):
                if isinstance(action, SendDatagram):
                    replies = other.step(float(now), [DatagramReceived(action.data, one.address)])
                    back = [
                        DatagramReceived(r.data, other.address)
                        for r in replies
                        if isinstance(r, SendDatagram)
                    ]
                    one.step(float(now), back)
    sent = here.payload_to(b"x" * here.codec.update_capacity(), there.id)
    assert sent is not None and len(sent.data) == 256 and sent.address == there.address
    received = [
        a
        for a in there.step(3000.0, [DatagramReceived(sent.data, here.address)])
        if isinstance(a, MessageReceived)
    ]
    assert [h.message.payload for h in received] == [b"x" * here.codec.update_capacity()]
    assert here.payload_to(b"x" * (here.codec.update_capacity() + 1), there.id) is None


def test_a_joining_member_is_announced_at_once() -> None:
    """Without this notification, a member that joined late would know no others for half a second."""
    clock, sent, joined = FakeClock(), list[bytes](), list[float]()
    swim = Swim("n0", PLACE, SwimSettings(), 1, 1)
    other = Swim("n1", Address("127.0.0.1", 7001), SwimSettings(), 1, 1, seeds=[PLACE])
    adapter = MembershipAdapter(
        MembershipInstance(
            swim,
            DutyScheduler(swim.id, [Duty(FLEET_REPORT, 1000.0)], [swim.id], LeaseSettings(), clock.now(), 1),
        ),
        clock,
        Counters(),
        lambda data, address: sent.append(data),
        lambda engine: True,
        lambda engine, report: None,
        lambda event, **fields: None,
    )
    adapter.on_joined = lambda: joined.append(clock.now())
    adapter.start()
    clock.run_until(clock.now() + 150.0, lambda: None)
    assert not joined
    hello = next(a for a in other.step(clock.now()) if isinstance(a, SendDatagram))
    joined_at = clock.now()
    assert adapter.on_datagram(hello.data, other.address)
    clock.run_until(joined_at + 1.0, lambda: None)
    assert joined == [joined_at] and [m.name for m in swim.members_by_name()] == ["n1"]
