// The outcome of a scenario, and the lines that tell it.
#pragma once

#include "observer.h"
#include "scenario.h"

#include <ostream>
#include <set>
#include <string>

namespace jujubereach::scenarios {

std::string textOf(const Error& error);

struct Verdict {
    Scenario scenario;
    std::string failedStep; ///< Empty when every step was taken.
    Violations violations;
    std::string logFolder;
    Duration took { 0 };
    bool isKnownRed
        = false; ///< Listed as failing for a fault that is known; it is printed, but fails no run.

    /// Whether one of the invariants under proof was violated.
    bool isBroken() const;
    /// A scenario passes when nothing failed; a counter-check when an invariant under proof broke.
    bool isGood() const;
};

/// Names of the scenarios in a list of known failures, one entry a line: "scenario <name>: ...". None when
/// there is no such file.
std::set<std::string> readKnownRed(const std::string& path);

/// Prints "SCENARIO name=... invariant=... failure=... result=... seed=..." for each invariant under proof,
/// and what was violated. After a failure also the last lines of the logs.
void report(const Verdict& verdict, std::ostream& out);

} // namespace jujubereach::scenarios
