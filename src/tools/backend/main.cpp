#include "backend/control.h"

#include "base/log.h"
#include "bundle/bundlecodec.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iterator>
#include <thread>

DEFINE_string(bundle, "", "bundle JSON file that lists the backend servers");
DEFINE_string(zone, "", "host only the servers of this availability zone");
DEFINE_string(control, "127.0.0.1:9400", "address and port of the control API");
DEFINE_uint64(seed, 1, "seed of the random service times");
DEFINE_uint32(threads, 2, "number of threads, 1 to 64");
DEFINE_double(cold_factor, 4.0, "factor on the service time right after a start, 1 to 100");
DEFINE_uint32(cold_ms, 5000, "time in ms after a start in which the factor falls to 1");
DEFINE_uint32(restart_ms, 3000, "time in ms after a crash during which connections are refused");
DEFINE_uint32(report_lag_ms, 0, "age in ms of the state in health and load reports");

using namespace clementinefall;

namespace {

int fail(const Error& error)
{
    fmt::print(stderr, "clementinefall-backend: {}\n", error.text());
    return 1;
}

Result<bundle::Bundle> readBundleFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return makeError(ResultCode::SettingsUnreadable, "{}: cannot be opened", path);
    return bundle::parseBundle(std::string(std::istreambuf_iterator<char>(file), {}));
}

Status checkFlags()
{
    if (FLAGS_bundle.empty())
        return makeError(ResultCode::SettingsMissingKey, "--bundle is required");
    if (FLAGS_threads < 1 || FLAGS_threads > 64)
        return makeError(ResultCode::SettingsOutOfRange, "--threads: {} is not in 1..64", FLAGS_threads);
    if (FLAGS_cold_factor < 1.0 || FLAGS_cold_factor > 100.0)
        return makeError(ResultCode::SettingsOutOfRange, "--cold-factor: {} is not in 1..100", FLAGS_cold_factor);
    return okStatus();
}

int run()
{
    const Status checked = checkFlags();
    if (!isOk(checked))
        return fail(errorOf(checked));
    const auto control = parseHostPort(FLAGS_control);
    if (!isOk(control))
        return fail(errorOf(control));
    const auto parsedBundle = readBundleFile(FLAGS_bundle);
    if (!isOk(parsedBundle))
        return fail(errorOf(parsedBundle));

    std::vector<std::unique_ptr<asio::io_context>> contexts;
    for (unsigned i = 0; i < FLAGS_threads; ++i)
        contexts.push_back(std::make_unique<asio::io_context>(1));
    backend::ServerProfile profile;
    profile.coldFactor = FLAGS_cold_factor;
    profile.coldTime = milliseconds(FLAGS_cold_ms);
    profile.restartTime = milliseconds(FLAGS_restart_ms);
    profile.reportLag = milliseconds(FLAGS_report_lag_ms);
    std::vector<std::shared_ptr<backend::SimServer>> servers;
    for (const bundle::Service& service : valueOf(parsedBundle).services) {
        for (const bundle::BackendServer& server : service.servers) {
            if (!FLAGS_zone.empty() && server.zone != FLAGS_zone)
                continue;
            asio::io_context& context = *contexts[servers.size() % contexts.size()];
            servers.push_back(std::make_shared<backend::SimServer>(
                context, service.name, server, profile, service.priority, FLAGS_seed));
            const Status started = servers.back()->start();
            if (!isOk(started))
                return fail(errorOf(started));
        }
    }
    if (servers.empty())
        return fail(makeError(ResultCode::SettingsOutOfRange, "bundle has no backend server in zone '{}'", FLAGS_zone));
    const auto api = std::make_shared<http::Server>(std::vector<asio::io_context*> { contexts.front().get() },
        http::ServerLimits {}, backend::controlHandler(servers));
    const Status listening = api->listen(valueOf(control));
    if (!isOk(listening))
        return fail(errorOf(listening));
    logInfo("backend_started", { { "servers", servers.size() }, { "control", FLAGS_control } });

    asio::signal_set signals(*contexts.front(), SIGINT, SIGTERM);
    signals.async_wait([&contexts](beast::error_code, int) {
        for (const auto& context : contexts)
            context->stop();
    });
    std::vector<std::jthread> threads;
    for (std::size_t i = 1; i < contexts.size(); ++i)
        threads.emplace_back([&context = *contexts[i]] {
            const auto guard = asio::make_work_guard(context);
            context.run();
        });
    contexts.front()->run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("hosts simulated backend servers: clementinefall-backend --bundle FILE");
    gflags::SetVersionString(CLEMENTINEFALL_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return run();
}
