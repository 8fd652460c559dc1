"""A stand-in for a worker, as the pages describe one; it runs as a process of its own.

    worker.py SETTINGS.json

The settings name its id, service, address, capacity and the control addresses it reports to. While
the file `unhealthyFile` exists, it answers each start with 503 and does nothing. What it starts and ends goes to standard output, one JSON line each.
"""

import asyncio
import http.client
import json
import os
import sys
import threading
import time

HEARTBEAT_S = 1.5
CALL_S = 1.0


class Run:
    """One run of a subtask."""

    def __init__(self, task, number, spec):
        self.task, self.number = task, number
        self.total_s = json.loads(spec or "{}").get("ms", 1000) / 1000
        self.began_s = time.monotonic()
        self.stopping = False

    def percent(self):
        return min(100, int(100 * (time.monotonic() - self.began_s) / self.total_s))


class Worker:
    """The state of one life of a worker."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.born = int(time.time() * 1000)
        self.zero_s = time.monotonic() - cfg.get("clockAheadS", 0)
        self.token = 0
        self.deadline_ms = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.count = 0
        self.wake = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.zero_s) * 1000)

    def say(self, what, **more):
        line = {"at": round(time.time(), 3), "worker": self.cfg["id"], "what": what, **more}
        print(json.dumps(line), flush=True)

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.count += 1
        self.ends.append([self.count, run.task, run.number, how, ""])
        self.say("ended", task=run.task, run=run.number, how=how)
        self.wake.set()
        self.wake = asyncio.Event()

    async def work(self, run):
        await asyncio.sleep(run.total_s)
        if not run.stopping:
            self.end(run, "done")

    def extend(self, deadline_ms):
        if deadline_ms:
            longest = self.clock_ms() + self.cfg["maxHoldMs"]
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() > self.deadline_ms:
                for run in list(self.runs.values()):
                    run.stopping = True
                    self.end(run, "lapsed")

    async def answer(self, path, headers, body):
        if headers.get("target-instance", self.cfg["id"]) != self.cfg["id"]:
            return 421, {"clockMs": self.clock_ms()}
        order = json.loads(body or b"{}")
        token = order.get("fencingToken", 0)
        if path.endswith("/run-start") and os.path.exists(self.cfg["unhealthyFile"]):
            self.say("rejected", task=order["task"], run=order["run"], status=503)
            return 503, {"clockMs": self.clock_ms()}
        if token < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = token
        if path.endswith("/run-start"):
            return self.start(order)
        if path.endswith("/run-stop"):
            return self.stop(order)
        return await self.hold(order)

    def start(self, order):
        task, number = order["task"], order["run"]
        running = self.runs.get(task)
        if running is not None and running.number == number:
            return 200, {"clockMs": self.clock_ms()}
        if number <= self.highest.get(task, 0) or running is not None:
            self.extend(order.get("deadlineMs"))
            return 409, {"clockMs": self.clock_ms(), "reason": "old"}
        if order["deadlineMs"] <= self.clock_ms():
            return 409, {"clockMs": self.clock_ms(), "reason": "late"}
        self.extend(order["deadlineMs"])
        run = self.runs[task] = Run(task, number, order.get("spec"))
        self.say("started", task=task, run=number)
        run.job = asyncio.get_running_loop().create_task(self.work(run))
        return 200, {"clockMs": self.clock_ms()}

    def stop(self, order):
        task, number = order["task"], order["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(0.1, self.end, run, "stopped")
        return 200, {"clockMs": self.clock_ms()}

    async def hold(self, order):
        cursor = order.get("ackCursor", 0)
        if cursor:
            noted = [end for end in self.ends if end[0] <= cursor]
            self.ends = [end for end in self.ends if end[0] > cursor]
            for end in noted:
                self.say("end noted", task=end[1], run=end[2], how=end[3])
        self.extend(order.get("deadlineMs"))
        if order.get("waitMs") and not self.ends:
            wake = self.wake
            try:
                await asyncio.wait_for(wake.wait(), min(2000, order["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": [[r.task, r.number, "", r.percent(), 0] for r in self.runs.values()],
            "finished": self.ends[:500],
        }

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                _, path, _ = head[0].split(" ")
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, reply = await self.answer(path, headers, body)
                data = json.dumps(reply).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def report(self):
        """Send heartbeats for as long as the process runs; the next node after a failure."""
        cfg, sequence, at = self.cfg, 0, 0
        nodes = list(cfg["control"])
        target = None
        while True:
            sequence += 1
            body = {
                "service": cfg["service"],
                "address": cfg["address"],
                "zone": cfg["zone"],
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "capacity": cfg["capacity"],
                "labels": ["a", cfg["rack"]],
                "machine": "m-" + cfg["id"],
                "born": self.born,
                "clockMs": self.clock_ms(),
                "sequence": sequence,
            }
            for _ in range(2 * len(nodes)):
                node = target or nodes[at % len(nodes)]
                try:
                    ip, _, port = node.partition(":")
                    call = http.client.HTTPConnection(ip, int(port), timeout=CALL_S)
                    call.request(
                        "PUT",
                        "/agateferry/instances/" + cfg["id"],
                        json.dumps(body),
                        {"Content-Type": "application/json"},
                    )
                    reply = call.getresponse()
                    text = reply.read()
                    call.close()
                    if reply.status == 200:
                        target = json.loads(text or b"{}").get("heartbeatUrl") or node
                        break
                except (OSError, http.client.HTTPException):
                    pass
                target = None
                at += 1
                time.sleep(0.1)
            time.sleep(HEARTBEAT_S)


async def main():
    with open(sys.argv[1]) as file:
        worker = Worker(json.load(file))
    ip, _, port = worker.cfg["address"].partition(":")
    server = await asyncio.start_server(worker.serve, ip, int(port), reuse_address=True)
    worker.say("up", born=worker.born)
    threading.Thread(target=worker.report, daemon=True).start()
    async with server:
        await worker.watch_lease()


asyncio.run(main())
