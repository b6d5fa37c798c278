#include "capacitypage.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace clementinefall::capacity {

namespace {

constexpr std::string_view blockStart = "```capacity";
constexpr std::string_view blockEnd = "```";

bool isProcessorTime(std::string_view name) { return name.ends_with("_us") || name.ends_with("_ns"); }

bool isWithinTolerance(const Figure& measured, double stated)
{
    if (isProcessorTime(measured.name))
        return measured.value <= stated * processorTimeFactor && measured.value >= stated / processorTimeFactor;
    return std::abs(measured.value - stated) <= std::abs(stated) * countTolerance;
}

const Figure* findFigure(const std::vector<Figure>& figures, const Figure& wanted)
{
    const auto found = std::find_if(figures.begin(), figures.end(),
        [&](const Figure& figure) { return figure.name == wanted.name && figure.size == wanted.size; });
    return found == figures.end() ? nullptr : &*found;
}

} // namespace

Result<std::vector<Figure>> parseFigures(std::string_view page)
{
    std::istringstream lines { std::string(page) };
    std::vector<Figure> figures;
    bool isInsideBlock = false;
    for (std::string line; std::getline(lines, line);) {
        if (!isInsideBlock) {
            isInsideBlock = line == blockStart;
            continue;
        }
        if (line == blockEnd)
            return figures;
        std::istringstream fields(line);
        Figure figure;
        std::string rest;
        if (!(fields >> figure.name >> figure.size >> figure.value) || fields >> rest)
            return makeError(ResultCode::SettingsOutOfRange, "capacity page: cannot read the figure line '{}'", line);
        figures.push_back(std::move(figure));
    }
    return makeError(ResultCode::SettingsOutOfRange, "capacity page: the block of figures is missing or not closed");
}

std::vector<std::string> compareFigures(const std::vector<Figure>& measured, const std::vector<Figure>& stated)
{
    std::vector<std::string> differences;
    for (const Figure& figure : measured) {
        const Figure* statedFigure = findFigure(stated, figure);
        if (!statedFigure)
            differences.push_back(
                fmt::format("{} {} measured={:.6g} is not stated", figure.name, figure.size, figure.value));
        else if (!isWithinTolerance(figure, statedFigure->value))
            differences.push_back(fmt::format(
                "{} {} measured={:.6g} stated={:.6g}", figure.name, figure.size, figure.value, statedFigure->value));
    }
    for (const Figure& figure : stated) {
        if (!findFigure(measured, figure))
            differences.push_back(
                fmt::format("{} {} stated={:.6g} was not measured", figure.name, figure.size, figure.value));
    }
    return differences;
}

} // namespace clementinefall::capacity
