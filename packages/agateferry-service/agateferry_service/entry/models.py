"""The JSON bodies of callers' requests."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from agateferry_core.demand import Adjacency, Demand

MAX_MEMBERS = 64
MAX_ACCELERATORS = 64
MAX_CPU_CORES = 1_024
MAX_MEMORY_MB = 16 * 1024 * 1024
MAX_RUN_MS = 30 * 24 * 3_600_000
MAX_NAME_CHARS = 63

Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARS)]


class DemandBody(BaseModel):
    """The resources that a request demands; all but `members` are per member."""

    model_config = ConfigDict(extra="forbid", strict=True)

    members: int = Field(default=1, ge=1, le=MAX_MEMBERS)
    accelerators: int = Field(default=0, ge=0, le=MAX_ACCELERATORS)
    cpu_cores: int = Field(default=1, ge=0, le=MAX_CPU_CORES)
    memory_mb: int = Field(default=256, ge=0, le=MAX_MEMORY_MB)
    adjacency: Literal["any", "rack", "worker"] = "any"

    def to_demand(self) -> Demand:
        """Return the demand as the scheduler's type."""
        return Demand(
            self.members,
            self.accelerators,
            self.cpu_cores,
            self.memory_mb,
            Adjacency(self.adjacency),
        )


class SubmitBody(BaseModel):
    """A request as a caller submits it; missing fields come from the job record."""

    model_config = ConfigDict(extra="forbid", strict=True)

    schema_: Literal["v1"] = Field(default="v1", alias="schema")
    team: Name
    job: Name
    payload: str = ""
    deadline_ms: int | None = Field(default=None, ge=1, le=MAX_RUN_MS)
    zone: Name | None = None
    demand: DemandBody | None = None
    declared_run_ms: int | None = Field(default=None, ge=1, le=MAX_RUN_MS)
