#!/usr/bin/env python3
"""Writes the demonstration operators' tokens and keys, and prints the root key and the bootstrap token digest.

Usage: demo_keys.py BUNDLE OUTPUT_FOLDER
"""
import hashlib
import json
import pathlib
import sys


def digest(text):
    return hashlib.blake2b(text.encode(), digest_size=32).hexdigest()


def write_secret(path, text):
    path.touch(mode=0o600)
    path.write_text(text + "\n")


def main():
    bundle = json.loads(pathlib.Path(sys.argv[1]).read_text())
    folder = pathlib.Path(sys.argv[2])
    for name in ("ana", "ben", "eva"):
        write_secret(folder / f"{name}.token", f"demo-token-{name}")
    for name in ("ben", "eva"):
        write_secret(folder / f"{name}.key", digest(f"demo-key-{name}"))
    write_secret(folder / "bootstrap.token", "demo-token-bootstrap")
    root_signer = next(operator for operator in bundle["operators"] if operator["name"] == "ben")
    print(root_signer["publicKey"], digest("demo-token-bootstrap"))


if __name__ == "__main__":
    main()
