#include "once-store.h"

#include "committer-driver.h"

#include <glog/logging.h>

namespace jujubereach::daemon {

namespace {

    // A request does not wait longer for its record; the caller is told "not run".
    constexpr Duration createBound { 3000 };

} // namespace

/// One shard: its committer, the changes under way and what the last application made of each.
class OnceStore::Shard {
public:
    Shard(Context& ctx, const std::string& key, const dispatch::OnceLimits& limits);

    void change(const std::string& id, Apply change, bool bounded, OnChange then);
    std::size_t pending() const { return m_changes.size(); }

private:
    struct Change {
        OnceStore::Apply apply;
        OnChange then;
        std::optional<dispatch::OnceChange> last; ///< As of the newest application.
    };

    journal::AppliedRecords applyAll(const std::string& payload, const std::vector<journal::Record>& records);
    void onCompletion(const journal::Completion& completion);
    void giveUp(const std::string& id);

    Context& m_ctx;
    std::map<std::string, Change> m_changes; ///< By record id, until completed.
    std::unique_ptr<CommitterDriver> m_driver;
};

OnceStore::Shard::Shard(Context& ctx, const std::string& key, const dispatch::OnceLimits&)
    : m_ctx(ctx)
{
    journal::CommitterConfig config;
    config.key = key;
    config.writer = ctx.holder();
    config.priority = journal::CallPriority::Claims;
    config.interval = Duration(5);
    config.seed = ctx.random.next();
    auto apply = [this](const std::string& payload, const std::vector<journal::Record>& records) {
        return applyAll(payload, records);
    };
    m_driver = std::make_unique<CommitterDriver>(ctx, std::move(config), std::move(apply),
        [this](const journal::Completion& completion) { onCompletion(completion); });
}

void OnceStore::Shard::change(const std::string& id, Apply apply, bool bounded, OnChange then)
{
    if (m_changes.count(id))
        return;
    m_changes[id] = { std::move(apply), std::move(then), std::nullopt };
    if (!m_driver->add({ id, {} }))
        return giveUp(id);
    if (bounded)
        m_ctx.loop.postAfter(createBound, [this, id] { giveUp(id); });
}

journal::AppliedRecords OnceStore::Shard::applyAll(
    const std::string& payload, const std::vector<journal::Record>& records)
{
    journal::AppliedRecords applied { payload, {} };
    for (const auto& record : records) {
        auto it = m_changes.find(record.id);
        if (it == m_changes.end()) {
            applied.rejections.emplace_back("withdrawn");
            continue;
        }
        auto change = it->second.apply(applied.payload);
        if (change.value)
            applied.payload = *change.value;
        applied.rejections.emplace_back(change.value ? "" : dispatch::nameOf(change.verdict));
        it->second.last = std::move(change);
    }
    return applied;
}

void OnceStore::Shard::onCompletion(const journal::Completion& completion)
{
    auto it = m_changes.find(completion.id);
    if (it == m_changes.end())
        return;
    auto change = std::move(it->second);
    m_changes.erase(it);
    change.then(std::move(change.last));
}

void OnceStore::Shard::giveUp(const std::string& id)
{
    auto it = m_changes.find(id);
    if (it == m_changes.end())
        return;
    m_driver->withdraw(id);
    auto then = std::move(it->second.then);
    m_changes.erase(it);
    then(std::nullopt);
}

OnceStore::OnceStore(Context& ctx)
    : m_ctx(ctx)
{
}

OnceStore::~OnceStore() = default;

OnceStore::Shard& OnceStore::shardOf(const std::string& key)
{
    auto& shard = m_shards[dispatch::onceShard(key, m_limits)];
    if (!shard)
        shard = std::make_unique<Shard>(m_ctx, dispatch::onceShard(key, m_limits), m_limits);
    return *shard;
}

void OnceStore::create(const dispatch::OnceRecord& record, OnChange then)
{
    auto apply = [record, limits = m_limits, wall = m_ctx.wallClock](const std::string& value) {
        return dispatch::createOnce(value, record, wall(), limits);
    };
    shardOf(record.key).change("create/" + record.request.str(), std::move(apply), true, std::move(then));
}

void OnceStore::complete(const dispatch::OnceRecord& outcome)
{
    auto apply = [outcome, limits = m_limits](
                     const std::string& value) { return dispatch::completeOnce(value, outcome, limits); };
    auto id = std::string("complete/") + dispatch::nameOf(outcome.state) + "/" + outcome.request.str();
    shardOf(outcome.key)
        .change(id, std::move(apply), false, [](const std::optional<dispatch::OnceChange>& change) {
            if (!change)
                LOG(WARNING) << "once: an outcome was not recorded, too many wait";
        });
}

void OnceStore::abandon(const std::string& key, const RequestId& request, OnChange then)
{
    auto apply
        = [key, request](const std::string& value) { return dispatch::abandonOnce(value, key, request); };
    shardOf(key).change("abandon/" + request.str(), std::move(apply), true, std::move(then));
}

std::size_t OnceStore::pending() const
{
    std::size_t count = 0;
    for (const auto& [key, shard] : m_shards)
        count += shard->pending();
    return count;
}

} // namespace jujubereach::daemon
