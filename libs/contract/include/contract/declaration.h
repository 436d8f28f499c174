#pragma once

#include <string>

#include <base/base.h>
#include <contract/cell_config.h>

namespace gooseberry {

/**
 * Reads a declaration file, merges it over the declarations in force and expands the templates. An
 * item in the file replaces the item of the same name; all other items are kept unless the file
 * lists them under "remove". Errors are InvalidArgument with file, line, column and the allowed
 * values in the message, or TooLarge.
 */
Result<CellConfig> applyDeclaration(const CellConfig &current, const std::string &text,
                                    const std::string &fileName);

/** Reads the configuration back from its CellConfig::source; empty text is valid. */
Result<CellConfig> loadDeclarations(const std::string &source);

} // namespace gooseberry
