#include "bundle/linelocator.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace clementinefall::bundle::Internal {

namespace {

/// Traverses JSON that a parser has accepted and records the lines of the requested paths. The recursion depth is
/// limited by the nesting limit of that parser.
class LineRecorder {
public:
    LineRecorder(std::string_view json, const std::set<std::string>& pathsToLocate)
        : text(json)
        , requestedPaths(pathsToLocate)
    {
    }

    void value(const std::string& path)
    {
        this->skipSpace();
        if (this->requestedPaths.contains(path))
            this->lines.emplace(path, this->line);
        const char first = this->peek();
        if (first == '{')
            this->members(path);
        else if (first == '[')
            this->items(path);
        else if (first == '"')
            this->string();
        else
            this->scalar();
    }

    std::map<std::string, unsigned> lines;

private:
    char peek() const { return this->position < this->text.size() ? this->text[this->position] : '\0'; }

    void advance()
    {
        if (this->peek() == '\n')
            ++this->line;
        ++this->position;
    }

    void skipSpace()
    {
        while (std::string_view(" \t\r\n").find(this->peek()) != std::string_view::npos && this->hasMore())
            this->advance();
    }

    bool hasMore() const { return this->position < this->text.size(); }

    std::string string()
    {
        std::string content;
        this->advance();
        while (this->hasMore() && this->peek() != '"') {
            if (this->peek() == '\\')
                this->advance();
            content += this->peek();
            this->advance();
        }
        this->advance();
        return content;
    }

    void scalar()
    {
        while (this->hasMore() && std::string_view(",]} \t\r\n").find(this->peek()) == std::string_view::npos)
            this->advance();
    }

    void members(const std::string& path)
    {
        this->advance();
        this->skipSpace();
        while (this->hasMore() && this->peek() != '}') {
            const std::string key = this->string();
            this->skipSpace();
            this->advance(); // the colon
            this->value(path.empty() ? key : fmt::format("{}.{}", path, key));
            this->skipSeparator();
        }
        this->advance();
    }

    void items(const std::string& path)
    {
        this->advance();
        this->skipSpace();
        std::size_t index = 0;
        while (this->hasMore() && this->peek() != ']') {
            this->value(fmt::format("{}[{}]", path, index++));
            this->skipSeparator();
        }
        this->advance();
    }

    void skipSeparator()
    {
        this->skipSpace();
        if (this->peek() == ',')
            this->advance();
        this->skipSpace();
    }

    std::string_view text;
    const std::set<std::string>& requestedPaths;
    std::size_t position = 0;
    unsigned line = 1;
};

std::string parentOf(const std::string& path)
{
    const auto at = path.find_last_of(".[");
    return at == std::string::npos ? std::string() : path.substr(0, at);
}

} // namespace

std::map<std::string, unsigned> locateLines(std::string_view json, const std::vector<std::string>& paths)
{
    std::set<std::string> requestedPaths { "" };
    for (const std::string& path : paths) {
        for (std::string prefix = path; !prefix.empty(); prefix = parentOf(prefix))
            requestedPaths.insert(prefix);
    }
    LineRecorder recorder(json, requestedPaths);
    recorder.value("");
    std::map<std::string, unsigned> result;
    for (const std::string& path : paths) {
        std::string prefix = path;
        while (!recorder.lines.contains(prefix))
            prefix = parentOf(prefix);
        result[path] = recorder.lines[prefix];
    }
    return result;
}

unsigned lineAt(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    return 1 + static_cast<unsigned>(std::count(before.begin(), before.end(), '\n'));
}

} // namespace clementinefall::bundle::Internal
