#include "http/responsecheck.h"

#include <boost/beast/core/string.hpp>

namespace clementinefall::http {

namespace {

constexpr unsigned httpVersion10 = 10;
constexpr unsigned httpVersion11 = 11;

constexpr unsigned switchingProtocols = 101;
constexpr unsigned noContent = 204;

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

ResponseCheck invalid(std::string_view fault) { return { .kind = ResponseKind::Invalid, .fault = fault }; }

} // namespace

bool isChunkedAlone(const beast::http::fields& header)
{
    const std::string_view coding = trimmed(fieldValue(header, "Transfer-Encoding"));
    return beast::iequals({ coding.data(), coding.size() }, "chunked");
}

ResponseCheck checkResponseHeader(const ResponseHeader& header)
{
    if (header.version() != httpVersion11 && header.version() != httpVersion10)
        return invalid("the response has an HTTP version other than 1.0 and 1.1");
    const unsigned status = header.result_int();
    if (status < 100 || status > 599)
        return invalid("the response has a status outside 100 to 599");
    if (status == switchingProtocols)
        return invalid("the response switches protocols, which was not requested");
    const std::size_t codings = header.count(Field::transfer_encoding);
    if (status / 100 == 1) {
        if (codings > 0)
            return invalid("the interim response has a transfer coding");
        return { .kind = ResponseKind::Interim };
    }
    if (codings > 1 || (codings == 1 && !isChunkedAlone(header)))
        return invalid("the response has a transfer coding other than chunked");
    if (codings > 0 && header.version() != httpVersion11)
        return invalid("the response has a transfer coding, which HTTP/1.0 does not know");
    // The library takes such a response to end with its header; what is announced would be read as the next response.
    const std::string_view length = fieldValue(header, "Content-Length");
    if (status == noContent && (codings > 0 || (!length.empty() && length != "0")))
        return invalid("the response announces a body that its status excludes");
    return { .kind = ResponseKind::Final };
}

} // namespace clementinefall::http
