"""Structured log lines, by structlog: logfmt or JSON, rate-limited, and never with a secret in them."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterable, MutableMapping
from typing import Any, TextIO

import structlog

HIDDEN = "(hidden)"
MAX_DROPPED_EVENTS = 64  # counted apart; all others together
SECRET_NAME_PARTS = ("token", "secret", "password", "key_file_text", "authorization")


class Redactor:
    """Removes secrets from a line: fields that are named like one, and known values anywhere."""

    def __init__(self, secrets: Iterable[str] = ()) -> None:
        self.secrets = tuple(secrets)

    def __call__(self, _: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """Return the line without secrets (structlog processor)."""
        for key, value in event.items():
            if any(word in key.lower() for word in SECRET_NAME_PARTS):
                event[key] = HIDDEN
            else:
                event[key] = self.redact(value)
        return event

    def redact(self, value: Any) -> Any:
        """The value without secrets, at any depth."""
        if isinstance(value, str):
            for secret in self.secrets:
                value = value.replace(secret, HIDDEN)
        elif isinstance(value, dict):
            return {self.redact(k): self.redact(v) for k, v in value.items()}
        elif isinstance(value, list | tuple):
            return [self.redact(v) for v in value]
        return value


class Limiter:
    """A token bucket: lines without a token are counted by event, and the next line gives the counts."""

    def __init__(self, per_second: float, burst: float, seconds: Callable[[], float]) -> None:
        self.per_second, self.burst, self.seconds = per_second, burst, seconds
        self.tokens, self.filled_at = burst, seconds()
        self.dropped: dict[str, int] = {}

    def __call__(self, _: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """Pass a line on, or drop it if the bucket is empty (structlog processor)."""
        now = self.seconds()
        self.tokens = min(self.burst, self.tokens + (now - self.filled_at) * self.per_second)
        self.filled_at = now
        if self.tokens < 1:
            name = str(event.get("event", ""))
            # A storm of different events must not take memory without bound.
            if len(self.dropped) >= MAX_DROPPED_EVENTS and name not in self.dropped:
                name = "others"
            self.dropped[name] = self.dropped.get(name, 0) + 1
            raise structlog.DropEvent
        self.tokens -= 1
        if self.dropped:
            event["dropped"] = sum(self.dropped.values())
            event["dropped_most"] = max(self.dropped, key=lambda k: self.dropped[k])[:60]
            self.dropped = {}
        return event


class StructuredLog:
    """The log of standalone dispatchers, with the same methods as the platform's lean one."""

    def __init__(
        self,
        line_format: str = "logfmt",
        per_second: float = 20.0,
        burst: float = 100.0,
        secrets: Iterable[str] = (),
        stream: TextIO | None = None,
        seconds: Callable[[], float] = time.monotonic,
        **context: object,
    ) -> None:
        self.seconds, self.stream, self.context = seconds, stream or sys.stderr, context
        self.redactor = Redactor(secrets)
        self.limiter = Limiter(per_second, burst, seconds)
        self.set_format(line_format)

    def set_format(self, line_format: str) -> None:
        """Write logfmt or JSON from now on."""
        renderer: Any = (
            structlog.processors.JSONRenderer(default=str)
            if line_format == "json"
            else structlog.processors.LogfmtRenderer(
                key_order=["ts", "event"], drop_missing=True, bool_as_flag=False
            )
        )
        self.logger = structlog.wrap_logger(
            structlog.PrintLogger(self.stream),
            processors=[
                self.limiter,
                structlog.processors.TimeStamper(fmt="iso", utc=True, key="ts"),
                self.redactor,
                renderer,
            ],
        ).bind(**self.context)

    def reconfigure(self, line_format: str, per_second: float, burst: float, secrets: Iterable[str]) -> None:
        """Apply other settings after a reload. Old secrets stay hidden, as a line may still hold them."""
        self.redactor.secrets = tuple({*self.redactor.secrets, *secrets})
        self.limiter.per_second, self.limiter.burst = per_second, burst
        self.set_format(line_format)

    def write_line(self, text: str) -> None:
        """A line of text."""
        self.note("note", text=text)

    def note(self, event: str, **fields: object) -> None:
        """An event with its fields."""
        self.logger.info(event, **fields)
