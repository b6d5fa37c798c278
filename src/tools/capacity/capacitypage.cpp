#include "capacitypage.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace clementinefall::capacity {

namespace {

constexpr std::string_view blockStart = "```capacity";
constexpr std::string_view blockEnd = "```";

bool isTime(std::string_view name) { return name.ends_with("_us") || name.ends_with("_ns"); }

bool isWithinTolerance(const Figure& measured, double stated)
{
    if (isTime(measured.name))
        return measured.value <= stated * timeFactor && measured.value >= stated / timeFactor;
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
    bool isInside = false;
    for (std::string line; std::getline(lines, line);) {
        if (!isInside) {
            isInside = line == blockStart;
            continue;
        }
        if (line == blockEnd)
            return figures;
        std::istringstream fields(line);
        Figure figure;
        std::string rest;
        if (!(fields >> figure.name >> figure.size >> figure.value) || fields >> rest)
            return makeError(ResultCode::SettingsOutOfRange, "not a figure: {}", line);
        figures.push_back(std::move(figure));
    }
    return makeError(ResultCode::SettingsOutOfRange, "the page has no complete block of figures");
}

std::vector<std::string> compareFigures(const std::vector<Figure>& measured, const std::vector<Figure>& stated)
{
    std::vector<std::string> differences;
    for (const Figure& figure : measured) {
        const Figure* onPage = findFigure(stated, figure);
        if (!onPage)
            differences.push_back(
                fmt::format("{} {} measured={:.6g} is not stated", figure.name, figure.size, figure.value));
        else if (!isWithinTolerance(figure, onPage->value))
            differences.push_back(fmt::format(
                "{} {} measured={:.6g} stated={:.6g}", figure.name, figure.size, figure.value, onPage->value));
    }
    for (const Figure& figure : stated) {
        if (!findFigure(measured, figure))
            differences.push_back(
                fmt::format("{} {} stated={:.6g} was not measured", figure.name, figure.size, figure.value));
    }
    return differences;
}

} // namespace clementinefall::capacity
