// Checks of the manifest and of the calls to the key-value service; and all checks together.
#include "observer.h"

#include <algorithm>
#include <map>

namespace jujubereach::scenarios {

namespace {

    using RevisionOfDocument = std::map<std::string, Revision>;

    RevisionOfDocument acceptedDocuments(const Evidence& evidence)
    {
        RevisionOfDocument revisions;
        for (const auto& change : evidence.manifestChanges) {
            if (change.revision.value > 0)
                revisions[change.document] = change.revision;
        }
        return revisions;
    }

    // The latest revision that has to be in force on a host at `time`.
    Revision dueAt(const Evidence& evidence, const HostId& host, WallTime time)
    {
        auto since = time.milliseconds - evidence.bounds.manifestInForce.count();
        for (const auto& disturbance : evidence.disturbances) {
            const bool isOver = disturbance.to.milliseconds <= since;
            if (disturbance.host == host && disturbance.from <= time && !isOver)
                since = std::min(
                    since, disturbance.from.milliseconds - evidence.bounds.manifestInForce.count());
        }
        Revision due;
        for (const auto& change : evidence.manifestChanges) {
            if (change.revision > due && change.answeredAt.milliseconds <= since)
                due = change.revision;
        }
        return due;
    }

    bool isKnown(const Evidence& evidence, const std::string& document)
    {
        return std::any_of(evidence.manifestChanges.begin(), evidence.manifestChanges.end(),
            [&](const ManifestChange& change) {
                return change.document == document
                    && (change.revision.value > 0 || change.ran == Ran::Unknown);
            });
    }

    std::string readText(const ManifestRead& read)
    {
        return "host " + read.host.str() + " showed manifest '" + read.document + "'";
    }

} // namespace

Violations checkManifests(const Evidence& evidence)
{
    Violations violations;
    const auto revisions = acceptedDocuments(evidence);
    std::map<HostId, Revision> seen;
    for (const auto& read : evidence.manifestReads) {
        auto found = revisions.find(read.document);
        if (found == revisions.end()) {
            if (!isKnown(evidence, read.document))
                violations.push_back(
                    { Invariant::ManifestInForce, readText(read) + ", which was not accepted" });
            continue;
        }
        if (found->second < seen[read.host])
            violations.push_back({ Invariant::ManifestInForce, readText(read) + " after a later one" });
        seen[read.host] = std::max(seen[read.host], found->second);
        if (found->second < dueAt(evidence, read.host, read.at))
            violations.push_back({ Invariant::ManifestInForce,
                readText(read) + " although a later one had been accepted more than "
                    + std::to_string(evidence.bounds.manifestInForce.count()) + " ms before" });
    }
    return violations;
}

Violations checkPlatformCalls(const Evidence& evidence)
{
    std::uint32_t refused = 0;
    for (const auto& count : evidence.platformCalls)
        refused += count.refused;
    if (refused == 0)
        return {};
    return { { Invariant::Other,
        "the key-value service refused " + std::to_string(refused) + " calls for their rate" } };
}

Violations observe(const Evidence& evidence)
{
    Violations violations;
    for (auto* check : { checkGuaranteedShapes, checkWholeGangs, checkAccelerators, checkJobsRunOnce,
             checkOwnAnswers, checkTruthfulRefusals, checkAtMostOnce, checkLeavingUpstreams,
             checkGracefulStops, checkManifests, checkPlatformCalls }) {
        auto found = check(evidence);
        violations.insert(violations.end(), found.begin(), found.end());
    }
    return violations;
}

} // namespace jujubereach::scenarios
