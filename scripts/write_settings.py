#!/usr/bin/env python3
"""Writes one settings file for each entry instance of a bundle.

Usage: write_settings.py BUNDLE OUTPUT_FOLDER PLATFORM_ADDRESS ROOT_KEYS BOOTSTRAP_TOKEN_DIGEST CLUSTER_KEY [TRACE_TARGET]
"""
import json
import pathlib
import sys


def main():
    bundle = json.loads(pathlib.Path(sys.argv[1]).read_text())
    folder = pathlib.Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    for instance in bundle["entryInstances"]:
        text = (
            f"[instance]\nname = {instance['name']}\nzone = {instance['zone']}\n"
            f"[listen]\ntraffic = {instance['traffic']}\npeer = {instance['peer']}\nadmin = {instance['admin']}\n"
            f"[platform]\naddress = {sys.argv[3]}\n"
            f"[trust]\nroot_keys = {sys.argv[4]}\nbootstrap_token_digest = {sys.argv[5]}\n"
            f"[cluster]\nkey = {sys.argv[6]}\n"
            f"[trace]\ntarget = {sys.argv[7] if len(sys.argv) > 7 else ''}\n"
        )
        (folder / f"{instance['name']}.ini").write_text(text)


if __name__ == "__main__":
    main()
