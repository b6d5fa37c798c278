#include "load/scenario.h"

namespace clementinefall::load {

namespace {

constexpr std::uint64_t mebibyte = 1024 * 1024;

Scenario deploymentScenario(const std::vector<std::string>& regions, const std::string& lookupService,
    const std::string& chargeService, const std::string& fileService)
{
    Scenario scenario;
    for (const std::string& region : regions) {
        scenario.zones.push_back(region + "-a");
        scenario.zones.push_back(region + "-b");
    }
    scenario.kinds = {
        { "lookup", lookupService, false, 80, 0, 600, milliseconds(2000), {} },
        { "charge", chargeService, true, 18, 400, 200, milliseconds(4000), {} },
        { "upload", fileService, true, 1, 2 * mebibyte, 0, milliseconds(30'000), {} },
        { "archive-read", fileService, false, 1, 0, 4 * mebibyte, milliseconds(30'000), {} },
    };
    return scenario;
}

RequestKind readKind(SettingsReader& reader, const std::string& name)
{
    constexpr std::int64_t maximumBytes = 1LL << 32U;
    const std::string section = "request " + name;
    RequestKind kind;
    kind.name = name;
    kind.service = reader.requiredText(section, "service");
    kind.nonIdempotent = reader.boolean(section, "nonIdempotent", false);
    kind.weight = reader.real(section, "weight", 1.0, 0.0, 1e6);
    kind.bodyBytes = static_cast<std::uint64_t>(reader.integer(section, "bodyBytes", 0, 0, maximumBytes));
    kind.responseBytes = static_cast<std::uint64_t>(reader.integer(section, "answerBytes", 0, 0, maximumBytes));
    kind.query = reader.text(section, "query", "");
    kind.deadline = reader.duration(section, "deadlineMs", milliseconds(2000), milliseconds(1), milliseconds(600'000));
    return kind;
}

} // namespace

Result<Scenario> presetScenario(const std::string& name)
{
    if (name == "granite-ridge")
        return deploymentScenario({ "merrimack", "narragansett", "kennebec" }, "shelfwatch", "tillgate", "ledgerbin");
    if (name == "inat")
        return deploymentScenario({ "sur", "andes", "norte" }, "catalogo", "sellos", "planos");
    return makeError(
        ResultCode::SettingsOutOfRange, "'{}' is not a preset; the presets are granite-ridge and inat", name);
}

Result<Scenario> readScenario(SettingsReader reader)
{
    Scenario scenario;
    scenario.zones = reader.list("callers", "zones");
    for (const std::string& name : reader.list("callers", "requests"))
        scenario.kinds.push_back(readKind(reader, name));
    const std::vector<Error> errors = reader.finish();
    if (!errors.empty())
        return errors.front();
    if (scenario.zones.empty() || scenario.kinds.empty())
        return makeError(ResultCode::SettingsMissingKey, "[callers] needs at least one zone and one request kind");
    return scenario;
}

} // namespace clementinefall::load
