"""The bytes of HTTP/1.1 requests, whole or cut off just before their end."""

from collections.abc import Mapping

CHUNK_BYTES = 32 * 1024
LAST_CHUNK = b"0\r\n\r\n"


def head(method: str, path: str, headers: Mapping[str, str]) -> bytes:
    """Return a request's line and headers, with the empty line that ends them."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode()


def with_length(
    method: str, path: str, headers: Mapping[str, str], body: bytes, missing_bytes: int = 0
) -> bytes:
    """Return a request with `Content-Length`; its last `missing_bytes` are left out."""
    full = {**headers, "Content-Length": str(len(body))}
    return head(method, path, full) + body[: len(body) - missing_bytes]


def chunked(
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    chunk_bytes: int = CHUNK_BYTES,
    is_ended: bool = True,
) -> bytes:
    """Return a request with a chunked body; without `is_ended` the last, empty chunk is missing."""
    parts = [head(method, path, {**headers, "Transfer-Encoding": "chunked"})]
    for start in range(0, len(body), chunk_bytes):
        chunk = body[start : start + chunk_bytes]
        parts.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
    return b"".join(parts) + (LAST_CHUNK if is_ended else b"")
