#pragma once

#include "http/awaitable.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace clementinefall::http {

/// Whether a header field goes on in a further line, RFC 9112 section 5.2. \a bytes begin with the header, and those
/// before \a checked were checked before.
inline bool hasFoldedField(std::string_view bytes, std::size_t checked)
{
    constexpr std::string_view headerEnd = "\r\n\r\n";
    const std::string_view unchecked = bytes.substr(checked - std::min(checked, headerEnd.size() - 1));
    const std::string_view header = unchecked.substr(0, unchecked.find(headerEnd));
    return header.find("\r\n ") != std::string_view::npos || header.find("\r\n\t") != std::string_view::npos;
}

/// Parses the bytes in \a buffer and, if they complete no part of the message, reads once from the stream, at most
/// \a maximumBytes, and parses again. Unlike the operations of the library it returns after each read, so that the
/// bytes can be counted before more are read, and \a cancellation can end the read alone, without a write on the same
/// stream. \a parser must not be done. Errors: those of the library's read operations; bad_field also for a folded
/// field, which the library would accept as a part of the one before it.
template <typename Stream, bool isRequest>
Awaitable<beast::error_code> readSome(Stream& stream, beast::flat_buffer& buffer,
    beast::http::basic_parser<isRequest>& parser, std::size_t maximumBytes, asio::cancellation_slot cancellation = {})
{
    // A body is parsed as far as it has arrived; it may come in chunks of one byte. A header is left by itself.
    parser.eager(parser.is_header_done());
    const auto parse = [&buffer, &parser](std::size_t checked) {
        const std::string_view bytes { static_cast<const char*>(buffer.data().data()), buffer.size() };
        if (!parser.is_header_done() && hasFoldedField(bytes, checked))
            return make_error_code(beast::http::error::bad_field);
        beast::error_code error;
        buffer.consume(parser.put(buffer.data(), error));
        return error;
    };
    // A header that was incomplete after the last read still is.
    const bool isIncompleteHeader = parser.got_some() && !parser.is_header_done();
    if (buffer.size() > 0 && !isIncompleteHeader) {
        const beast::error_code error = parse(0);
        if (error != beast::http::error::need_more)
            co_return error;
    }
    const std::size_t room = buffer.max_size() - buffer.size();
    if (room == 0)
        co_return beast::http::error::buffer_overflow;
    const std::size_t checked = buffer.size();
    const auto [readError, bytes] = co_await stream.async_read_some(
        buffer.prepare(std::min(room, maximumBytes)), asio::bind_cancellation_slot(cancellation, useTuple));
    buffer.commit(bytes);
    if (readError == asio::error::eof) {
        beast::error_code error = beast::http::error::end_of_stream;
        if (parser.got_some())
            parser.put_eof(error = {});
        co_return error;
    }
    if (readError)
        co_return readError;
    const beast::error_code error = parse(checked);
    co_return error == beast::http::error::need_more ? beast::error_code() : error;
}

} // namespace clementinefall::http
