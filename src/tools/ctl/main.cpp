#include "commands.h"
#include "httptransport.h"
#include "secretfile.h"

#include <boost/algorithm/string.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

DEFINE_string(server, "127.0.0.1:9000", "administration addresses of entry instances, comma-separated");
DEFINE_string(token_file, "", "file with the operator's API token");
DEFINE_string(key_file, "", "file with the secret key for sign");
DEFINE_string(output, "text", "text or json");
DEFINE_bool(dry_run, false, "check a command and change nothing");
DEFINE_string(operation, "", "operation id of an earlier command");
DEFINE_string(if_match, "", "entity tag of an earlier answer");
DEFINE_int32(timeout_ms, 10'000, "time limit for one server, ms");
DECLARE_bool(help);
DECLARE_bool(version);

using namespace clementinefall;
using namespace clementinefall::ctl;

namespace {

constexpr const char* versionText = "clementinefall-ctl 0.1.0\n";

int exitNumber(ExitCode code) { return static_cast<int>(code); }

int usageError(const std::string& message)
{
    std::cerr << "usage error: " << message << "\nSee clementinefall-ctl --help.\n";
    return exitNumber(ExitCode::Usage);
}

/// gflags ends the process with 1 at an unknown flag, which here means refused; so flags are checked before.
std::string unknownFlag(const std::vector<std::string>& arguments)
{
    for (const std::string& argument : arguments) {
        if (!argument.starts_with("-") || argument == "-" || argument == "--")
            continue;
        std::string name = argument.substr(argument.find_first_not_of('-'));
        name = name.substr(0, name.find('='));
        std::replace(name.begin(), name.end(), '-', '_');
        gflags::CommandLineFlagInfo info;
        if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info))
            return argument;
    }
    return "";
}

bool isLocal(const std::string& verb) { return verb == "keygen" || verb == "check" || verb == "codes"; }

} // namespace

int main(int argc, char** argv)
{
    const std::string unknown = unknownFlag({ argv + 1, argv + argc });
    if (!unknown.empty())
        return usageError("unknown flag " + unknown);
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        std::cout << usageText();
        return 0;
    }
    if (FLAGS_version) {
        std::cout << versionText;
        return 0;
    }
    if (FLAGS_output != "text" && FLAGS_output != "json")
        return usageError("--output is text or json");
    if (FLAGS_timeout_ms <= 0)
        return usageError("--timeout_ms must be positive");
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    ServerList servers;
    servers.timeout = milliseconds(FLAGS_timeout_ms);
    std::vector<std::string> addresses;
    boost::split(addresses, FLAGS_server, boost::is_any_of(","));
    for (const std::string& text : addresses) {
        const auto address = parseHostPort(boost::trim_copy(text));
        if (!isOk(address))
            return usageError("--server: " + errorOf(address).message);
        servers.addresses.push_back(valueOf(address));
    }
    if (!arguments.empty() && !isLocal(arguments[0])) {
        const auto token = readSecretFile(FLAGS_token_file);
        if (!isOk(token))
            return usageError("--token_file: " + errorOf(token).message);
        servers.token = valueOf(token);
    }
    const Options options { FLAGS_output == "json", FLAGS_dry_run, FLAGS_key_file, FLAGS_operation, FLAGS_if_match };
    return exitNumber(runCommand(options, arguments, httpTransport(servers), std::cout, std::cerr));
}
