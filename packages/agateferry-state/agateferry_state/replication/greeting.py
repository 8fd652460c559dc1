"""Greetings, by which hosts learn which incarnations run, and the start of a new cell.

A member that is no voter and has no leader greets every host it knows. So does a voter that heard
from no leader for a long time, because it may have been removed. The recipient asks the sender to
repeat its greeting with a nonce, so that a delayed greeting is not taken for a current one. A
confirmed greeting proves which incarnation runs on a host; any other incarnation of that host is
superseded. A message from a superseded incarnation is answered with the same request, because it
may be the newer one.
"""

from agateferry_state.members import MemberId
from agateferry_state.members.admission import bootstrap_host
from agateferry_state.replication import election
from agateferry_state.replication.messages import Greeting, GreetingRequest
from agateferry_state.replication.state import ConfirmedMember, Role, State

GREETING_INTERVAL_MS = 600
GREETING_VALID_MS = 3000
"""How long a nonce may be answered, and an empty host counts as present for a new cell."""
VOTER_GREETING_DELAY_MS = 5000
"""How long a voter must have heard from no leader before it greets."""


def send_if_due(state: State) -> None:
    """Greet all known hosts if that is due, and start a new cell if that is safe."""
    if state.leader is not None or state.now_ms < state.greeting_deadline_ms:
        return
    if state.is_voter and state.now_ms - state.last_leader_contact_ms < VOTER_GREETING_DELAY_MS:
        return
    state.greeting_deadline_ms = state.now_ms + GREETING_INTERVAL_MS
    greeting = _greeting(state)
    for host in sorted(_known_hosts(state) - {state.me.id.host}):
        state.send(MemberId(host), greeting)
    _bootstrap_if_safe(state)


def on_greeting(state: State, sender: MemberId, greeting: Greeting) -> None:
    """Request a greeting with a nonce, or record the member that answered with the right one."""
    if sender != greeting.member.id:
        return
    if not greeting.nonce:
        send_request(state, sender)
        return
    nonce, asked_ms = state.pending_nonces.get(sender, (0, 0))
    if nonce == greeting.nonce and state.now_ms - asked_ms <= GREETING_VALID_MS:
        del state.pending_nonces[sender]
        _record(state, greeting, asked_ms)


def send_request(state: State, member_id: MemberId) -> None:
    """Ask a member to prove, by a greeting with a nonce, that it runs on its host now."""
    nonce, asked_ms = state.pending_nonces.get(member_id, (0, 0))
    if not nonce or state.now_ms - asked_ms > GREETING_INTERVAL_MS:
        nonce = state.rng.getrandbits(63) + 1
        state.pending_nonces = {
            m: n for m, n in state.pending_nonces.items() if m.host != member_id.host
        }
        state.pending_nonces[member_id] = (nonce, state.now_ms)
    state.send(member_id, GreetingRequest(state.term, nonce))


def on_request(state: State, sender: MemberId, request: GreetingRequest) -> None:
    """Answer with a greeting that repeats the nonce."""
    state.send(sender, _greeting(state, request.nonce))


def _greeting(state: State, nonce: int = 0) -> Greeting:
    joins_only = not state.settings.may_bootstrap
    return Greeting(state.term, state.me, state.log.is_empty, nonce, joins_only)


def _record(state: State, greeting: Greeting, asked_ms: int) -> None:
    """Record a member that was confirmed to run, as it was some time after `asked_ms`."""
    member = greeting.member
    old = state.confirmed_members.get(member.id.host)
    since_ms = old.joins_only_since_ms if old is not None and old.member.id == member.id else None
    if greeting.joins_only and since_ms is None:
        since_ms = state.now_ms
    state.confirmed_members[member.id.host] = ConfirmedMember(
        member, greeting.is_empty, state.now_ms, asked_ms, since_ms
    )


def _bootstrap_if_safe(state: State) -> None:
    """Ask the first hosts to elect this member as the leader of a new cell, if all are empty.

    All of them are its voters at once. So nothing is committed before a majority of them holds it,
    and the loss of any one host or disk is borne from the first acknowledgement on.
    """
    if not state.settings.may_bootstrap:
        return
    is_free = state.role is Role.FOLLOWER or bool(state.forming_voters)
    if not state.log.is_empty or not is_free:
        return
    empty = {
        host: confirmed
        for host, confirmed in state.confirmed_members.items()
        if confirmed.is_empty and state.now_ms - confirmed.confirmed_ms <= GREETING_VALID_MS
    }
    members = {host: c.member for host, c in empty.items()} | {state.me.id.host: state.me}
    joining = {host for host, c in empty.items() if c.joins_only_since_ms is not None}
    first_hosts = state.settings.first_host_names
    if bootstrap_host(members, first_hosts, joining) != state.me.id.host:
        return
    if not _are_empty_since_restarts([empty[host] for host in first_hosts if host in empty]):
        return
    rank = sum(1 for host in joining if members[host].has_disk and host < state.me.id.host)
    election.campaign_to_form(state, tuple(members[host] for host in first_hosts), rank)


def _are_empty_since_restarts(confirmed: list[ConfirmedMember]) -> bool:
    """Return whether each of these members proved to be empty after the restart of each other one.

    A host that may only join a cell may have started one before its restart, with another host that
    acknowledged what was proposed to it.
    """
    restarted = [each for each in confirmed if each.joins_only_since_ms is not None]
    return all(
        other.asked_ms > (each.joins_only_since_ms or 0)
        for each in restarted
        for other in confirmed
        if other is not each
    )


def _known_hosts(state: State) -> set[str]:
    known = {m.id.host for m in state.log.members.all}
    return known | set(state.settings.first_host_names)
