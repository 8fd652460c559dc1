"""A stand-in worker: one process, one life. It follows PROTOCOL.md, "Running subtasks".

The spec of a job is JSON and says what its subtasks do: `ms` how long one works, `fail` whether it
ends as failed, `saves` whether it saves checkpoints. The worker appends what it saw to a file.
"""

import asyncio
import json
import sys
import time
from typing import Any

sys.path.insert(0, __file__.rpartition("/")[0])
import web  # noqa: E402


class Worker:
    def __init__(self, cfg: dict[str, Any]) -> None:
        self.cfg = cfg
        self.id = cfg["id"]
        self.address = f"{cfg['ip']}:{cfg['port']}"
        self.born = time.time_ns() // 1_000_000
        self.started = time.monotonic()
        self.token = 0
        self.deadline = 0
        self.runs: dict[str, dict[str, Any]] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.last_end = 0
        self.ended = asyncio.Event()
        self.sequence = 0
        self.state = "ready"
        self.record = open(cfg["record"], "a", buffering=1)

    def clock(self) -> int:
        return int((time.monotonic() - self.started) * 1000)

    def note(self, what: str, **fields: Any) -> None:
        row = {"at": round(time.time(), 3), "who": self.id, "born": self.born, "what": what}
        self.record.write(json.dumps({**row, **fields}) + "\n")

    def advance(self) -> None:
        now = self.clock()
        for task, run in list(self.runs.items()):
            if run["stop_at"] is not None and now >= run["stop_at"]:
                self.end(task, "stopped")
            elif now >= run["begun"] + run["ms"]:
                self.end(task, "failed" if run["fail"] else "done")
        if self.runs and now >= self.deadline:
            for task in list(self.runs):
                self.end(task, "lapsed")

    def saved(self, run: dict[str, Any]) -> str:
        if not run["saves"]:
            return ""
        worked = run["base"] + min(run["ms"], self.clock() - run["begun"])
        step = int(worked // 1000) * 1000
        return f"{step:08x}" if step else run["from"]

    def end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        self.last_end += 1
        saved = self.saved(run) if how != "done" else ""
        self.ends.append([self.last_end, task, run["run"], how, saved])
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.note("end", task=task, run=run["run"], how=how, n=self.last_end)
        self.ended.set()
        self.ended = asyncio.Event()

    def extend(self, body: dict[str, Any]) -> None:
        deadline = body.get("deadlineMs")
        if deadline is not None:
            latest = self.clock() + self.cfg["maxHoldMs"]
            self.deadline = max(self.deadline, min(int(deadline), latest))

    def answer(self, status: int, **fields: Any) -> tuple[int, Any]:
        return status, {"clockMs": self.clock(), "born": self.born, **fields}

    async def handle(
        self, method: str, path: str, headers: dict[str, str], raw: bytes
    ) -> tuple[int, Any]:
        if path == self.cfg.get("healthPath", "/health"):
            return 200, {}
        if path == "/stand-in/drain":
            self.state = "draining"
            return 200, {}
        if headers.get("target-instance", self.id) != self.id:
            return self.answer(421)
        self.advance()
        body = json.loads(raw or b"{}")
        if int(body.get("fencingToken", 0)) < self.token:
            return self.answer(409, reason="fence")
        self.token = max(self.token, int(body.get("fencingToken", 0)))
        if path == "/agateferry/run-start":
            return self.start(body)
        if path == "/agateferry/run-stop":
            return self.stop(body)
        if path == "/agateferry/hold":
            return await self.hold(body)
        return self.answer(404)

    def start(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number = body["task"], int(body["run"])
        if int(body["deadlineMs"]) <= self.clock():
            return self.answer(409, reason="late")
        self.extend(body)
        run = self.runs.get(task)
        if run is not None and run["run"] == number:
            return self.answer(200)
        if number <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        spec = json.loads(body["spec"] or "{}")
        from_ = body.get("checkpoint", "")
        base = int(from_, 16) if from_ else 0
        self.note("start", task=task, run=number, token=body["fencingToken"], spec=body["spec"])
        self.highest[task] = max(self.highest.get(task, 0), number - 1)
        self.runs[task] = {
            "run": number,
            "begun": self.clock(),
            "ms": max(50, int(spec.get("ms", 500)) - base),
            "fail": spec.get("fail", False),
            "saves": spec.get("saves", False),
            "base": base,
            "from": from_,
            "stop_at": None,
        }
        return self.answer(200)

    def stop(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number = body["task"], int(body["run"])
        run = self.runs.get(task)
        if run is None or run["run"] > number:
            self.highest[task] = max(self.highest.get(task, 0), number)
        elif run["run"] == number and run["stop_at"] is None:
            run["stop_at"] = self.clock() + self.cfg.get("stopMs", 200)
            self.note("stop", task=task, run=number)
        return self.answer(200)

    async def hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        cursor = int(body.get("ackCursor", 0))
        if cursor:
            forgotten = [end for end in self.ends if end[0] <= cursor]
            self.ends = [end for end in self.ends if end[0] > cursor]
            for end in forgotten:
                self.note("acknowledged", task=end[1], run=end[2], how=end[3], n=end[0])
        self.extend(body)
        wait_s = min(2000, int(body.get("waitMs", 0))) / 1000
        if wait_s and not self.ends:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_s)
            except TimeoutError:
                pass
        self.advance()
        running = [
            [
                task,
                run["run"],
                self.saved(run),
                min(100, int(100 * (self.clock() - run["begun"]) / max(1, run["ms"]))),
                0,
            ]
            for task, run in self.runs.items()
        ]
        return self.answer(200, running=running, finished=self.ends[:500])

    async def beat(self) -> None:
        nodes, at = list(self.cfg["control"]), 0
        to = None
        while True:
            self.sequence += 1
            body = {
                "service": self.cfg["service"],
                "address": self.address,
                "zone": self.cfg["zone"],
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "capacity": self.cfg["capacity"],
                "labels": self.cfg["labels"],
                "machine": self.cfg["machine"],
                "clockMs": self.clock(),
                "born": self.born,
                "sequence": self.sequence,
            }
            address = to or nodes[at % len(nodes)]
            path = f"/agateferry/instances/{self.id}"
            status, answer = await web.call(address, "PUT", path, body)
            if status // 100 == 2:
                to = (answer or {}).get("heartbeatUrl")
                await asyncio.sleep(self.cfg["heartbeatMs"] / 1000)
            else:
                to, at = None, at + 1
                await asyncio.sleep(0.1)

    async def main(self) -> None:
        await web.serve(self.cfg["ip"], self.cfg["port"], self.handle)
        self.note("up")
        beating = asyncio.create_task(self.beat())
        while not beating.done():
            self.advance()
            await asyncio.sleep(0.02)
        beating.result()


if __name__ == "__main__":
    asyncio.run(Worker(json.loads(sys.argv[1])).main())
