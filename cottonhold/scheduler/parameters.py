"""Parameters that several parts share; those of one part stand in its module."""

from __future__ import annotations

EPSILON = 2.0  # speed slack of the paper; sets OUTRANK_MARGIN = 3
OUTRANK_MARGIN = 2 + 2 / EPSILON  # alpha of Algorithm 1: densities, powers of two, outrank from factor 4 on
CANDIDATES = 8  # engines compared for each query; the paper sees no more gain from 10 on
OUTRANKED_WEIGHT = (
    0.25  # of work in flight that a query outranks: one priority above gets four times the cores
)
MIN_REMAINING_SHARE = 0.15  # of a run, expected to remain when it should be over
THREADS_PER_CORE = 2.0  # threads planned for; fewer leave cores idle while threads read
GOLDEN_RATIO = (5**0.5 - 1) / 2  # its multiples spread evenly over 0 to 1, however many
HEARTBEAT_MS = 100.0  # interval of the checks while something is queued, in flight or ejected
REPLAN_INTERVAL_MS = 250.0  # queued queries are planned anew so often
REPORT_MAX_AGE_MS = 3000.0  # an older load report is ignored
EJECTION_MS = 10000.0  # without new evidence an ejection ends: at a small traffic share canaries are rare
TRAFFIC_MEMORY_MS = 3000.0  # memory of traffic rates: a few seconds of arrivals settle them
TRAFFIC_MIN_AGE_MS = 1000.0  # a gateway that has run so long reports its traffic in full
MAX_PEER_INTERVAL_MS = 3000.0  # between messages on loads, of an idle gateway
PEER_TIMEOUT_INTERVALS = 3.5  # intervals after which a silent peer is taken to have nothing in flight
