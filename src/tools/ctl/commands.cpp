#include "commands.h"

#include "bundle/bundlecheck.h"
#include "bundle/bundlecodec.h"
#include "bundle/signature.h"
#include "http/target.h"
#include "secretfile.h"

#include <boost/json.hpp>

#include <algorithm>
#include <functional>
#include <ostream>

namespace clementinefall::ctl {

namespace json = boost::json;

namespace {

const std::string apiPath = "/v1/admin/";

/// Writes a JSON value as indented text with one line for each scalar.
void printText(std::ostream& out, const json::value& value, const std::string& indent)
{
    const auto printEntry = [&out, &indent](const std::string& label, const json::value& entry) {
        out << indent << label;
        if (entry.is_structured()) {
            out << '\n';
            printText(out, entry, indent + "  ");
        } else if (entry.is_string()) {
            out << ' ' << std::string_view(entry.get_string()) << '\n';
        } else {
            out << ' ' << json::serialize(entry) << '\n';
        }
    };
    if (const auto* object = value.if_object()) {
        for (const auto& field : *object)
            printEntry(fmt::format("{}:", std::string_view(field.key())), field.value());
        return;
    }
    if (const auto* array = value.if_array()) {
        for (const json::value& entry : *array)
            printEntry("-", entry);
        return;
    }
    out << indent << json::serialize(value) << '\n';
}

std::string stringField(const json::object& object, std::string_view field)
{
    const json::value* value = object.if_contains(field);
    return value && value->is_string() ? std::string(std::string_view(value->get_string())) : std::string();
}

/// Runs one command.
class CommandRunner {
public:
    CommandRunner(const Options& commandOptions, std::vector<std::string> commandArguments,
        const Transport& apiTransport, std::ostream& outStream, std::ostream& errStream)
        : options(commandOptions)
        , arguments(std::move(commandArguments))
        , transport(apiTransport)
        , out(outStream)
        , err(errStream)
        , operationId(commandOptions.operationId.empty() ? bundle::generateOperationId() : commandOptions.operationId)
    {
    }

    ExitCode run();

private:
    struct Verb {
        std::string_view name;
        std::size_t minimumArguments;
        std::size_t maximumArguments;
        ExitCode (CommandRunner::*function)();
    };
    static const std::vector<Verb>& verbs();

    ExitCode keygen();
    ExitCode check();
    ExitCode codes();
    ExitCode submit();
    ExitCode show();
    ExitCode diff();
    ExitCode history();
    ExitCode sign();
    ExitCode stage();
    ExitCode withdrawOrAccept();
    ExitCode rollback();
    ExitCode drain();
    ExitCode undrain();
    ExitCode status();
    ExitCode audit();
    ExitCode quarantine();

    ExitCode usageError(const std::string& message)
    {
        this->err << "usage error: " << message << "\nSee clementinefall-ctl --help.\n";
        return ExitCode::Usage;
    }

    Result<json::object> sendRequest(
        const std::string& method, const std::string& path, const std::string& body = "", bool isRepeatable = true);
    ExitCode print(const Result<json::object>& result);
    ExitCode printError(const Error& error);
    void printFindings(const json::object& body);

    /// Sends a command that changes state and prints the result. With `--dry-run` the API only checks it.
    ExitCode sendCommand(
        const std::string& method, const std::string& path, const json::value& body = nullptr, bool isRepeatable = true)
    {
        const std::string target = this->options.isDryRun ? path + "?dryRun=true" : path;
        return this->print(
            this->sendRequest(method, target, body.is_null() ? "" : json::serialize(body), isRepeatable));
    }

    std::string argument(std::size_t index) const { return this->arguments.at(index); }
    /// An argument as part of a request target.
    std::string encodedArgument(std::size_t index) const { return http::percentEncoded(this->argument(index)); }

