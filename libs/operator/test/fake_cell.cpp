#include "fake_cell.h"

#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <sys/socket.h>
#include <unistd.h>

namespace gooseberry {

Address FakeCell::freeAddress()
{
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(endpoint);
    // The socket interface takes all kinds of addresses through one type.
    auto *generic = reinterpret_cast<sockaddr *>(&endpoint);
    const bool bound = probe >= 0 && ::bind(probe, generic, length) == 0
        && ::getsockname(probe, generic, &length) == 0;
    ::close(probe);
    return Address{.host = "127.0.0.1",
                   .port = bound ? ntohs(endpoint.sin_port) : static_cast<std::uint16_t>(0)};
}

RunResult run(const std::vector<std::string> &arguments, const Environment &environment)
{
    std::ostringstream out;
    std::ostringstream err;
    RunResult result;
    result.code = runOperator(arguments, environment, out, err);
    result.out = out.str();
    result.err = err.str();
    return result;
}

HttpResponse reply(unsigned status, const std::string &body)
{
    HttpResponse response;
    response.status = status;
    response.headers["content-type"] = "application/json";
    response.body = body;
    return response;
}

HttpResponse refusal(unsigned status, const std::string &code, const std::string &outcome,
                     const std::string &message)
{
    return reply(status,
                 R"({"code":")" + code + R"(","reason":")" + code
                     + R"(","step":"admit","peer":"","outcome":")" + outcome + R"(","message":")"
                     + message + "\"}");
}

std::string temporaryFile(const std::string &name, const std::string &text)
{
    const std::filesystem::path folder = std::filesystem::temp_directory_path()
        / ("gooseberry-operator-test." + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    std::ofstream(folder / name) << text;
    return (folder / name).string();
}

} // namespace gooseberry
