"""Which work to preempt for a request, and the claims of requests that wait for it to stop."""
