"""Prints a line "KEY SOURCE" for each source file named on standard input. The
key changes if the file, a project header that it includes, the linter or its
settings change.

The includes are those that the compiler recorded in the last build. A file
without a current record gets a key of all project headers."""

import hashlib
import pathlib
import re
import subprocess
import sys

BUILD = pathlib.Path("build")


def recorded_includes():
    """Returns the project files that each source was compiled from."""
    deps = subprocess.run(["ninja", "-C", BUILD, "-t", "deps"],
                          capture_output=True, text=True, check=False).stdout
    includes = {}
    for record in deps.split("\n\n"):
        head, _, files = record.partition("\n")
        if not head.endswith("(VALID)"):
            continue
        root = pathlib.Path.cwd()
        # Records name files relative to the build directory.
        project_files = {
            path for name in re.findall(r"^ +(.*)$", files, re.MULTILINE)
            if not name.startswith("/")
            and (path := (BUILD / name).resolve()).is_relative_to(root)}
        for path in project_files:
            if path.suffix == ".cc":
                includes.setdefault(path, set()).update(project_files)
    return includes


def main():
    sources = [pathlib.Path(line) for line in sys.stdin.read().split()]
    headers = {p.resolve() for p in sources if p.suffix == ".h"}
    includes = recorded_includes()
    linter = subprocess.run(["clang-tidy", "--version"], capture_output=True,
                            check=True).stdout
    contents = {}
    for source in sources:
        if source.suffix != ".cc":
            continue
        path = source.resolve()
        key = hashlib.sha256(linter + pathlib.Path(".clang-tidy").read_bytes())
        for file in sorted({path} | includes.get(path, headers)):
            if file not in contents:
                contents[file] = file.read_bytes()
            key.update(hashlib.sha256(contents[file]).digest())
        print(key.hexdigest()[:32], source)


if __name__ == "__main__":
    main()
