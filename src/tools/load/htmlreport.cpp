#include "load/htmlreport.h"

#include <algorithm>
#include <array>
#include <map>

namespace clementinefall::load {

namespace {

// Sizes are in pixels.
constexpr double plotWidth = 760;
constexpr double plotHeight = 260;
constexpr double plotMargin = 48;
constexpr std::array<std::string_view, 6> colours { "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf" };

struct Point {
    double x = 0;
    double y = 0;
};

/// Curves by their name in the legend.
using Curves = std::map<std::string, std::vector<Point>>;

std::string escapeHtml(std::string_view text)
{
    std::string result;
    for (const char c : text) {
        if (c == '<')
            result += "&lt;";
        else if (c == '&')
            result += "&amp;";
        else
            result += c;
    }
    return result;
}

std::string svgText(double x, double y, std::string_view anchor, std::string_view text)
{
    return fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\" text-anchor=\"{}\">{}</text>", x, y, anchor, escapeHtml(text));
}

std::string linePlot(const Curves& curves, std::string_view xLabel, std::string_view yLabel)
{
    double maximumX = 1e-9;
    double maximumY = 1e-9;
    for (const auto& [name, points] : curves) {
        for (const Point& point : points) {
            maximumX = std::max(maximumX, point.x);
            maximumY = std::max(maximumY, point.y);
        }
    }
    const double innerWidth = plotWidth - 2 * plotMargin;
    const double innerHeight = plotHeight - 2 * plotMargin;
    std::string svg = fmt::format("<svg width=\"{0:.0f}\" height=\"{1:.0f}\" viewBox=\"0 0 {0:.0f} {1:.0f}\">"
                                  "<rect x=\"{2:.0f}\" y=\"{2:.0f}\" width=\"{3:.0f}\" height=\"{4:.0f}\"/>",
        plotWidth, plotHeight, plotMargin, innerWidth, innerHeight);
    svg += svgText(plotMargin, plotHeight - plotMargin + 16, "middle", "0");
    svg += svgText(plotWidth - plotMargin, plotHeight - plotMargin + 16, "middle", fmt::format("{:.4g}", maximumX));
    svg += svgText(plotMargin - 4, plotMargin + 4, "end", fmt::format("{:.4g}", maximumY));
    svg += svgText(plotWidth / 2, plotHeight - 12, "middle", xLabel);
    svg += svgText(4, plotMargin - 16, "start", yLabel);
    std::size_t index = 0;
    for (const auto& [name, points] : curves) {
        const std::string_view colour = colours[index % colours.size()];
        svg += fmt::format("<polyline stroke=\"{}\" points=\"", colour);
        for (const Point& point : points) {
            svg += fmt::format("{:.1f},{:.1f} ", plotMargin + point.x / maximumX * innerWidth,
                plotHeight - plotMargin - point.y / maximumY * innerHeight);
        }
        svg += "\"/>";
        const double legendX = plotMargin + 110.0 * static_cast<double>(index++);
        svg += fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\" style=\"fill:{}\">{}</text>", legendX + 90,
            plotMargin - 16.0, colour, escapeHtml(name));
    }
    return svg + "</svg>\n";
}

std::int64_t sentSecond(const RequestRecord& record)
{
    return std::chrono::duration_cast<seconds>(record.sentAt).count();
}

Curves latencyOverTime(std::span<const RequestRecord> records)
{
    std::map<std::int64_t, std::vector<Duration>> bySecond;
    for (const RequestRecord& record : records) {
        if (record.outcome == Outcome::Answered)
            bySecond[sentSecond(record)].push_back(record.latency);
    }
    Curves curves;
    for (auto& [second, latencies] : bySecond) {
        std::sort(latencies.begin(), latencies.end());
        curves["p50"].push_back({ static_cast<double>(second), toMs(quantile(latencies, 0.50)) });
        curves["p99"].push_back({ static_cast<double>(second), toMs(quantile(latencies, 0.99)) });
    }
    return curves;
}

Curves percentiles(std::span<const RequestRecord> records)
{
    std::map<std::string, std::vector<Duration>> byService;
    for (const RequestRecord& record : records) {
        if (record.outcome == Outcome::Answered)
            byService[record.service].push_back(record.latency);
    }
    Curves curves;
    for (auto& [service, latencies] : byService) {
        std::sort(latencies.begin(), latencies.end());
        for (int percent = 1; percent <= 99; ++percent)
            curves[service].push_back({ static_cast<double>(percent), toMs(quantile(latencies, percent / 100.0)) });
    }
    return curves;
}

Curves outcomesOverTime(std::span<const RequestRecord> records)
{
    std::int64_t last = 0;
    for (const RequestRecord& record : records)
        last = std::max(last, sentSecond(record));
    Curves curves;
    for (const Outcome outcome : { Outcome::Answered, Outcome::NotRun, Outcome::Unknown }) {
        auto& points = curves[std::string(outcomeName(outcome))];
        for (std::int64_t second = 0; second <= last; ++second)
            points.push_back({ static_cast<double>(second), 0 });
    }
    for (const RequestRecord& record : records)
        curves[std::string(outcomeName(record.outcome))][static_cast<std::size_t>(sentSecond(record))].y += 1;
    return curves;
}

std::string regionBarChart(std::span<const RequestRecord> records)
{
    std::map<std::string, std::uint64_t> counts;
    for (const RequestRecord& record : records) {
        const std::string to = record.entryZone.empty() ? "no entry instance" : regionOf(record.entryZone);
        ++counts[fmt::format("{} to {}", regionOf(record.zone), to)];
    }
    std::uint64_t maximum = 1;
    for (const auto& [name, count] : counts)
        maximum = std::max(maximum, count);
    constexpr double rowHeight = 22;
    constexpr double labelWidth = 240;
    std::string svg = fmt::format(
        "<svg width=\"{:.0f}\" height=\"{:.0f}\">", plotWidth, rowHeight * static_cast<double>(counts.size()) + 8);
    double y = 4;
    for (const auto& [name, count] : counts) {
        const double width = (plotWidth - labelWidth - 80) * static_cast<double>(count) / static_cast<double>(maximum);
        svg += svgText(labelWidth - 8, y + 14, "end", name);
        svg += fmt::format(
            "<rect class=\"bar\" x=\"{:.0f}\" y=\"{:.0f}\" width=\"{:.1f}\" height=\"16\"/>", labelWidth, y, width);
        svg += svgText(labelWidth + width + 6, y + 14, "start", std::to_string(count));
        y += rowHeight;
    }
    return svg + "</svg>\n";
}

} // namespace

std::string htmlReport(std::span<const RequestRecord> records, std::span<const ServiceReport> reports)
{
    std::string html = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>clementinefall load "
                       "report</title><style>body{font:14px sans-serif;margin:2em}svg text{font-size:12px}"
                       "svg rect{fill:none;stroke:#999}svg rect.bar{fill:#1f77b4;stroke:none}"
                       "svg polyline{fill:none;stroke-width:1.5}</style></head><body>\n<h1>Load report</h1>\n";
    html += "<pre>" + escapeHtml(reportTable(reports)) + "</pre>\n";
    html += "<h2>Latency over time</h2>\n" + linePlot(latencyOverTime(records), "seconds", "ms");
    html += "<h2>Percentiles</h2>\n" + linePlot(percentiles(records), "percentile", "ms");
    html += "<h2>Answers by outcome over time</h2>\n" + linePlot(outcomesOverTime(records), "seconds", "per second");
    html += "<h2>Requests by region of caller and entry instance</h2>\n" + regionBarChart(records);
    return html + "</body></html>\n";
}

} // namespace clementinefall::load
