#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 and later. They are Python programs of the standard
# library alone, so this only checks that they compile and that the deploy file's program is there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'END'
import pathlib, sys, tomllib
for path in sorted([*pathlib.Path("review/lib-2").glob("*.py"), *(path for number in range(6, 11) for path in pathlib.Path(f"review/{number}").glob("case.py"))]):
    compile(path.read_text(), str(path), "exec")
deploy = tomllib.loads(pathlib.Path("deploy/system.toml").read_text())
missing = [role["run"] for role in deploy["roles"].values()
           if not pathlib.Path(role["run"].split()[0]).exists()]
if missing:
    sys.exit("build the program of deploy/system.toml first: " + missing[0])
END
