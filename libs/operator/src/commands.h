#pragma once

#include "command_line.h"

namespace gooseberry {

// The commands by name; commands.cpp lists them.

ExitCode runValidate(Context &context);
ExitCode runPlan(Context &context);
ExitCode runApply(Context &context);
ExitCode runGet(Context &context);

ExitCode runSubmit(Context &context);
ExitCode runStatus(Context &context);
ExitCode runAnswer(Context &context);
ExitCode runCancel(Context &context);
ExitCode runExplain(Context &context);

ExitCode runDomainTakeOut(Context &context);
ExitCode runDomainBringBack(Context &context);
ExitCode runKeyGrant(Context &context);
ExitCode runKeyWithdraw(Context &context);
ExitCode runTop(Context &context);
ExitCode runCompletion(Context &context);

} // namespace gooseberry
