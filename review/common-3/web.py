"""A minimal HTTP/1.1 server and client for the stand-ins, from the standard library alone."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, Any]]]


async def serve(ip: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve calls of `handler(method, path, headers, body)`, which returns status and JSON body."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.strip().lower()] = value.strip()
                body = b""
                if headers.get("transfer-encoding", "").lower() == "chunked":
                    while True:
                        size = int((await reader.readline()).split(b";")[0], 16)
                        body += await reader.readexactly(size)
                        await reader.readline()
                        if size == 0:
                            break
                else:
                    body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await handler(method, path, headers, body)
                if status == 0:
                    writer.close()
                    return
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, ip, port, backlog=256)


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
    raw: bytes | None = None,
) -> tuple[int, Any]:
    """Return status and body of one call over a new connection; status 0 if there is no answer."""
    ip, _, port = address.rpartition(":")
    data = raw if raw is not None else (b"" if body is None else json.dumps(body).encode())
    lines = {"Host": address, "Content-Length": str(len(data)), "Connection": "close"}
    if data:
        lines["Content-Type"] = "application/json"
    lines.update(headers or {})
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=8 << 20)
            writer.write(head.encode() + b"\r\n" + data)
            await writer.drain()
            answer = await reader.readuntil(b"\r\n\r\n")
            status = int(answer.split(b" ", 2)[1])
            length = 0
            for line in answer.decode("latin-1").split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.partition(":")[2])
            content = await reader.readexactly(length)
            return status, json.loads(content) if content else None
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
