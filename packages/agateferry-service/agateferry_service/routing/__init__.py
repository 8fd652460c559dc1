"""Routing of calls to the host that can answer them, in this zone or another."""

from agateferry_service.routing.channels import Channels
from agateferry_service.routing.router import Router, RpcMethod

__all__ = ["Channels", "Router", "RpcMethod"]
