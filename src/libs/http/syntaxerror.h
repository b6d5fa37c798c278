#pragma once

#include "http/awaitable.h"

#include <boost/beast/http/error.hpp>

namespace clementinefall::http {

/// Whether \a error comes from bytes that are no HTTP message, and not from the connection that they came on.
inline bool isSyntaxError(beast::error_code error)
{
    return error.category() == make_error_code(beast::http::error::bad_version).category()
        && error != beast::http::error::end_of_stream && error != beast::http::error::partial_message;
}

} // namespace clementinefall::http
