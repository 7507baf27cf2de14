"""What targets say in their answers of their own state."""

from lovagemast_core.entry import KnownTarget

from ._codec import TargetResponseMetadata
from ._entrystate import EntryState


def record_state(
    state: EntryState,
    known: KnownTarget,
    response: TargetResponseMetadata,
) -> None:
    """Record that a target leaves; it then gets no further requests.

    It may not have reached a control VM to say so.
    """
    if response.leaving and state.view.record_leaving(known):
        state.log.write(
            'target',
            'leaves, as its answer says',
            target=known.record.target,
            incarnation=known.record.incarnation,
        )
