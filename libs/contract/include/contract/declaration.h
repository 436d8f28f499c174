#pragma once

#include <string>

#include <base/base.h>
#include <contract/cell_config.h>

namespace gooseberry {

/**
 * Reads a declaration file, merges it over what is in force and fills in its templates: an item in
 * the file replaces the item of the same name, everything else stays. Errors are InvalidArgument
 * and carry file, line, column and the allowed values in the message.
 */
Result<CellConfig> applyDeclaration(const CellConfig &current, const std::string &text,
                                    const std::string &fileName);

/** Reads CellConfig::source back to the configuration that it stands for; empty text is valid. */
Result<CellConfig> loadDeclarations(const std::string &source);

} // namespace gooseberry
