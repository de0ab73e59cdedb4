// Takes in roots and sections, and puts the highest complete root into force.
#include "jujubereach/manifest/holder.h"

#include <algorithm>

namespace jujubereach::manifest {

namespace {

    constexpr std::size_t pushedSteps = 4;

} // namespace

ManifestHolder::ManifestHolder(HolderSettings settings, TimePoint now)
    : m_settings(settings)
    , m_startedAt(now)
{
}

void ManifestHolder::onPeerCounter(const HostId& peer, std::uint64_t counter, TimePoint now)
{
    auto& known = m_peers[peer];
    known = std::max(known, counter);
    if (counter > m_root.counter) {
        m_latestTeller = peer;
        if (!m_higherSince)
            m_higherSince = now;
    }
}

void ManifestHolder::onPeerReply(const HostId& peer, const ManifestReply& reply, TimePoint now)
{
    if (reply.root) {
        onPeerCounter(peer, reply.root->counter, now);
        offerRoot(*reply.root, peer);
    }
    if (!reply.sections.empty())
        offerSections(reply.sections);
    for (const auto& content : reply.contents)
        offerContent(content);
    if (m_open && m_open->peer == peer)
        m_open.reset();
    advance();
}

bool ManifestHolder::peerHas(const HostId& peer, std::uint64_t counter) const
{
    auto known = m_peers.find(peer);
    return known != m_peers.end() && known->second >= counter;
}

void ManifestHolder::onServiceRoot(const std::optional<Root>& root, TimePoint now)
{
    m_rootReadAt = now;
    m_serviceRank = root ? root->rank() : RootRank {};
    if (root)
        offerRoot(*root, std::nullopt);
    onServiceReply();
    m_serviceConfirmed = m_serviceConfirmed || (m_manifest && m_root.rank() >= *m_serviceRank);
}

bool ManifestHolder::watchDue(TimePoint now) const
{
    return !m_rootReadAt || now - *m_rootReadAt >= m_settings.watchInterval;
}

void ManifestHolder::onServiceIndex(const Index& index, TimePoint)
{
    offerSections(index.sections);
    onServiceReply();
}

void ManifestHolder::onServiceContents(const std::vector<Content>& contents, TimePoint)
{
    for (const auto& content : contents)
        offerContent(content);
    onServiceReply();
}

void ManifestHolder::onServiceReply()
{
    if (m_open && !m_open->peer)
        m_open.reset();
    advance();
}

void ManifestHolder::offerRoot(const Root& root, const std::optional<HostId>& from)
{
    auto rank = root.rank();
    bool isRejected = m_rejected && rank <= *m_rejected;
    if (root.counter == 0 || rank <= m_root.rank() || isRejected)
        return;
    if (m_target && rank <= m_target->root.rank())
        return;
    m_target = Target { root, std::nullopt, from };
    m_attempt = 0;
}

// Whoever sent the map, only the one that the root names is taken.
void ManifestHolder::offerSections(const SectionMap& sections)
{
    if (!m_target || m_target->sections || nameOfSections(sections) != m_target->root.sections)
        return;
    m_target->sections = sections;
    m_attempt = 0;
}

void ManifestHolder::offerContent(const Content& content)
{
    if (m_parts.contains(content.name) || contentNameOf(content.text) != content.name)
        return;
    auto part = outcomeOf([&] { return readSection(content.text); });
    if (part) {
        m_parts[content.name] = { content.text, std::move(*part.value) };
        m_offered.push_back(content.name);
        m_attempt = 0;
    } else if (m_target) {
        m_rejected = m_target->root.rank();
        m_target.reset();
    }
}

void ManifestHolder::advance()
{
    if (!m_target)
        return;
    auto& target = *m_target;
    bool isListed = target.root.base > 0 && target.root.base <= m_root.counter;
    if (!target.sections && isListed) {
        auto sections = m_sections;
        applyChanges(sections, target.root.changes);
        offerSections(sections);
    }
    if (target.sections && missing().empty())
        enforce();
}

void ManifestHolder::enforce()
{
    auto before = std::exchange(m_sections, std::move(*m_target->sections));
    auto previous = m_root.counter;
    m_root = m_target->root;
    m_target.reset();
    std::map<SectionName, const Manifest*> parts;
    for (const auto& [name, content] : m_sections)
        parts[name] = &m_parts.at(content).manifest;
    m_manifest = std::make_shared<const Manifest>(assemble(parts));
    remember(previous, before);
    dropUnusedParts();
    m_higherSince.reset();
    m_attempt = 0;
    m_serviceConfirmed = m_serviceConfirmed || (m_serviceRank && m_root.rank() >= *m_serviceRank);
    m_update = ManifestUpdate { m_root, m_manifest, pushToAll() };
}

void ManifestHolder::remember(std::uint64_t counter, const SectionMap& before)
{
    if (before.empty())
        return;
    HistoryStep step;
    step.before = counter;
    for (const auto& change : changesBetween(before, m_sections)) {
        step.changed.push_back(change.name);
        if (auto old = before.find(change.name); old != before.end())
            step.replaced.push_back(old->second);
    }
    m_history.push_back(std::move(step));
}

// Forgets the oldest step with the texts that it kept, and texts of roots that never came into force.
void ManifestHolder::dropUnusedParts()
{
    auto candidates = std::exchange(m_offered, {});
    if (m_history.size() > m_settings.rememberedSteps) {
        const auto& replaced = m_history.front().replaced;
        candidates.insert(candidates.end(), replaced.begin(), replaced.end());
        m_history.pop_front();
    }
    for (const auto& content : candidates) {
        if (!isUsed(content))
            m_parts.erase(content);
    }
}

bool ManifestHolder::isUsed(const ContentName& content) const
{
    auto isContent = [&](const auto& item) { return item.second == content; };
    auto keepsContent = [&](const HistoryStep& step) {
        return std::find(step.replaced.begin(), step.replaced.end(), content) != step.replaced.end();
    };
    return std::any_of(m_sections.begin(), m_sections.end(), isContent)
        || std::any_of(m_history.begin(), m_history.end(), keepsContent);
}

// From the latest step that begins at the counter or before it: the receiver may have had manifests in force
// that this host skipped.
std::optional<ManifestHolder::ChangeList> ManifestHolder::changesSince(std::uint64_t counter) const
{
    auto after = std::find_if(
        m_history.begin(), m_history.end(), [&](const HistoryStep& other) { return other.before > counter; });
    if (after == m_history.begin())
        return std::nullopt;
    auto step = std::prev(after);
    ChangeList list { step->before, {} };
    std::set<SectionName> names;
    for (; step != m_history.end(); ++step)
        names.insert(step->changed.begin(), step->changed.end());
    list.changes.reserve(names.size());
    for (const auto& name : names) {
        auto section = m_sections.find(name);
        list.changes.push_back({ name, section == m_sections.end() ? ContentName {} : section->second, 0 });
    }
    return list;
}

std::vector<ContentName> ManifestHolder::missing() const
{
    std::vector<ContentName> names;
    for (const auto& [name, content] : *m_target->sections) {
        if (!m_parts.contains(content))
            names.push_back(content);
    }
    return names;
}

std::vector<HostId> ManifestHolder::sources(std::uint64_t counter) const
{
    std::vector<HostId> peers;
    for (const auto& [peer, known] : m_peers) {
        if (known >= counter)
            peers.push_back(peer);
    }
    auto preferred = m_target && m_target->from ? m_target->from : m_latestTeller;
    auto found = preferred ? std::find(peers.begin(), peers.end(), *preferred) : peers.end();
    if (found != peers.end())
        std::rotate(peers.begin(), found, peers.end());
    return peers;
}

bool ManifestHolder::isBehindPeers(TimePoint now) const
{
    if (!m_higherSince || now - *m_higherSince < m_settings.patience)
        return false;
    auto known = std::max(m_root.counter, m_rejected ? m_rejected->counter : 0);
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& item) { return item.second > known; });
}

