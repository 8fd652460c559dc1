"""Limits and field types shared by the content models of all schemas.

Models are strict: a quoted number is rejected, unknown fields are errors, and each number has an
upper bound that no real deployment reaches.
"""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

from agateferry_core.demand import Adjacency, Urgency

MAX_MEMBERS = 1_024
MAX_ACCELERATORS = 1_024
MAX_REQUEST_ACCELERATORS = 16_384
MAX_CPU_CORES = 4_096
MAX_MEMORY_MB = 16_777_216
MAX_MS = 30 * 86_400_000
MAX_QUEUED = 1_000_000
MAX_ZONES = 64
MAX_SHAPES = 64
MAX_ATTEMPTS = 100
MAX_REQUESTED_BY_CHARS = 128
MAX_WALL_MS = 2**53
MAX_WEIGHT = 1_000.0
MIN_WEIGHT = 0.001

ZONE_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"

AdjacencyField = Annotated[Adjacency, Field(strict=False)]
UrgencyField = Annotated[Urgency, Field(strict=False)]
ZoneField = Annotated[str, StringConstraints(pattern=ZONE_PATTERN)]
MembersField = Annotated[int, Field(ge=1, le=MAX_MEMBERS)]
AcceleratorsField = Annotated[int, Field(ge=0, le=MAX_ACCELERATORS)]
MillisecondsField = Annotated[int, Field(ge=1, le=MAX_MS)]
QueuedField = Annotated[int, Field(ge=0, le=MAX_QUEUED)]
AttemptsField = Annotated[int, Field(ge=1, le=MAX_ATTEMPTS)]
WeightField = Annotated[float, Field(ge=MIN_WEIGHT, le=MAX_WEIGHT, allow_inf_nan=False)]
ShareField = Annotated[float, Field(ge=0.0, le=1.0, allow_inf_nan=False)]


class Content(BaseModel):
    """Base class of all content models."""

    model_config = ConfigDict(strict=True, extra="forbid", frozen=True)


def check_total_accelerators(members: int, accelerators: int) -> None:
    """Raise ValueError if a request needs more accelerators than any zone could hold.

    `accelerators` is the number for each of its `members`.
    """
    if members * accelerators > MAX_REQUEST_ACCELERATORS:
        raise ValueError(
            f"members x accelerators is {members * accelerators}; "
            f"at most {MAX_REQUEST_ACCELERATORS} are allowed"
        )
