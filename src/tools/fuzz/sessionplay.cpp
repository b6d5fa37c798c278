#include "sessionplay.h"

#include "framedrequests.h"

#include "forwarding/callerserver.h"
#include "forwarding/heartbeat.h"
#include "forwarding/permitmessage.h"
#include "forwarding/scriptedserver.h"
#include "forwarding/testwirenames.h"
#include "platform/changelog.h"
#include "storedocument.h"
#include "storeobjects.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace clementinefall::fuzz {

using namespace forwarding;
using asio::ip::tcp;

namespace {

/// Rounds of the event loop without work after which nothing more is expected: bytes on loopback arrive at once.
constexpr unsigned quietRounds = 4;
constexpr unsigned maximumRounds = 400;

class Instance {
public:
    Instance()
        : backend(this->context)
    {
        const InstanceLocation location { "a", "north", { { "a", "north" } } };
        this->catalog = std::make_shared<ServerCatalog>(location);
        ForwarderSettings settings;
        settings.instance = "self";
        settings.region = "north";
        settings.names = testWireNames();
        this->forwarder = std::make_shared<Forwarder>(this->context.get_executor(), settings, this->catalog);
        this->configure();
        ServerEntry entry;
        entry.id = "s1";
        entry.service = "stock";
        entry.address = { "127.0.0.1", this->backend.port() };
        entry.zone = "a";
        entry.slots = 32;
        this->catalog->apply(entry, Clock::now());
        this->sessions = std::make_shared<SessionContext>();
        this->sessions->forwarder = this->forwarder;
        this->sessions->names = testWireNames();
        this->backend.script
            = [](const std::string& request) { return ScriptedResponse { responseBytes(idOf(request), "whole") }; };
    }

    ~Instance()
    {
        // Resets leave no ports waiting behind.
        this->backend.reset();
        beast::error_code ignored;
        this->client.set_option(asio::socket_base::linger(true, 0), ignored);
        this->client.close(ignored);
        if (this->server)
            this->server->stopAccepting();
        this->run();
    }

    void connect(RequestSource source)
    {
        this->server = std::make_shared<CallerServer>(this->context.get_executor(), this->sessions, 10, source);
        if (!isOk(this->server->listen({ "127.0.0.1", 0 })))
            return;
        this->client.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), this->server->port()));
    }

    void send(std::string_view bytes)
    {
        beast::error_code ignored; // The instance may have closed the connection.
        asio::write(this->client, asio::buffer(bytes.data(), bytes.size()), ignored);
        this->run();
    }

    std::string received()
    {
        std::string text;
        beast::error_code error;
        this->client.non_blocking(true, error);
        std::array<char, 4096> part {};
        while (!error) {
            const std::size_t bytes = this->client.read_some(asio::buffer(part), error);
            text.append(part.data(), bytes);
        }
        return text;
    }

    void run()
    {
        unsigned quiet = 0;
        for (unsigned round = 0; round < maximumRounds && quiet < quietRounds; ++round)
            quiet = this->context.poll() > 0 ? 0 : quiet + 1;
    }

    asio::io_context context { 1 };
    ScriptedServer backend;
    std::shared_ptr<ServerCatalog> catalog;
    std::shared_ptr<Forwarder> forwarder;
    std::shared_ptr<SessionContext> sessions;
    std::shared_ptr<CallerServer> server;
    tcp::socket client { this->context };

private:
    void configure()
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->version = 1;
        Route safe;
        safe.name = "safe";
        safe.host = "shop.example";
        safe.pathPrefix = "/safe/";
        safe.kind = RouteKind::Idempotent;
        safe.timeout = seconds(3);
        safe.targetLatency = milliseconds(500);
        safe.maximumServers = 2;
        safe.services = { { "stock", 1 } };
        Route once = safe;
        once.name = "once";
        once.pathPrefix = "/once/";
        once.kind = RouteKind::NonIdempotent;
        configuration->routes = { safe, once };
        Service service;
        service.name = "stock";
        configuration->services["stock"] = service;
        configuration->limits.maximumBodyBytes = 1000;
        configuration->limits.maximumHeaderBytes = 2000;
        this->forwarder->configure(configuration);
    }
};

