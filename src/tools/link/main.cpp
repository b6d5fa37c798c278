#include "base/log.h"
#include "link/control.h"
#include "link/linksettings.h"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iterator>

DEFINE_string(settings, "", "INI file with the relays");
DEFINE_string(control, "127.0.0.1:9500", "address and port of the control API");
DEFINE_uint64(seed, 1, "seed of jitter and loss");

using namespace clementinefall;

namespace {

int fail(const Error& error)
{
    fmt::print(stderr, "clementinefall-link: {}\n", error.text());
    return 1;
}

int run()
{
    if (FLAGS_settings.empty())
        return fail(makeError(ResultCode::SettingsMissingKey, "--settings is required"));
    const auto control = parseHostPort(FLAGS_control);
    if (!isOk(control))
        return fail(errorOf(control));
    std::ifstream file(FLAGS_settings);
    if (!file)
        return fail(makeError(ResultCode::SettingsUnreadable, "{}: cannot be opened", FLAGS_settings));
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const auto states = link::readRelays(FLAGS_settings, text, FLAGS_seed);
    if (!isOk(states))
        return fail(errorOf(states));

    asio::io_context context(1);
    std::vector<link::Relay> relays;
    for (const link::RelayState& state : valueOf(states)) {
        auto relay = link::startRelay(context, state);
        if (!isOk(relay))
            return fail(errorOf(relay));
        relays.push_back(std::move(valueOf(relay)));
    }
    const std::size_t count = relays.size();
    const auto controlServer = std::make_shared<http::Server>(
        std::vector<asio::io_context*> { &context }, http::ServerLimits {}, link::controlHandler(std::move(relays)));
    const Status listening = controlServer->listen(valueOf(control));
    if (!isOk(listening))
        return fail(errorOf(listening));
    logInfo("link_started", { { "relays", count }, { "control", FLAGS_control } });
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](beast::error_code, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("relays TCP and UDP with delay, loss and silence: clementinefall-link --settings FILE");
    gflags::SetVersionString(CLEMENTINEFALL_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run();
}
