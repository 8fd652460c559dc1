"""Collect a request's body up to a limit, so that no caller can fill a process's memory."""

from starlette.requests import Request


async def collect_body(req: Request, max_bytes: int) -> bytes | None:
    """Return the body, or None as soon as it is longer than `max_bytes`.

    A body that comes in one part, as the server passes it on, is not copied.
    """
    data = b""
    async for chunk in req.stream():
        data = data + chunk if data else chunk
        if len(data) > max_bytes:
            return None
    return data
