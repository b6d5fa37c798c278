#include "forwarding/rejection.h"

#include <algorithm>
#include <array>

namespace clementinefall::forwarding {

using requests::AttemptEnd;

bool promisesNotRun(unsigned status)
{
    constexpr std::array<unsigned, 4> promises { 408, misdirectedStatus, 429, 503 };
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

bool isStatedNotRun(const http::ResponseHeader& header, const WireNames& names)
{
    if (header.result_int() == misdirectedStatus)
        return true;
    const auto [begin, end] = header.equal_range(names.notRun);
    return begin != end && std::none_of(begin, end, [](const auto& field) { return field.value().empty(); });
}

AttemptEnd endOfResponse(const http::ResponseHeader& header, const WireNames& names, bool isIdempotent)
{
    if (isStatedNotRun(header, names))
        return AttemptEnd::ShedByServer;
    const bool isWithheld = !isIdempotent && promisesNotRun(header.result_int());
    return isWithheld ? AttemptEnd::RejectedUnproven : AttemptEnd::Answered;
}

} // namespace clementinefall::forwarding
