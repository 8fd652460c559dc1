"""Generated gRPC code for the calls to the leader; `make generate` writes it from leader.proto."""
