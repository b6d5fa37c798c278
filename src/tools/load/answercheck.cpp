#include "load/answercheck.h"

#include "backend/filler.h"

#include <boost/json.hpp>

namespace clementinefall::load {

namespace json = boost::json;

namespace {

constexpr std::size_t maximumLineBytes = 8192;

std::string textOf(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace

void AnswerChecker::update(std::string_view piece)
{
    if (!this->lineComplete) {
        const auto end = piece.find('\n');
        this->line += piece.substr(0, end);
        if (this->line.size() > maximumLineBytes)
            this->isDamaged = true;
        if (end == std::string_view::npos || this->isDamaged)
            return;
        this->lineComplete = true;
        this->checkLine();
        piece.remove_prefix(end + 1);
    }
    this->checkFiller(piece);
}

void AnswerChecker::checkLine()
{
    json::error_code error;
    const json::value value = json::parse(this->line, error);
    const json::object* object = error ? nullptr : value.if_object();
    if (!object) {
        this->isDamaged = true;
        return;
    }
    this->identity = textOf(*object, "identity");
    const bool isOther = !this->expected.identity.empty() && this->identity != this->expected.identity;
    const json::value* bytes = object->if_contains("bytes");
    const bool isSameBody = bytes && bytes->is_int64()
        && static_cast<std::uint64_t>(bytes->get_int64()) == this->expected.bodyBytes
        && textOf(*object, "hash") == this->expected.bodyHash;
    // The server received another body than the one that was sent, so the answer is not to this request.
    this->isForeign = isOther || !isSameBody || textOf(*object, "path") != this->expected.path;
}

void AnswerChecker::checkFiller(std::string_view piece)
{
    this->scratch.resize(piece.size());
    backend::fillBytes(this->identity, this->fillerSeen, this->scratch);
    this->isDamaged = this->isDamaged || this->scratch != piece;
    this->fillerSeen += piece.size();
}

AnswerCheck AnswerChecker::finish() const
{
    if (this->isForeign)
        return AnswerCheck::Wrong;
    if (!this->lineComplete || this->isDamaged || this->fillerSeen != this->expected.fillerBytes)
        return AnswerCheck::Cut;
    return AnswerCheck::Whole;
}

} // namespace clementinefall::load