// Peers first, so that the service is read by few; the service first when it named the target itself.
std::optional<HostId> ManifestHolder::nextSource()
{
    auto attempt = m_attempt++;
    auto peers = sources(m_target ? m_target->root.counter : m_root.counter + 1);
    if (m_target && !m_target->from) {
        if (attempt == 0)
            return std::nullopt;
        --attempt;
    }
    auto turn = attempt % (m_settings.peersBeforeService + 1);
    if (peers.empty() || turn == m_settings.peersBeforeService)
        return std::nullopt;
    return peers[attempt % peers.size()];
}

std::optional<ManifestFetch> ManifestHolder::tick(TimePoint now)
{
    bool isWaiting = m_open && now - m_open->sentAt < m_settings.fetchTimeout;
    if (isWaiting || (!m_target && !isBehindPeers(now)))
        return std::nullopt;
    ManifestFetch fetch;
    fetch.peer = nextSource();
    fetch.request = nextRequest();
    if (fetch.request.sections)
        fetch.index = m_target->root.index;
    m_open = OpenFetch { fetch.peer, now };
    return fetch;
}

ManifestRequest ManifestHolder::nextRequest() const
{
    ManifestRequest request;
    request.have = m_root.counter;
    if (!m_target)
        request.root = true;
    else if (!m_target->sections)
        request.sections = true;
    else {
        request.contents = missing();
        if (request.contents.size() > m_settings.contentsPerFetch)
            request.contents.resize(m_settings.contentsPerFetch);
    }
    return request;
}

