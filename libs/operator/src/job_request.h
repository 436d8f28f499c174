#pragma once

#include <map>
#include <string>

#include <base/base.h>

namespace gooseberry {

/**
 * Returns the JSON body for POST /v1/jobs from a job file. Flags of "submit" override keys of the
 * file. The text may be empty. Problems in the file carry line and column; those of flags name the
 * flag.
 */
Result<std::string> makeJobRequest(const std::string &text, const std::string &fileName,
                                   const std::map<std::string, std::string> &flags);

} // namespace gooseberry
