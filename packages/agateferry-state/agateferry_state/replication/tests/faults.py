"""Faults that a seeded run injects into a cluster; each takes the cluster and starts at once."""


def random_host(cluster):
    return cluster.rng.choice(sorted(cluster.hosts))


def leader_or_random_host(cluster):
    return cluster.leader() or random_host(cluster)


def kill(cluster):
    name = leader_or_random_host(cluster) if cluster.rng.random() < 0.5 else random_host(cluster)
    cluster.kill(name)
    cluster.schedule(cluster.rng.randint(1, 2000), cluster.start, name)


def kill_all(cluster):
    for name in cluster.hosts:
        cluster.kill(name)
        cluster.schedule(cluster.rng.randint(1, 1500), cluster.start, name)


def lose_disk(cluster):
    """Wipe the disk of one host once the cluster is fully replicated."""
    if not cluster.is_fully_replicated():
        if cluster.now < 30_000:
            cluster.schedule(100, lose_disk, cluster)
        return
    name = random_host(cluster)
    cluster.wipe(name)
    cluster.schedule(cluster.rng.randint(1, 1500), cluster.start, name)


def lose_disk_twice(cluster):
    lose_disk(cluster)
    cluster.schedule(50, lose_disk, cluster)


def kill_after_vote(cluster):
    """Kill a host, and for a while also many voters right after they granted a vote."""
    cluster.kill_after_vote_probability = 0.3
    kill(cluster)
    cluster.schedule(2500, setattr, cluster, "kill_after_vote_probability", 0.0)


def lose_disk_while_one_lags(cluster):
    """Wipe the only follower that is up to date, and kill the leader for a while."""
    leader = cluster.leader()
    if leader is None or not cluster.is_fully_replicated():
        return
    others = sorted(set(cluster.hosts) - {leader})
    lagging, wiped = cluster.rng.sample(others, 2)
    links = {(a, b) for a in cluster.hosts for b in cluster.hosts if lagging in (a, b)}
    cluster.blocked_links |= links

    def wipe_and_kill():
        cluster.wipe(wiped)
        cluster.start(wiped)
        cluster.kill(leader)
        cluster.blocked_links -= links

    cluster.schedule(800, wipe_and_kill)
    cluster.schedule(4000, cluster.start, leader)


def freeze_leader(cluster):
    """Freeze the leader, or any host where there is none.

    A minute is simulated by three seconds and a jump of the host's clock.
    """
    name = leader_or_random_host(cluster)
    cluster.freeze(name)
    span = cluster.rng.choice([500, 1200, 3000, 60_000])
    cluster.hosts[name].offset_ms += max(0, span - 3000)
    cluster.schedule(min(span, 3000), cluster.unfreeze, name)


def block_outgoing(cluster):
    """Drop all messages that a host sends."""
    name = leader_or_random_host(cluster)
    cluster.blocked_links |= {(name, other) for other in cluster.hosts if other != name}


def block_incoming(cluster):
    """Drop all messages to a host."""
    name = leader_or_random_host(cluster)
    cluster.blocked_links |= {(other, name) for other in cluster.hosts if other != name}


def block_one_link(cluster):
    source, target = cluster.rng.sample(sorted(cluster.hosts), 2)
    cluster.blocked_links.add((source, target))


def isolate(cluster):
    block_outgoing(cluster)
    block_incoming(cluster)


def jump_clock(cluster):
    """Change the rate of every clock, and let the leader's clock jump ahead."""
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
    kill_after_vote,
    lose_disk,
    lose_disk_twice,
    freeze_leader,
    block_outgoing,
    block_incoming,
    block_one_link,
    isolate,
    jump_clock,
)


def run(cluster, faults, heal_at=4500):
    """Inject the faults at random times, heal the cluster, and check its history."""
    cluster.run_clients(heal_at + 1000)
    for fault in faults:
        cluster.schedule(cluster.rng.randint(1600, 3200), fault, cluster)
    cluster.run_until(heal_at)
    cluster.heal()
    cluster.run_until(heal_at + 1000)
    cluster.check_recovered()
