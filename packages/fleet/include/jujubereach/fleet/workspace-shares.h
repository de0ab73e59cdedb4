// Fair shares of scarce capacity: which workspace gets the next free capacity while several wait for it.
// Works on plain data.
#pragma once

#include "jujubereach/fleet/fleet-config.h"

namespace jujubereach::fleet {

/// What a workspace uses of a service, and what it waits for.
struct WorkspaceDemand {
    WorkspaceId workspace;
    double weight = 1;
    double use = 0; ///< Largest share of the service's processors, memory or accelerators.
    double waiting = 0; ///< The same for its tasks that wait.
    int waitingTasks = 0;
    TimePoint waitingSince; ///< Earliest of its waiting steps; unset if none waits.
};

struct WorkspaceShare {
    double share = 0; ///< Fair share of what all workspaces use.
    double use = 0; ///< Mean use, with exponential decay.
    double factor = 1; ///< For the ranks of its waiting steps.
};

/// The workspaces of one service.
class WorkspaceShares {
public:
    /// Adds the use since the last call and computes the factors. `demands` has one row for each workspace
    /// that uses or requests anything.
    void update(TimePoint now, const std::vector<WorkspaceDemand>& demands);
    /// Whether workspaces wait for each other; otherwise all factors are 1.
    bool competes() const { return m_competes; }
    WorkspaceShare of(const WorkspaceId& workspace) const;
    std::size_t size() const { return m_workspaces.size(); }

private:
    struct Account {
        double use = 0; ///< Mean, with decay.
        double share = 0;
        double factor = 1;
        TimePoint activeAt; ///< When it last used or requested anything.
    };
    void addUse(Account& account, double use, double passedMs);
    void expire(TimePoint now, double passedMs);

    std::map<WorkspaceId, Account> m_workspaces; ///< Without those that have been inactive for a minute.
    TimePoint m_updatedAt;
    bool m_competes = false;
};

/// Divides `total` by weight. What a workspace does not request goes to the others; a workspace that requests
/// less than its part is still entitled to it. Returns the parts in the order of the demands.
std::vector<double> fairShares(double total, const std::vector<WorkspaceDemand>& demands);

} // namespace jujubereach::fleet
