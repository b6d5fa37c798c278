#include "link/linksettings.h"

#include "base/hash.h"

#include <sstream>

namespace clementinefall::link {

namespace {

constexpr milliseconds maximumDelay { 60'000 };

/// Names of the `[relay <name>]` sections in file order. Scans the text because SettingsReader does not list sections.
std::vector<std::string> relayNames(const std::string& text)
{
    static constexpr std::string_view prefix = "[relay ";
    std::vector<std::string> names;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        const auto end = line.find(']');
        if (line.starts_with(prefix) && end != std::string::npos)
            names.push_back(line.substr(prefix.size(), end - prefix.size()));
    }
    return names;
}

RelayState readRelay(SettingsReader& reader, const std::string& name, std::uint64_t seed)
{
    const std::string section = "relay " + name;
    const milliseconds zero(0);
    RelayState relay;
    relay.name = name;
    relay.listen = reader.address(section, "listen");
    relay.target = reader.address(section, "to");
    const std::string protocol = reader.text(section, "protocol", "both");
    relay.protocol = protocol == "tcp" ? Protocol::Tcp : protocol == "udp" ? Protocol::Udp : Protocol::Both;
    PathQuality& forward = relay.path(Direction::Forward).quality;
    forward.delay = reader.duration(section, "delayMs", zero, zero, maximumDelay);
    forward.jitter = reader.duration(section, "jitterMs", zero, zero, maximumDelay);
    forward.lossPercent = reader.real(section, "lossPercent", 0, 0, 100);
    PathQuality& backward = relay.path(Direction::Backward).quality;
    backward.delay = reader.duration(section, "backDelayMs", forward.delay, zero, maximumDelay);
    backward.jitter = reader.duration(section, "backJitterMs", forward.jitter, zero, maximumDelay);
    backward.lossPercent = reader.real(section, "backLossPercent", forward.lossPercent, 0, 100);
    relay.random.seed(seed ^ hash64(name));
    return relay;
}

} // namespace

Result<std::vector<RelayState>> readRelays(const std::string& fileName, const std::string& text, std::uint64_t seed)
{
    Result<SettingsReader> reader = SettingsReader::fromText(fileName, text);
    if (!isOk(reader))
        return errorOf(reader);
    std::vector<RelayState> relays;
    for (const std::string& name : relayNames(text))
        relays.push_back(readRelay(valueOf(reader), name, seed));
    const std::vector<Error> errors = valueOf(reader).finish();
    if (errors.empty() && relays.empty())
        return makeError(ResultCode::SettingsMissingKey, "{}: missing section [relay <name>]", fileName);
    if (errors.empty())
        return relays;
    Error combined = errors.front();
    for (std::size_t i = 1; i < errors.size(); ++i)
        combined.message += "\n" + errors[i].text();
    return combined;
}

} // namespace clementinefall::link
