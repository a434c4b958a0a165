"""Parameters that several parts share, with the reason for each; those of one part stand in its module."""

from __future__ import annotations

EPSILON = 2.0  # speed slack; sets alpha = 3, so rounded densities pass from a factor of 4 on
ALPHA = 2 + 2 / EPSILON  # passing margin of Algorithm 1
CANDIDATES = 8  # engines compared for each query; the paper sees no more gain from 10 on
PASSED = 0.25  # of the work out that a query passes counts: one priority above gets four times the cores
LEFT_LEAST = 0.15  # share of a run taken to be left when it ought to be over
THREADS_PER_CORE = 2.0  # thread room, the design page's start; lower leaves cores idle while threads read
GOLDEN = (5**0.5 - 1) / 2  # its multiples spread evenly, however many: turns come up in few at a time
HEARTBEAT_MS = 100.0  # sweep while something is held, out or suspect
REPLAN_MS = 250.0  # held queries are planned anew so often
REPORT_FRESH_MS = 3000.0  # a load report older than this tells nothing
SUSPICION_MS = 10000.0  # without new evidence a suspicion ends: at a small share the trickle never tests it
TRAFFIC_MEMORY_MS = 3000.0  # memory of traffic rates: a few seconds of arrivals tell them
TRAFFIC_YOUNG_MS = 1000.0  # a gateway that has run for so long tells its traffic in full, however few came
PEER_GAP_MOST_MS = 3000.0  # the longest gap between messages on loads, that of an idle gateway
PEER_GAPS = 3.5  # gaps after which a silent peer is taken to have nothing out
