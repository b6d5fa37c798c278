#include "sessionplay.h"

#include "base/log.h"
#include "base/random.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

using namespace clementinefall;

namespace {

std::vector<std::string> readSeeds()
{
    std::vector<std::filesystem::path> paths;
    for (const auto& entry : std::filesystem::directory_iterator(CLEMENTINEFALL_SEEDS))
        paths.push_back(entry.path());
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> seeds;
    for (const auto& path : paths) {
        std::ifstream file(path, std::ios::binary);
        seeds.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    return seeds;
}

/// Changes some places of \a bytes, of which the first byte stays.
std::string mutate(std::string bytes, const std::string& other, Random& random)
{
    constexpr std::string_view digits = "0123456789";
    constexpr std::string_view odd = "\r\n\0 :;,0f\x7f\xff";
    for (std::uint64_t change = 0; change <= randomBelow(random, 3); ++change) {
        const std::size_t at = 1 + randomBelow(random, bytes.size());
        switch (randomBelow(random, 5)) {
        case 0:
            bytes.insert(std::min(at, bytes.size()), 1, odd[randomBelow(random, odd.size())]);
            break;
        case 1:
            bytes.erase(std::min(at, bytes.size()), 1 + randomBelow(random, 6));
            break;
        case 2:
            bytes.insert(std::min(at, bytes.size()), other.substr(randomBelow(random, other.size())));
            break;
        case 3:
            bytes[std::min(at, bytes.size() - 1)] = digits[randomBelow(random, digits.size())];
            break;
        default:
            bytes.resize(std::min(at, bytes.size()));
        }
    }
    return bytes;
}

} // namespace

TEST_CASE("Arbitrary bytes of callers, servers, other instances and the store")
{
    setLogLevel(LogLevel::Error);
    const std::vector<std::string> seeds = readSeeds();
    REQUIRE(seeds.size() >= 10);

    SECTION("as in the seeds make no request, and no success, of their own")
    {
        for (const std::string& seed : seeds) {
            INFO(seed);
            const auto problem = fuzz::play(seed);
            INFO(problem.value_or("nothing is wrong"));
            CHECK_FALSE(problem.has_value());
        }
    }

    SECTION("as in changed seeds make none either")
    {
        Random random(1);
        for (int round = 0; round < 600; ++round) {
            const std::string& other = seeds[randomBelow(random, seeds.size())];
            const std::string bytes = mutate(seeds[randomBelow(random, seeds.size())], other, random);
            INFO(bytes);
            const auto problem = fuzz::play(bytes);
            INFO(problem.value_or("nothing is wrong"));
            CHECK_FALSE(problem.has_value());
        }
    }
    setLogLevel(LogLevel::Info);
}
