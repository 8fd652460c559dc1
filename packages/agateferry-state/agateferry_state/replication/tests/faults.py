"""Faults that a seeded run puts upon a cluster; each is given the cluster and a start time."""


def some(cluster):
    return cluster.rng.choice(sorted(cluster.hosts))


def leader_or_some(cluster):
    return cluster.leader() or some(cluster)


def kill(cluster):
    name = leader_or_some(cluster) if cluster.rng.random() < 0.5 else some(cluster)
    cluster.kill(name)
    cluster.at(cluster.rng.randint(1, 2000), cluster.start, name)


def kill_all(cluster):
    for name in cluster.hosts:
        cluster.kill(name)
        cluster.at(cluster.rng.randint(1, 1500), cluster.start, name)


def lose_disk(cluster):
    """Lose the disk of one host, but only while every other member is whole."""
    if not cluster.is_whole():
        if cluster.now < 30_000:
            cluster.at(100, lose_disk, cluster)
        return
    name = some(cluster)
    cluster.wipe(name)
    cluster.at(cluster.rng.randint(1, 1500), cluster.start, name)


def lose_disk_twice(cluster):
    lose_disk(cluster)
    cluster.at(50, lose_disk, cluster)


def kill_voters(cluster):
    """Have a leader replaced while those that vote die right after it."""
    cluster.kills_voters = 0.3
    kill(cluster)
    cluster.at(2500, setattr, cluster, "kills_voters", 0.0)


def lose_disk_while_one_lags(cluster):
    """Lose the disk of the only follower that keeps up, and then the leader for a while."""
    leader = cluster.leader()
    if leader is None or not cluster.is_whole():
        return
    others = sorted(set(cluster.hosts) - {leader})
    lagging, wiped = cluster.rng.sample(others, 2)
    links = {(a, b) for a in cluster.hosts for b in cluster.hosts if lagging in (a, b)}
    cluster.cut |= links

    def strike():
        cluster.wipe(wiped)
        cluster.start(wiped)
        cluster.kill(leader)
        cluster.cut -= links

    cluster.at(800, strike)
    cluster.at(4000, cluster.start, leader)


def freeze_leader(cluster):
    """Freeze the leader; a minute is three seconds and a leap of its clock."""
    name = leader_or_some(cluster)
    cluster.freeze(name)
    span = cluster.rng.choice([500, 1200, 3000, 60_000])
    cluster.hosts[name].offset_ms += max(0, span - 3000)
    cluster.at(min(span, 3000), cluster.wake, name)


def cut_out(cluster):
    """Let a host hear but not be heard."""
    name = leader_or_some(cluster)
    cluster.cut |= {(name, other) for other in cluster.hosts if other != name}


def cut_in(cluster):
    """Let a host be heard but not hear."""
    name = leader_or_some(cluster)
    cluster.cut |= {(other, name) for other in cluster.hosts if other != name}


def cut_one_link(cluster):
    source, target = cluster.rng.sample(sorted(cluster.hosts), 2)
    cluster.cut.add((source, target))


def cut_off(cluster):
    cut_out(cluster)
    cut_in(cluster)


def leap_clock(cluster):
    """Let the clocks run at other rates, and one leader's clock leap ahead."""
    for host in cluster.hosts.values():
        rate = cluster.rng.uniform(0.97, 1.03)
        host.offset_ms += round(cluster.now * (host.rate - rate))
        host.rate = rate
    name = cluster.leader()
    if name is not None:
        cluster.hosts[name].offset_ms += cluster.rng.choice([100, 1000, 3_600_000])


ALL = (
    kill,
    kill_all,
    kill_voters,
    lose_disk,
    lose_disk_twice,
    freeze_leader,
    cut_out,
    cut_in,
    cut_one_link,
    cut_off,
    leap_clock,
)


def run(cluster, faults, heal_at=4500):
    """Put the faults upon the cluster at random moments, heal it, and check its history."""
    cluster.clients(heal_at + 1000)
    for fault in faults:
        cluster.at(cluster.rng.randint(1600, 3200), fault, cluster)
    cluster.run_until(heal_at)
    cluster.heal()
    cluster.run_until(heal_at + 1000)
    cluster.check_end()
