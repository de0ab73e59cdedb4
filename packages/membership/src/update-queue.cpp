// Updates that ride on other messages.
#include "update-queue.h"

#include <algorithm>

namespace jujubereach::membership {

namespace {

    constexpr Duration updateLifetime { 5000 };

} // namespace

void UpdateQueue::add(const MemberUpdate& update, TimePoint now)
{
    std::erase_if(m_items, [&](const Item& item) { return item.update.id == update.id; });
    m_items.push_back({ update, m_sendsPerUpdate, now + updateLifetime });
}

std::vector<MemberUpdate> UpdateQueue::take(std::size_t count, TimePoint now)
{
    std::erase_if(m_items, [&](const Item& item) { return item.expiresAt <= now; });
    std::stable_sort(m_items.begin(), m_items.end(),
        [](const Item& a, const Item& b) { return a.sendsLeft > b.sendsLeft; });
    std::vector<MemberUpdate> updates;
    for (std::size_t i = 0; i < std::min(count, m_items.size()); ++i) {
        updates.push_back(m_items[i].update);
        --m_items[i].sendsLeft;
    }
    std::erase_if(m_items, [](const Item& item) { return item.sendsLeft == 0; });
    return updates;
}

} // namespace jujubereach::membership
