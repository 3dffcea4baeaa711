"""State of the deployment from the registry and from upstreams' responses."""

import logging
from collections.abc import Iterable
from dataclasses import replace
from math import isfinite

from persimmonferry_core.deployment import Deployment, UpstreamRecord
from persimmonferry_core.dispatch import Dispatcher
from persimmonferry_core.named_weights import NamedWeights
from persimmonferry_core.stream_origins import ServiceBuild
from persimmonferry_core.upstream_starts import (
    StartVerdict,
    UpstreamStart,
    judge_start,
)
from persimmonferry_core.upstreams import ColdBound, LimitNotice, RateCeiling
from persimmonferry_core.weight_orders import (
    find_replacement_time,
    find_start_limits,
    may_read_stored,
)

from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.dispatch_document import make_document, make_report
from persimmonferry_gateway.fleet import Fleet
from persimmonferry_gateway.interfaces import (
    Changes,
    Codec,
    Item,
    Snapshot,
    UpstreamLoad,
)
from persimmonferry_gateway.registry_items import apply_each

__all__ = ["ClusterState"]

# The lowest version of weights.
FIRST_VERSION = 1
MAX_LEAVING_UPSTREAMS = 1024
# An upstream that starts may answer calls this long before its entry is written.
REGISTRATION_S = 1.0
# Mean of the stated slowness that is logged, and its end.
LOGGED_SLOWNESS = 2.0
ENDED_SLOWNESS = 1.5

_log = logging.getLogger(__name__)


