import random

from persimmonferry_core.fair_queue import FairQueue, QueueEntry


def fill(queue, account, count, generator, weight=1.0):
    for index in range(count):
        cost = generator.uniform(0.5, 2.0)
        name = f"{account}{index}"
        queue.push(QueueEntry(name, account, cost, float(index), None), weight)


def serve(queue, count):
    served = {}
    for _ in range(count):
        entry = next(queue.iterate())
        queue.dequeue(entry.entry_id)
        served[entry.account] = served.get(entry.account, 0.0) + entry.cost
    return served


def test_backlogged_accounts_are_served_in_proportion_to_their_weights():
    queue = FairQueue()
    generator = random.Random(1)
    for account, weight in (("a", 1.0), ("b", 2.0), ("c", 3.0)):
        fill(queue, account, 600, generator, weight)
    served = serve(queue, 600)
    # Start-time fair queueing deviates by at most one largest entry of each account.
    assert abs(served["b"] - 2 * served["a"]) <= 2 * 2 + 2
    assert abs(served["c"] - 3 * served["a"]) <= 3 * 2 + 2


def test_the_listed_order_is_the_order_of_service():
    queue = FairQueue()
    generator = random.Random(2)
    for account in "abc":
        fill(queue, account, 20, generator, generator.uniform(0.5, 3.0))
    listed = [entry.entry_id for entry in queue.iterate()]
    served = []
    while len(queue):
        entry = next(queue.iterate())
        queue.dequeue(entry.entry_id)
        served.append(entry.entry_id)
    assert served == listed


def test_idle_accounts_gain_no_credit_and_keep_their_debt():
    queue = FairQueue()
    generator = random.Random(3)
    fill(queue, "busy", 100, generator)
    serve(queue, 60)
    fill(queue, "late", 100, generator)
    served = serve(queue, 40)
    assert abs(served["late"] - served["busy"]) <= 4.0
    served = {"busy": 0.0, "hopping": 0.0}
    for index in range(30):
        if not any(entry.account == "hopping" for entry in queue.iterate()):
            queue.push(QueueEntry(f"h{index}", "hopping", 2.0, 0.0, None), 1.0)
        entry = next(queue.iterate())
        queue.dequeue(entry.entry_id)
        served[entry.account] = served.get(entry.account, 0.0) + entry.cost
    assert served["hopping"] <= served["busy"] + served.get("late", 0.0) + 4.0


def test_entries_of_an_account_are_served_by_deadline():
    queue = FairQueue()
    for name, latest in (("x", 5.0), ("y", 1.0), ("z", 3.0)):
        queue.push(QueueEntry(name, "a", 1.0, latest, None), 1.0)
    assert [entry.entry_id for entry in queue.iterate()] == ["y", "z", "x"]
