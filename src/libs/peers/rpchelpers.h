#pragma once

#include <capnp/blob.h>
#include <kj/exception.h>
#include <kj/string.h>

#include <string>

namespace clementinefall::peers::Internal {

inline std::string textOf(capnp::Data::Reader data)
{
    return { reinterpret_cast<const char*>(data.begin()), data.size() };
}

inline std::string textOf(capnp::Text::Reader text) { return { text.begin(), text.size() }; }

inline capnp::Data::Reader dataOf(const std::string& bytes)
{
    return { reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size() };
}

/// Fails the current RPC call with \a what unless \a condition holds. Used instead of the macro KJ_REQUIRE, which the
/// lint rules do not allow.
inline void require(bool condition, const char* what)
{
    if (!condition)
        kj::throwFatalException(kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(what)));
}

} // namespace clementinefall::peers::Internal
