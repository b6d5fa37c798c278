#include "secretfile.h"

#include <boost/algorithm/string/trim.hpp>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace clementinefall::ctl {

namespace {

constexpr mode_t ownerOnly = S_IRUSR | S_IWUSR;

Error fileError(const std::string& path)
{
    return makeError(ResultCode::BadParameter, "{}: {}", path, std::strerror(errno));
}

} // namespace

Status writeSecretFile(const std::string& path, const std::string& secret)
{
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, ownerOnly);
    if (file < 0)
        return fileError(path);
    const std::string content = secret + "\n";
    const ssize_t written = ::write(file, content.data(), content.size());
    if (::close(file) != 0 || written != static_cast<ssize_t>(content.size()))
        return fileError(path);
    return okStatus();
}

Result<std::string> readSecretFile(const std::string& path)
{
    struct stat info { };
    if (::stat(path.c_str(), &info) != 0)
        return fileError(path);
    if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0)
        return makeError(ResultCode::BadParameter, "{} must be accessible by its owner only (chmod 600)", path);
    auto content = readTextFile(path);
    if (isOk(content))
        boost::trim(valueOf(content));
    return content;
}

Result<std::string> readTextFile(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf()))
        return makeError(ResultCode::BadParameter, "{} cannot be read or is empty", path);
    return content.str();
}

} // namespace clementinefall::ctl
