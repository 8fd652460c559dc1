"""Complete systems on the loopback interface: daemons, workers, balancer and records."""

from agateferry_standins.deployment.daemon import DaemonProcess
from agateferry_standins.deployment.plan import HostPlan, PlanError, SystemPlan, make_plan
from agateferry_standins.deployment.samples import (
    LAGERTELLER,
    PASS_SERVICE,
    Deployment,
    OperatorRecord,
)
from agateferry_standins.deployment.system import StartError, System

__all__ = [
    "LAGERTELLER",
    "PASS_SERVICE",
    "DaemonProcess",
    "Deployment",
    "HostPlan",
    "PlanError",
    "OperatorRecord",
    "System",
    "StartError",
    "SystemPlan",
    "make_plan",
]
