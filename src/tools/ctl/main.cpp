#include "commands.h"
#include "httptransport.h"
#include "secretfile.h"

#include <boost/algorithm/string.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>

DEFINE_string(server, "127.0.0.1:9000", "administration addresses of entry instances, comma-separated");
DEFINE_string(token_file, "", "file with the operator's API token");
DEFINE_string(key_file, "", "file with the secret key for the verb sign");
DEFINE_string(signer, "", "name of the signer; by default the operator of the token");
DEFINE_string(output, "text", "output format: text or json");
DEFINE_bool(dry_run, false, "check a command without changing anything");
DEFINE_string(operation, "", "operation id of an earlier command that is repeated");
DEFINE_string(
    if_match, "", "entity tag of an earlier response; the command is rejected if the object has changed since");
DEFINE_int32(timeout_ms, 10'000, "time limit for one server in ms");
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

/// Sets the flags and collects the other arguments. Returns an error message, or an empty string on success. Replaces
/// the parser of gflags, which exits with status 1 at an invalid flag; 1 stands for ExitCode::Rejected here.
std::string parseFlags(const std::vector<std::string>& commandLine, std::vector<std::string>& arguments)
{
    for (std::size_t i = 0; i < commandLine.size(); ++i) {
        const std::string& word = commandLine[i];
        if (!word.starts_with("-") || word == "-") {
            arguments.push_back(word);
            continue;
        }
        const std::size_t equals = word.find('=');
        std::string name = word.substr(0, equals);
        name.erase(0, name.find_first_not_of('-'));
        std::replace(name.begin(), name.end(), '-', '_');
        gflags::CommandLineFlagInfo info;
        if (name.empty() || !gflags::GetCommandLineFlagInfo(name.c_str(), &info))
            return "unknown flag " + word;
        std::string value = equals == std::string::npos ? "true" : word.substr(equals + 1);
        if (equals == std::string::npos && info.type != "bool") {
            if (++i == commandLine.size())
                return word + " needs a value";
            value = commandLine[i];
        }
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
            return "invalid value of " + word;
    }
    return "";
}

/// Verbs that need no connection and no token.
bool isLocalVerb(const std::string& verb) { return verb == "keygen" || verb == "check" || verb == "codes"; }

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> arguments;
    const std::string flagError = parseFlags({ argv + 1, argv + argc }, arguments);
    if (!flagError.empty())
        return usageError(flagError);
    if (FLAGS_help) {
        std::cout << usageText();
        return 0;
    }
    if (FLAGS_version) {
        std::cout << versionText;
        return 0;
    }
    if (FLAGS_output != "text" && FLAGS_output != "json")
        return usageError("--output must be text or json");
    if (FLAGS_timeout_ms <= 0)
        return usageError("--timeout_ms must be positive");
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
    if (!arguments.empty() && !isLocalVerb(arguments[0])) {
        const auto token = readSecretFile(FLAGS_token_file);
        if (!isOk(token))
            return usageError("--token_file: " + errorOf(token).message);
        servers.token = valueOf(token);
    }
    const Options options { FLAGS_output == "json", FLAGS_dry_run, FLAGS_key_file, FLAGS_signer, FLAGS_operation,
        FLAGS_if_match };
    return exitNumber(runCommand(options, arguments, httpTransport(servers), std::cout, std::cerr));
}
