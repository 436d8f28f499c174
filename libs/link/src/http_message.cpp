#include <link/http_message.h>

namespace gooseberry {

namespace {

std::string valueOrEmpty(const std::map<std::string, std::string> &headers, const std::string &name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

} // namespace

std::string header(const HttpRequest &request, const std::string &name)
{
    return valueOrEmpty(request.headers, name);
}

std::string header(const HttpResponse &response, const std::string &name)
{
    return valueOrEmpty(response.headers, name);
}

} // namespace gooseberry
