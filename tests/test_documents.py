"""Documents arrive whole, in parts that resume, and as what they change."""

import json
import random
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from lovagemast_core.documents import (
    MAX_DOCUMENT_BYTES,
    PART_BYTES,
    DocumentError,
    DocumentReceiver,
    DocumentSender,
    DocumentWish,
    decode_document,
    digest_document,
    encode_document,
)

from tests.smalllinks import make_routes

MAX_PARTS: Final = 1_000
CHANGE_BOUND: Final = 2_048  # bytes, of one route


def make_document(version: int, count: int) -> str:
    """Return a configuration with a number of routes."""
    routes = make_routes(count, seed=1)
    return json.dumps({'version': version, 'routes': routes})


def transfer(sender: DocumentSender, receiver: DocumentReceiver) -> int:
    """Transfer all that a receiver lacks; return the bytes of all parts."""
    sent = 0
    for _part in range(MAX_PARTS):
        wish = receiver.wish()
        part = sender.part_for(wish) if wish else None
        if part is None:
            return sent
        sent += len(part.content)
        receiver.add(part)
    raise AssertionError('the transfer does not end')


class TestEncoding:
    @pytest.mark.parametrize('count', [1, 100, 1_400, 5_000, 20_000])
    def test_one_route_more_takes_few_bytes(self, count: int) -> None:
        """A change costs what it changes, whatever the document holds."""
        base = make_document(1, count)
        changed = make_document(2, count + 1)
        encoded = encode_document(base, changed)
        assert len(encoded) <= CHANGE_BOUND
        digest = digest_document(changed)
        assert decode_document(base, encoded, digest) == changed

    @pytest.mark.parametrize(
        ('base', 'encoded', 'document'),
        [
            ('', b'', 'a'),
            ('', b'junk', 'a'),
            ('', encode_document('', 'a'), 'b'),
            ('other', encode_document('a' * 999, 'a' * 999 + 'b'), 'b'),
            ('', encode_document('', 'a' * (MAX_DOCUMENT_BYTES + 1)), 'a'),
        ],
    )
    def test_damage_is_noticed(
        self, base: str, encoded: bytes, document: str
    ) -> None:
        """What is not the document of the digest is never taken for it."""
        with pytest.raises(DocumentError):
            decode_document(base, encoded, digest_document(document))


class TestTransfer:
    def test_document_kept_by_both_is_not_sent(self) -> None:
        """A new revision of the same document takes no bytes."""
        sender, receiver = DocumentSender(), DocumentReceiver()
        for revision in (1, 2):
            sender.put(revision, 'same')
            receiver.want(revision, sender.digest)
            sent = transfer(sender, receiver)
        assert (sent, receiver.revision, receiver.is_current) == (0, 2, True)

    def test_damaged_change_is_followed_by_the_whole(self) -> None:
        """A base that differs costs one transfer, not the configuration."""
        sender, receiver = DocumentSender(), DocumentReceiver()
        sender.put(1, make_document(1, 200))
        receiver.want(1, sender.digest)
        transfer(sender, receiver)
        sender.put(2, make_document(2, 201))
        receiver.want(2, sender.digest)
        receiver.document = receiver.document.replace('example', 'elpmaxe')
        transfer(sender, receiver)
        assert receiver.take_fault()
        assert receiver.document == make_document(2, 201)

    def test_changes_in_quick_succession_end(self) -> None:
        """A newer document holds up no transfer that has begun."""
        sender, receiver = DocumentSender(), DocumentReceiver()
        revisions = []
        for revision in range(1, 60):
            routes = make_routes(3_000, seed=revision)
            sender.put(revision, json.dumps(routes))
            receiver.want(revision, sender.digest)
            wish = receiver.wish()
            part = sender.part_for(wish) if wish else None
            if part:
                receiver.add(part)
            revisions.append(receiver.revision)
        assert len(set(revisions)) > 5

    def test_unreadable_document_is_not_asked_for_again(self) -> None:
        """What can't be in force here is neither held nor sent for ever."""
        sender = DocumentSender()
        receiver = DocumentReceiver(lambda revision, _text: revision != 2)
        for revision in (1, 2):
            sender.put(revision, f'document {revision}')
            receiver.want(revision, sender.digest)
            transfer(sender, receiver)
        assert (receiver.revision, receiver.is_current) == (1, False)
        assert receiver.wish() is None
        sender.put(3, 'document 3')
        receiver.want(3, sender.digest)
        transfer(sender, receiver)
        assert (receiver.document, receiver.is_current) == ('document 3', True)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        seed=st.integers(0, 1_000_000),
        steps=st.lists(
            st.sampled_from(['change', 'part', 'part', 'move', 'restart']),
            max_size=60,
        ),
    )
    def test_any_history_ends_with_the_newest(
        self, seed: int, steps: list[str]
    ) -> None:
        """Moves, lost parts and restarted senders only cost time."""
        rng = random.Random(seed)
        documents = {0: '{}'}
        senders = [DocumentSender() for _sender in range(3)]
        receiver = DocumentReceiver()
        current = 0
        for step in steps:
            newest = max(documents)
            if step == 'change':
                count = rng.choice([1, 50, 2_000])
                routes = make_routes(count, seed=rng.randrange(3))
                documents[newest + 1] = json.dumps([newest, routes])
                for sender in senders:
                    sender.put(newest + 1, documents[newest + 1])
                receiver.want(newest + 1, senders[0].digest)
            elif step == 'move':
                current = rng.randrange(len(senders))
            elif step == 'restart':
                senders[current] = DocumentSender()
                senders[current].put(newest, documents[newest])
            else:
                wish = receiver.wish() or DocumentWish(receiver.revision, '')
                part = senders[current].part_for(wish)
                if part and rng.random() < 0.9:
                    assert len(part.content) <= PART_BYTES
                    receiver.add(part)
                    receiver.add(part)  # again, as after a reconnect
            assert receiver.document == documents[receiver.revision]
        transfer(senders[current], receiver)
        assert receiver.document == documents[max(documents)]
        assert receiver.is_current
