"""Structured log lines in logfmt or JSON by structlog, rate-limited and without secrets."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterable, MutableMapping
from typing import Any, TextIO

import structlog

HIDDEN = "(hidden)"
MAX_DROPPED_EVENTS = 64  # limit of event names whose dropped lines are counted separately
SECRET_NAME_PARTS = ("token", "secret", "password", "key_file_text", "authorization")


class Redactor:
    """Hides secrets in log lines: fields whose names suggest a secret, and known secrets in all values."""

    def __init__(self, secrets: Iterable[str] = ()) -> None:
        self.secrets = tuple(secrets)

    def __call__(
        self, _logger: Any, _method_name: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the event without secrets; called by structlog as a processor."""
        for key, value in event.items():
            if any(part in key.lower() for part in SECRET_NAME_PARTS):
                event[key] = HIDDEN
            else:
                event[key] = self.redact(value)
        return event

    def redact(self, value: Any) -> Any:
        """Return a value without secrets, at any depth of dicts and lists."""
        if isinstance(value, str):
            for secret in self.secrets:
                value = value.replace(secret, HIDDEN)
        elif isinstance(value, dict):
            return {self.redact(k): self.redact(v) for k, v in value.items()}
        elif isinstance(value, list | tuple):
            return [self.redact(v) for v in value]
        return value


class RateLimiter:
    """A token bucket as rate limit; dropped lines are counted by event, and the next line reports them."""

    def __init__(self, per_second: float, burst: float, clock: Callable[[], float]) -> None:
        self.per_second, self.burst, self.clock = per_second, burst, clock
        self.tokens, self.filled_at = burst, clock()
        self.dropped: dict[str, int] = {}

    def __call__(
        self, _logger: Any, _method_name: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the event unless the bucket is empty; called by structlog as a processor.

        Raises:
            structlog.DropEvent: The bucket is empty.
        """
        now = self.clock()
        self.tokens = min(self.burst, self.tokens + (now - self.filled_at) * self.per_second)
        self.filled_at = now
        if self.tokens < 1:
            name = str(event.get("event", ""))
            # This bounds the memory during a burst of events with many different names.
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
    """The log of standalone dispatchers, with the same methods as `observe.log.Log`."""

    def __init__(
        self,
        line_format: str = "logfmt",
        per_second: float = 20.0,
        burst: float = 100.0,
        secrets: Iterable[str] = (),
        stream: TextIO | None = None,
        clock: Callable[[], float] = time.monotonic,
        **context: object,
    ) -> None:
        self.clock, self.stream, self.context = clock, stream or sys.stderr, context
        self.redactor = Redactor(secrets)
        self.limiter = RateLimiter(per_second, burst, clock)
        self.set_format(line_format)

    def set_format(self, line_format: str) -> None:
        """Use a format, "logfmt" or "json", for all further lines."""
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
        """Apply new settings after a reload; old secrets stay hidden, as later lines may contain them."""
        self.redactor.secrets = tuple({*self.redactor.secrets, *secrets})
        self.limiter.per_second, self.limiter.burst = per_second, burst
        self.set_format(line_format)

    def write_line(self, text: str) -> None:
        """Write a line of text."""
        self.note("note", text=text)

    def note(self, event: str, **fields: object) -> None:
        """Write an event with its fields."""
        self.logger.info(event, **fields)
