"""Reloading of settings while the gateway runs, with and without a signal."""

import asyncio
import logging
from dataclasses import replace

import pytest
from helpers import wait_until
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import ConfigurationFaulty
from persimmonferry_core.topology import Address
from persimmonferry_gateway import GatewaySettings, reload
from persimmonferry_gateway.settings import merge_settings

SETTINGS = GatewaySettings(
    name="g1",
    failure_domain="z1",
    callers=Address("h", 1),
    readiness=Address("h", 2),
    registry=Address("h", 3),
    internal=Address("h", 4),
    lease_s=2.0,
    leader_change_s=3.0,
    replaced_weights_limit_s=8.0,
    startup_grace_s=3.0,
    are_orders_fenced=True,
    grace_s=8.0,
    balancer_notice_s=1.0,
    retry_share=0.2,
    retry_window_s=10.0,
    retry_floor=50,
)


class Source:
    """A settings file whose text holds the fields that differ from SETTINGS."""

    def __init__(self):
        self.text = ""
        self.applied = []
        self.watch = reload.SettingsWatch(
            SETTINGS, self.read, self.parse, self.applied.append
        )

    def read(self):
        if self.text is None:
            raise OSError("no such file")
        return self.text

    def parse(self, text):
        if "broken" in text:
            faults = ("graceS is missing", "zone is missing")
            raise ConfigurationFaulty(ResultCode.CONFIGURATION_FAULTY, faults)
        fields = dict(part.split("=") for part in text.split())
        return replace(
            SETTINGS, **{name: float(value) for name, value in fields.items()}
        )


@pytest.fixture
def source():
    return Source()


def test_a_change_is_applied_without_a_signal(source, monkeypatch):
    monkeypatch.setattr(reload, "CHECK_INTERVAL_S", 0.02)

    async def main():
        source.watch.start()
        source.text = "replaced_weights_limit_s=5 retry_share=0.1"
        await wait_until(lambda: source.applied)
        source.watch.stop()

    asyncio.run(main())
    (applied,) = source.applied
    assert (applied.replaced_weights_limit_s, applied.retry_share) == (5.0, 0.1)


def test_unchanged_text_is_applied_once(source):
    source.text = "replaced_weights_limit_s=5"
    source.watch.check()
    source.watch.check()
    assert len(source.applied) == 1


def test_faulty_settings_are_logged_with_their_code_and_change_nothing(source, caplog):
    for text in ("broken", None):
        source.text = text
        source.watch.check()
    assert not source.applied
    refused = [item for item in caplog.records if item.levelno == logging.ERROR]
    assert len(refused) == 3
    assert {item.code for item in refused} == {ResultCode.SETTINGS_FAULTY.number}
    source.text = "replaced_weights_limit_s=6"
    source.watch.check()
    assert source.applied[0].replaced_weights_limit_s == 6.0


def test_fields_that_need_a_restart_keep_their_value(source, caplog):
    source.text = "lease_s=9 leader_change_s=4"
    source.watch.check()
    assert (source.applied[0].lease_s, source.applied[0].leader_change_s) == (2.0, 4.0)
    (warning,) = [item for item in caplog.records if item.levelno == logging.WARNING]
    assert warning.fields == ["lease_s"]


def test_equal_settings_change_nothing():
    assert merge_settings(SETTINGS, SETTINGS) == (SETTINGS, ())
