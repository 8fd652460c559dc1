"""What the HTTP ports share: problem details, bodies, waits and serving."""
