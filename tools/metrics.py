"""Write docs/metrics.md, the list of metrics, from the modules that declare them."""

import sys
from collections.abc import Iterable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "metrics.md"
sys.path[:0] = [str(package) for package in sorted((ROOT / "packages").iterdir())]

from prometheus_client.metrics import MetricWrapperBase  # noqa: E402

from agateferry_core.metrics import Metrics  # noqa: E402
from agateferry_jobs import metrics as job_metrics  # noqa: E402
from agateferry_service.http import metrics as http_metrics  # noqa: E402

HEAD = """# Metrics

`GET /metrics` on the operators' port answers in the text format of Prometheus. Counters carry the
ending `_total`. A histogram of seconds has `_bucket`, `_sum` and `_count`. The label `reason` of a
refusal is the `reason` of its problem details in the [HTTP interface](api.md). Ids of requests are
never labels; they stand in the [log lines](events.md). This page is made by `make generate` from
the code.

| metric | type | labels | meaning |
| --- | --- | --- | --- |
"""


ROLES_HEAD = """
## Roles on the users' platform

At the address that `metrics` names in `deploy/system.toml`. [Operations](OPERATIONS.md) tells when to
look at which.

| metric | type | labels | meaning |
| --- | --- | --- | --- |
"""


def page() -> str:
    """Return the text of docs/metrics.md."""
    http = list(vars(http_metrics).values())
    daemon_rows = rows_of([*vars(Metrics()).values(), *http])
    role_rows = rows_of([*vars(job_metrics).values(), *http])
    return HEAD + "\n".join(daemon_rows) + "\n" + ROLES_HEAD + "\n".join(role_rows) + "\n"


def rows_of(values: Iterable[object]) -> list[str]:
    """Return a table row for each metric among the values, in the order of their names."""
    metrics = [value for value in values if isinstance(value, MetricWrapperBase)]
    rows = []
    for metric in sorted(metrics, key=lambda metric: metric._name):
        family = metric.describe()[0]
        suffix = "_total" if family.type == "counter" else ""
        labels = ", ".join(f"`{label}`" for label in metric._labelnames) or "-"
        text = family.documentation
        rows.append(f"| `{family.name}{suffix}` | {family.type} | {labels} | {text} |")
    return rows


if __name__ == "__main__":
    PAGE.write_text(page(), encoding="utf-8")
