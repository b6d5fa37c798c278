#include "load/responsecheck.h"

#include "backend/filler.h"

#include <boost/json.hpp>

namespace clementinefall::load {

namespace json = boost::json;

namespace {

constexpr std::size_t maximumLineBytes = 8192;

std::string stringField(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace

void ResponseChecker::update(std::string_view piece)
{
    if (!this->lineComplete) {
        const auto end = piece.find('\n');
        this->line += piece.substr(0, end);
        if (this->line.size() > maximumLineBytes)
            this->isCorrupted = true;
        if (end == std::string_view::npos || this->isCorrupted)
            return;
        this->lineComplete = true;
        this->checkLine();
        piece.remove_prefix(end + 1);
    }
    this->checkFiller(piece);
}

void ResponseChecker::checkLine()
{
    json::error_code error;
    const json::value value = json::parse(this->line, error);
    const json::object* object = error ? nullptr : value.if_object();
    if (!object) {
        this->isCorrupted = true;
        return;
    }
    this->identity = stringField(*object, "identity");
    const bool hasOtherIdentity = !this->expected.identity.empty() && this->identity != this->expected.identity;
    const json::value* bytes = object->if_contains("bytes");
    const bool isSameRequestBody = bytes && bytes->is_int64()
        && static_cast<std::uint64_t>(bytes->get_int64()) == this->expected.bodyBytes
        && stringField(*object, "hash") == this->expected.bodyHash;
    // A server that reports another request body than the one that was sent responds to another request.
    this->isOtherRequest
        = hasOtherIdentity || !isSameRequestBody || stringField(*object, "path") != this->expected.path;
}

void ResponseChecker::checkFiller(std::string_view piece)
{
    this->expectedFiller.resize(piece.size());
    backend::fillBytes(this->identity, this->receivedFillerBytes, this->expectedFiller);
    this->isCorrupted = this->isCorrupted || this->expectedFiller != piece;
    this->receivedFillerBytes += piece.size();
}

ResponseCheck ResponseChecker::finish() const
{
    if (this->isOtherRequest)
        return ResponseCheck::OtherRequest;
    if (!this->lineComplete || this->isCorrupted || this->receivedFillerBytes != this->expected.fillerBytes)
        return ResponseCheck::Corrupted;
    return ResponseCheck::Complete;
}

} // namespace clementinefall::load
