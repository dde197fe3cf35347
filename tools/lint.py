"""Runs clang-tidy in parallel over the sources of the compilation database.

Clean results are remembered in .cache/lint under a hash of the preprocessed
source and .clang-tidy, so that an unchanged source costs one preprocessor run.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

CACHE = pathlib.Path(os.environ.get("LINT_CACHE", ".cache/lint"))
BUILD = "build"


def entries(names):
    """Returns the database entries for our own sources, or the named ones."""
    root = pathlib.Path.cwd()
    wanted = {str((root / name).resolve()) for name in names}
    tracked = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "*.cpp"],
        capture_output=True, text=True, check=True).stdout.split()
    ours = {str(root / name) for name in tracked}
    database = json.loads(pathlib.Path(BUILD, "compile_commands.json").read_text())
    found = {}
    for entry in database:
        name = entry["file"]
        if name in ours and (not wanted or name in wanted):
            found.setdefault(name, entry)
    return list(found.values())


def fingerprint(entry):
    """Hashes what the linter would see of one source."""
    words = shlex.split(entry["command"])
    if words and words[0].endswith("ccache"):
        words = words[1:]
    kept = []
    skip = False
    for word in words:
        if skip:
            skip = False
            continue
        if word == "-o":
            skip = True
            continue
        if word != "-c":
            kept.append(word)
    text = subprocess.run(kept + ["-E", "-P", "-C"], cwd=entry["directory"],
                          capture_output=True, check=True).stdout
    settings = pathlib.Path(".clang-tidy").read_bytes()
    return hashlib.sha256(text + settings).hexdigest()


def lint(entry):
    """Returns the linter's findings for one source; empty when clean."""
    try:
        key = CACHE / fingerprint(entry)
    except subprocess.CalledProcessError as error:
        return f"{entry['file']}: does not compile: {error.stderr.decode()}"
    if key.exists():
        return ""
    run = subprocess.run(["clang-tidy", "--quiet", "-p", BUILD, entry["file"]],
                         capture_output=True, text=True)
    if run.returncode == 0:
        key.touch()
        return ""
    return run.stdout + run.stderr


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    work = entries(sys.argv[1:])
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        findings = [text for text in pool.map(lint, work) if text]
    for text in findings:
        print(text)
    print(f"lint: {len(work)} sources, {len(findings)} with findings")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
