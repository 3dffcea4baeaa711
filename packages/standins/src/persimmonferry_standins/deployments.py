"""Deployments of the first two teams, at their present sizes."""

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
    Return Kovanci's deployment: 4 failure domains, 6 engines, 4 order services.

    :param document: path of the team's configuration document.
    :param entries: number of entry VMs.
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
    Return Abrazadera's deployment: 3 failure domains, 9 engines, 3 booking services.

    :param document: path of the team's configuration document.
    :param entries: number of entry VMs.
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
