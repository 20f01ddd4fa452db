"""Tests of the stand-ins, whose faults would otherwise look like faults of the programs."""

import asyncio
import socket
import struct

import pytest

from .conftest import StandinEndpoint, stream_response


class TestStandinEndpoint:
    """Tests for ``StandinEndpoint``."""

    @pytest.mark.parametrize("reset", [False, True])
    async def test_disconnect_is_counted(self, endpoint: StandinEndpoint, reset: bool) -> None:
        """Guards against a disconnect that is missed because it shows as a reset.

        A caller that leaves with an event unread resets the connection. Counting only clean closes
        missed one of some hundred.
        """
        endpoint.pause = 0.05
        endpoint.answers = [stream_response(*(b"id: %d\n\n" % n for n in range(100)))]
        host, _, port = endpoint.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await reader.readuntil(b"id: 0\n")
        if reset:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        else:
            writer.close()
        async with asyncio.timeout(10):
            while not endpoint.disconnects:
                await asyncio.sleep(0.02)
        assert endpoint.disconnects == 1