    const Options& options;
    std::vector<std::string> arguments;
    const Transport& transport;
    std::ostream& out;
    std::ostream& err;
    std::string operationId;
    json::object rejectionBody; ///< Response body of the last request if it was rejected, otherwise empty.
};

const std::vector<CommandRunner::Verb>& CommandRunner::verbs()
{
    static constexpr std::size_t unlimitedArguments = 1000;
    static const std::vector<Verb> table {
        { "keygen", 2, 2, &CommandRunner::keygen },
        { "check", 1, 1, &CommandRunner::check },
        { "codes", 0, 1, &CommandRunner::codes },
        { "submit", 1, 1, &CommandRunner::submit },
        { "show", 1, 1, &CommandRunner::show },
        { "diff", 1, 2, &CommandRunner::diff },
        { "history", 0, 0, &CommandRunner::history },
        { "sign", 1, 1, &CommandRunner::sign },
        { "stage", 2, unlimitedArguments, &CommandRunner::stage },
        { "withdraw", 1, 1, &CommandRunner::withdrawOrAccept },
        { "accept", 1, 1, &CommandRunner::withdrawOrAccept },
        { "rollback", 1, 1, &CommandRunner::rollback },
        { "drain", 2, 2, &CommandRunner::drain },
        { "undrain", 2, 2, &CommandRunner::undrain },
        { "status", 0, 0, &CommandRunner::status },
        { "audit", 0, 1, &CommandRunner::audit },
        { "quarantine", 0, 2, &CommandRunner::quarantine },
    };
    return table;
}

ExitCode CommandRunner::run()
{
    if (this->arguments.empty())
        return this->usageError("no verb was given");
    for (const Verb& verb : verbs()) {
        const std::size_t count = this->arguments.size() - 1;
        if (verb.name != this->arguments[0])
            continue;
        if (count < verb.minimumArguments || count > verb.maximumArguments)
            return this->usageError(fmt::format("{} does not take {} arguments", verb.name, count));
        return (this->*verb.function)();
    }
    return this->usageError(fmt::format("unknown verb {}", this->arguments[0]));
}

Result<json::object> CommandRunner::sendRequest(
    const std::string& method, const std::string& path, const std::string& body, bool isRepeatable)
{
    this->rejectionBody.clear();
    const ApiRequest request { method, apiPath + path, body, this->operationId, this->options.ifMatch, isRepeatable };
    const auto response = this->transport(request);
    if (!isOk(response))
        return errorOf(response);
    json::error_code error;
    const json::value content = json::parse(valueOf(response).body, error);
    if (error || !content.is_object())
        return makeError(ResultCode::PeerBadMessage, "response with status {} does not contain a JSON object",
            valueOf(response).status);
    if (valueOf(response).status < 300)
        return content.get_object();
    this->rejectionBody = content.get_object();
    const json::value* numberField = this->rejectionBody.if_contains("result");
    const auto code = numberField && numberField->is_int64()
        ? resultCodeFromNumber(static_cast<unsigned>(numberField->get_int64()))
        : std::nullopt;
    return Error { code.value_or(ResultCode::PeerBadMessage), stringField(this->rejectionBody, "message") };
}

ExitCode CommandRunner::printError(const Error& error)
{
    if (this->options.isJson && !this->rejectionBody.empty())
        this->out << json::serialize(this->rejectionBody) << '\n';
    else
        this->err << "error " << error.text() << '\n';
    if (!this->options.isJson)
        this->printFindings(this->rejectionBody);
    // Codes 7xxx are errors of the platform, codes 8xxx errors in the exchange with the API.
    const unsigned codeGroup = number(error.code) / 1000;
    if (codeGroup != 7 && codeGroup != 8)
        return ExitCode::Rejected;
    this->err << "If the command was sent, its outcome is unknown; repeat it with --operation=" << this->operationId
              << '\n';
    return ExitCode::Unreachable;
}

void CommandRunner::printFindings(const json::object& body)
{
    const json::value* findings = body.if_contains("findings");
    if (!findings || !findings->is_array())
        return;
    for (const json::value& finding : findings->get_array())
        this->err << json::serialize(finding) << '\n';
}

ExitCode CommandRunner::print(const Result<json::object>& result)
{
    if (!isOk(result))
        return this->printError(errorOf(result));
    if (this->options.isJson)
        this->out << json::serialize(valueOf(result)) << '\n';
    else
        printText(this->out, valueOf(result), "");
    return ExitCode::Ok;
}

ExitCode CommandRunner::keygen()
{
    const bool isToken = this->argument(1) == "token";
    if (!isToken && this->argument(1) != "key")
        return this->usageError("the first argument of keygen is key or token");
    const bundle::KeyPair pair = bundle::generateKeyPair();
    const std::string token = bundle::generateToken();
    const Status written = writeSecretFile(this->argument(2), isToken ? token : pair.secretKey);
    if (!isOk(written))
        return this->usageError(errorOf(written).message);
    // Only the public part is printed, for the operator's entry in the bundle. The secret stays in the file.
    if (isToken)
        return this->print(json::object { { "tokenDigest", bundle::tokenDigest(token) } });
    return this->print(json::object { { "publicKey", pair.publicKey } });
}

ExitCode CommandRunner::check()
{
    const auto text = readTextFile(this->argument(1));
    if (!isOk(text))
        return this->usageError(errorOf(text).message);
    const bundle::CheckedText checked = bundle::checkBundleText(valueOf(text));
    json::array findings;
    for (const bundle::Finding& finding : checked.findings)
        findings.push_back(json::value(fmt::format("{}: {}", this->argument(1), finding.text())));
    json::object result { { "findings", std::move(findings) } };
    if (checked.bundle)
        result["digest"] = bundle::bundleDigest(*checked.bundle);
    this->print(result);
    return hasErrors(checked.findings) ? ExitCode::Rejected : ExitCode::Ok;
}

ExitCode CommandRunner::codes()
{
    json::array rows;
    for (const ResultCodeInfo& info : resultCodeTable()) {
        if (this->arguments.size() == 2 && this->argument(1) != std::to_string(number(info.code)))
            continue;
        rows.push_back(json::value(
            fmt::format("{} {} ({}): {}", number(info.code), info.name, outcomeName(info.outcome), info.description)));
    }
    if (rows.empty())
        return this->usageError(fmt::format("result code {} does not exist", this->argument(1)));
    return this->print(json::object { { "codes", std::move(rows) } });
}

ExitCode CommandRunner::submit()
{
    const auto text = readTextFile(this->argument(1));
    if (!isOk(text))
        return this->usageError(errorOf(text).message);
    const std::string path = this->options.isDryRun ? "bundles?dryRun=true" : "bundles";
    return this->print(this->sendRequest("POST", path, valueOf(text)));
}

ExitCode CommandRunner::show() { return this->print(this->sendRequest("GET", "bundles/" + this->encodedArgument(1))); }

ExitCode CommandRunner::diff()
{
    std::string path = fmt::format("bundles/{}/diff", this->encodedArgument(1));
    if (this->arguments.size() == 3)
        path += "?from=" + this->encodedArgument(2);
    return this->print(this->sendRequest("GET", path));
}

ExitCode CommandRunner::history()
{
    const auto accepted = this->sendRequest("GET", "history");
    if (!isOk(accepted))
        return this->printError(errorOf(accepted));
    const auto bundles = this->sendRequest("GET", "bundles");
    if (!isOk(bundles))
        return this->printError(errorOf(bundles));
    json::object merged = valueOf(accepted);
    merged["bundles"] = valueOf(bundles).at("bundles");
    return this->print(merged);
}

/// Signs the bundle content that the API returns. The digest is computed locally, not taken from the server.
ExitCode CommandRunner::sign()
{
    if (this->options.keyFile.empty())
        return this->usageError("sign needs --key_file");
    const auto secret = readSecretFile(this->options.keyFile);
    if (!isOk(secret))
        return this->usageError(errorOf(secret).message);
    const auto pair = bundle::keyPairFromSecret(valueOf(secret));
    if (!isOk(pair))
        return this->usageError(this->options.keyFile + " does not contain a valid secret key");
    const auto status = this->sendRequest("GET", "status");
    if (!isOk(status))
        return this->printError(errorOf(status));
    const auto bundleResponse = this->sendRequest("GET", "bundles/" + this->encodedArgument(1));
    if (!isOk(bundleResponse))
        return this->printError(errorOf(bundleResponse));
    const json::value* content = valueOf(bundleResponse).if_contains("bundle");
    const auto candidate = bundle::parseBundle(content ? json::serialize(*content) : "");
    if (!isOk(candidate))
        return this->printError(errorOf(candidate));
    const std::string digest = bundle::bundleDigest(valueOf(candidate));
    if (digest != stringField(valueOf(bundleResponse), "digest"))
        return this->printError(makeError(ResultCode::BundleBadSignature,
            "the bundle content has digest {}, but the API reports a different one", digest));
    const auto signature = bundle::signDigest(digest, valueOf(pair).secretKey);
    if (!isOk(signature))
        return this->printError(errorOf(signature));
    const std::string signer
        = this->options.signer.empty() ? stringField(valueOf(status), "operator") : this->options.signer;
    const json::object body { { "signer", signer }, { "publicKey", valueOf(pair).publicKey },
        { "signature", valueOf(signature) } };
    return this->sendCommand("POST", fmt::format("bundles/{}/signoffs", this->encodedArgument(1)), body);
}

ExitCode CommandRunner::stage()
{
    json::array zones;
    for (std::size_t i = 2; i < this->arguments.size(); ++i)
        zones.push_back(json::value(this->argument(i)));
    return this->sendCommand("POST", fmt::format("bundles/{}/stage", this->encodedArgument(1)),
        json::object { { "zones", std::move(zones) } });
}

ExitCode CommandRunner::withdrawOrAccept()
{
    return this->sendCommand("POST", fmt::format("bundles/{}/{}", this->encodedArgument(1), this->argument(0)));
}

/// Not repeatable, like drain and undrain: the API assigns the next free version, so a repetition would create another
/// version.
ExitCode CommandRunner::rollback()
{
    return this->sendCommand("POST", fmt::format("bundles/{}/rollback", this->encodedArgument(1)), nullptr, false);
}

ExitCode CommandRunner::drain()
{
    const json::object body { { "kind", this->argument(1) }, { "name", this->argument(2) } };
    return this->sendCommand("POST", "drains", body, false);
}

ExitCode CommandRunner::undrain()
{
    return this->sendCommand(
        "DELETE", fmt::format("drains/{}/{}", this->encodedArgument(1), this->encodedArgument(2)), nullptr, false);
}

ExitCode CommandRunner::status() { return this->print(this->sendRequest("GET", "status")); }

ExitCode CommandRunner::audit()
{
    return this->print(
        this->sendRequest("GET", this->arguments.size() == 2 ? "audit?page=" + this->encodedArgument(1) : "audit"));
}

ExitCode CommandRunner::quarantine()
{
    if (this->arguments.size() == 1)
        return this->print(this->sendRequest("GET", "quarantine"));
    if (this->arguments.size() != 3 || this->argument(1) != "release")
        return this->usageError("quarantine [release FINGERPRINT]");
    return this->sendCommand("DELETE", "quarantine/" + this->encodedArgument(2));
}

} // namespace

ExitCode runCommand(const Options& options, const std::vector<std::string>& arguments, const Transport& transport,
    std::ostream& out, std::ostream& err)
{
    CommandRunner commandRunner(options, arguments, transport, out, err);
    return commandRunner.run();
}

std::string usageText()
{
    return R"(clementinefall-ctl [flags] VERB [arguments]

Local, without connection:
  keygen key FILE           write a new secret key for sign-offs and print the public key
  keygen token FILE         write a new API token and print its digest
  check FILE                check a bundle and print the findings with line numbers
  codes [NUMBER]            list the result codes

Bundles:
  submit FILE               submit a bundle under the version number in the file
  show VERSION              show content, digest, state and sign-offs
  diff VERSION [FROM]       show the changes from version FROM, by default from the accepted one
  history                   list the accepted and submitted versions
  sign VERSION              sign off with the key in --key_file
  stage VERSION ZONE...     apply a signed version in these zones only, before it is accepted
  withdraw VERSION          withdraw a version that is not accepted
  accept VERSION            put a signed version into effect in all zones
  rollback VERSION          submit the content of VERSION as a new version
  drain KIND NAME           submit a version that drains a backend-server, entry-instance or zone
  undrain KIND NAME         submit a version that ends the drain

Operation:
  status                    show the state of the instance and the accepted and staged versions
  audit [PAGE]              show the newest page of the audit trail, or the one that starts with entry PAGE
  quarantine                list the quarantined requests
  quarantine release FINGERPRINT  release the requests with this fingerprint

Flags:
  --server=ADDRESS:PORT[,...]  administration addresses, tried in order
  --token_file=FILE         API token, readable by its owner only
  --key_file=FILE           secret key for sign, readable by its owner only
  --signer=NAME             signer of the first bundle, which is signed with the bootstrap token
  --output=text|json        format of the results
  --dry-run                 check a command without changing anything
  --operation=ID            repeat an earlier command whose outcome is unknown
  --if_match=TAG            reject the command if the object has changed since TAG
  --timeout_ms=N            time limit for one server
  --help, --version

Exit codes: 0 ok; 1 rejected or conflict; 2 usage error; 3 the API or the platform behind it cannot be reached.
)";
}

} // namespace clementinefall::ctl
