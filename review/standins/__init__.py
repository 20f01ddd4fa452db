"""Stand-ins of the platform, its runners and callers, and the start of the two programs."""

import logging

logging.getLogger("aiohttp.server").disabled = True  # callers that leave are no errors
