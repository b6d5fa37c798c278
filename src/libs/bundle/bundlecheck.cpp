#include "bundle/bundlecheck.h"

#include "bundle/bundlecodec.h"
#include "bundle/linelocator.h"
#include "bundle/signature.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace clementinefall::bundle {

namespace {

using RegionPair = std::pair<std::string, std::string>;

/// Collects findings about one bundle.
class Checker {
public:
    explicit Checker(const Bundle& checkedBundle)
        : bundle(checkedBundle)
    {
        for (const Zone& zone : this->bundle.zones)
            this->regionOfZone.emplace(zone.name, zone.region);
        for (const Zone& zone : this->bundle.zones)
            this->regions.insert(zone.region);
        for (const Drain& drain : this->bundle.drains)
            this->drained.emplace(drain.kind, drain.name);
    }

    std::vector<Finding> run()
    {
        this->checkNames();
        this->checkAddresses();
        this->checkReferences();
        this->checkZones();
        this->checkLinks();
        this->checkCaps();
        for (std::size_t i = 0; i < this->bundle.services.size(); ++i)
            this->checkCapacity(this->bundle.services[i], fmt::format("services[{}].servers", i));
        this->checkOperators();
        this->checkSigners();
        return std::move(this->findings);
    }

private:
    template <typename... Args>
    void error(ResultCode code, std::string path, fmt::format_string<Args...> format, Args&&... args)
    {
        this->findings.push_back(
            { code, Severity::Error, std::move(path), fmt::format(format, std::forward<Args>(args)...), 0 });
    }

    template <typename... Args>
    void warn(ResultCode code, std::string path, fmt::format_string<Args...> format, Args&&... args)
    {
        this->findings.push_back(
            { code, Severity::Warning, std::move(path), fmt::format(format, std::forward<Args>(args)...), 0 });
    }

    void requireUnique(std::set<std::string>& seen, const std::string& value, std::string path, std::string_view kind)
    {
        if (!seen.insert(value).second)
            this->error(ResultCode::BundleDuplicateName, std::move(path), "{} {} is used twice", kind, value);
    }

    template <typename Item, typename KeyOf>
    void checkUnique(const std::vector<Item>& items, std::string_view list, std::string_view field,
        std::string_view kind, KeyOf keyOf)
    {
        std::set<std::string> seen;
        for (std::size_t i = 0; i < items.size(); ++i) {
            const std::string key = keyOf(items[i]);
            if (!key.empty())
                this->requireUnique(seen, key, fmt::format("{}[{}]{}", list, i, field), kind);
        }
    }

    void checkNames()
    {
        const auto nameOf = [](const auto& item) { return item.name; };
        this->checkUnique(this->bundle.zones, "zones", ".name", "zone", nameOf);
        this->checkUnique(this->bundle.entryInstances, "entryInstances", ".name", "entry instance", nameOf);
        this->checkUnique(this->bundle.services, "services", ".name", "service", nameOf);
        this->checkUnique(this->bundle.operators, "operators", ".name", "operator", nameOf);
        this->checkUnique(this->bundle.shiftCaps, "shiftCaps", "", "shift cap",
            [](const ShiftCap& cap) { return fmt::format("{} {}>{}", cap.service, cap.from, cap.to); });
        this->checkUnique(this->bundle.links, "links", "", "link",
            [](const LinkBudget& link) { return fmt::format("{}>{}", link.from, link.to); });
        this->checkUnique(this->bundle.drains, "drains", "", "drain",
            [](const Drain& drain) { return fmt::format("{} {}", static_cast<int>(drain.kind), drain.name); });
        // A cap may name a zone or a region, so zones and regions must not share a name.
        for (std::size_t i = 0; i < this->bundle.zones.size(); ++i) {
            if (this->regions.contains(this->bundle.zones[i].name))
                this->error(ResultCode::BundleDuplicateName, fmt::format("zones[{}].name", i),
                    "{} is the name of a zone and of a region", this->bundle.zones[i].name);
        }
        // Drains name servers without their service, so server names must be unique over all services.
        std::set<std::string> servers;
        this->forEachServer([this, &servers](const BackendServer& server, const std::string& path) {
            this->requireUnique(servers, server.name, path + ".name", "backend server");
        });
    }

    void checkAddresses()
    {
        std::set<std::string> seen;
        for (std::size_t i = 0; i < this->bundle.entryInstances.size(); ++i) {
            const EntryInstance& instance = this->bundle.entryInstances[i];
            const std::string path = fmt::format("entryInstances[{}]", i);
            this->requireUnique(seen, instance.traffic.text(), path + ".traffic", "address");
            this->requireUnique(seen, instance.peer.text(), path + ".peer", "address");
            this->requireUnique(seen, instance.admin.text(), path + ".admin", "address");
        }
        this->forEachServer([this, &seen](const BackendServer& server, const std::string& path) {
            this->requireUnique(seen, server.address.text(), path + ".address", "address");
        });
    }

