"""The resources that a request demands and that a worker has."""

from agateferry_core.demand.demand import (
    Adjacency,
    Assignment,
    Demand,
    Shape,
    Urgency,
    Worker,
)

__all__ = ["Adjacency", "Assignment", "Demand", "Shape", "Urgency", "Worker"]
