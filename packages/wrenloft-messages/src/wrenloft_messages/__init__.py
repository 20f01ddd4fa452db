"""Messages between wrenloft's own processes, generated from ``wrenloft.proto``."""

from wrenloft_messages import wrenloft_pb2 as messages
from wrenloft_messages import wrenloft_pb2_grpc as services
from wrenloft_messages._loads import extract_load

__all__ = ["extract_load", "messages", "services"]
