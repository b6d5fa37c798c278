#include "sessionplay.h"

#include "base/log.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>

/// Entry point that libFuzzer calls with each input.
// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace clementinefall;
    setLogLevel(LogLevel::Error);
    const auto problem = fuzz::play({ reinterpret_cast<const char*>(data), size });
    if (problem) {
        std::fprintf(stderr, "%s\n", problem->c_str());
        std::abort();
    }
    return 0;
}
