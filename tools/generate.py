"""Generate the protobuf and gRPC modules beside their .proto files."""

import sys
from pathlib import Path

from grpc_tools import protoc

ROOT = Path(__file__).resolve().parent.parent


def generate(package: Path) -> int:
    """Run protoc over every .proto file below one package folder; return its exit status."""
    protos = sorted(str(path.relative_to(package)) for path in package.rglob("*.proto"))
    if not protos:
        return 0
    out = [f"--{kind}_out={package}" for kind in ("python", "grpc_python", "mypy")]
    return int(protoc.main(["protoc", f"-I{package}", *out, *protos]))


if __name__ == "__main__":
    sys.exit(max(generate(path) for path in sorted((ROOT / "packages").iterdir())))
