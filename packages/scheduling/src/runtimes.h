// Learns how far declared run times are off, as a ratio per workspace and kind.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace jujubereach::scheduling {

class RunTimes {
public:
    /// Takes the whole run time of a completed job. True when predictions of the kind have changed much
    /// since it was last true.
    bool learn(const WorkspaceId& workspace, const std::string& kind, Duration declared, Duration actual);

    /// Declared time times the ratio learned for the kind, else for the workspace, else 1.
    Duration predict(const WorkspaceId& workspace, const std::string& kind, Duration declared) const;

private:
    struct Ratio {
        double logMean = 0; ///< Geometric mean: a ratio is off by factors.
        std::uint32_t samples = 0;
        double lastReported = 0; ///< Value of logMean when learn() last was true.

        void add(double logRatio);
    };

    std::map<std::pair<WorkspaceId, std::string>, Ratio> m_kinds; ///< At most maxKinds.
    std::map<WorkspaceId, Ratio> m_workspaces;
};

} // namespace jujubereach::scheduling
