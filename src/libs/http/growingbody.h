#pragma once

#include "http/awaitable.h"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <string>

namespace clementinefall::http {

/// Body of a received message, for parsers. Unlike the library's string_body it allocates by the bytes that have
/// arrived, never by the length that their sender announces, which may be any number.
struct GrowingBody {
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class Reader {
    public:
        template <bool isRequest, typename Fields>
        Reader(beast::http::header<isRequest, Fields>& /*header*/, value_type& messageBody)
            : body(messageBody)
        {
        }

        void init(const boost::optional<std::uint64_t>& /*length*/, beast::error_code& error) { error = {}; }

        template <typename Buffers> std::size_t put(const Buffers& buffers, beast::error_code& error)
        {
            error = {};
            std::size_t bytes = 0;
            for (const auto buffer : beast::buffers_range_ref(buffers)) {
                this->body.append(static_cast<const char*>(buffer.data()), buffer.size());
                bytes += buffer.size();
            }
            return bytes;
        }

        void finish(beast::error_code& error) { error = {}; }

    private:
        value_type& body;
    };
    using reader = Reader; ///< Name that the library expects.
};

} // namespace clementinefall::http