    template <typename Visit> void forEachServer(Visit visit)
    {
        for (std::size_t i = 0; i < this->bundle.services.size(); ++i) {
            const auto& servers = this->bundle.services[i].servers;
            for (std::size_t k = 0; k < servers.size(); ++k)
                visit(servers[k], fmt::format("services[{}].servers[{}]", i, k));
        }
    }

    void requireExisting(bool exists, std::string path, std::string_view kind, const std::string& name)
    {
        if (!exists)
            this->error(ResultCode::BundleUnknownReference, std::move(path), "{} {} does not exist", kind, name);
    }

    void checkReferences()
    {
        for (std::size_t i = 0; i < this->bundle.entryInstances.size(); ++i) {
            const std::string& zone = this->bundle.entryInstances[i].zone;
            this->requireExisting(
                this->regionOfZone.contains(zone), fmt::format("entryInstances[{}].zone", i), "zone", zone);
        }
        this->forEachServer([this](const BackendServer& server, const std::string& path) {
            this->requireExisting(this->regionOfZone.contains(server.zone), path + ".zone", "zone", server.zone);
        });
        for (std::size_t i = 0; i < this->bundle.drains.size(); ++i)
            this->checkDrain(this->bundle.drains[i], fmt::format("drains[{}].name", i));
        if (!this->hasName(this->bundle.operators, this->bundle.author))
            this->warn(
                ResultCode::BundleUnknownReference, "author", "author {} is not an operator", this->bundle.author);
    }

    template <typename Item> bool hasName(const std::vector<Item>& items, const std::string& name) const
    {
        return std::any_of(items.begin(), items.end(), [&name](const Item& item) { return item.name == name; });
    }

    void checkDrain(const Drain& drain, const std::string& path)
    {
        if (drain.kind == DrainKind::Zone)
            this->requireExisting(this->regionOfZone.contains(drain.name), path, "zone", drain.name);
        if (drain.kind == DrainKind::EntryInstance)
            this->requireExisting(
                this->hasName(this->bundle.entryInstances, drain.name), path, "entry instance", drain.name);
        if (drain.kind == DrainKind::BackendServer) {
            const auto& services = this->bundle.services;
            const bool exists = std::any_of(services.begin(), services.end(),
                [this, &drain](const Service& service) { return this->hasName(service.servers, drain.name); });
            this->requireExisting(exists, path, "backend server", drain.name);
        }
    }

    void checkZones()
    {
        std::set<std::string> zonesWithInstance;
        for (const EntryInstance& instance : this->bundle.entryInstances)
            zonesWithInstance.insert(instance.zone);
        for (std::size_t i = 0; i < this->bundle.zones.size(); ++i) {
            const std::string& name = this->bundle.zones[i].name;
            if (!zonesWithInstance.contains(name))
                this->error(ResultCode::BundleZoneUnreachable, fmt::format("zones[{}]", i),
                    "zone {} has no entry instance", name);
        }
    }

    void checkLinks()
    {
        std::set<std::string> linked;
        for (std::size_t i = 0; i < this->bundle.links.size(); ++i) {
            const LinkBudget& link = this->bundle.links[i];
            const std::string path = fmt::format("links[{}]", i);
            this->requireExisting(this->regions.contains(link.from), path + ".from", "region", link.from);
            this->requireExisting(this->regions.contains(link.to), path + ".to", "region", link.to);
            if (link.from == link.to) {
                this->error(ResultCode::BundleOutOfRange, path, "a link must join two different regions");
                continue;
            }
            linked.insert(link.from);
            linked.insert(link.to);
        }
        for (std::size_t i = 0; i < this->bundle.zones.size() && this->regions.size() > 1; ++i) {
            const Zone& zone = this->bundle.zones[i];
            if (!linked.contains(zone.region))
                this->error(ResultCode::BundleZoneUnreachable, fmt::format("zones[{}].region", i),
                    "region {} has no link to another region", zone.region);
        }
        this->warnAboutMissingPairs();
    }

    void warnAboutMissingPairs()
    {
        for (const std::string& from : this->regions) {
            for (const std::string& to : this->regions) {
                if (from < to && !this->findLink(from, to))
                    this->warn(ResultCode::BundleZoneUnreachable, "links", "regions {} and {} have no link", from, to);
            }
        }
    }

