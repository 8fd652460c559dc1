"""What a request asks of workers, and what a worker has to give."""

from agateferry_core.demand.demand import (
    Adjacency,
    Assignment,
    Demand,
    Shape,
    Urgency,
    Worker,
)

__all__ = ["Adjacency", "Assignment", "Demand", "Shape", "Urgency", "Worker"]
