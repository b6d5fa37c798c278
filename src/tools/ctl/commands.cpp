#include "commands.h"

#include "bundle/bundlecheck.h"
#include "bundle/bundlecodec.h"
#include "bundle/signature.h"
#include "secretfile.h"

#include <boost/json.hpp>

#include <algorithm>
#include <functional>
#include <ostream>

namespace clementinefall::ctl {

namespace json = boost::json;

namespace {

const std::string apiPath = "/v1/admin/";

/// Writes a JSON value for people: one line for each scalar, nested values indented.
void printText(std::ostream& out, const json::value& value, const std::string& indent)
{
    const auto printItem = [&out, &indent](const std::string& head, const json::value& item) {
        out << indent << head;
        if (item.is_structured()) {
            out << '\n';
            printText(out, item, indent + "  ");
        } else if (item.is_string()) {
            out << ' ' << std::string_view(item.get_string()) << '\n';
        } else {
            out << ' ' << json::serialize(item) << '\n';
        }
    };
    if (const auto* object = value.if_object()) {
        for (const auto& field : *object)
            printItem(fmt::format("{}:", std::string_view(field.key())), field.value());
        return;
    }
    if (const auto* array = value.if_array()) {
        for (const json::value& item : *array)
            printItem("-", item);
        return;
    }
    out << indent << json::serialize(value) << '\n';
}

std::string textOf(const json::object& object, std::string_view field)
{
    const json::value* value = object.if_contains(field);
    return value && value->is_string() ? std::string(std::string_view(value->get_string())) : std::string();
}

/// One command with what it needs.
class Runner {
public:
    Runner(const Options& commandOptions, std::vector<std::string> commandArguments, const Transport& apiTransport,
        std::ostream& outStream, std::ostream& errStream)
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
        ExitCode (Runner::*function)();
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
    ExitCode decide();
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

    Result<json::object> call(
        const std::string& method, const std::string& path, const std::string& body = "", bool isRepeatable = true);
    ExitCode print(const Result<json::object>& result);
    ExitCode printError(const Error& error);
    void printFindings(const json::object& body);

    /// Sends a command; `--dry-run` becomes a parameter of the request.
    ExitCode command(
        const std::string& method, const std::string& path, const json::value& body = nullptr, bool isRepeatable = true)
    {
        const std::string target = this->options.isDryRun ? path + "?dryRun=true" : path;
        return this->print(this->call(method, target, body.is_null() ? "" : json::serialize(body), isRepeatable));
    }

    std::string argument(std::size_t index) const { return this->arguments.at(index); }

