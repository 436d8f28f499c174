#pragma once

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace gooseberry {

/** Exit codes of the program. */
enum class ExitCode {
    Done = 0,
    Refused = 1, ///< A file or the cell refused; nothing ran.
    Usage = 2, ///< The command line is invalid.
    Unknown = 3, ///< The request may have run; a resend with the same id settles it.
    Conflict = 4, ///< Another change was applied first; run plan again.
    Unreachable = 5, ///< No server was reached.
};

/** Environment variables that replace flags, by name. */
using Environment = std::map<std::string, std::string>;

/**
 * Runs one command, without the program's name among the arguments. Results go to out, messages and
 * progress to err. Tokens and keys appear in neither, except for a key's secret at its creation.
 */
ExitCode runOperator(const std::vector<std::string> &arguments, const Environment &environment,
                     std::ostream &out, std::ostream &err);

} // namespace gooseberry