    /// The budget of a link applies to each direction, so the entry may name the regions in either order.
    const LinkBudget* findLink(const std::string& from, const std::string& to) const
    {
        const LinkBudget* reversed = nullptr;
        for (const LinkBudget& link : this->bundle.links) {
            if (link.from == from && link.to == to)
                return &link;
            if (link.from == to && link.to == from)
                reversed = &link;
        }
        return reversed;
    }

    std::optional<std::string> regionOfLocation(const std::string& location) const
    {
        if (this->regions.contains(location))
            return location;
        const auto found = this->regionOfZone.find(location);
        if (found == this->regionOfZone.end())
            return std::nullopt;
        return found->second;
    }

    void checkCaps()
    {
        std::map<RegionPair, std::uint64_t> bytesPerSecond;
        for (std::size_t i = 0; i < this->bundle.shiftCaps.size(); ++i) {
            const ShiftCap& cap = this->bundle.shiftCaps[i];
            const std::string path = fmt::format("shiftCaps[{}]", i);
            const auto from = this->regionOfLocation(cap.from);
            const auto to = this->regionOfLocation(cap.to);
            this->requireExisting(
                this->hasName(this->bundle.services, cap.service), path + ".service", "service", cap.service);
            this->requireExisting(from.has_value(), path + ".from", "location", cap.from);
            this->requireExisting(to.has_value(), path + ".to", "location", cap.to);
            if (cap.from == cap.to)
                this->error(ResultCode::BundleOutOfRange, path, "a cap must name two different locations");
            if (from && to && *from != *to)
                this->checkCapAgainstLink(cap, path, { *from, *to }, bytesPerSecond);
        }
    }

    void checkCapAgainstLink(const ShiftCap& cap, const std::string& path, const RegionPair& pair,
        std::map<RegionPair, std::uint64_t>& bytesPerSecond)
    {
        const LinkBudget* link = this->findLink(pair.first, pair.second);
        if (!link) {
            this->error(
                ResultCode::BundleCapAboveLink, path, "regions {} and {} have no link", pair.first, pair.second);
            return;
        }
        const std::uint64_t requestBytes = std::max(minimumRequestBytes, this->maximumBodyBytes(cap.service));
        std::uint64_t& sum = bytesPerSecond[pair];
        sum = saturatingAdd(sum, saturatingMultiply(cap.perSecond, minimumRequestBytes));
        if (sum > link->bytesPerSecond)
            this->error(ResultCode::BundleCapAboveLink, path,
                "the caps from {} to {} up to this one need {} bytes/s at {} bytes per request; the link budget is {} "
                "bytes/s",
                pair.first, pair.second, sum, minimumRequestBytes, link->bytesPerSecond);
        else if (saturatingMultiply(cap.perSecond, requestBytes) > link->bytesPerSecond)
            this->warn(ResultCode::BundleCapAboveLink, path,
                "with the maximum body of {} bytes the link carries fewer than {} requests/s", requestBytes,
                cap.perSecond);
    }

    std::uint64_t maximumBodyBytes(const std::string& service) const
    {
        for (const Service& candidate : this->bundle.services) {
            if (candidate.name == service)
                return candidate.maximumBodyBytes;
        }
        return 0;
    }

    static std::uint64_t saturatingMultiply(std::uint64_t a, std::uint64_t b)
    {
        std::uint64_t product = 0;
        return __builtin_mul_overflow(a, b, &product) ? UINT64_MAX : product;
    }

    static std::uint64_t saturatingAdd(std::uint64_t a, std::uint64_t b)
    {
        std::uint64_t sum = 0;
        return __builtin_add_overflow(a, b, &sum) ? UINT64_MAX : sum;
    }

    bool isDrained(const BackendServer& server) const
    {
        return this->drained.contains({ DrainKind::BackendServer, server.name })
            || this->drained.contains({ DrainKind::Zone, server.zone });
    }

    void checkCapacity(const Service& service, const std::string& path)
    {
        std::map<std::string, std::uint64_t> slotsOfZone;
        std::map<std::string, std::uint64_t> undrainedSlotsOfZone;
        for (const BackendServer& server : service.servers) {
            slotsOfZone[server.zone] += server.slots;
            if (!this->isDrained(server))
                undrainedSlotsOfZone[server.zone] += server.slots;
        }
        if (slotsOfZone.size() < 2) {
            this->error(ResultCode::BundleNoSpareZone, path,
                "service {} has servers in {} zones, at least 2 are required", service.name, slotsOfZone.size());
            return;
        }
        if (undrainedSlotsOfZone.empty()) {
            this->error(ResultCode::BundleNoSpareZone, path, "all servers of service {} are drained", service.name);
            return;
        }
        this->warnAboutLargestZone(service, path, undrainedSlotsOfZone);
    }