    const Options& options;
    std::vector<std::string> arguments;
    const Transport& transport;
    std::ostream& out;
    std::ostream& err;
    std::string operationId;
    json::object refusal; ///< Body of the newest refusal.
};

const std::vector<Runner::Verb>& Runner::verbs()
{
    static constexpr std::size_t anyNumber = 1000;
    static const std::vector<Verb> table {
        { "keygen", 2, 2, &Runner::keygen },
        { "check", 1, 1, &Runner::check },
        { "codes", 0, 1, &Runner::codes },
        { "submit", 1, 1, &Runner::submit },
        { "show", 1, 1, &Runner::show },
        { "diff", 1, 2, &Runner::diff },
        { "history", 0, 0, &Runner::history },
        { "sign", 1, 1, &Runner::sign },
        { "stage", 2, anyNumber, &Runner::stage },
        { "withdraw", 1, 1, &Runner::decide },
        { "accept", 1, 1, &Runner::decide },
        { "rollback", 1, 1, &Runner::rollback },
        { "drain", 2, 2, &Runner::drain },
        { "undrain", 2, 2, &Runner::undrain },
        { "status", 0, 0, &Runner::status },
        { "audit", 0, 1, &Runner::audit },
        { "quarantine", 0, 2, &Runner::quarantine },
    };
    return table;
}

ExitCode Runner::run()
{
    if (this->arguments.empty())
        return this->usageError("a verb is required");
    for (const Verb& verb : verbs()) {
        const std::size_t count = this->arguments.size() - 1;
        if (verb.name != this->arguments[0])
            continue;
        if (count < verb.minimumArguments || count > verb.maximumArguments)
            return this->usageError(fmt::format("{} got {} arguments", verb.name, count));
        return (this->*verb.function)();
    }
    return this->usageError(fmt::format("unknown verb {}", this->arguments[0]));
}

Result<json::object> Runner::call(
    const std::string& method, const std::string& path, const std::string& body, bool isRepeatable)
{
    this->refusal.clear();
    const ApiRequest request { method, apiPath + path, body, this->operationId, this->options.ifMatch, isRepeatable };
    const auto response = this->transport(request);
    if (!isOk(response))
        return errorOf(response);
    json::error_code error;
    const json::value content = json::parse(valueOf(response).body, error);
    if (error || !content.is_object())
        return makeError(ResultCode::PeerBadMessage, "status {} without a JSON object", valueOf(response).status);
    if (valueOf(response).status < 300)
        return content.get_object();
    this->refusal = content.get_object();
    const json::value* numberField = this->refusal.if_contains("result");
    const auto code = numberField && numberField->is_int64()
        ? resultCodeFromNumber(static_cast<unsigned>(numberField->get_int64()))
        : std::nullopt;
    return Error { code.value_or(ResultCode::PeerBadMessage), textOf(this->refusal, "message") };
}

ExitCode Runner::printError(const Error& error)
{
    if (this->options.isJson && !this->refusal.empty())
        this->out << json::serialize(this->refusal) << '\n';
    else
        this->err << "error " << error.text() << '\n';
    if (!this->options.isJson)
        this->printFindings(this->refusal);
    const unsigned thousands = number(error.code) / 1000;
    if (thousands != 7 && thousands != 8)
        return ExitCode::Refused;
    this->err << "If the command was sent, its outcome is unknown; repeat it with --operation=" << this->operationId
              << '\n';
    return ExitCode::Unreachable;
}

void Runner::printFindings(const json::object& body)
{
    const json::value* findings = body.if_contains("findings");
    if (!findings || !findings->is_array())
        return;
    for (const json::value& finding : findings->get_array())
        this->err << json::serialize(finding) << '\n';
}

ExitCode Runner::print(const Result<json::object>& result)
{
    if (!isOk(result))
        return this->printError(errorOf(result));
    if (this->options.isJson)
        this->out << json::serialize(valueOf(result)) << '\n';
    else
        printText(this->out, valueOf(result), "");
    return ExitCode::Ok;
}

ExitCode Runner::keygen()
{
    const bool isToken = this->argument(1) == "token";
    if (!isToken && this->argument(1) != "key")
        return this->usageError("keygen makes a key or a token");
    const bundle::KeyPair pair = bundle::generateKeyPair();
    const std::string token = bundle::generateToken();
    const Status written = writeSecretFile(this->argument(2), isToken ? token : pair.secretKey);
    if (!isOk(written))
        return this->usageError(errorOf(written).message);
    // Only the public part is printed; it goes into the operator's entry in the bundle.
    if (isToken)
        return this->print(json::object { { "tokenDigest", bundle::tokenDigest(token) } });
    return this->print(json::object { { "publicKey", pair.publicKey } });
}

ExitCode Runner::check()
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
    return hasErrors(checked.findings) ? ExitCode::Refused : ExitCode::Ok;
}

ExitCode Runner::codes()
{
    json::array rows;
    for (const ResultCodeInfo& info : resultCodeTable()) {
        if (this->arguments.size() == 2 && this->argument(1) != std::to_string(number(info.code)))
            continue;
        rows.push_back(json::value(
            fmt::format("{} {} ({}): {}", number(info.code), info.name, outcomeName(info.outcome), info.description)));
    }
    if (rows.empty())
        return this->usageError(fmt::format("there is no code {}", this->argument(1)));
    return this->print(json::object { { "codes", std::move(rows) } });
}

ExitCode Runner::submit()
{
    const auto text = readTextFile(this->argument(1));
    if (!isOk(text))
        return this->usageError(errorOf(text).message);
    const std::string path = this->options.isDryRun ? "bundles?dryRun=true" : "bundles";
    return this->print(this->call("POST", path, valueOf(text)));
}

ExitCode Runner::show() { return this->print(this->call("GET", "bundles/" + this->argument(1))); }

ExitCode Runner::diff()
{
    std::string path = fmt::format("bundles/{}/diff", this->argument(1));
    if (this->arguments.size() == 3)
        path += "?from=" + this->argument(2);
    return this->print(this->call("GET", path));
}

ExitCode Runner::history()
{
    const auto accepted = this->call("GET", "history");
    if (!isOk(accepted))
        return this->printError(errorOf(accepted));
    const auto bundles = this->call("GET", "bundles");
    if (!isOk(bundles))
        return this->printError(errorOf(bundles));
    json::object merged = valueOf(accepted);
    merged["bundles"] = valueOf(bundles).at("bundles");
    return this->print(merged);
}

/// Signs what the API shows: the digest is computed here from the content, never taken from the server.
ExitCode Runner::sign()
{
    if (this->options.keyFile.empty())
        return this->usageError("sign needs --key_file");
    const auto secret = readSecretFile(this->options.keyFile);
    if (!isOk(secret))
        return this->usageError(errorOf(secret).message);
    const auto pair = bundle::keyPairFromSecret(valueOf(secret));
    if (!isOk(pair))
        return this->usageError(this->options.keyFile + " holds no secret key");
    const auto status = this->call("GET", "status");
    if (!isOk(status))
        return this->printError(errorOf(status));
    const auto shown = this->call("GET", "bundles/" + this->argument(1));
    if (!isOk(shown))
        return this->printError(errorOf(shown));
    const json::value* content = valueOf(shown).if_contains("bundle");
    const auto candidate = bundle::parseBundle(content ? json::serialize(*content) : "");
    if (!isOk(candidate))
        return this->printError(errorOf(candidate));
    const std::string digest = bundle::bundleDigest(valueOf(candidate));
    if (digest != textOf(valueOf(shown), "digest"))
        return this->printError(
            makeError(ResultCode::BundleBadSignature, "the content has digest {}, the API reports another", digest));
    const auto signature = bundle::signDigest(digest, valueOf(pair).secretKey);
    if (!isOk(signature))
        return this->printError(errorOf(signature));
    const std::string signer
        = this->options.signer.empty() ? textOf(valueOf(status), "operator") : this->options.signer;
    const json::object body { { "signer", signer }, { "publicKey", valueOf(pair).publicKey },
        { "signature", valueOf(signature) } };
    return this->command("POST", fmt::format("bundles/{}/signoffs", this->argument(1)), body);
}

ExitCode Runner::stage()
{
    json::array zones;
    for (std::size_t i = 2; i < this->arguments.size(); ++i)
        zones.push_back(json::value(this->argument(i)));
    return this->command(
        "POST", fmt::format("bundles/{}/stage", this->argument(1)), json::object { { "zones", std::move(zones) } });
}

ExitCode Runner::decide()
{
    return this->command("POST", fmt::format("bundles/{}/{}", this->argument(1), this->argument(0)));
}

/// Commands that choose the next free version would choose another one when repeated.
ExitCode Runner::rollback()
{
    return this->command("POST", fmt::format("bundles/{}/rollback", this->argument(1)), nullptr, false);
}

ExitCode Runner::drain()
{
    const json::object body { { "kind", this->argument(1) }, { "name", this->argument(2) } };
    return this->command("POST", "drains", body, false);
}

ExitCode Runner::undrain()
{
    return this->command("DELETE", fmt::format("drains/{}/{}", this->argument(1), this->argument(2)), nullptr, false);
}

ExitCode Runner::status() { return this->print(this->call("GET", "status")); }

ExitCode Runner::audit()
{
    return this->print(this->call("GET", this->arguments.size() == 2 ? "audit?page=" + this->argument(1) : "audit"));
}

ExitCode Runner::quarantine()
{
    if (this->arguments.size() == 1)
        return this->print(this->call("GET", "quarantine"));
    if (this->arguments.size() != 3 || this->argument(1) != "release")
        return this->usageError("quarantine [release FINGERPRINT]");
    return this->command("DELETE", "quarantine/" + this->argument(2));
}

} // namespace

