import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from persimmonferry_core.codes import ResultCode
from persimmonferry_core.dispatch import (
    REFUSAL_PAUSE_S,
    Dispatcher,
    PromptRequest,
    Queued,
    Refused,
    UpstreamReport,
)
from persimmonferry_core.retries import RetryPolicy
from persimmonferry_core.runs import RunEnd
from persimmonferry_core.schema import (
    ClientAccount,
    Limits,
    Service,
    ServiceKind,
    TeamDocument,
    Tier,
)
from persimmonferry_core.upstreams.views import HEAVY_PREFILL_S

TIERS = (Tier("door", 1.0, 2.0, 0.2), Tier("dawn", 60.0, 0.5, 0.05))
CONCURRENCY = 4
ACCOUNTS = (
    ClientAccount("a", (), "", 1.0, ("notes",)),
    ClientAccount("b", (), "", 2.0, ("notes",)),
    ClientAccount("c", (), "", 1.0, ("notes",), Limits(concurrency=CONCURRENCY)),
)
SERVICES = (
    Service("notes", ServiceKind.MODEL, "m", "v1"),
    Service("orders", ServiceKind.PLAIN),
)
DOCUMENT = TeamDocument("team", 1, SERVICES, TIERS, ACCOUNTS, ())
NAMES = ("u0", "u1", "u2")


def make_report(name="u0", sequence=1, **changes):
    values = {
        "incarnation": 1,
        "failure_domain": "east",
        "service": "notes",
        "model": "m",
        "version": "v1",
        "running": 0,
        "waiting": 0,
        "waiting_prefill_tokens": 0,
        "slots": 2,
        "prefill_tokens_per_s": 10_000.0,
        "decode_tokens_per_s": 40.0,
    }
    return UpstreamReport(name=name, sequence=sequence, **(values | changes))


def make_request(number, now, tier="door", account="a", tokens=800, **changes):
    return PromptRequest(
        f"r{number}", account, tier, "notes", tokens, 20, now, **changes
    )


def make_end(request_id):
    return RunEnd(request_id, "v1", 20, 800, 0, "stop")


