"""cottonhold: the decisions of a workload manager in front of analytic query engines."""

from cottonhold.scheduler.scheduler import Scheduler

__all__ = ["Scheduler"]
