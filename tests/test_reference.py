"""Tests of the generated reference page."""

from bench.reference import PAGE, render


class TestSettingsReference:
    """The settings reference, generated from the settings classes."""

    def test_page_is_up_to_date(self) -> None:
        """The committed page is what the generator produces."""
        assert PAGE.read_text() == render()
