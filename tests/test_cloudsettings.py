"""Tests of the settings of the duties at the infrastructure."""

from typing import Any

from lovagemast_core.duties import DutyConfig
from lovagemast_platform._settings import SettingsFile

from tests.test_platform import SETTINGS

CLOUD: dict[str, Any] = {
    'address': '10.200.0.28:8781',
    'ratePerS': 50.0,
    'duties': ['metering', 'autoscale'],
    'dutyPerS': 20.0,
}


def test_absent() -> None:
    """Without the table or a duty, nothing is enabled."""
    for cloud in ({}, {**CLOUD, 'duties': []}, {**CLOUD, 'duties': ['x']}):
        settings = SettingsFile({**SETTINGS, 'cloud': cloud})
        assert settings.to_control().cloud is None
        assert settings.to_entry().cloud is None
    assert SettingsFile(SETTINGS).to_control().cloud is None


def test_bounds() -> None:
    """The platform's names and units are translated."""
    bounds = {
        **SETTINGS['bounds'],
        'reportWindowS': 4,
        'usageLateS': 9,
        'leaseMs': 2_500,
    }
    document = {**SETTINGS, 'cloud': CLOUD, 'bounds': bounds}
    for cfg in (
        SettingsFile(document).to_control(),
        SettingsFile(document).to_entry(),
    ):
        assert cfg.cloud
        assert cfg.cloud.address == '10.200.0.28:8781'
        duties = cfg.cloud.duties
        assert (duties.has_metering, duties.has_scaling) == (True, True)
        assert duties.windows == (4.0, 9.0)
        assert (duties.lease_s, duties.calls_per_s) == (2.5, 20.0)


def test_defaults() -> None:
    """Bounds that are not given have the platform's defaults."""
    cloud = {'address': 'h:1', 'duties': ['metering']}
    cfg = SettingsFile({**SETTINGS, 'cloud': cloud}).to_entry()
    assert cfg.cloud
    assert cfg.cloud.duties == DutyConfig(has_metering=True, has_scaling=False)
