// Checks what must always hold, from evidence alone.
#pragma once

#include "evidence.h"

#include <string>
#include <vector>

namespace jujubereach::scenarios {

/// The invariants in the order of the brief. Other checks (adjacency, call limits) have no number there.
enum class Invariant {
    Other = 0,
    GuaranteedShape = 1,
    WholeGang = 2,
    OwnAnswer = 3,
    TruthfulRefusal = 4,
    AtMostOnce = 5,
    LeavingUpstream = 6,
    GracefulStop = 7,
    ManifestInForce = 8,
};

struct Violation {
    Invariant invariant = Invariant::Other;
    std::string what;
};

using Violations = std::vector<Violation>;

/// All checks below.
Violations observe(const Evidence& evidence);

/// A job that called for its guaranteed shape runs whole within the bound.
Violations checkGuaranteedShapes(const Evidence& evidence);
/// No part of a gang runs alone beyond the bound.
Violations checkWholeGangs(const Evidence& evidence);
/// No accelerator serves two gangs at once, and a gang's accelerators are adjacent.
Violations checkAccelerators(const Evidence& evidence);
/// No job runs again after it completed, in two gangs at once, or at all when it was refused.
Violations checkJobsRunOnce(const Evidence& evidence);
Violations checkOwnAnswers(const Evidence& evidence);
Violations checkTruthfulRefusals(const Evidence& evidence);
/// Also: callers of the same not repeatable work are answered alike.
Violations checkAtMostOnce(const Evidence& evidence);
Violations checkLeavingUpstreams(const Evidence& evidence);
Violations checkGracefulStops(const Evidence& evidence);
Violations checkManifests(const Evidence& evidence);
/// The key-value service refused no call for its rate.
Violations checkPlatformCalls(const Evidence& evidence);

} // namespace jujubereach::scenarios
