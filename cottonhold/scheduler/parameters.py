"""Parameters that several modules share; parameters of a single module are defined there."""

from __future__ import annotations

EPSILON = 2.0  # speed slack of the paper; determines OUTRANK_MARGIN = 3
OUTRANK_MARGIN = 2 + 2 / EPSILON  # alpha of Algorithm 1; densities are powers of two, so 4 times outranks
CANDIDATES = 8  # engines compared for each query; the paper reports no further gain from 10 on
# Weight of work in flight that a query outranks: with one priority more the query gets four times the cores.
OUTRANKED_WEIGHT = 0.25
MIN_REMAINING_SHARE = 0.15  # lowest share of an attempt's run that is assumed to remain
THREADS_PER_CORE = 2.0  # threads planned per core; with fewer, cores idle while threads wait for reads
GOLDEN_RATIO = (5**0.5 - 1) / 2  # its first n multiples modulo 1 are evenly spread for every n
HEARTBEAT_MS = 100.0  # interval of the checks while queries are queued or in flight or engines ejected
REPLAN_INTERVAL_MS = 250.0  # interval at which queued queries are planned again
REPORT_MAX_AGE_MS = 3000.0  # older load reports are ignored
EJECTION_MS = 10000.0  # length of an ejection without new evidence; small gateways rarely send canaries
TRAFFIC_TIME_CONSTANT_MS = 3000.0  # time constant of traffic rates, long enough to average over many arrivals
TRAFFIC_MIN_AGE_MS = 1000.0  # time after its start from which a gateway reports its full traffic
MAX_PEER_INTERVAL_MS = 3000.0  # longest interval between work reports to peers; used by an idle gateway
PEER_TIMEOUT_INTERVALS = 3.5  # intervals after which a silent peer is assumed to have nothing in flight
