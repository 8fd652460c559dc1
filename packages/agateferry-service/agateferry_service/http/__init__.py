"""Code that all HTTP ports share: problem details, request bodies, waits and the server."""
