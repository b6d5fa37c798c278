#pragma once

#include "bundle/bundle.h"
#include "bundle/signature.h"
#include "bundle/signoffs.h"

#include <map>
#include <string>

namespace clementinefall::bundle {

/// Operators with keys for tests: ana and eva (approvers), ben (administrator), ida (editor of team registry).
struct TestOperators {
    TestOperators()
    {
        for (const char* name : { "ana", "ben", "eva", "ida" })
            this->keys[name] = generateKeyPair();
    }

    std::vector<Operator> list() const
    {
        return { { "ana", "platform", Role::Approver, tokenDigest("ana-token"), this->keys.at("ana").publicKey },
            { "ben", "platform", Role::Administrator, tokenDigest("ben-token"), this->keys.at("ben").publicKey },
            { "eva", "platform", Role::Approver, tokenDigest("eva-token"), this->keys.at("eva").publicKey },
            { "ida", "registry", Role::Editor, tokenDigest("ida-token"), this->keys.at("ida").publicKey } };
    }

    SignOff sign(const std::string& name, const Bundle& bundle) const
    {
        const KeyPair& pair = this->keys.at(name);
        return { name, pair.publicKey, valueOf(signDigest(bundleDigest(bundle), pair.secretKey)) };
    }

    /// Bundle without findings: two regions with two zones each, and one service with a server in each zone.
    Bundle bundle(std::uint64_t version, const std::string& author) const
    {
        Bundle result;
        result.version = version;
        result.author = author;
        result.operators = this->list();
        Service service { "sellos", "registry", RequestClass::NonIdempotent, Priority::Critical, milliseconds(2000),
            4096, {} };
        std::uint16_t port = 100;
        for (const char* zone : { "sur-a", "sur-b", "andes-a", "andes-b" }) {
            const std::string name(zone);
            result.zones.push_back({ name, name.substr(0, name.size() - 2) });
            result.entryInstances.push_back(
                { "e-" + name, name, { "127.0.0.1", ++port }, { "127.0.0.1", ++port }, { "127.0.0.1", ++port } });
            service.servers.push_back({ "s-" + name, name, { "127.0.0.1", ++port }, 3, 330 });
        }
        result.services = { service };
        result.shiftCaps = { { "sellos", "sur", "andes", 10, 1000, 1 } };
        result.links
            = { { "sur", "andes", 1'000'000, milliseconds(35) }, { "andes", "sur", 1'000'000, milliseconds(35) } };
        return result;
    }

    std::map<std::string, KeyPair> keys;
};

} // namespace clementinefall::bundle
