"""Operators: the API by which they change and inspect the fleet, and its client."""

from wrenloft.operators._application import OperatorRoutes
from wrenloft.operators._client import OperatorClient, OperatorError
from wrenloft.operators._status import build_status, explain_model

__all__ = ["OperatorClient", "OperatorError", "OperatorRoutes", "build_status", "explain_model"]
