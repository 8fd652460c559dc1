import random

import testtools

from agateferry_core.support import run_async
from agateferry_jobs.calls import messages
from agateferry_jobs.cell.tests.team_versions import Cell


class DrawnChangeTests(testtools.TestCase):
    """In a series of changes a caller lost its job, or one that had no key in common reached it."""

    SEEDS = range(300)
    NAMES = ("a", "b", "c")
    DRAWN_KEYS = ("k1", "k2", "k3", "k4", "k5")

    def draw(self, rng):
        """Return a version, as keys by team's name; each key is in at most one team."""
        teams = {name: [] for name in rng.sample(self.NAMES, rng.randint(1, len(self.NAMES)))}
        for key in self.DRAWN_KEYS:
            name = rng.choice((*teams, None))
            if name is not None:
                teams[name].append(key)
        return teams

    def draw_next(self, rng, teams):
        """Return a version that differs a little from another, or in everything."""
        if rng.random() < 0.2:
            return self.draw(rng)
        changed = {name: list(keys) for name, keys in teams.items()}
        key = rng.choice(self.DRAWN_KEYS)
        for keys in changed.values():
            if key in keys:
                keys.remove(key)
        name = rng.choice(self.NAMES)
        if rng.random() < 0.7:
            changed.setdefault(name, []).append(key)
        elif len(changed) > 1:
            changed.pop(name, None)
        return changed

    def reachable_keys(self, versions, name):
        """Return the keys that may have to do with a team of the first version, at the most.

        It goes on as each team that has one of its keys, and as the one of its name.
        """
        teams, keys = {name}, set(versions[0][name])
        for version in versions[1:]:
            teams = {each for each in version if each in teams or keys & set(version[each])}
            keys |= {key for each in teams for key in version[each]}
        return keys

    async def check_seed(self, seed):
        rng, cell = random.Random(seed), Cell()
        versions = [{"a": ["k1", "k2"], "b": ["k3"]}]
        for _ in range(rng.randint(1, 6)):
            versions.append(self.draw_next(rng, versions[-1]))
        submitted_at = rng.choice([n for n, each in enumerate(versions) if any(each.values())])
        own_name = rng.choice([name for name, keys in versions[submitted_at].items() if keys])
        own_keys = versions[submitted_at][own_name]
        for number, version in enumerate(versions):
            await cell.install(
                {name: (name, " ".join(keys)) for name, keys in version.items()}, number
            )
            if number == submitted_at:
                self.assertEqual(messages.Done(), await cell.submit(rng.choice(own_keys)))
            if rng.random() < 0.3:
                cell.restart()
        possible = self.reachable_keys(versions[submitted_at:], own_name)
        for key in (key for keys in versions[-1].values() for key in keys):
            is_known = isinstance(cell.status(key), messages.JobStatus)
            case = (seed, key, own_name, versions[submitted_at:])
            self.assertTrue(is_known or key not in own_keys, case)
            self.assertTrue(not is_known or key in possible, case)

    def test_each_key_of_the_acceptance_reaches_the_job_and_no_strange_one(self):
        async def main():
            for seed in self.SEEDS:
                await self.check_seed(seed)

        run_async(main())
