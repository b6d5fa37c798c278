#include "platformserver.h"

#include "base/log.h"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:7000", "IP address and port to listen on");

using namespace clementinefall;

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("simulates the platform's object API: clementinefall-platform --listen ADDRESS:PORT");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto address = parseHostPort(FLAGS_listen);
    if (!isOk(address)) {
        logError("bad_flag", { { "flag", "listen" }, { "error", errorOf(address).text() } });
        return 2;
    }
    asio::io_context context(1);
    const auto server = std::make_shared<platform_sim::PlatformServer>(context);
    const Status listening = server->listen(valueOf(address));
    if (!isOk(listening)) {
        logError("listen_failed", { { "error", errorOf(listening).text() } });
        return 1;
    }
    logInfo("platform_started", { { "address", valueOf(address).text() } });
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](beast::error_code, int) {
        server->close();
        context.stop();
    });
    context.run();
    return 0;
}
