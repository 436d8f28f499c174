#pragma once

#include <functional>
#include <map>
#include <string>
#include <tuple>

#include <base/base.h>

namespace gooseberry {

struct HttpRequest
{
    std::string method;
    /** The request target: path and query as sent. */
    std::string target;
    /** Header names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
    /** The remote address, as "host:port". */
    std::string peer;
    /**
     * Returns whether the sender has closed the connection, so that nobody waits for the response.
     * Set by HttpServer; must not be called once the response was given.
     */
    std::function<bool()> senderLeft = {};

    bool operator==(const HttpRequest &other) const
    {
        return std::tie(this->method, this->target, this->headers, this->body, this->peer)
            == std::tie(other.method, other.target, other.headers, other.body, other.peer);
    }
};

struct HttpResponse
{
    unsigned status = 200;
    std::map<std::string, std::string> headers;
    std::string body;

    bool operator==(const HttpResponse &other) const = default;
};

/** Returns the header's value, or an empty string. The name is in lower case. */
std::string header(const HttpRequest &request, const std::string &name);
std::string header(const HttpResponse &response, const std::string &name);

} // namespace gooseberry
