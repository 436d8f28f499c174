#pragma once

#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "command_line.h"

namespace gooseberry {

/** A text table with one title per column. */
struct Table
{
    std::vector<std::string> titles;
    std::vector<std::vector<std::string>> rows;
};

/** Returns the table with aligned columns. */
std::string writeTable(const Table &table);

/** Writes the value as JSON or YAML, or the text for table output. */
void print(Context &context, const boost::json::value &value, const std::string &tableText);

/** Writes an error's message and returns the exit code that stands for it. */
ExitCode reportError(Context &context, const Error &error);

/** Sends the request with the token or key and reads the response's JSON object. */
Result<boost::json::object> requestJson(Context &context, HttpRequest request,
                                        const std::string &secret);
Result<HttpResponse> requestRaw(Context &context, HttpRequest request, const std::string &secret);

/** Returns a request without a body. */
HttpRequest makeRequest(const std::string &method, const std::string &target);

/** Returns the member as text, or an empty text. */
std::string textMember(const boost::json::object &object, const std::string &name);
/** Returns the member as a number, or 0. */
std::int64_t numberMember(const boost::json::object &object, const std::string &name);
/** Returns the member as an array, or an empty one. */
boost::json::array arrayMember(const boost::json::object &object, const std::string &name);
/** Reads the form in which the interface writes resources. */
Resources resourcesMember(const boost::json::object &object, const std::string &name);

/** Reads a whole file. Fails with NotFound. */
Result<std::string> readFile(const std::string &path);

} // namespace gooseberry
