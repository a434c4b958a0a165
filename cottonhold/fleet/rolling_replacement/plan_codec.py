"""Codec of the plan and of machine records in registers, of at most 120 bytes each; does no I/O.

Field sizes are in bytes; n is the length of a text that follows its one-byte length.

    plan: format 1 | state 1 | serial 4 | first serial 4 | epoch 4 | locked by 8 | max out 1 | max zones 1 |
          first machine 1 + n | requested by 1 + n | machines out 1, each 8
    record: format 1 | step 1 | serial 4 | epoch 4 | driver 8 | duration 2 | flags 1 | zone 2 | cores 2 |
            requested cores 2 | arrived cores 2 | incarnation 4 | reason 1 | replacement 1 + n | next 1 + n |
            requested by 1 + n

Cores are in tenths, durations are in tenths of a second.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from functools import lru_cache

from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.rolling_replacement.plan import (
    MAX_CONCURRENT_REPLACEMENTS,
    MAX_REQUESTER_BYTES,
    MachineFlag,
    MachineRecord,
    PlanState,
    ReplacementPlan,
    ReplacementStep,
    StepReason,
)
from cottonhold.membership.codec import MAX_NAME_BYTES

PLAN_FORMAT = struct.Struct("!BBIIIQBB")
RECORD_FORMAT = struct.Struct("!BBIIQHBHHHHIB")
FORMAT_VERSION = 1


def encode_plan(plan: ReplacementPlan) -> bytes:
    """Encode a plan."""
    head = PLAN_FORMAT.pack(
        FORMAT_VERSION,
        plan.state,
        plan.serial,
        plan.first_serial,
        plan.epoch,
        plan.locked_by,
        plan.max_concurrent,
        plan.max_zones,
    )
    return (
        head
        + _encode_text(plan.first_machine)
        + _encode_text(plan.requested_by)
        + bytes([len(plan.active_machine_ids)])
        + struct.pack(f"!{len(plan.active_machine_ids)}Q", *plan.active_machine_ids)
    )


@lru_cache(64)
def decode_plan(data: bytes) -> ReplacementPlan:
    """Decode a plan; empty data is the initial plan. Raises MessageError."""
    if not data:
        return ReplacementPlan()
    try:
        fields = PLAN_FORMAT.unpack_from(data)
        format_version, state, serial, first_serial, epoch, locked_by, max_concurrent, max_zones = fields
        max_sizes = (MAX_NAME_BYTES, MAX_REQUESTER_BYTES)
        texts, position = _decode_texts(data, PLAN_FORMAT.size, max_sizes)
        active_machine_ids = struct.unpack(f"!{data[position]}Q", data[position + 1 :])
        if format_version != FORMAT_VERSION or len(active_machine_ids) > MAX_CONCURRENT_REPLACEMENTS:
            raise MessageError("malformed plan")
        return ReplacementPlan(
            state=PlanState(state),
            serial=serial,
            first_serial=first_serial,
            epoch=epoch,
            locked_by=locked_by,
            max_concurrent=max_concurrent,
            max_zones=max_zones,
            first_machine=texts[0],
            requested_by=texts[1],
            active_machine_ids=active_machine_ids,
        )
    except (struct.error, IndexError, ValueError):
        raise MessageError("malformed plan") from None


def encode_record(record: MachineRecord) -> bytes:
    """Encode a machine's record."""
    head = RECORD_FORMAT.pack(
        FORMAT_VERSION,
        record.step,
        record.serial,
        record.epoch,
        record.driver,
        record.duration_tenths,
        record.flags,
        record.zone,
        record.cores_tenths,
        record.requested_cores_tenths,
        record.arrived_cores_tenths,
        record.incarnation,
        record.reason,
    )
    return (
        head
        + _encode_text(record.replacement)
        + _encode_text(record.next_machine)
        + _encode_text(record.requested_by)
    )


@lru_cache(1024)
def decode_record(data: bytes) -> MachineRecord | None:
    """Decode a machine's record; return None for empty data. Raises MessageError."""
    if not data:
        return None
    try:
        fields = RECORD_FORMAT.unpack_from(data)
        format_version, step, serial, epoch, driver, duration, flags, zone = fields[:8]
        cores, requested_cores, arrived_cores, incarnation, reason = fields[8:]
        max_sizes = (MAX_NAME_BYTES, MAX_NAME_BYTES, MAX_REQUESTER_BYTES)
        texts, position = _decode_texts(data, RECORD_FORMAT.size, max_sizes)
        if format_version != FORMAT_VERSION or position != len(data):
            raise MessageError("malformed machine record")
        return MachineRecord(
            step=ReplacementStep(step),
            serial=serial,
            epoch=epoch,
            driver=driver,
            duration_tenths=duration,
            flags=MachineFlag(flags),
            zone=zone,
            cores_tenths=cores,
            requested_cores_tenths=requested_cores,
            arrived_cores_tenths=arrived_cores,
            incarnation=incarnation,
            reason=StepReason(reason),
            replacement=texts[0],
            next_machine=texts[1],
            requested_by=texts[2],
        )
    except (struct.error, IndexError, ValueError):
        raise MessageError("malformed machine record") from None


def _encode_text(text: str) -> bytes:
    data = text.encode()
    return bytes([len(data)]) + data


def _decode_texts(data: bytes, position: int, max_sizes: Iterable[int]) -> tuple[list[str], int]:
    texts = []
    for max_size in max_sizes:
        size = data[position]
        if size > max_size or position + 1 + size > len(data):
            raise MessageError("text too long or truncated")
        texts.append(data[position + 1 : position + 1 + size].decode())
        position += 1 + size
    return texts, position