ExitCode runCommand(const Options& options, const std::vector<std::string>& arguments, const Transport& transport,
    std::ostream& out, std::ostream& err)
{
    Runner runner(options, arguments, transport, out, err);
    return runner.run();
}

std::string usageText()
{
    return R"(clementinefall-ctl [flags] VERB [arguments]

Without connection:
  keygen key FILE           write a new secret key for sign-offs, print the public key
  keygen token FILE         write a new API token, print its digest
  check FILE                check a bundle and print findings with lines
  codes [NUMBER]            list the result codes

Bundles:
  submit FILE               submit a bundle as the version that it states
  show VERSION              content, digest, state and sign-offs
  diff VERSION [FROM]       changes from version FROM, by default from the accepted one
  history                   accepted and submitted versions
  sign VERSION              sign off with the key in --key_file
  stage VERSION ZONE...     apply a signed version in these zones on trial
  withdraw VERSION          withdraw a version that is not accepted
  accept VERSION            put a signed version in force everywhere
  rollback VERSION          submit the content of VERSION as a new version
  drain KIND NAME           submit a version that drains a backend-server, entry-instance or zone
  undrain KIND NAME         submit a version that ends the drain

Operation:
  status                    state of the instance, the accepted and the staged version
  audit [PAGE]              newest page of the audit trail, or the one that starts with entry PAGE
  quarantine                requests that are held back
  quarantine release FINGERPRINT

Flags:
  --server=ADDRESS:PORT[,...]  administration addresses, tried in order
  --token_file=FILE         API token, readable by its owner only
  --key_file=FILE           secret key for sign, readable by its owner only
  --signer=NAME             signer of the first bundle, which is signed with the bootstrap token
  --output=text|json        form of the results
  --dry-run                 check a command and change nothing
  --operation=ID            repeat an earlier command whose outcome is unknown
  --if_match=TAG            refuse when the object has changed since TAG
  --timeout_ms=N            time limit for one server
  --help, --version

Exit codes: 0 ok; 1 refused or conflict; 2 usage; 3 the API or the platform behind it cannot be reached.
)";
}

} // namespace clementinefall::ctl
