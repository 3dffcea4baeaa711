"""The deployments of the two first teams, at their sizes of today."""

from pathlib import Path

from persimmonferry_standins.fleet import (
    EntryPlan,
    FleetPlan,
    ModelPlan,
    PlainPlan,
    StorePlan,
)

__all__ = ["plan_abrazadera", "plan_kovanci"]


def plan_kovanci(document: Path, *, entries: int = 2) -> FleetPlan:
    """
    Return Kovanci's: four failure domains, 6 language and 4 order workers.

    :param document: the team's INI document.
    """
    domains = ("izmir-a", "izmir-b", "izmir-c", "izmir-d")
    engine = ("--model", "route-notes", "--load-lag-s", "0.2", "--weights-s", "2")
    return FleetPlan(
        team="kovanci",
        region="izmir",
        document=document.read_text(),
        entries=_plan_entries(entries, domains),
        models=tuple(
            ModelPlan(f"notes-{index}", domains[index % 4], "notes", engine)
            for index in range(6)
        ),
        plains=tuple(
            PlainPlan(f"orders-{index}", domains[index % 4], "orders")
            for index in range(4)
        ),
        stores=tuple(StorePlan(f"store-{domain}", domain) for domain in domains),
    )


def plan_abrazadera(document: Path, *, entries: int = 2) -> FleetPlan:
    """
    Return Abrazadera's: three failure domains, 9 language and 3 booking workers.

    :param document: the team's INI document.
    """
    domains = ("guatemala-a", "guatemala-b", "guatemala-c")
    engine = ("--model", "quote-writer", "--load-lag-s", "0.2", "--weights-s", "0.8")
    return FleetPlan(
        team="abrazadera",
        region="guatemala",
        document=document.read_text(),
        entries=_plan_entries(entries, domains),
        models=tuple(
            ModelPlan(f"quotes-{index}", domains[index % 3], "quotes", engine)
            for index in range(9)
        ),
        plains=tuple(
            PlainPlan(f"bookings-{index}", domains[index % 3], "bookings")
            for index in range(3)
        ),
        stores=tuple(StorePlan(f"store-{domain}", domain) for domain in domains),
    )


def _plan_entries(count: int, domains: tuple[str, ...]) -> tuple[EntryPlan, ...]:
    return tuple(
        EntryPlan(f"entry-{index + 1}", domains[index % len(domains)])
        for index in range(count)
    )
