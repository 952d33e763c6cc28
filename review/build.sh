#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python and need only its standard library (3.11 or
# later), so this only checks that they compile. Uses no network.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in [*pathlib.Path("standin").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/*.py")]:
    compile(path.read_text(), str(path), "exec")
    print(f"{path}: ready")
P
