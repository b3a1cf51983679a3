"""Run one benchmark and print its figures as JSON."""

import argparse
import importlib
import pkgutil
import sys

import orjson

import citronwinch.benches


def main() -> int:
    """Run the case given on the command line and print its figures."""
    cases = [
        module.name.removeprefix("_case_")
        for module in pkgutil.iter_modules(citronwinch.benches.__path__)
        if module.name.startswith("_case_")
    ]
    parser = argparse.ArgumentParser(prog="python -m citronwinch.benches")
    parser.add_argument("--case", choices=sorted(cases), required=True)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    case = importlib.import_module(f"citronwinch.benches._case_{options.case}")
    figures = case.run_case(options.seed)
    encoded = orjson.dumps(
        figures, option=orjson.OPT_INDENT_2 | orjson.OPT_SERIALIZE_NUMPY
    )
    sys.stdout.buffer.write(encoded + b"\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
