#!/usr/bin/env python3
"""Writes examples/<deployment>/bundle.json for the two example deployments.

The Ed25519 public keys are constants, so that the script needs no package outside the standard library. They are the
result of libsodium's crypto_sign_seed_keypair() for the seeds BLAKE2b-256("demo-key-ben") and
BLAKE2b-256("demo-key-eva"). src/tools/backend/tst_examples.cpp checks them by deriving them again.
"""

import hashlib
import json
import pathlib

DEMO_PUBLIC_KEYS = {
    "ben": "f1aad9583e871e2a01cf8a9910a5c5e717b1ae9c2862ef50ef40b90671eac2b9",
    "eva": "bc61a02e1bcb1a71ce947735852a9cd6911d2d8920c3e1176159c0fc3fe42a7d",
}

OPERATORS = [("ana", "editor"), ("ben", "approver"), ("eva", "administrator")]

# A quarter of the 4 Gbit/s link between two regions, which also carries the traffic of other systems.
LINK_BYTES_PER_SECOND = 125_000_000

MIB = 1024 * 1024

# Fields of a service: name, team, class, priority, deadline in ms, maximum body size in bytes, slots of the servers (repeated
# in this order), number of servers.
GRANITE_RIDGE = {
    "network": 20,
    "firstPort": 20000,
    "regions": ["merrimack", "narragansett", "kennebec"],
    "regionDelayMs": 55,
    "maximumConnections": 400,
    "services": [
        ("shelfwatch", "stock", "idempotent", "lookup", 2000, MIB, [4, 5, 6], 16),
        ("tillgate", "payments", "non-idempotent", "critical", 4000, MIB, [4, 5, 6], 12),
        ("ledgerbin", "compliance", "mixed", "upload", 60000, 64 * MIB, [4, 5, 6], 14),
    ],
}

INAT = {
    "network": 30,
    "firstPort": 24000,
    "regions": ["sur", "andes", "norte"],
    "regionDelayMs": 35,
    "maximumConnections": 330,
    "services": [
        ("catalogo", "catalogo", "idempotent", "lookup", 2000, MIB, [3], 12),
        ("sellos", "sellos", "non-idempotent", "critical", 4000, MIB, [3], 12),
        ("planos", "planos", "mixed", "upload", 60000, 64 * MIB, [3], 12),
    ],
}


def digest(text):
    return hashlib.blake2b(text.encode(), digest_size=32).hexdigest()


def zones_of(deployment):
    return [(f"{region}-{letter}", region) for region in deployment["regions"] for letter in "ab"]


def entry_instances(deployment):
    port = deployment["firstPort"]
    result = []
    for zone_number, (zone, _) in enumerate(zones_of(deployment)):
        for number in (1, 2):
            address = f"127.{deployment['network']}.{zone_number + 1}.{number}"
            result.append({
                "name": f"{zone}-e{number}",
                "zone": zone,
                "traffic": f"{address}:{port}",
                "peer": f"{address}:{port + 1}",
                "admin": f"{address}:{port + 2}",
            })
    return result


def services(deployment):
    zones = zones_of(deployment)
    result = []
    for index, service in enumerate(deployment["services"]):
        name, team, request_class, priority, deadline_ms, maximum_body, slots, count = service
        servers = []
        for number in range(count):
            # Assigns servers round-robin over the regions first and then over their zones, so that the regions stay balanced
            # if the number of servers is not a multiple of the number of zones.
            zone_number = (number % 3) * 2 + (number // 3) % 2
            servers.append({
                "name": f"{name}-{number + 1:02}",
                "zone": zones[zone_number][0],
                "address": f"127.{deployment['network']}.{zone_number + 1}.{100 + number}"
                           f":{deployment['firstPort'] + 100 + index}",
                "slots": slots[number % len(slots)],
                "maximumConnections": deployment["maximumConnections"],
            })
        result.append({
            "name": name,
            "team": team,
            "class": request_class,
            "priority": priority,
            "deadlineMs": deadline_ms,
            "maximumBodyBytes": maximum_body,
            "servers": servers,
        })
    return result


def region_pairs(deployment):
    regions = deployment["regions"]
    return [(a, b) for a in regions for b in regions if a != b]


def shift_caps(deployment):
    per_second = {"lookup": 240, "critical": 120, "upload": 24}
    return [
        {"service": name, "from": a, "to": b, "perSecond": per_second[priority],
         "total": per_second[priority] * 3600, "epoch": 1}
        for name, _, _, priority, *_ in deployment["services"]
        for a, b in region_pairs(deployment)
    ]


def bundle(deployment):
    return {
        "version": 1,
        "author": "ana",
        "comment": "first bundle",
        "lookupTtlMs": 5000,
        "requiredSignatures": 1,
        "operators": [
            {"name": name, "team": "operations", "role": role, "tokenDigest": digest(f"demo-token-{name}"),
             "publicKey": DEMO_PUBLIC_KEYS.get(name, "")}
            for name, role in OPERATORS
        ],
        "zones": [{"name": zone, "region": region} for zone, region in zones_of(deployment)],
        "entryInstances": entry_instances(deployment),
        "services": services(deployment),
        "shiftCaps": shift_caps(deployment),
        "links": [
            {"from": a, "to": b, "bytesPerSecond": LINK_BYTES_PER_SECOND, "delayMs": deployment["regionDelayMs"]}
            for a, b in region_pairs(deployment)
        ],
        "drains": [],
    }


def main():
    examples = pathlib.Path(__file__).resolve().parent.parent / "examples"
    for name, deployment in (("granite-ridge", GRANITE_RIDGE), ("inat", INAT)):
        path = examples / name / "bundle.json"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(bundle(deployment), indent=1) + "\n")


if __name__ == "__main__":
    main()
