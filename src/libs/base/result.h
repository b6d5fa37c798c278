#pragma once

#include "base/resultcode.h"

#include <fmt/format.h>

#include <string>
#include <utility>
#include <variant>

namespace clementinefall {

/// A failure: a numbered code and a message for people.
struct Error {
    ResultCode code = ResultCode::BadRequest;
    std::string message;

    /// `<number> <name>: <message>`.
    std::string text() const
    {
        return fmt::format("{} {}: {}", number(this->code), resultCodeInfo(this->code).name, this->message);
    }
};

/// Value of a function that can fail.
template <typename T> using Result = std::variant<T, Error>;

/// Result of a function that returns nothing but can fail.
using Status = Result<std::monostate>;

inline Status okStatus() { return std::monostate {}; }

template <typename T> bool isOk(const Result<T>& result) { return result.index() == 0; }

template <typename T> T& valueOf(Result<T>& result) { return std::get<0>(result); }

template <typename T> const T& valueOf(const Result<T>& result) { return std::get<0>(result); }

template <typename T> const Error& errorOf(const Result<T>& result) { return std::get<1>(result); }

template <typename... Args> Error makeError(ResultCode code, fmt::format_string<Args...> format, Args&&... args)
{
    return Error { code, fmt::format(format, std::forward<Args>(args)...) };
}

} // namespace clementinefall
