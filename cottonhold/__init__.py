"""A dispatcher that schedules the queries of MySQL clients on a fleet of analytic query engines."""

from cottonhold.scheduler.scheduler import Scheduler

__all__ = ["Scheduler"]
