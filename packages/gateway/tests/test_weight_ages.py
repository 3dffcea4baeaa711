import asyncio

from helpers import wait_until
from persimmonferry_core.named_weights import UNKNOWN_S, NamedWeights
from persimmonferry_gateway.clocks import read_boot_clock
from persimmonferry_gateway.weight_ages import ROUND_S, ROUNDS, WeightAges

ASSUMED_S = -1000.0


class Node:
    """A gateway; its messages reach others after a delay, unless they are lost."""

    def __init__(self, name, nodes):
        self.name = name
        self.nodes = nodes
        nodes[name] = self
        self.named = NamedWeights()
        self.questions = 0
        self.losses = 0
        self.delay_s = 0.0
        self.applied = 0
        self.ages = WeightAges(
            name,
            self.named,
            lambda: [other for other in nodes if other != name],
            self.send,
            self.reply,
            lambda: ASSUMED_S,
            self.apply,
        )

    def send(self, news, names):
        self.questions += 1
        if self.losses:
            self.losses -= 1
            return
        for name in names:
            self.nodes[name].ages.receive(news, (self.name, 0))

    def reply(self, news, address):
        receive = self.nodes[address[0]].ages.receive
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, receive, news, (self.name, 0))

    def apply(self):
        self.applied += 1

    def hear(self, version, age_s=None):
        now = read_boot_clock()
        earliest_s = UNKNOWN_S if age_s is None else now - age_s
        self.named.record("m", version, earliest_s, now)
        self.ages.check()

    def find_age(self, version):
        return read_boot_clock() - self.named.find("m")[version]


def run_scenario(scenario, nodes):
    async def main():
        found = {}
        started = [Node(f"g{number}", found) for number in range(nodes)]
        try:
            await scenario(*started)
        finally:
            for node in started:
                node.ages.stop()

    asyncio.run(main())


def test_a_gateway_that_starts_learns_the_age_of_all_versions():
    async def scenario(first, second):
        first.hear(2, 0.9)
        first.hear(3, 0.5)
        second.hear(3)
        await wait_until(lambda: second.applied)
        assert 0.5 <= second.find_age(3) < 0.9 <= second.find_age(2)
        assert not second.named.uncertain

    run_scenario(scenario, 2)


def test_a_question_that_is_lost_is_asked_again():
    async def scenario(first, second):
        first.hear(2, 0.5)
        second.losses = 2
        second.hear(2)
        await wait_until(lambda: second.applied)
        assert second.questions == 3
        assert second.find_age(2) < 5.0

    run_scenario(scenario, 2)


def test_an_answer_that_waited_counts_from_its_question():
    async def scenario(first, second):
        first.hear(2, 0.5)
        first.delay_s = 0.3
        asked_s = read_boot_clock()
        second.hear(2)
        await wait_until(lambda: second.applied)
        assert second.named.find("m")[2] <= asked_s - 0.5

    run_scenario(scenario, 2)


def test_gateways_that_do_not_know_either_answer_nothing():
    async def scenario(first, second):
        first.hear(2)
        second.hear(2)
        await wait_until(lambda: first.applied and second.applied)
        assert second.questions == ROUNDS
        assert second.named.find("m") == {2: ASSUMED_S}

    run_scenario(scenario, 2)


def test_a_gateway_without_others_asks_none():
    async def scenario(node):
        node.hear(2)
        assert node.questions == 0
        assert node.named.find("m") == {2: ASSUMED_S}

    run_scenario(scenario, 1)


def test_an_answer_after_the_last_question_is_ignored():
    async def scenario(first, second):
        first.hear(2, 0.5)
        first.delay_s = 2 * ROUNDS * ROUND_S
        second.hear(2)
        await wait_until(lambda: second.applied)
        await asyncio.sleep(2 * first.delay_s)
        assert second.named.find("m") == {2: ASSUMED_S}

    run_scenario(scenario, 2)


def test_each_round_asks_a_few_gateways_only():
    async def scenario(*nodes):
        answers = []
        for node in nodes[:-1]:
            node.hear(2, 0.5)
            node.reply = lambda news, _, node=node: answers.append(node.name)
            node.ages._reply = node.reply
        nodes[-1].hear(2)
        assert len(answers) == 3

    run_scenario(scenario, 12)
