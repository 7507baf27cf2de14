"""gRPC channels to the entry VMs that send requests for this one."""

from typing import Final

from grpclib.client import Channel
from lovagemast_core.entry import PeerDirectory
from lovagemast_core.targets import EntryPeer

from .._h2 import BoundedChannel
from ._keepalive import PING_INTERVAL_S, PING_TIMEOUT_S, ping_config

MAX_CHANNELS: Final = 16


class PeerChannels:
    """The peers that are known, and the channels that are open."""

    def __init__(self, directory: PeerDirectory, port: int) -> None:
        self.directory = directory
        self._port = port
        self._channels: dict[str, Channel] = {}

    def get(self, peer: EntryPeer) -> Channel:
        """Return the channel to a peer; it connects anew when it has to."""
        channel = self._channels.pop(peer.host, None)
        if channel is None:
            config = ping_config(PING_INTERVAL_S, PING_TIMEOUT_S)
            channel = BoundedChannel(peer.host, self._port, config=config)
        self._channels[peer.host] = channel  # the newest is the last one
        while len(self._channels) > MAX_CHANNELS:
            self._channels.pop(next(iter(self._channels))).close()
        return channel

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()
