"""Parameters that several modules share; parameters of a single module are defined there."""

from __future__ import annotations

EPSILON = 2.0  # speed slack of the paper; determines OUTRANK_MARGIN = 3
OUTRANK_MARGIN = 2 + 2 / EPSILON  # alpha of Algorithm 1; as densities are powers of two, 4 times outranks
CANDIDATES = 8  # engines compared for each query; the paper reports no further gain from 10 on
# Weight of work in flight that a query outranks: with one priority more the query gets four times the cores.
OUTRANKED_WEIGHT = 0.25
MIN_REMAINING_SHARE = 0.15  # lowest share of its run that is expected to remain of an attempt
THREADS_PER_CORE = 2.0  # threads planned per core; with fewer, cores idle while threads wait for reads
GOLDEN_RATIO = (5**0.5 - 1) / 2  # the fractions of its multiples are spread evenly, however many there are
HEARTBEAT_MS = 100.0  # interval of the checks while queries are queued or in flight or engines ejected
REPLAN_INTERVAL_MS = 250.0  # interval at which queued queries are planned again
REPORT_MAX_AGE_MS = 3000.0  # older load reports are ignored
EJECTION_MS = 10000.0  # length of an ejection without new evidence; small gateways rarely send canaries
TRAFFIC_TIME_CONSTANT_MS = 3000.0  # time constant of traffic rates, long enough to average over many arrivals
TRAFFIC_MIN_AGE_MS = 1000.0  # time from which on a gateway that has started reports its full traffic
MAX_PEER_INTERVAL_MS = 3000.0  # longest interval between work reports to peers, as of an idle gateway
PEER_TIMEOUT_INTERVALS = 3.5  # intervals after which a silent peer is assumed to have nothing in flight
