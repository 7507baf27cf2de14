"""Configurations of real size reach entry VMs on small links."""

from collections.abc import Iterator

import pytest

from tests.smalllinks import SmallLinkDeployment

MANY = 1_400  # routes, some 400 KB
VERY_MANY = 7_000
KIB = 1_024


@pytest.fixture(params=[3.75e6, 1.0e6], ids=['3.75Mbit', '1Mbit'])
def site(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[SmallLinkDeployment]:
    """Return a deployment that is ready to serve."""
    folder = tmp_path_factory.mktemp('smalllinks')
    started = SmallLinkDeployment(folder, request.param)
    try:
        started.start()
        yield started
    finally:
        started.stop()


class TestSmallLinks:
    def test_large_change_comes_in_force(
        self, site: SmallLinkDeployment
    ) -> None:
        """A change that takes the link longer than a time-out arrives."""
        route = site.add_routes(2, MANY)
        site.wait(lambda: site.is_routed(route))

    def test_change_sends_what_changes(self, site: SmallLinkDeployment) -> None:
        """One route more takes the link no whole document."""
        route = site.add_routes(2, MANY)
        site.wait(lambda: site.is_routed(route))

        def add_one() -> None:
            one = site.add_routes(3, 1)
            site.wait(lambda: site.is_routed(one))

        assert site.count_bytes(add_one) <= site.document_bytes() // 4

    def test_transfer_goes_on_after_a_reset(
        self, site: SmallLinkDeployment
    ) -> None:
        """A document arrives over connections that carry a part of it."""
        site.link.cut_after = 40 * KIB
        route = site.add_routes(2, VERY_MANY)
        site.wait(lambda: site.is_routed(route))
