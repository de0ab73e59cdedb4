// Updates that ride on other messages for a short while, against lost announcements.
#pragma once

#include "jujubereach/base/time.h"
#include "jujubereach/membership/message.h"

#include <cstddef>
#include <vector>

namespace jujubereach::membership {

class UpdateQueue {
public:
    explicit UpdateQueue(std::size_t sendsPerUpdate)
        : m_sendsPerUpdate(sendsPerUpdate)
    {
    }

    /// Replaces an older update of the same host.
    void add(const MemberUpdate& update, TimePoint now);
    /// Up to `count` updates, those sent least first; each is handed out a fixed number of times at most.
    std::vector<MemberUpdate> take(std::size_t count, TimePoint now);

private:
    struct Item {
        MemberUpdate update;
        std::size_t sendsLeft = 0;
        TimePoint expiresAt; ///< An old claim of death must not meet its host after a partition has healed.
    };

    std::size_t m_sendsPerUpdate;
    std::vector<Item> m_items;
};

} // namespace jujubereach::membership
