"""Finding the host that can answer a call, in this zone or another."""

from agateferry_service.routing.channels import Channels
from agateferry_service.routing.router import Router, RpcMethod

__all__ = ["Channels", "Router", "RpcMethod"]
