"""gRPC channels to the entry VMs that send requests for this one."""

from typing import Final

from grpclib.client import Channel
from grpclib.config import Configuration
from lovagemast_core.entry import PeerDirectory
from lovagemast_core.targets import EntryPeer

MAX_CHANNELS: Final = 16
# A peer that stands still is noticed by unanswered pings.
PING_INTERVAL_S: Final = 1.0
PING_TIMEOUT_S: Final = 1.0


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
            config = Configuration(
                _keepalive_time=PING_INTERVAL_S,
                _keepalive_timeout=PING_TIMEOUT_S,
                _http2_max_pings_without_data=0,
                _http2_min_sent_ping_interval_without_data=PING_INTERVAL_S,
            )
            channel = Channel(peer.host, self._port, config=config)
        self._channels[peer.host] = channel  # the newest is the last one
        while len(self._channels) > MAX_CHANNELS:
            self._channels.pop(next(iter(self._channels))).close()
        return channel

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()
