"""Builds the configuration file of an instance in a scenario run; does no I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cottonhold.emulator.fault_injection.script import Scenario
from cottonhold.emulator.fault_injection.zone_distances import zone_of

MEMBERSHIP_KEY = b"a shared key of the rig"
HEALTH_CHECK_INTERVAL_MS = 500
MAX_RETRY_AFTER_MS = 1000
MAX_VOTERS = 5
MIN_INSTANCES_TO_VOTE = 3


@dataclass(slots=True, frozen=True)
class InstanceAddresses:
    """The ports of an instance and of its links.

    Attributes:
        client_port: Port for clients.
        peer_port: UDP port of the instance.
        peer_addresses: Public address of each instance, by its number; the switch forwards datagrams sent
            there to that instance's `peer_port`.
        engine_ports: Port of the link to each engine, by the engine's name.
        source_port: Port of the link to the source of the engine list; 0 if the scenario has none.
    """

    client_port: int
    peer_port: int
    peer_addresses: Sequence[str]
    engine_ports: Mapping[str, int]
    source_port: int = 0


def instance_config(
    scenario: Scenario, name: str, addresses: InstanceAddresses, state_folder: Path
) -> dict[str, Any]:
    """Return the configuration of an instance, in the format of the file that `cottonhold serve` reads."""
    number = int(name[1:])
    config: dict[str, Any] = {
        "name": name,
        "seed": scenario.seed * 100 + number,
        "listen": f"127.0.0.1:{addresses.client_port}",
        "number": number,
        "dispatchers": scenario.instances,
        "zones": scenario.zones,
        "machine_types": [{"name": "std", "cores": scenario.engine_traits.get("servers", 1)}],
        "classes": _query_classes(scenario),
        "known": [] if scenario.has_consul else _engines(addresses),
        "sources": [_engine_source(addresses)] if scenario.has_consul else [],
        "permits": {"cooldown_most_ms": MAX_RETRY_AFTER_MS},
        "peers": {
            "listen": f"127.0.0.1:{addresses.peer_port}",
            "announce": addresses.peer_addresses[number],
            "all": list(addresses.peer_addresses),
        },
        "membership": {
            "keys": [{"number": 1, "secret": MEMBERSHIP_KEY.decode()}],
            "probe_ms": HEALTH_CHECK_INTERVAL_MS,
        },
        "status_socket": f"{name}.sock",
    }
    # Earlier versions of the program do not support the keys below, so that they can play only scenarios that
    # need none of them.
    if scenario.has_state_folders:
        config["state_dir"] = str(state_folder)
        config["membership"]["voters"] = _voters(scenario)
        config["rules"] = _slow_start_rules(scenario)
    if scenario.instance_zones:
        config["peers"]["zones"] = list(scenario.instance_zones[: scenario.instances])
    if scenario.has_fleet:
        config["fleet"] = _fleet_features(scenario)
    return config


def _query_classes(scenario: Scenario) -> list[dict[str, Any]]:
    return [
        {
            "name": kind.name,
            "aim_ms": kind.patience_ms / 2,
            "deadline_ms": kind.patience_ms,
            "worth": scenario.utilities[kind.name],
            "late_worth": 1.0,
            "effect": "unsafe" if kind.is_load else "safe",
            "in_order": kind.is_load,
            "loads": kind.is_load,
        }
        for kind in scenario.request_classes
    ]


def _engines(addresses: InstanceAddresses) -> list[dict[str, str]]:
    return [
        {"id": engine, "address": f"127.0.0.1:{port}", "zone": zone_of(engine), "machine_type": "std"}
        for engine, port in addresses.engine_ports.items()
    ]


def _engine_source(addresses: InstanceAddresses) -> dict[str, Any]:
    address = f"127.0.0.1:{addresses.source_port}"
    guard = {"quiet_ms": 1, "quiet_most_ms": 1, "jitter": 0}
    return {"kind": "consul", "name": "dc1", "addresses": [address], "service": "engine", "guard": guard}


def _voters(scenario: Scenario) -> list[str]:
    if scenario.instances < MIN_INSTANCES_TO_VOTE:
        return []
    return scenario.instance_names()[:MAX_VOTERS]


def _slow_start_rules(scenario: Scenario) -> dict[str, float]:
    cold_slowdown = scenario.engine_traits.get("cold", 3.0)
    warm_after_ms = scenario.engine_traits.get("warm", 3000.0)
    return {"cold_from": 1 / cold_slowdown, "warm_within_ms": max(warm_after_ms, 1.0)}


def _fleet_features(scenario: Scenario) -> dict[str, bool]:
    features = {
        "price": scenario.has_admission,
        "outlook": scenario.has_failover_cost and scenario.has_admission and bool(scenario.instance_zones),
    }
    if scenario.has_affinity:
        features["pins"] = True
    return features
