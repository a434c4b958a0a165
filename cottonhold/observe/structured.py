"""Structured log lines, by structlog: logfmt or JSON, rate-limited, and never with a secret in them."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterable, MutableMapping
from typing import Any, TextIO

import structlog

HIDDEN = "(hidden)"
SECRET_WORDS = ("token", "secret", "password", "key_file_text", "authorization")


class Redactor:
    """Takes secrets out of a line: fields that are named like one, and known values wherever they stand."""

    def __init__(self, secrets: Iterable[str] = ()) -> None:
        self.secrets = tuple(secrets)

    def __call__(self, _: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """Return the line without secrets (structlog processor)."""
        for key, value in event.items():
            if any(word in key.lower() for word in SECRET_WORDS):
                event[key] = HIDDEN
            else:
                event[key] = self.clean(value)
        return event

    def clean(self, value: Any) -> Any:
        """The value without secrets, however deep they lie."""
        if isinstance(value, str):
            for secret in self.secrets:
                value = value.replace(secret, HIDDEN)
        elif isinstance(value, dict):
            return {self.clean(k): self.clean(v) for k, v in value.items()}
        elif isinstance(value, list | tuple):
            return [self.clean(v) for v in value]
        return value


class Limiter:
    """A bucket of lines. What finds it empty is counted by its event, and the next line tells the counts."""

    def __init__(self, per_second: float, burst: float, seconds: Callable[[], float]) -> None:
        self.per_second, self.burst, self.seconds = per_second, burst, seconds
        self.tokens, self.at = burst, seconds()
        self.dropped: dict[str, int] = {}

    def __call__(self, _: Any, __: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """Pass a line on, or drop it if the bucket is empty (structlog processor)."""
        now = self.seconds()
        self.tokens, self.at = min(self.burst, self.tokens + (now - self.at) * self.per_second), now
        if self.tokens < 1:
            name = str(event.get("event", ""))
            # The number of keys is bounded: a storm of different texts must not take memory without end.
            if len(self.dropped) >= 64 and name not in self.dropped:
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
    """The log of other installations; says and notes as the platform's lean one does."""

    def __init__(
        self,
        form: str = "logfmt",
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
        self.set_form(form)

    def set_form(self, form: str) -> None:
        """Logfmt or JSON from now on."""
        renderer: Any = (
            structlog.processors.JSONRenderer(default=str)
            if form == "json"
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

    def reset(self, form: str, per_second: float, burst: float, secrets: Iterable[str]) -> None:
        """Other settings, as after a reload. Old secrets stay hidden: a line may still hold them."""
        self.redactor.secrets = tuple({*self.redactor.secrets, *secrets})
        self.limiter.per_second, self.limiter.burst = per_second, burst
        self.set_form(form)

    def say(self, text: str) -> None:
        """A line of text."""
        self.note("note", text=text)

    def note(self, event: str, **fields: object) -> None:
        """An event with its fields."""
        self.logger.info(event, **fields)
