"""Reloads settings that change while a gateway runs."""

import asyncio
import logging
from collections.abc import Callable

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import ConfigurationFaulty

from persimmonferry_gateway.settings import GatewaySettings, merge_settings

__all__ = ["SettingsWatch"]

# The file may change without a signal; reading it costs far less than a request.
CHECK_INTERVAL_S = 2.0

_log = logging.getLogger(__name__)


class SettingsWatch:
    """
    Reloads the settings when their text changes.

    Faulty settings change nothing: each fault is logged with its code, and the settings
    in force stay. A changed field that needs a restart is logged and keeps its value.

    :param settings: in force.
    :param read: returns the text of the settings.
    :param parse: returns the settings in a text.
    :param apply: called with the settings when they have changed.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        read: Callable[[], str],
        parse: Callable[[str], GatewaySettings],
        apply: Callable[[GatewaySettings], None],
    ) -> None:
        self._settings = settings
        self._read = read
        self._parse = parse
        self._apply = apply
        self._text: str | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start checking for changes."""
        self.check()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self.start)

    def stop(self) -> None:
        """Stop checking for changes."""
        if self._timer is not None:
            self._timer.cancel()

    def check(self) -> None:
        """Apply the settings if their text has changed."""
        try:
            text = self._read()
        except (OSError, ValueError) as error:
            _log_fault(str(error))
            return
        if text == self._text:
            return
        self._text = text
        try:
            found = self._parse(text)
        except ConfigurationFaulty as error:
            for fault in error.faults:
                _log_fault(fault)
            return
        merged, fixed = merge_settings(self._settings, found)
        if fixed:
            _log.warning("settings need a restart", extra={"fields": list(fixed)})
        if merged != self._settings:
            self._settings = merged
            self._apply(merged)
            _log.info("settings in force")


def _log_fault(fault: str) -> None:
    code = ResultCode.SETTINGS_FAULTY.number
    _log.error("settings refused", extra={"code": code, "cause": fault})
