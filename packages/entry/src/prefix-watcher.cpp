#include "host-impl.h"

#include <algorithm>

namespace jujubereach::entry {

namespace {

    constexpr Duration watchWait { 1500 }; // Bounds how long a dead connection goes unnoticed.
    constexpr Duration answerSlack { 1500 }; // Lets a store 100 times slower than usual answer.
    constexpr Duration readTimeout { 2000 };
    constexpr Duration firstRetry { 100 };
    constexpr int maxRetryDoublings = 3;
    constexpr std::size_t largeBatchEvents
        = 200; // In one answer; pausing after so many would only make the next answer larger.

} // namespace

PrefixWatcher::PrefixWatcher(const HostHooks& host, std::string prefix, Duration pause, Hooks hooks)
    : m_host(host)
    , m_prefix(std::move(prefix))
    , m_watchPause(pause)
    , m_hooks(std::move(hooks))
{
}

void PrefixWatcher::retry(void (PrefixWatcher::*step)())
{
    const auto delay = firstRetry * (1 << std::min(m_failures++, maxRetryDoublings));
    m_host.after(delay, [self = shared_from_this(), step] {
        if (!self->m_stopped)
            (*self.*step)();
    });
}

void PrefixWatcher::readAll()
{
    m_items.clear();
    m_firstPage = true;
    readPage({});
}

void PrefixWatcher::readPage(const std::string& after)
{
    const auto sentAt = m_host.clock();
    m_host.store.range(m_prefix, after, readTimeout, [self = shared_from_this(), sentAt](StoreAnswer answer) {
        if (self->m_stopped)
            return;
        if (answer.fate != StoreFate::Done)
            return self->retry(&PrefixWatcher::readAll);
        self->m_failures = 0;
        if (std::exchange(self->m_firstPage, false))
            self->m_listRevision = answer.at; // Pages are not one snapshot: watch from the first one on.
        std::move(answer.items.begin(), answer.items.end(), std::back_inserter(self->m_items));
        if (answer.more && !self->m_items.empty())
            return self->readPage(self->m_items.back().key);
        self->m_hooks.listed(std::exchange(self->m_items, {}));
        self->m_watchRevision = self->m_listRevision;
        self->m_hooks.confirmed(sentAt, self->m_watchRevision);
        self->watch();
    });
}

void PrefixWatcher::watch()
{
    if (m_stopped)
        return;
    const auto sentAt = m_host.clock();
    m_host.store.watch(m_prefix, m_watchRevision, watchWait, watchWait + answerSlack,
        [self = shared_from_this(), sentAt](const StoreAnswer& answer) {
            if (self->m_stopped)
                return;
            if (answer.fate == StoreFate::HistoryGone)
                return self->readAll();
            if (answer.fate != StoreFate::Done)
                return self->retry(&PrefixWatcher::watch);
            self->m_failures = 0;
            for (const auto& event : answer.events) {
                if (self->m_stopped)
                    return;
                event.deleted ? self->m_hooks.removed(event.item.key) : self->m_hooks.written(event.item);
            }
            self->m_watchRevision = std::max(self->m_watchRevision, answer.at);
            self->m_hooks.confirmed(sentAt, self->m_watchRevision);
            if (self->m_watchPause.count() == 0 || answer.events.empty()
                || answer.events.size() >= largeBatchEvents)
                return self->watch();
            self->m_host.after(self->m_watchPause, [self] { self->watch(); });
        });
}

} // namespace jujubereach::entry
