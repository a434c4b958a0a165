"""Clients that keep the protocol, and count what they are answered."""

from __future__ import annotations

import asyncio
import time
from collections import Counter

from cottonhold.emulator.platform.client import Answer, Client, Verdict, new_request_id
from cottonhold.emulator.platform.configuration import LOOKUP

PAUSE_S = 0.05  # between two requests of a client
REQUESTS_PER_CONNECTION = 20
# A dispatcher may close a resting connection. A request that crosses the close is sent again, once.
LATE_S = 0.5  # time after a request's deadline until which an answer is not lost


class SoundClients:
    """Sound clients, each of which sends one request after another.

    Attributes:
        verdicts: How many requests ended in which way: the values of `Verdict`, or `late`.
        latencies: Time from each request to its answer, in s.

    Args:
        address: Address of the dispatcher.
        timeout_ms: Timeout of the requests.
        padding: Bytes by which each request is longer than usual.
    """

    def __init__(self, address: str, timeout_ms: int, padding: int = 0) -> None:
        self.address, self.timeout_ms, self.padding = address, timeout_ms, padding
        self.verdicts: Counter[str] = Counter()
        self.latencies: list[float] = []
        self.texts: Counter[str] = Counter()  # texts of the answers that are not results

    async def run(self, count: int, duration_s: float) -> None:
        """Let `count` clients send requests for a time."""
        end = time.monotonic() + duration_s
        await asyncio.gather(*(self._send_until(end) for _ in range(count)))

    async def _send_until(self, end: float) -> None:
        client = None
        sent = 0
        while time.monotonic() < end:
            if client is None or sent >= REQUESTS_PER_CONNECTION:
                if client is not None:
                    client.close()
                client, sent = Client(self.address), 0
            answer, began_at = await self._request(client, is_new=sent == 0)
            if answer.verdict is Verdict.NONE and sent > 0:
                client = Client(self.address)
                answer, began_at = await self._request(client, is_new=True)
            sent += 1
            if answer.verdict in (Verdict.NONE, Verdict.UNREADABLE):
                client = None
            self._count(answer, time.monotonic() - began_at)
            await asyncio.sleep(PAUSE_S)
        if client is not None:
            client.close()

    async def _request(self, client: Client, is_new: bool) -> tuple[Answer, float]:
        began_at = time.monotonic()
        limit_s = self.timeout_ms / 1000 + LATE_S
        try:
            async with asyncio.timeout(limit_s):
                if is_new:
                    await client.connect()
                    began_at = time.monotonic()
                answer = await client.query(LOOKUP, new_request_id(), self.timeout_ms, padding=self.padding)
        except TimeoutError:
            answer = Answer(Verdict.NONE, "no answer in time")
        except (OSError, asyncio.IncompleteReadError) as error:
            answer = Answer(Verdict.NONE, type(error).__name__)
        return answer, began_at

    def _count(self, answer: Answer, latency_s: float) -> None:
        self.verdicts[answer.verdict.value] += 1
        self.latencies.append(latency_s)
        if answer.verdict is not Verdict.SERVED:
            self.texts[answer.text[:80]] += 1
