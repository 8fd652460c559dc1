"""Greetings, by which hosts learn which incarnations run, and the start of a new cell.

A member that is no voter and has no leader greets every host it knows. So does a voter that heard
from no leader for a long time, because it may have been removed. The recipient asks the sender to
repeat its greeting with a nonce, so that a delayed greeting is not taken for a current one. A
confirmed greeting proves which incarnation runs on a host; any other incarnation of that host is
superseded. A message from a superseded incarnation is answered with the same request, because it
may be the newer one.
"""

from agateferry_state.members import Member, MemberId, Members
from agateferry_state.members.admission import bootstrap_host
from agateferry_state.replication import leader
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
    greeting = Greeting(state.term, state.me, state.log.is_empty)
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
        state.confirmed_members[sender.host] = ConfirmedMember(
            greeting.member, greeting.is_empty, state.now_ms
        )


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
    greeting = Greeting(state.term, state.me, state.log.is_empty, request.nonce)
    state.send(sender, greeting)


def bootstrap(state: State, voters: tuple[Member, ...]) -> None:
    """Start a new cell with these voters, of which this member is one, and lead it."""
    state.enter_term(state.term + 1, state.me.id)
    leader.become_leader(state, Members(voters=voters))


def _bootstrap_if_safe(state: State) -> None:
    """Start a new cell of all first hosts if each proved that its log is empty.

    All of them are voters at once. So nothing is committed before a majority of them holds it, and
    the loss of any one host or disk is borne from the first acknowledgement on.
    """
    if not state.settings.may_bootstrap:
        return
    if not state.log.is_empty or state.role is not Role.FOLLOWER:
        return
    empty_members: dict[str, Member] = {state.me.id.host: state.me}
    for host, confirmed in state.confirmed_members.items():
        if confirmed.is_empty and state.now_ms - confirmed.confirmed_ms <= GREETING_VALID_MS:
            empty_members[host] = confirmed.member
    first_hosts = state.settings.first_host_names
    if bootstrap_host(empty_members, first_hosts) == state.me.id.host:
        bootstrap(state, tuple(empty_members[host] for host in first_hosts))


def _known_hosts(state: State) -> set[str]:
    known = {m.id.host for m in state.log.members.all}
    return known | set(state.settings.first_host_names)