/// The request that the backend server got; the fields that the instance adds are of no interest.
FramedRequest requestAt(const std::string& bytes)
{
    const std::size_t first = bytes.find(' ');
    const std::size_t second = first == std::string::npos ? first : bytes.find(' ', first + 1);
    if (second == std::string::npos)
        return {};
    return { .method = bytes.substr(0, first),
        .target = bytes.substr(first + 1, second - first - 1),
        .id = bytes.find("X-Id: ") == std::string::npos ? std::string() : idOf(bytes) };
}

/// Whether \a text begins with the status line of a final response, RFC 9112 section 4 and RFC 9110 section 15.
bool beginsWithFinalStatus(std::string_view text)
{
    constexpr std::string_view version = "HTTP/1.1 ";
    constexpr std::size_t digits = 3;
    if (!text.starts_with(version) || text.size() <= version.size() + digits || text[version.size() + digits] != ' ')
        return false;
    const std::string_view status = text.substr(version.size(), digits);
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    return std::all_of(status.begin(), status.end(), isDigit) && status.front() >= '2' && status.front() <= '5';
}

} // namespace

std::optional<std::string> playRequests(std::string_view bytes, bool isEntryInstance)
{
    Instance instance;
    instance.connect(isEntryInstance ? RequestSource::EntryInstance : RequestSource::Caller);
    // In two parts, so that a message may arrive with a pause at any place.
    const std::size_t half = bytes.size() / 2;
    instance.send(bytes.substr(0, half));
    instance.send(bytes.substr(half));
    const std::vector<FramedRequest> sent = readFramedRequests(bytes, testWireNames().requestId);
    for (const std::string& text : instance.backend.requests) {
        const FramedRequest request = requestAt(text);
        if (std::find(sent.begin(), sent.end(), request) == sent.end())
            return fmt::format(
                "the server got {} {} {}, which was not sent as a request", request.method, request.target, request.id);
    }
    return std::nullopt;
}

std::optional<std::string> playResponse(std::string_view bytes)
{
    Instance instance;
    instance.backend.script
        = [bytes](const std::string&) { return ScriptedResponse { .bytes = std::string(bytes), .closes = true }; };
    instance.connect(RequestSource::Caller);
    instance.send(
        "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\nX-Left: 3000\r\nContent-Length: 0\r\n\r\n");
    const std::string text = instance.received();
    if (!text.empty() && !beginsWithFinalStatus(text))
        return fmt::format("the caller got bytes that are no response: {}", text.substr(0, text.find("\r\n")));
    if (!text.starts_with("HTTP/1.1 2"))
        return std::nullopt;
    const std::string_view answer = bytes.substr(0, bytes.find("\r\n\r\n"));
    if (answer.find("\r\n ") != std::string_view::npos || answer.find("\r\n\t") != std::string_view::npos)
        return "the caller got a success from a head with a folded field, RFC 9112 section 5.2";
    const std::string head = text.substr(0, text.find("\r\n\r\n") + 2);
    const auto hasField = [&head](std::string name) {
        std::string lowered = head;
        const auto toLower = [](unsigned char c) { return static_cast<char>(std::tolower(c)); };
        std::transform(lowered.begin(), lowered.end(), lowered.begin(), toLower);
        std::transform(name.begin(), name.end(), name.begin(), toLower);
        return lowered.find("\r\n" + name + ":") != std::string::npos;
    };
    if (!hasField("X-Seal"))
        return "the caller got a success without a seal";
    if (!hasField("X-Id") || head.find("r1") == std::string::npos)
        return "the caller got a success without the id of its request";
    return std::nullopt;
}

void decodeDocuments(std::string_view bytes)
{
    const Result<boost::json::value> document = adapter::parseStoreDocument(bytes, "items", 0);
    if (isOk(document) && valueOf(document).is_object()) {
        for (const auto& member : valueOf(document).get_object()) {
            const platform::StoredObject object { .name = "main", .revision = 1, .content = member.value() };
            (void)adapter::decodeServer(object);
            (void)adapter::decodeInstance(object);
            (void)adapter::decodeConfiguration(member.value());
        }
    }
    (void)decodeHeartbeat(bytes, Clock::now());
    (void)decodePermitMessage(bytes, Clock::now());
}

std::optional<std::string> play(std::string_view bytes)
{
    if (bytes.empty())
        return std::nullopt;
    const std::string_view rest = bytes.substr(1);
    switch (bytes.front()) {
    case 'c':
        return playRequests(rest, false);
    case 'p':
        return playRequests(rest, true);
    case 's':
        return playResponse(rest);
    default:
        decodeDocuments(rest);
        return std::nullopt;
    }
}

} // namespace clementinefall::fuzz