    void warnAboutLargestZone(
        const Service& service, const std::string& path, const std::map<std::string, std::uint64_t>& slotsOfZone)
    {
        std::uint64_t total = 0;
        std::uint64_t largest = 0;
        for (const auto& [zone, slots] : slotsOfZone) {
            total += slots;
            largest = std::max(largest, slots);
        }
        if ((total - largest) * 2 < total)
            this->warn(ResultCode::BundleNoSpareZone, path,
                "the loss of the largest zone leaves service {} with {} of {} slots", service.name, total - largest,
                total);
    }

    void checkOperators()
    {
        const auto& operators = this->bundle.operators;
        for (std::size_t i = 0; i < operators.size(); ++i) {
            // A token digest has the same format as a public key: 32 bytes in hex.
            if (!isPublicKeyText(operators[i].tokenDigest))
                this->error(ResultCode::BundleOutOfRange, fmt::format("operators[{}].tokenDigest", i),
                    "must have {} lower-case hex digits", digestHexLength);
            if (!operators[i].publicKey.empty() && !isPublicKeyText(operators[i].publicKey))
                this->error(ResultCode::BundleOutOfRange, fmt::format("operators[{}].publicKey", i),
                    "must have {} lower-case hex digits", publicKeyHexLength);
        }
        this->checkUnique(operators, "operators", ".tokenDigest", "token digest",
            [](const Operator& operatorEntry) { return operatorEntry.tokenDigest; });
        this->checkUnique(operators, "operators", ".publicKey", "public key",
            [](const Operator& operatorEntry) { return operatorEntry.publicKey; });
    }

    void checkSigners()
    {
        std::set<std::string> signers;
        for (const Operator& operatorEntry : this->bundle.operators) {
            if (operatorEntry.role >= Role::Approver && isPublicKeyText(operatorEntry.publicKey))
                signers.insert(operatorEntry.publicKey);
        }
        const auto canAuthor = [this, &signers](const Operator& operatorEntry) {
            const std::size_t others = signers.size() - signers.count(operatorEntry.publicKey);
            return operatorEntry.role >= Role::Editor && others >= this->bundle.requiredSignatures;
        };
        if (std::none_of(this->bundle.operators.begin(), this->bundle.operators.end(), canAuthor))
            this->error(ResultCode::BundleNotEnoughSignatures, "operators",
                "no possible author has {} other approvers to sign the next bundle", this->bundle.requiredSignatures);
    }

    const Bundle& bundle;
    std::map<std::string, std::string> regionOfZone;
    std::set<std::string> regions;
    std::set<std::pair<DrainKind, std::string>> drained;
    std::vector<Finding> findings;
};

/// The messages of parseBundle() have the form `path: problem`, except BundleNotJson, which has no path.
Finding findingOf(const Error& error, std::string_view text)
{
    Finding finding { error.code, Severity::Error, "", error.message, 1 };
    if (error.code == ResultCode::BundleNotJson) {
        boost::json::parser parser;
        boost::json::error_code parseError;
        const std::size_t offset = parser.write_some(text.data(), text.size(), parseError);
        finding.line = Internal::lineAt(text, offset);
        return finding;
    }
    const auto separator = error.message.find(": ");
    finding.path = error.message.substr(0, separator);
    finding.message = error.message.substr(separator + 2);
    finding.line = Internal::locateLines(text, { finding.path }).at(finding.path);
    return finding;
}

} // namespace

std::string_view severityName(Severity severity) { return severity == Severity::Error ? "error" : "warning"; }

std::string Finding::text() const
{
    const std::string lineText = this->line == 0 ? "" : fmt::format(" line {}", this->line);
    return fmt::format("{} {} {}{}{}{}: {}", severityName(this->severity), number(this->code),
        resultCodeInfo(this->code).name, lineText, this->path.empty() ? "" : " ", this->path, this->message);
}

std::vector<Finding> checkBundle(const Bundle& bundle) { return Checker(bundle).run(); }

CheckedText checkBundleText(std::string_view text)
{
    const auto parsed = parseBundle(text);
    if (!isOk(parsed))
        return { std::nullopt, { findingOf(errorOf(parsed), text) } };
    CheckedText checked { valueOf(parsed), checkBundle(valueOf(parsed)) };
    std::vector<std::string> paths;
    for (const Finding& finding : checked.findings)
        paths.push_back(finding.path);
    const auto lines = Internal::locateLines(text, paths);
    for (Finding& finding : checked.findings)
        finding.line = lines.at(finding.path);
    return checked;
}

bool hasErrors(const std::vector<Finding>& findings)
{
    return std::any_of(
        findings.begin(), findings.end(), [](const Finding& finding) { return finding.severity == Severity::Error; });
}

} // namespace clementinefall::bundle
