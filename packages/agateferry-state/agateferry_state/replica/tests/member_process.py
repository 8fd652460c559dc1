"""Run one member of a group as a process: `member_process.py NAME FOLDER NAME=ADDRESS...`.

A host that the addresses of the others do not name joins their group. The process reads the
commands `propose TEXT`, `read` and `status` from standard input, one a line, and prints one line of
JSON for each.
"""

import asyncio
import json
import random
import sys
from pathlib import Path

from agateferry_core.clock import SystemClock
from agateferry_core.logs import configure
from agateferry_state.replica import GrpcTransport, NodeConfig, NodeReplica, Peer, start_server
from agateferry_state.replication import Settings


class TextMachine:
    def __init__(self):
        self.texts = []

    def apply(self, index, command):
        self.texts.append(command.decode())
        return len(self.texts)

    def snapshot(self):
        return json.dumps(self.texts).encode()

    def restore(self, data):
        self.texts = json.loads(data)


async def answer(node, machine, line):
    verb, _, text = line.strip().partition(" ")
    if verb == "propose":
        result = await node.propose(text.encode())
        return {"index": result.ok.index} if result.is_ok() else {"error": result.error.kind}
    if verb == "read":
        result = await node.read_barrier()
        return {"texts": machine.texts} if result.is_ok() else {"error": result.error.kind}
    voters = sum(1 for member in node.status().members if member.is_voter)
    return {"leads": node.is_leader, "voters": voters, "texts": machine.texts}


async def main(name, folder, addresses):
    configure()
    rng = random.Random(name)
    peers = tuple(Peer(*pair.split("=")) for pair in addresses)
    own = next(peer for peer in peers if peer.name == name)
    transport, machine = GrpcTransport({}, rng), TextMachine()
    server = (await start_server(own.address, transport)).ok
    cfg = NodeConfig("cell", name, peers, Path(folder), Settings(replaces_hosts=True))
    node = NodeReplica(cfg, machine, transport, SystemClock(), rng)
    await node.start()
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
    while line := await reader.readline():
        print(json.dumps(await answer(node, machine, line.decode())), flush=True)
    await node.stop()
    await transport.close()
    await server.stop(None)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], sys.argv[3:]))