std::optional<ManifestUpdate> ManifestHolder::takeUpdate()
{
    return std::exchange(m_update, std::nullopt);
}

ManifestReply ManifestHolder::answer(const ManifestRequest& request) const
{
    ManifestReply reply;
    if (request.root)
        reply = pushFor(request.have);
    if (request.sections)
        reply.sections = m_sections;
    for (const auto& name : request.contents) {
        if (auto part = m_parts.find(name); part != m_parts.end())
            reply.contents.push_back({ name, part->second.text });
    }
    return reply;
}

// The root with its changes told from a counter that the receiver has, where that is known.
ManifestReply ManifestHolder::pushFor(std::uint64_t have) const
{
    ManifestReply push;
    push.root = m_root;
    if (auto list = changesSince(have); list && list->changes.size() <= maxPeerChanges) {
        push.root->base = list->base;
        push.root->changes = std::move(list->changes);
    }
    std::size_t bytes = 0;
    for (const auto& change : push.root->changes) {
        auto part = m_parts.find(change.content);
        if (part == m_parts.end())
            continue;
        bytes += part->second.text.size();
        push.contents.push_back({ change.content, part->second.text });
    }
    if (bytes > m_settings.maxPushedBytes)
        push.contents.clear();
    return push;
}

// Pushes overtake each other, so the changes are told from a few steps back; texts only of the last step.
ManifestReply ManifestHolder::pushToAll() const
{
    if (m_history.empty())
        return pushFor(0);
    auto first = m_history.size() - std::min(m_history.size(), pushedSteps);
    auto push = pushFor(m_history[first].before);
    std::erase_if(push.contents, [&](const Content& content) {
        return std::none_of(
            m_history.back().changed.begin(), m_history.back().changed.end(), [&](const SectionName& name) {
                auto section = m_sections.find(name);
                return section != m_sections.end() && section->second == content.name;
            });
    });
    return push;
}

bool ManifestHolder::ready(TimePoint now) const
{
    return m_manifest && (m_serviceConfirmed || now - m_startedAt >= m_settings.startWindow);
}

std::uint64_t ManifestHolder::highestSeen() const
{
    auto highest = std::max(m_root.counter, m_target ? m_target->root.counter : 0);
    for (const auto& [peer, counter] : m_peers)
        highest = std::max(highest, counter);
    return highest;
}

std::map<ContentName, std::string> ManifestHolder::texts() const
{
    std::map<ContentName, std::string> texts;
    for (const auto& [name, content] : m_sections)
        texts[content] = m_parts.at(content).text;
    return texts;
}

} // namespace jujubereach::manifest
