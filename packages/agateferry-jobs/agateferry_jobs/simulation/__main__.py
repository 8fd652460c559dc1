"""Simulate days and print the score of each policy."""

from statistics import mean, stdev

import defopt

from agateferry_jobs.simulation.day_simulation import DaySimulation
from agateferry_jobs.simulation.drawing import draw_jobs
from agateferry_jobs.simulation.loads import LOADS
from agateferry_jobs.simulation.policies import ALL_POLICIES, POLICIES
from agateferry_jobs.simulation.report import Summary, summarize
from agateferry_jobs.simulation.scarce_loads import SCARCE_LOADS
from agateferry_jobs.simulation.uneven_teams import UNEVEN_TEAMS_LOADS
from agateferry_jobs.simulation.uneven_workers import UNEVEN_WORKERS_LOADS

ALL_LOADS = LOADS | SCARCE_LOADS | UNEVEN_TEAMS_LOADS | UNEVEN_WORKERS_LOADS


def simulate(*, load: str = "surge", policy: str = "", seeds: int = 10) -> None:
    """Simulate a load under one policy, or under each of them.

    :param load: the name of a load, such as surge or uneven-1.6
    :param policy: the name of a policy or of an ablation; without it all policies are simulated
    :param seeds: how many days are simulated; the seeds are 1 to this number
    """
    for name in [policy] if policy else POLICIES:
        days = [simulate_day(load, name, seed) for seed in range(1, seeds + 1)]
        print(f"{load} {name}: {describe(days)}")


def simulate_day(load: str, policy: str, seed: int) -> Summary:
    """Return the summary of one simulated day."""
    jobs = draw_jobs(ALL_LOADS[load], seed)
    day = DaySimulation(ALL_LOADS[load], jobs, ALL_POLICIES[policy], seed).run()
    return summarize(day, ALL_LOADS[load].goal)


def describe(days: list[Summary]) -> str:
    """Return the means over several days as one line."""
    scores = [day.score for day in days]
    spread = stdev(scores) if len(scores) > 1 else 0.0
    names = sorted({name for day in days for name in day.by_kind})
    kinds = " ".join(
        f"{name}={mean(day.by_kind[name] for day in days if name in day.by_kind):.3f}"
        for name in names
    )
    in_time = " ".join(
        f"{name}={mean(day.in_time[name] for day in days if name in day.in_time):.3f}"
        for name in sorted({name for day in days for name in day.in_time})
    )
    return (
        f"score={mean(scores):.3f} spread={spread:.3f} "
        f"day={mean(day.day_share for day in days):.3f} "
        f"worst_kind={mean(day.worst_kind for day in days):.3f} "
        f"worst_windows={mean(day.worst_windows for day in days):.3f} "
        f"waste_price={mean(day.waste_price for day in days):.3f} "
        f"wasted_gpu_s={mean(day.wasted_gpu_s for day in days):.0f} "
        f"stops={mean(day.stops for day in days):.1f} "
        f"wasted_core_s={mean(day.wasted_core_s for day in days):.0f} "
        f"stranded_gpus={mean(day.stranded_gpus for day in days):.1f} "
        f"far_starts={mean(day.cross_rack_starts for day in days):.1f} {kinds} "
        f"in time: {in_time}"
    )


if __name__ == "__main__":
    defopt.run(simulate)
