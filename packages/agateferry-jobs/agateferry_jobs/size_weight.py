"""How much more a large job counts than a small one of its kind."""

BASE_WEIGHT = 0.3
MAX_WEIGHT = 4.0


def size_weight(work: float, mean_work: float) -> float:
    """Return a job's weight: 0.3, and 0.7 times its work by the mean of its kind, 4 at most."""
    return min(MAX_WEIGHT, BASE_WEIGHT + (1 - BASE_WEIGHT) * work / mean_work)