class ClusterState:
    """
    The configuration in force, the wanted weights and the upstreams.

    :param dispatcher: receives every change.
    """

    def __init__(self, codec: Codec, dispatcher: Dispatcher) -> None:
        self.deployment: Deployment | None = None
        self.weights: dict[str, int] = {}
        # On the boot clock.
        self.named = NamedWeights()
        self.fleet = Fleet()
        # Failure domains to which nothing more may be sent.
        self.evacuated: frozenset[str] = frozenset()
        self._cold_bound: ColdBound | None = None
        self._ceilings: dict[str, RateCeiling] = {}
        self._codec = codec
        self._dispatcher = dispatcher
        self._loads: dict[str, UpstreamLoad] = {}
        self._versions: dict[str, int] = {}
        self._initial_versions: dict[str, int] = {}
        self._malformed: set[str] = set()
        self._slow: set[str] = set()
        # Incarnations of the upstreams that announced their leaving last, by an answer.
        # They count also after their entries were away.
        self._leaving: dict[str, int] = {}
        self._sequence = 0

    def set_cold_bound(self, bound: ColdBound | None, now: float) -> None:
        """Set how far above their rate cold upstreams may be called, None for any."""
        if bound != self._cold_bound:
            self._cold_bound = bound
            self._update_ceilings(now)

    def find_record(self, upstream: str) -> UpstreamRecord | None:
        """Return an upstream's entry, or None."""
        return self.fleet.records.get(upstream)

    def find_settled_record(self, upstream: str, now: float) -> UpstreamRecord | None:
        """Return an upstream's entry, None if the registry may lack the last one."""
        is_settled = self.fleet.is_settled(upstream, now)
        return self.find_record(upstream) if is_settled else None

    def list_serving(self, item: ServiceBuild) -> tuple[UpstreamRecord, ...]:
        """Return the upstreams of a build that take calls."""
        return tuple(
            record
            for record in self.fleet.records.values()
            if ServiceBuild(record.service, record.build) == item
            and not self.is_leaving(record)
        )

    def learn(self, records: Iterable[UpstreamRecord], now: float) -> bool:
        """
        Add or replace upstreams by entries that another gateway has read.

        :returns: whether any of them is new.
        """
        new = (record for record in records if not self._is_known(record))
        # An answer may be older than what the registry has stated meanwhile.
        learned = [record for record in new if not self.fleet.is_outdated(record)]
        for record in learned:
            _log.info("upstream learned", extra={"upstream": record.name})
            self._put(record, now, float("-inf"))
        return bool(learned)

    def _is_known(self, record: UpstreamRecord) -> bool:
        known = self.find_record(record.name)
        return known is not None and known.incarnation == record.incarnation

    def judge_start(
        self, start: UpstreamStart, current_s: float, now: float
    ) -> StartVerdict:
        """
        Return whether an upstream's process is the expected one, by its entry.

        :param current_s: until when all changes have been applied, on the boot clock.
        """
        incarnation = self.fleet.find_incarnation(start.upstream)
        verdict = judge_start(start, incarnation, current_s)
        is_known = self.fleet.is_known_at(start.upstream, start.registered_by_s, now)
        if verdict is StartVerdict.SAME and not is_known:
            return StartVerdict.UNDECIDED
        return verdict

    def find_version(self, upstream: str) -> int | None:
        """Return the last known version of an upstream's weights, or None."""
        return self._versions.get(upstream)

    def find_wanted_version(self, model: str) -> int:
        """
        Return the version of a model's weights that new prompts are to use.

        Until operators have named one, it is the newest that engines registered with.
        """
        return self.weights.get(model) or self._initial_versions.get(
            model, FIRST_VERSION
        )

    def may_read_stored(self, model: str, version: int, now: float) -> bool:
        """
        Whether a prompt on a version of the weights may read parts stored for it.

        :param now: on the boot clock.
        """
        return may_read_stored(version, self.named.find(model), now)

    def find_replacement_time(self, model: str, version: int) -> float | None:
        """
        Return when newer weights than a version were first wanted, None if none are.

        The time is on the boot clock.
        """
        return find_replacement_time(version, self.named.find(model))

    def find_start_limits(self, limit_s: float) -> dict[str, float]:
        """
        Return until when prompts may start at the engines with replaced weights.

        :param limit_s: time after which replaced weights may no longer be used.
        :returns: times on the boot clock, by engine.
        """
        limits: dict[str, float] = {}
        for model in self.named.models:
            names = [record.name for record in self.list_engines(model)]
            held = {name: self._versions.get(name, 0) for name in names}
            limits |= find_start_limits(held, self.named.find(model), limit_s)
        return limits

    def list_engines(self, model: str) -> tuple[UpstreamRecord, ...]:
        """Return the upstreams that serve a model."""
        records = self.fleet.records.values()
        return tuple(
            item
            for item in records
            if self._is_engine(item) and item.find_version(model) is not None
        )

    def list_engine_names(self) -> tuple[str, ...]:
        """Return the names of all upstreams that serve any model."""
        records = self.fleet.records.values()
        return tuple(item.name for item in records if self._is_engine(item))

    def _is_engine(self, record: UpstreamRecord) -> bool:
        """Whether an upstream has weights, and is of a service that is named for it."""
        service = self.deployment and self.deployment.find_service(record.service)
        is_model = service is not None and service.engine is not None
        return is_model and bool(record.weights)

    def list_builds(self) -> dict[str, frozenset[str]]:
        """Return the builds of the upstreams of each service."""
        found: dict[str, set[str]] = {}
        for record in self.fleet.records.values():
            found.setdefault(record.service, set()).add(record.build)
        return {service: frozenset(builds) for service, builds in found.items()}

    def list_other_builds(self, service: str, build: str) -> frozenset[str]:
        """Return the upstreams of a service with another build."""
        return frozenset(
            record.name
            for record in self.fleet.records.values()
            if record.service == service and record.build != build
        )

    def apply_snapshot(self, snapshot: Snapshot, now: float, since_s: float) -> None:
        """
        Replace the state with all items of the registry.

        :param since_s: earliest time at which versions that are new to this process may
            have been wanted, on the boot clock, minus infinity if unknown.
        """
        if snapshot.is_restored:
            self.fleet.record_history_replaced(now)
        prefix = self._codec.upstream_prefix
        items = [item for item in snapshot.items if item.key.startswith(prefix)]
        names = frozenset(item.key.removeprefix(prefix) for item in items)
        for name in self.fleet.keep_only(names, now):
            self._forget(name)
        prefix = self._codec.evacuation_prefix
        listed = (item.key for item in snapshot.items if item.key.startswith(prefix))
        domains = frozenset(key.removeprefix(prefix) for key in listed)
        # An older copy may lack an evacuation that is still in force.
        kept = self.evacuated if snapshot.is_restored else frozenset()
        self._set_evacuated(domains | kept)
        self._apply(snapshot.items, now, since_s, is_restored=snapshot.is_restored)

    def apply_changes(self, changes: Changes, now: float, since_s: float) -> None:
        """Apply changed items of the registry, with ``since_s`` as above."""
        self._apply(changes.items, now, since_s)

    def record_load(
        self, upstream: str, load: UpstreamLoad | None, version: int | None, now: float
    ) -> None:
        """Record the load and the version that an upstream sent with a response."""
        record = self.find_record(upstream)
        if record is None:
            return
        if load is not None:
            self._loads[upstream] = load
        if version is not None:
            self._versions[upstream] = version
        if load is not None or version is not None:
            self._report(record, now)
        if load is not None and load.slowness is not None:
            self._record_slowness(upstream, load.slowness, now)

    def _record_slowness(self, upstream: str, slowness: float, now: float) -> None:
        mean = self._dispatcher.record_slowness(upstream, slowness, now)
        is_slow = upstream in self._slow
        if not is_slow and mean >= LOGGED_SLOWNESS:
            self._slow.add(upstream)
            _log.info("upstream slow", extra={"upstream": upstream, "slowness": mean})
        elif is_slow and mean < ENDED_SLOWNESS:
            self._slow.discard(upstream)
            _log.info("upstream no longer slow", extra={"upstream": upstream})

    def record_cold(
        self, upstream: str, left_s: float, source: str, now: float
    ) -> None:
        """
        Record for how long an upstream says that it remains cold.

        :param source: where it says so, for the log.
        """
        rates = self._dispatcher.availability.rates
        if rates.record_cold(upstream, now + left_s, now):
            fields = {
                "upstream": upstream,
                "by": source,
                "left_s": left_s,
                "calls": rates.list_ceilings(now)[upstream],
            }
            _log.info("upstream cold", extra=fields)

    def record_leaving(self, upstream: str, now: float) -> None:
        """
        Record that an upstream announced with a response that it is leaving.

        It gets no more calls, whatever its entry says, until it has restarted.
        """
        record = self.find_record(upstream)
        if record is None or self._leaving.get(upstream) == record.incarnation:
            return
        self._leaving[upstream] = record.incarnation
        if len(self._leaving) > MAX_LEAVING_UPSTREAMS:
            del self._leaving[next(iter(self._leaving))]
        _log.info("upstream leaving", extra={"upstream": upstream, "by": "its answer"})
        self._report(record, now)

    def record_limit(self, notice: LimitNotice, source: str, now: float) -> bool:
        """
        Record what an answer of an upstream stated about its limit.

        :param source: where the notice comes from, for the log.
        :returns: False if it is outdated.
        """
        name = notice.upstream
        record = self.find_record(name)
        if record is None or record.incarnation != notice.incarnation:
            return False
        limits = self._dispatcher.availability.limits
        former = limits.find(name)
        if not limits.record(notice, now):
            return False
        fields = {"upstream": name, "by": source}
        if notice.calls_per_s is None:
            if former is not None:
                _log.info("upstream limit ended", extra=fields)
        elif notice.calls_per_s != former:
            fields["calls_per_s"] = notice.calls_per_s
            _log.info("upstream limit in force", extra=fields)
        return True

    def is_leaving(self, record: UpstreamRecord) -> bool:
        """Whether an upstream is leaving, by its entry or its responses."""
        by_answer = self._leaving.get(record.name) == record.incarnation
        return record.is_leaving or by_answer

    def record_version(self, upstream: str, version: int, now: float) -> None:
        """Record a newer version that an engine or the leader reported."""
        if self._versions.get(upstream, 0) < version:
            self.record_load(upstream, None, version, now)

    def expire(self, now: float) -> None:
        """Remove the upstreams that did not register again after a registry outage."""
        for name in self.fleet.expire(now):
            _log.warning(
                "upstream removed: not registered again after registry outage",
                extra={"upstream": name},
            )
            self._forget(name)

    def _apply(
        self,
        items: tuple[Item, ...],
        now: float,
        since_s: float,
        *,
        is_restored: bool = False,
    ) -> None:
        codec = self._codec

        def apply(item: Item) -> None:
            if item.key == codec.configuration_key:
                self._apply_configuration(item, now)
            elif item.key.startswith(codec.weights_prefix):
                self._apply_weights(item, now, since_s)
            elif item.key.startswith(codec.upstream_prefix):
                self._apply_upstream(item, now, since_s, is_restored=is_restored)
            elif item.key.startswith(codec.evacuation_prefix):
                self._apply_evacuation(item)

        apply_each(items, apply)

    def _apply_configuration(self, item: Item, now: float) -> None:
        if item.value is None:
            _log.error(
                "configuration removed from registry; the last one stays in force"
            )
            return
        try:
            deployment = self._codec.decode_deployment(item.value)
        except ValueError as error:
            cause = {"revision": item.revision, "cause": str(error)}
            _log.error(
                "configuration malformed; the last one stays in force", extra=cause
            )
            return
        if self.deployment and deployment.version < self.deployment.version:
            fields = {
                "version": deployment.version,
                "revision": item.revision,
                "in_force": self.deployment.version,
            }
            _log.warning("older configuration ignored", extra=fields)
            return
        self.deployment = deployment
        for record in self.fleet.records.values():
            self._record_initial_versions(record)
        self._configure(now)
        _log.info(
            "configuration in force",
            extra={"version": deployment.version, "revision": item.revision},
        )
        for record in self.fleet.records.values():
            self._report(record, now)
        self._update_ceilings(now)

    def _apply_weights(self, item: Item, now: float, since_s: float) -> None:
        if item.value is None:
            return
        try:
            model, version = self._codec.decode_weights(item.value)
        except ValueError as error:
            _log.error(
                "entry of wanted weights malformed",
                extra={"key": item.key, "cause": str(error)},
            )
            return
        if version > self.weights.get(model, 0):
            self.weights[model] = version
            boot_s = read_boot_clock()
            self.named.record(model, version, since_s, boot_s)
            self._configure(now)
            age_s = boot_s - since_s
            fields = {
                "model": model,
                "version": version,
                "age_s": round(age_s, 3) if isfinite(age_s) else None,
            }
            _log.info("weights wanted", extra=fields)

    def _apply_upstream(
        self, item: Item, now: float, since_s: float, *, is_restored: bool
    ) -> None:
        name = item.key.removeprefix(self._codec.upstream_prefix)
        if item.value is None:
            self._remove(name, now)
            return
        try:
            record = self._codec.decode_upstream(name, item.value)
        except ValueError as error:
            if item.key not in self._malformed:
                self._malformed.add(item.key)
                cause = {"key": item.key, "cause": str(error)}
                _log.warning("upstream entry malformed", extra=cause)
            self._remove(name, now)
            return
        if is_restored and self.fleet.is_outdated(record):
            _log.info("outdated upstream entry ignored", extra={"upstream": name})
            return
        if self.fleet.is_written_late(record, now):
            _log.info("late upstream entry ignored", extra={"upstream": name})
            return
        former = self.find_record(name)
        if former is not None and record.incarnation < former.incarnation:
            # Reports of an earlier incarnation have no effect.
            self.fleet.drop(name)
            self._forget(name)
        try:
            self._put(record, now, since_s)
        except Exception:
            # It would end the application of each later change of the deployment.
            self.fleet.drop(name)
            self._forget(name)
            raise

    def _put(self, record: UpstreamRecord, now: float, since_s: float) -> None:
        """
        Add or replace an upstream.

        :param since_s: earliest time of the change, on the boot clock.
        """
        name = record.name
        former = self.find_record(name)
        self.fleet.put(record, now)
        if former == record:
            self.record_cold(name, record.cold_left_s, "its entry", now)
            return
        is_restarted = former is None or former.incarnation != record.incarnation
        if is_restarted:
            self._loads.pop(name, None)
            self._versions.pop(name, None)
            age_s = read_boot_clock() - since_s + REGISTRATION_S
            self._dispatcher.availability.keep_recent(
                name, record.incarnation, now - age_s
            )
        self._record_initial_versions(record)
        if is_restarted or former.weights != record.weights:
            self._record_registered_version(record)
        if former is not None and former.is_leaving != record.is_leaving:
            fields = {"upstream": name, "by": "its entry"}
            _log.info("upstream leaving", extra=fields)
        if former is None:
            self._configure(now)
        self._report(record, now)
        self._set_ceiling(record)
        self.record_cold(name, record.cold_left_s, "its entry", now)
        if former is None or former.failure_domain != record.failure_domain:
            self._close_evacuated()

    def _apply_evacuation(self, item: Item) -> None:
        domain = item.key.removeprefix(self._codec.evacuation_prefix)
        if item.value is None:
            self._set_evacuated(self.evacuated - {domain})
        else:
            self._set_evacuated(self.evacuated | {domain})

    def _set_evacuated(self, domains: frozenset[str]) -> None:
        """Set the failure domains to which nothing more may be sent."""
        for domain in sorted(domains - self.evacuated):
            _log.info("failure domain evacuated", extra={"domain": domain})
        for domain in sorted(self.evacuated - domains):
            _log.info("evacuation taken back", extra={"domain": domain})
        self.evacuated = domains
        self._close_evacuated()

    def _close_evacuated(self) -> None:
        closed = {
            record.name: record.failure_domain
            for record in self.fleet.records.values()
            if record.failure_domain in self.evacuated
        }
        self._dispatcher.availability.set_evacuated(closed)

    def _update_ceilings(self, now: float) -> None:
        """Set the ceilings of all upstreams, as their services state them."""
        found = {}
        for record in self.fleet.records.values():
            ceiling = self._set_ceiling(record)
            self.record_cold(record.name, record.cold_left_s, "its entry", now)
            if ceiling is not None:
                found[record.service] = ceiling
        for service, ceiling in found.items():
            if self._ceilings.get(service) != ceiling:
                fields = {
                    "service": service,
                    "calls": ceiling.calls,
                    "cold_calls": ceiling.cold_calls,
                }
                _log.info("ceiling on calls in a second in force", extra=fields)
        self._ceilings = found

    def _set_ceiling(self, record: UpstreamRecord) -> RateCeiling | None:
        service = self.deployment and self.deployment.find_service(record.service)
        ceiling = None
        if service is not None and self._cold_bound is not None:
            ceiling = self._cold_bound.make_ceiling(service.cold_calls_per_s)
        self._dispatcher.availability.rates.set_ceiling(record.name, ceiling)
        return ceiling

    def _record_initial_versions(self, record: UpstreamRecord) -> None:
        if not self._is_engine(record):
            return
        for model, version in record.weights:
            if version > self._initial_versions.get(model, 0):
                self._initial_versions[model] = version

    def _record_registered_version(self, record: UpstreamRecord) -> None:
        known = self._versions.get(record.name)
        versions = [version for _, version in record.weights]
        # A response may have reported newer weights than the entry, which lags.
        if versions and (known is None or versions[0] > known):
            self._versions[record.name] = versions[0]

    def _remove(self, name: str, now: float) -> None:
        self.fleet.remove(name, now)
        if self.find_record(name) is None:
            self._forget(name)

    def _forget(self, name: str) -> None:
        self._loads.pop(name, None)
        self._versions.pop(name, None)
        self._slow.discard(name)
        self._dispatcher.remove(name)

    def _configure(self, now: float) -> None:
        if self.deployment is not None:
            domains = {item.failure_domain for item in self.fleet.records.values()}
            wanted = {**self._initial_versions, **self.weights}
            document = make_document(self.deployment, wanted, frozenset(domains))
            self._dispatcher.configure(document, now)

    def _report(self, record: UpstreamRecord, now: float) -> None:
        if self.deployment is None:
            return
        service = self.deployment.find_service(record.service)
        if service is None:
            return
        self._sequence += 1
        name = record.name
        load, version = self._loads.get(name), self._versions.get(name)
        if self.is_leaving(record):
            record = replace(record, is_leaving=True)
        report = make_report(record, service, load, version, self._sequence)
        self._dispatcher.report(report, now)
