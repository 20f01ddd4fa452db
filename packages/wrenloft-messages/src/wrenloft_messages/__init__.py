"""Messages between wrenloft's own processes, generated from ``wrenloft.proto``."""

from wrenloft_messages import wrenloft_pb2 as messages
from wrenloft_messages import wrenloft_pb2_grpc as services

__all__ = ["messages", "services"]
