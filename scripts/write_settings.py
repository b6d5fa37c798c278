#!/usr/bin/env python3
"""Writes one settings file for each entry instance of a bundle.

Usage: write_settings.py BUNDLE OUTPUT_FOLDER PLATFORM_ADDRESS [trusted root key file ...]
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
        )
        (folder / f"{instance['name']}.ini").write_text(text)


if __name__ == "__main__":
    main()
