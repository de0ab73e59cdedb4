// Learns the ratio of actual to declared run times per workspace and kind.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace jujubereach::scheduling {

class RunTimePredictor {
public:
    /// Adds the total run time of a completed job. Returns true if predictions for the kind have changed
    /// considerably since the last time it returned true.
    bool learn(const WorkspaceId& workspace, const std::string& kind, Duration declared, Duration actual);

    /// Declared run time multiplied by the ratio learned for the kind, else for the workspace, else 1.
    Duration predict(const WorkspaceId& workspace, const std::string& kind, Duration declared) const;

private:
    struct Ratio {
        double logMean = 0; ///< Logarithm of the geometric mean, since declared times are wrong by factors.
        std::uint32_t samples = 0;
        double lastReported = 0; ///< Value of logMean when learn() last returned true.

        void add(double logRatio);
    };

    std::map<std::pair<WorkspaceId, std::string>, Ratio> m_kinds; ///< At most maxKinds.
    std::map<WorkspaceId, Ratio> m_workspaces;
};

} // namespace jujubereach::scheduling
