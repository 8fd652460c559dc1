"""Responses that are written without an application, and the Date header of all responses."""

import time
from email.utils import formatdate

from starlette.responses import Response
from uvicorn.protocols.http.httptools_impl import STATUS_LINE


class DateHeader:
    """The Date header of responses, formatted again only when the second has changed."""

    def __init__(self) -> None:
        self._second = -1
        self._header = (b"date", b"")

    def current(self) -> tuple[bytes, bytes]:
        """Return the header's name and value now."""
        second = int(time.time())
        if second != self._second:
            self._second = second
            self._header = (b"date", formatdate(second, usegmt=True).encode())
        return self._header


def response_bytes(response: Response, date_header: tuple[bytes, bytes]) -> bytes:
    """Return a whole response as it is sent, with the header that closes the connection."""
    headers = [date_header, *response.raw_headers, (b"connection", b"close")]
    lines = [STATUS_LINE[response.status_code], *(b"%b: %b\r\n" % header for header in headers)]
    return b"".join([*lines, b"\r\n", bytes(response.body)])
