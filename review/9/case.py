"""One of three core machines loses power while the system starts for the first time."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import system as stand

LOST_AFTER_S = 0.1
DARK_S = 9.5
CONTACT_S = stand.BOUNDS["contactMs"] / 1000
ACK_S = stand.BOUNDS["ackMs"] / 1000


def play(system):
    for number, ip in enumerate(system.cell_ips):
        system.start_role("cell", ip, number)
    for number, ip in enumerate(system.entry_ips):
        system.start_role("entry", ip, number)
    stable_s = time.time() + CONTACT_S
    if system.trouble:
        time.sleep(LOST_AFTER_S)
        system.kill("cell-2")
        stable_s = time.time() + CONTACT_S
    manifest = system.manifest()
    due_s = stable_s + ACK_S + 0.003
    dark_until_s = stable_s - CONTACT_S + DARK_S
    turn, acknowledged = 0, False
    while not acknowledged and time.time() < dark_until_s:
        node = system.control[turn % len(system.control)]
        status, _ = system.call(node, "PUT", "/agateferry/config", manifest, timeout=1.0)
        system.record("PUT manifest", node=node, status=status)
        acknowledged, turn = status == 200, turn + 1
        time.sleep(0.2)
    late = not acknowledged or time.time() > due_s
    if not acknowledged:
        status, text = system.front("POST", stand.PREFIX + "5c0e7a21d94b36f8", {"steps": [{}]})
        system.record("POST of a consumer", status=status, answer=text.decode())
        system.start_role("cell", system.cell_ips[2], 2)
        system.put_manifest(manifest)
    if late:
        return (
            f"Acks: a valid manifest has no confirmation {ACK_S + CONTACT_S:.0f} s after one of "
            "three core machines was lost, while the two others run and are connected"
        )
    return None


sys.exit(stand.main(Path(__file__).parent, play, workers=0))
