"""A stand-in worker: one process is one boot of a worker, as PROTOCOL.md describes it.

It serves run-start, run-stop and hold, sends status reports, and appends to a file what it starts
and what ends. The `spec` of a job tells how long a subtask works: `ms=N`, or `until=T` (Unix ms).
"""

import argparse
import asyncio
import json
import os
import signal
import time


def now_ms() -> int:
    return time.time_ns() // 1_000_000


class Worker:
    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.born = now_ms()
        self.began = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.running: dict[str, dict] = {}
        self.finished: list[list] = []
        self.ends = 0
        self.floor: dict[str, int] = {}
        """The highest run that was stopped, ended or refused here, by subtask."""
        self.state = "ready"
        self.sequence = 0
        self.changed = asyncio.Event()
        self.log_file = os.open(args.log, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        self.targets: list[str] = args.control.split(",")
        self.report_to = ""
        self.confirmed_draining = asyncio.Event()

    def clock(self) -> int:
        return int((time.monotonic() - self.began) * 1000) + 1

    def log(self, what: str, **fields: object) -> None:
        row = {"at": now_ms(), "worker": self.args.id, "born": self.born, "what": what, **fields}
        os.write(self.log_file, (json.dumps(row) + "\n").encode())

    # Runs

    def lapse(self) -> None:
        if self.running and self.clock() > self.deadline:
            for task in list(self.running):
                self.end(task, "lapsed")

    def end(self, task: str, how: str) -> None:
        run = self.running.pop(task)
        for timer in run["timers"]:
            timer.cancel()
        self.ends += 1
        self.finished.append([self.ends, task, run["run"], how, ""])
        self.floor[task] = max(self.floor.get(task, 0), run["run"])
        self.log("end", task=task, run=run["run"], how=how, number=self.ends)
        self.changed.set()

    def extend(self, deadline: object) -> None:
        if isinstance(deadline, int):
            latest = self.clock() + self.args.max_hold_ms
            self.deadline = max(self.deadline, min(deadline, latest))

    def run_start(self, body: dict) -> tuple[int, dict]:
        task, run, token = body["task"], body["run"], body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        deadline = body.get("deadlineMs", 0)
        if deadline <= self.clock():
            return 409, {"reason": "late"}
        self.extend(deadline)
        there = self.running.get(task)
        if there is not None and there["run"] == run:
            return 200, {}
        if there is not None or run <= self.floor.get(task, 0):
            return 409, {"reason": "old"}
        spec = dict(part.split("=") for part in body["spec"].split(";"))
        if "until" in spec:
            index = int(task.rpartition(".")[2])
            work_ms = int(spec["until"]) + index * int(spec.get("step", 0)) - now_ms()
        else:
            work_ms = int(spec["ms"])
        loop = asyncio.get_running_loop()
        record = {"run": run, "began": self.clock(), "ms": max(1, work_ms), "stopping": False}
        record["timers"] = [loop.call_later(max(1, work_ms) / 1000, self.on_done, task, run)]
        self.running[task] = record
        self.log("start", task=task, run=run, token=token)
        return 200, {}

    def on_done(self, task: str, run: int) -> None:
        self.lapse()
        there = self.running.get(task)
        if there is not None and there["run"] == run:
            self.end(task, "stopped" if there["stopping"] else "done")

    def run_stop(self, body: dict) -> tuple[int, dict]:
        task, run, token = body["task"], body["run"], body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        there = self.running.get(task)
        if there is None or there["run"] != run:
            self.floor[task] = max(self.floor.get(task, 0), run)
        elif not there["stopping"]:
            there["stopping"] = True
            loop = asyncio.get_running_loop()
            there["timers"].append(
                loop.call_later(self.args.stop_ms / 1000, self.on_done, task, run)
            )
            self.log("stop", task=task, run=run)
        return 200, {}

    async def hold(self, body: dict) -> tuple[int, dict]:
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        self.extend(body.get("deadlineMs"))
        cursor = body.get("ackCursor", 0)
        if self.finished and self.finished[0][0] <= cursor:
            for each in self.finished:
                if each[0] <= cursor:
                    self.log("noted", task=each[1], run=each[2], how=each[3], number=each[0])
            self.finished = [each for each in self.finished if each[0] > cursor]
        wait_ms = min(2000, body.get("waitMs", 0))
        if wait_ms and not self.finished:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait_ms / 1000)
            except TimeoutError:
                pass
        running = []
        for task, run in self.running.items():
            percent = min(99, (self.clock() - run["began"]) * 100 // run["ms"])
            running.append([task, run["run"], "", percent, 0])
        lists = {"running": running, "finished": self.finished[:500], "born": self.born}
        return 200, lists

    # HTTP

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = dict(
                    (name.strip().lower(), value.strip())
                    for name, _, value in (line.partition(":") for line in lines[1:] if line)
                )
                data = await reader.readexactly(int(headers.get("content-length", 0)))
                status, reply = await self.answer(method, path, headers, data)
                reply["clockMs"] = self.clock()
                body = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(
        self, method: str, path: str, headers: dict, data: bytes
    ) -> tuple[int, dict]:
        self.lapse()
        if headers.get("target-instance") not in (None, self.args.id):
            return 421, {}
        if method == "GET":
            return 200, {}
        body = json.loads(data)
        match path:
            case "/agateferry/run-start":
                return self.run_start(body)
            case "/agateferry/run-stop":
                return self.run_stop(body)
            case "/agateferry/hold":
                return await self.hold(body)
        return 400, {}

    # Status reports

    async def call(self, target: str, method: str, body: dict | None, timeout: float = 1.0):
        """Send one call to a control address; return the status and the reply, or None."""
        ip, _, port = target.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(ip, int(port))
                data = json.dumps(body).encode() if body is not None else b""
                writer.write(
                    f"{method} /agateferry/instances/{self.args.id} HTTP/1.1\r\n"
                    f"Host: {target}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
                raw = await reader.read()
            head, _, rest = raw.partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), json.loads(rest or b"{}")
        except (TimeoutError, OSError, IndexError, ValueError):
            return None
        finally:
            if writer is not None:
                writer.close()

    def report(self) -> dict:
        a = self.args
        self.sequence += 1
        report = {
            "service": a.service,
            "address": a.address,
            "zone": a.zone,
            "version": "v1",
            "slots": a.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": a.cpu, "memMb": a.mem, "gpu": a.gpu},
            "labels": a.labels.split(","),
            "machine": f"m-{a.id}",
            "born": self.born,
            "clockMs": self.clock(),
            "sequence": self.sequence,
        }
        if self.state == "draining":
            report["remainingMs"] = a.drain_ms
        return report

    async def send_report(self) -> bool:
        """Send a status report to the address named, then to the others until one confirms it."""
        order = [self.report_to] if self.report_to else []
        order += [target for target in self.targets if target not in order]
        for target in order:
            report = self.report()
            reply = await self.call(target, "PUT", report)
            if reply is not None and 200 <= reply[0] < 300:
                self.report_to = reply[1].get("heartbeatUrl", "") or target
                if report["state"] == "draining" and not self.confirmed_draining.is_set():
                    self.log("draining-confirmed", by=target)
                    self.confirmed_draining.set()
                return True
            if target == self.report_to:
                self.report_to = ""
        return False

    async def report_forever(self) -> None:
        await asyncio.sleep(self.args.first_report_ms / 1000)
        while True:
            began = time.monotonic()
            await self.send_report()
            rest = self.args.heartbeat_ms / 1000 - (time.monotonic() - began)
            await asyncio.sleep(max(0.05, rest))

    async def leave(self) -> None:
        """Shut down: report `draining`, serve on, then deregister and end."""
        self.state = "draining"
        self.log("draining")
        while not await self.send_report():
            await asyncio.sleep(0.2)
        await asyncio.sleep(self.args.drain_ms / 1000)
        order = [t for t in self.args.delete_first.split(",") if t]
        order += [target for target in self.targets if target not in order]
        for target in order:
            reply = await self.call(target, "DELETE", None)
            self.log("deregister", to=target, status=reply[0] if reply else None)
            if reply is not None and 200 <= reply[0] < 300:
                break
        for task in list(self.running):
            self.log("killed", task=task, run=self.running[task]["run"])
        os._exit(0)

    async def main(self) -> None:
        ip, _, port = self.args.address.rpartition(":")
        server = await asyncio.start_server(self.serve, ip, int(port), backlog=512)
        self.log("boot")
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(self.report_forever())]
        loop.add_signal_handler(
            signal.SIGTERM, lambda: tasks.append(loop.create_task(self.leave()))
        )
        async with server:
            while True:
                await asyncio.sleep(0.05)
                self.lapse()


def main() -> None:
    parser = argparse.ArgumentParser()
    for name in ("id", "address", "control", "log", "service", "zone"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--labels", default="a,r1-1")
    parser.add_argument("--delete-first", default="")
    defaults = {
        "slots": 8,
        "cpu": 64_000,
        "mem": 262_144,
        "gpu": 8,
        "heartbeat-ms": 1500,
        "first-report-ms": 0,
        "max-hold-ms": 10_000,
        "stop-ms": 500,
        "drain-ms": 2000,
    }
    for name, value in defaults.items():
        parser.add_argument(f"--{name}", type=int, default=value)
    asyncio.run(Worker(parser.parse_args()).main())


if __name__ == "__main__":
    main()
