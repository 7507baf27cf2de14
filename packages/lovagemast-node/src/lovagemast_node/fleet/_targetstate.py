"""What targets say in their answers of their own state."""

from lovagemast_core.entry import KnownTarget

from .._clock import now_s
from ._codec import TargetResponseMetadata
from ._entrystate import EntryState


def record_state(
    state: EntryState,
    known: KnownTarget,
    response: TargetResponseMetadata,
) -> None:
    """Record that a target leaves, or wants no requests for a time.

    Its pool is served in order from its first report of its pace on.
    One that leaves may not have reached a control VM to say so.
    """
    state.queues.record_response(known.record.pool, response)
    if response.pause_s:
        state.health.record_pause(
            known.record.target, response.pause_s, now_s()
        )
        state.log.write(
            'target',
            'wants a pause',
            target=known.record.target,
            pause_s=response.pause_s,
        )
    if response.leaving and state.view.record_leaving(known):
        state.log.write(
            'target',
            'leaves, as its answer says',
            target=known.record.target,
            incarnation=known.record.incarnation,
        )
