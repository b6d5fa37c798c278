#pragma once

#include "http/awaitable.h"

#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>

#include <algorithm>
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
            this->makeRoomFor(beast::buffer_bytes(buffers));
            for (const auto buffer : beast::buffers_range_ref(buffers)) {
                this->body.append(static_cast<const char*>(buffer.data()), buffer.size());
                bytes += buffer.size();
            }
            return bytes;
        }

        void finish(beast::error_code& error) { error = {}; }

    private:
        /// Grows by a quarter. A string doubles by itself, and what it has not filled is in no account of the bytes
        /// that messages hold.
        void makeRoomFor(std::size_t bytes)
        {
            const std::size_t needed = this->body.size() + bytes;
            if (needed <= this->body.capacity())
                return;
            value_type grown;
            grown.reserve(std::max(needed, this->body.size() + this->body.size() / 4));
            grown.append(this->body);
            this->body.swap(grown);
        }

        value_type& body;
    };
    using reader = Reader; ///< Name that the library expects.
};

} // namespace clementinefall::http