class DispatcherMachine(RuleBasedStateMachine):
    """The model tracks the state of each request and the last report of upstreams."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.dispatcher = Dispatcher(DOCUMENT, frozenset({"east"}), seed=1)
        self.reports = {}
        self.sequence = 0
        self.accounts = {}
        self.waiting = {}
        self.running = {}
        self.begun = {}
        self.versions = {}
        self.failed_at = {}

    def _running_at(self, name):
        return sum(1 for upstream in self.running.values() if upstream == name)

    @rule(
        name=st.sampled_from(NAMES),
        leaving=st.sampled_from((False, False, True)),
        version=st.sampled_from(("v1", "v1", "v2")),
        others=st.integers(0, 2),
        late=st.booleans(),
    )
    def report(self, name, leaving, version, others, late):
        self.sequence += 1
        running = self._running_at(name) + others
        report = make_report(
            name, self.sequence, leaving=leaving, version=version, running=running
        )
        self.dispatcher.report(report, self.now)
        self.reports[name] = report
        if late:
            older = make_report(name, 0, slots=8)
            self.dispatcher.report(older, self.now)

    @rule(name=st.sampled_from(NAMES))
    def remove(self, name):
        self.dispatcher.remove(name)
        self.reports.pop(name, None)
        gone = [key for key, upstream in self.running.items() if upstream == name]
        for request_id in gone:
            self._fail(request_id, ran=True)

    @rule(
        tier=st.sampled_from(("door", "dawn")),
        account=st.sampled_from("abc"),
        tokens=st.sampled_from((1, 100, 800, 30_000)),
        blocks=st.integers(0, 3),
        count=st.integers(1, 4),
    )
    def offer(self, tier, account, tokens, blocks, count):
        names = tuple(f"{account}{index}" for index in range(blocks))
        for _ in range(count):
            # The number of an ended request may come again.
            free = [n for n in range(30) if f"r{n}" not in self.accounts]
            self.begun.pop(f"r{free[0]}", None)
            self.failed_at.pop(f"r{free[0]}", None)
            request = make_request(
                free[0], self.now, tier, account, tokens, block_names=names
            )
            self._take_answer(request, self.dispatcher.offer(request, self.now))

    def _take_answer(self, request, answer):
        match answer:
            case Queued(request_id, latest):
                assert latest >= self.now
                self.waiting[request_id] = latest
                self.accounts[request_id] = request.account
            case Refused(code=code, retry_after_s=retry_after_s):
                assert retry_after_s > 0
                if code is ResultCode.LIMIT_EXCEEDED:
                    assert self._count_open("c") >= CONCURRENCY
                else:
                    assert code in (ResultCode.WAIT_NOT_KEPT, ResultCode.NO_UPSTREAM)

    def _count_open(self, account):
        return list(self.accounts.values()).count(account)

    @rule(name=st.sampled_from(NAMES), account=st.sampled_from("abc"))
    def hold(self, name, account):
        self.dispatcher.record_held(name, (f"{account}0", f"{account}1"))

    @rule()
    def assign(self):
        before = {name: self._running_at(name) for name in NAMES}
        for assignment in self.dispatcher.assign(self.now):
            request_id = assignment.request.request_id
            assert request_id in self.waiting
            del self.waiting[request_id]
            report = self.reports[assignment.upstream]
            assert not report.leaving
            self._check_version(assignment, report)
            self.running[request_id] = assignment.upstream
            self.versions[request_id] = assignment.version
        for name, count in before.items():
            if self._running_at(name) > count:
                assert self._running_at(name) <= self.reports[name].slots

    def _check_version(self, assignment, report):
        request_id = assignment.request.request_id
        assert assignment.version == report.version
        if request_id in self.begun:
            assert assignment.version == self.begun[request_id]
        elif report.version != "v1":
            # Another version is used only while the wanted one cannot start.
            idle = [
                name
                for name, other in self.reports.items()
                if (other.version, other.leaving, other.running) == ("v1", False, 0)
                and self._running_at(name) == 0
            ]
            assert set(idle) <= self.failed_at.get(request_id, set())

    @precondition(lambda self: self.running)
    @rule(data=st.data(), how=st.sampled_from(("finish", "start", "refuse", "lose")))
    def go_on(self, data, how):
        request_id = data.draw(st.sampled_from(sorted(self.running)))
        match how:
            case "start":
                self.dispatcher.started(request_id, self.now)
                self.dispatcher.progressed(request_id, 3, self.now)
                version = self.versions[request_id]
                self.begun.setdefault(request_id, version)
            case "finish":
                del self.running[request_id], self.accounts[request_id]
                self.dispatcher.finished(request_id, make_end(request_id), self.now)
            case _:
                self._fail(request_id, ran=how == "lose")

    def _fail(self, request_id, ran):
        upstream = self.running.pop(request_id)
        self.failed_at.setdefault(request_id, set()).add(upstream)
        answer = self.dispatcher.failed(request_id, ran, self.now)
        if isinstance(answer, Queued):
            self.waiting[request_id] = answer.promised_start_s
        else:
            del self.accounts[request_id]

    @precondition(lambda self: self.waiting or self.running)
    @rule(data=st.data())
    def cancel(self, data):
        known = sorted({**self.waiting, **self.running})
        request_id = data.draw(st.sampled_from(known))
        upstream = self.dispatcher.cancel(request_id, self.now)
        assert upstream == self.running.pop(request_id, None)
        self.waiting.pop(request_id, None)
        del self.accounts[request_id]

    @rule(seconds=st.sampled_from((0.001, 0.05, 0.2, 0.6, 3.0)))
    def advance(self, seconds):
        self.now += seconds
        refused = {item.request_id for item in self.dispatcher.expire(self.now)}
        assert refused <= set(self.waiting)
        late = {key for key, latest in self.waiting.items() if latest < self.now}
        assert late <= refused
        for request_id in refused:
            del self.waiting[request_id], self.accounts[request_id]

    @invariant()
    def concurrency_limit_is_kept(self):
        assert self._count_open("c") <= CONCURRENCY

    @invariant()
    def waiting_requests_are_looked_after(self):
        event = self.dispatcher.next_event(self.now)
        assert (event is not None) == bool(self.waiting)
        assert event is None or event > self.now

    def teardown(self):
        """Idle upstreams start all requests that still wait."""
        for request_id in sorted(self.running):
            self.dispatcher.cancel(request_id, self.now)
        for index, version in enumerate(("v1", "v1", "v2", "v2")):
            report = make_report(f"spare{index}", slots=500, version=version)
            self.dispatcher.report(report, self.now)
        for step in range(400):
            # The loop covers the longest delay of a retry.
            moment = min([self.now, *self.waiting.values()]) + step * 2e-4
            for assignment in self.dispatcher.assign(moment):
                request_id = assignment.request.request_id
                del self.waiting[request_id]
                self.dispatcher.started(request_id, moment)
        assert not self.waiting


DispatcherMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestDispatcher = DispatcherMachine.TestCase


def make_plain(count, **changes):
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    for index in range(count):
        report = make_report(f"o{index}", service="orders", model="", **changes)
        dispatcher.report(report, 0.0)
    return dispatcher


def test_plain_calls_spread_and_skip_draining_and_excluded_upstreams():
    dispatcher = make_plain(3)
    for number in range(6):
        name = dispatcher.choose_plain("orders", 0.0)
        dispatcher.plain_started(f"c{number}", name, 0.0)
    leaving = make_report("o0", 2, service="orders", model="", leaving=True)
    dispatcher.report(leaving, 0.1)
    dispatcher.plain_finished("c0", 0.2)
    chosen = {dispatcher.choose_plain("orders", 0.2) for _ in range(20)}
    assert chosen <= {"o1", "o2"}
    avoid = frozenset({"o1", "o2"})
    assert dispatcher.choose_plain("orders", 0.2, avoid) is None


def test_a_failing_plain_upstream_is_ejected_for_a_while():
    dispatcher = make_plain(3)
    for number in range(3):
        dispatcher.plain_started(f"c{number}", "o1", 0.0)
        dispatcher.plain_finished(f"c{number}", 0.1, whole=False)
    chosen = {dispatcher.choose_plain("orders", 0.2) for _ in range(30)}
    assert chosen == {"o0", "o2"}
    assert dispatcher.choose_plain("orders", 9.0, frozenset({"o0", "o2"})) == "o1"


def retry_each_request(requests, ran):
    """Let the first attempt of each request fail, and return the answers."""
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    answers = []
    now = 0.0
    for number in range(requests):
        now += 0.1
        for name in NAMES:
            dispatcher.report(make_report(name, sequence=number + 1), now)
        request = make_request(number, now, tier="dawn", tokens=10)
        assert isinstance(dispatcher.offer(request, now), Queued)
        first, now = assign_after_delay(dispatcher, now)
        answer = dispatcher.failed(request.request_id, ran, now)
        answers.append(answer)
        if isinstance(answer, Queued):
            assert dispatcher.next_event(now) is not None
            second, now = assign_after_delay(dispatcher, now)
            assert second.upstream != first.upstream
            assert second.attempt == 2
            dispatcher.cancel(request.request_id, now)
    return answers


def assign_after_delay(dispatcher, now):
    """Return the next assignment and its time; reserved slots may delay it."""
    for step in range(50):
        made = dispatcher.assign(now + step * 0.1)
        if made:
            (assignment,) = made
            return assignment, now + step * 0.1
    raise AssertionError("the retry was not assigned")


def test_retries_of_attempts_that_ran_go_to_other_upstreams_within_the_budget():
    answers = retry_each_request(requests=40, ran=True)
    codes = [answer.code for answer in answers if isinstance(answer, Refused)]
    assert set(codes) == {ResultCode.RETRIES_EXHAUSTED}
    assert len(codes) >= 4


def test_an_attempt_that_did_not_run_is_always_retried_elsewhere():
    answers = retry_each_request(requests=40, ran=False)
    assert all(isinstance(answer, Queued) for answer in answers)


def test_a_slow_upstream_is_ejected_and_readmitted_after_it_recovers():
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    for name in NAMES:
        dispatcher.report(make_report(name, slots=8), 0.0)
    now = 0.0
    counts = {}
    for number in range(600):
        request = make_request(number, now, tokens=100)
        if isinstance(dispatcher.offer(request, now), Refused):
            continue
        for assignment in dispatcher.assign(now):
            name = assignment.upstream
            phase = int(now // 10)
            counts[phase, name] = counts.get((phase, name), 0) + 1
            is_slow = name == "u1" and now < 10.0
            later = now + (2.0 if is_slow else 0.05)
            dispatcher.started(assignment.request.request_id, later)
            dispatcher.finished(
                assignment.request.request_id,
                make_end(assignment.request.request_id),
                later,
            )
        now += 0.1
    assert counts[0, "u1"] <= 10
    assert counts[5, "u1"] >= 0.5 * counts[5, "u0"]


def test_failed_connections_use_neither_attempts_nor_the_retry_budget():
    """A quarter of all engines stops responding at full load."""
    dispatcher = Dispatcher(DOCUMENT, seed=1, retry_policy=RetryPolicy(0.0, 0))
    for name in NAMES:
        dispatcher.report(make_report(name, slots=8), 0.0)
    silent = NAMES[0]
    sent = 0
    for number in range(40):
        now = 0.1 * number
        request = make_request(number, now, tokens=100)
        assert isinstance(dispatcher.offer(request, now), Queued)
        for _ in range(len(NAMES)):
            (assignment,) = dispatcher.assign(now)
            if assignment.upstream != silent:
                break
            sent += 1
            answer = dispatcher.failed(request.request_id, False, now, connected=False)
            assert isinstance(answer, Queued)
        assert assignment.upstream != silent
        dispatcher.started(request.request_id, now + 0.05)
        end = make_end(request.request_id)
        dispatcher.finished(request.request_id, end, now + 0.05)
    assert sent <= 3


def test_only_heavy_prompts_are_reported_at_once_in_a_large_fleet():
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    dispatcher.report(make_report("u0", slots=8), 0.0)
    rate = dispatcher.find_prefill_rate(DOCUMENT.services[0].name)
    for number, tokens in enumerate((0.5, 1.5)):
        tokens = int(tokens * HEAVY_PREFILL_S * rate)
        request = make_request(number, 0.0, tokens=tokens)
        assert isinstance(dispatcher.offer(request, 0.0), Queued)
        made = dispatcher.assign(0.0)
        reported = dispatcher.describe_started(made, heavy_only=False)
        assert set(reported) == {"u0"}
        is_reported = bool(dispatcher.describe_started(made, heavy_only=True))
        assert is_reported == (number == 1)


# Prompts were sent to engines in which others waited beyond the limit, whether these
# began after 2.6 s or were ended after 1.2 s.
@pytest.mark.parametrize("ended_after_s", [None, 1.2])
def test_prompts_are_sent_where_others_wait_too_long_for_replaced_weights(
    ended_after_s,
):
    """Engines with replaced weights queue prompts that this entry does not know of."""
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    dispatcher.report(make_report("u0", slots=8), 0.0)
    dispatcher.set_start_limits({"u0": 9.25})
    sent_s = []
    for step in range(40):
        now = 0.25 * step
        request = make_request(step, now, "dawn", tokens=10)
        assert isinstance(dispatcher.offer(request, now), Queued)
        for assignment in dispatcher.assign(now):
            sent_s.append(now)
            request_id = assignment.request.request_id
            if ended_after_s:
                dispatcher.failed(request_id, True, now + ended_after_s, withdrawn=True)
                dispatcher.cancel(request_id, now + ended_after_s)
            else:
                dispatcher.started(request_id, now + 2.6)
                dispatcher.finished(request_id, make_end(request_id), now + 2.7)
    assert max(sent_s) + 2.6 <= 10.0
    if not ended_after_s:
        assert max(sent_s) + 2.6 <= 9.25
        dispatcher.set_start_limits({})
        assert dispatcher.assign(10.0)


# Answers were cut off at the limit, as their engine's time budget ends there.
def test_prompts_whose_answers_end_after_the_limit_are_sent():
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    dispatcher.report(make_report("u0", slots=8), 0.0)
    sent_s = []
    for step in range(120):
        now = 0.25 * step
        if step == 80:
            dispatcher.set_start_limits({"u0": 29.0})
        request = make_request(step, now, "dawn", tokens=10)
        assert isinstance(dispatcher.offer(request, now), Queued)
        for assignment in dispatcher.assign(now):
            sent_s.append(now)
            request_id = assignment.request.request_id
            dispatcher.started(request_id, now + 0.1)
            dispatcher.finished(request_id, make_end(request_id), now + 2.1)
    assert 24.0 < max(sent_s) <= 29.0 - 2.0


# An engine that had started again counted as silent since its former start had ended.
@pytest.mark.parametrize("incarnation", [1, 2])
def test_an_engine_with_replaced_weights_gets_no_prompt_after_its_restart(incarnation):
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    dispatcher.report(make_report("u0", slots=8), 0.0)
    dispatcher.offer(make_request(1, 0.0, "dawn", tokens=10), 0.0)
    assert dispatcher.assign(0.0)
    dispatcher.failed("r1", True, 0.2)
    dispatcher.cancel("r1", 0.2)
    report = make_report("u0", sequence=2, slots=8, incarnation=incarnation)
    dispatcher.report(report, 3.0)
    dispatcher.set_start_limits({"u0": 11.0})
    dispatcher.offer(make_request(2, 3.0, "dawn", tokens=10), 3.0)
    assert bool(dispatcher.assign(3.0)) == (incarnation == 2)


# An engine that had started again was expected to let prompts wait as long as before.
def test_the_waits_at_a_former_start_of_an_engine_count_for_its_next():
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    dispatcher.report(make_report("u0", slots=8), 0.0)
    dispatcher.offer(make_request(1, 0.0, "dawn", tokens=10), 0.0)
    assert dispatcher.assign(0.0)
    dispatcher.failed("r1", True, 5.0)
    dispatcher.cancel("r1", 5.0)
    dispatcher.report(make_report("u0", sequence=2, slots=8, incarnation=2), 8.0)
    dispatcher.set_start_limits({"u0": 16.0})
    dispatcher.offer(make_request(2, 8.0, "dawn", tokens=10), 8.0)
    assert dispatcher.assign(8.0)


# An engine that stood still got prompts, and began them later on replaced weights.
@pytest.mark.parametrize("is_limited", [True, False])
def test_prompts_are_sent_to_an_engine_that_stands_still(is_limited):
    stands_still_s, ended_s = 2.0, 8.0
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    dispatcher.report(make_report("u0", slots=64), 0.0)
    if is_limited:
        dispatcher.set_start_limits({"u0": 9.25})
    sent_s = []
    cut_off = []
    for step in range(int(ended_s / 0.1)):
        now = 0.1 * step
        while cut_off and cut_off[0][0] <= now:
            dispatcher.failed(cut_off.pop(0)[1], True, now, resend_s=1e6)
        dispatcher.offer(make_request(step, now, "dawn", tokens=10), now)
        for assignment in dispatcher.assign(now):
            sent_s.append(now)
            request_id = assignment.request.request_id
            if now < stands_still_s:
                dispatcher.started(request_id, now + 0.05)
                dispatcher.finished(request_id, make_end(request_id), now + 0.09)
            else:
                cut_off.append((now + 1.2, request_id))
    assert max(sent_s) > stands_still_s
    if is_limited:
        assert max(sent_s) < stands_still_s + 0.75
    else:
        assert max(sent_s) > stands_still_s + 2.0


# A prompt went on at another engine while the one before could still work on it.
@pytest.mark.parametrize("resend_s", [1.0, 1.6])
def test_a_prompt_goes_on_before_its_upstream_must_have_ended(resend_s):
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    for name in ("u0", "u1"):
        dispatcher.report(make_report(name, slots=8), 0.0)
    dispatcher.offer(make_request(0, 0.0, "dawn", tokens=10), 0.0)
    (first,) = dispatcher.assign(0.0)
    request_id = first.request.request_id
    answer = dispatcher.failed(request_id, True, 1.2, resend_s=resend_s)
    assert isinstance(answer, Queued)
    sent = []
    for step in range(40):
        now = 1.2 + 0.02 * step
        sent += [(now, item.upstream) for item in dispatcher.assign(now)]
    ((sent_s, upstream),) = sent
    assert resend_s <= sent_s < max(1.2, resend_s) + 0.1
    assert upstream != first.upstream


# A caller waited for a second attempt that could only begin after it had left.
def test_a_prompt_waits_for_the_end_of_an_attempt_longer_than_its_caller():
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    for name in ("u0", "u1"):
        dispatcher.report(make_report(name, slots=8), 0.0)
    dispatcher.offer(make_request(0, 0.0, "dawn", tokens=10), 0.0)
    (first,) = dispatcher.assign(0.0)
    answer = dispatcher.failed(first.request.request_id, True, 1.2, resend_s=1e6)
    assert isinstance(answer, Refused)


# A burst reached an upstream whose refusal of all calls had not been read.
def test_a_burst_reaches_upstreams_whose_last_answer_was_not_read():
    dispatcher = make_plain(1)
    for name in ("u0", "u1"):
        dispatcher.report(make_report(name, slots=8), 0.0)
    for name in ("o0", "u0"):
        dispatcher.record_unread_answer(name)
    assert dispatcher.choose_plain("orders", 1.0) == "o0"
    dispatcher.plain_started("c0", "o0", 1.0)
    assert dispatcher.choose_plain("orders", 1.1) is None
    assert dispatcher.find_upstream_wait("orders", 1.25) == 0.75
    for number in range(8):
        dispatcher.offer(make_request(number, 1.0, tokens=10), 1.0)
    sent = [item.upstream for item in dispatcher.assign(1.0)]
    assert (sent.count("u0"), sent.count("u1")) == (1, 7)
    for name in ("o0", "u0"):
        dispatcher.record_read_answer(name)
    assert dispatcher.choose_plain("orders", 1.3) == "o0"


# Prompts were sent on to an engine that loaded weights, and used up the retries.
def test_an_engine_that_refuses_gets_further_runs_at_once():
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    for name in ("u0", "u1"):
        dispatcher.report(make_report(name, slots=8), 0.0)
    for number in range(8):
        dispatcher.offer(make_request(number, 0.0, tokens=10), 0.0)
    first = {item.upstream: item for item in dispatcher.assign(0.0)}
    assert set(first) == {"u0", "u1"}
    dispatcher.failed(first["u0"].request.request_id, False, 0.1)
    for now in (0.2, 0.5):
        for number in range(8):
            number += int(100 * now)
            dispatcher.offer(make_request(number, now, "dawn", tokens=10), now)
        sent = {item.upstream for item in dispatcher.assign(now)}
        assert ("u0" in sent) is (now > 0.1 + REFUSAL_PAUSE_S)


def test_the_only_engine_gets_runs_also_after_a_refusal():
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    dispatcher.report(make_report("u0", slots=8), 0.0)
    dispatcher.offer(make_request(0, 0.0, tokens=10), 0.0)
    (first,) = dispatcher.assign(0.0)
    dispatcher.failed(first.request.request_id, False, 0.1)
    dispatcher.offer(make_request(1, 0.1, "dawn", tokens=10), 0.1)
    assert len(dispatcher.assign(0.1)) == 1


def test_runs_without_a_first_token_are_listed_by_upstream():
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    dispatcher.report(make_report("u0", slots=8), 0.0)
    for number in range(2):
        dispatcher.offer(make_request(number, 0.0, tokens=10), 0.0)
    first, second = dispatcher.assign(0.0)
    assert len(dispatcher.list_unstarted(["u0", "gone"])) == 2
    dispatcher.started(first.request.request_id, 0.1)
    assert dispatcher.list_unstarted(["u0"]) == (second.request.request_id,)
    assert dispatcher.list_unstarted([]) == ()


# An engine was ejected for prompts that the entry itself had ended.
def test_withdrawn_prompts_eject_the_upstream():
    dispatcher = Dispatcher(DOCUMENT, seed=1)
    for name in NAMES:
        dispatcher.report(make_report(name, slots=8), 0.0)
    for number in range(12):
        dispatcher.offer(make_request(number, 0.0, tokens=10), 0.0)
    for assignment in dispatcher.assign(0.0):
        dispatcher.failed(assignment.request.request_id, True, 0.1, withdrawn=True)
    ejector = dispatcher._models["notes"].router.ejector
    assert ejector.count_ejected(0.1) == 0


# Retries that were granted in several windows waited, and were sent in one.
def test_retries_that_waited_are_not_counted_in_the_window_of_their_sending():
    policy = RetryPolicy(
        share=0.0, min_retries=3, window_s=10.0, base_delay_s=0.0, counts_refusals=True
    )
    dispatcher = Dispatcher(DOCUMENT, seed=1, retry_policy=policy)
    names = frozenset(f"u{number}" for number in range(20))
    for name in names:
        dispatcher.report(make_report(name, slots=8), 0.0)
    for number in range(15):
        request = make_request(number, 4.0, "dawn", tokens=10)
        assert isinstance(dispatcher.offer(request, 4.0), Queued)
    first = dispatcher.assign(4.0)
    # The retries wait, as no upstream takes work.
    dispatcher.set_paused("test", names)
    for number, assignment in enumerate(first):
        now = (4.9, 10.1, 20.1)[number // 5]
        dispatcher.failed(assignment.request.request_id, False, now)
        assert dispatcher.assign(now) == ()
    dispatcher.set_paused("test", frozenset())
    # Each half of the window may have as many as the policy allows in a window.
    assert 0 < len(dispatcher.assign(20.2)) <= 2 * policy.min_retries
