// The manifest that a host has in force, and how it gets the next one from its peers and the service.
#pragma once

#include "jujubereach/base/time.h"
#include "jujubereach/manifest/root.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubereach::manifest {

struct HolderSettings {
    Duration fetchTimeout { 300 }; ///< After which the next source is asked.
    Duration patience {
        150
    }; ///< From hearing of a higher counter to asking for it; a push may be on its way.
    Duration startWindow { 1500 }; ///< Time after the start for which the service's own root is awaited.
    std::size_t peersBeforeService = 2;
    std::size_t maxPushedBytes = 8192; ///< Of section texts sent along with a root unasked.
    std::size_t contentsPerFetch = 64;
    std::size_t rememberedSteps = 16; ///< Of the past, from which peers that are behind are told the changes.
    Duration watchInterval {
        300
    }; ///< Least time between two reads of the root: changes in a burst are joined.
};

/// What one host asks another.
struct ManifestRequest {
    bool root = false;
    bool sections = false; ///< The whole section map.
    std::uint64_t have = 0; ///< Counter in force at the asker; the root's changes are told from there.
    std::vector<ContentName> contents;
};

/// Answers a request, or tells a peer of a new root unasked.
struct ManifestReply {
    std::optional<Root> root;
    SectionMap sections; ///< Empty when not asked for.
    std::vector<Content> contents;
};

/// A request to be sent now. To the service it means reading the root key, the index value and the contents.
struct ManifestFetch {
    std::optional<HostId> peer; ///< Empty for the service.
    ManifestRequest request;
    ContentName index; ///< To be read from the service when `request.sections` is set.
};

/// A manifest that has just come into force.
struct ManifestUpdate {
    Root root;
    std::shared_ptr<const Manifest> manifest;
    ManifestReply push; ///< To be sent to the peers that this host relays to.
};

/// Holds the highest root ever seen by this process and never goes back: neither on the word of a stale peer
/// nor when the service has lost writes.
class ManifestHolder {
public:
    ManifestHolder(HolderSettings settings, TimePoint now);

    /// A peer has this counter in force, as every message between hosts says.
    void onPeerCounter(const HostId& peer, std::uint64_t counter, TimePoint now);
    void onPeerReply(const HostId& peer, const ManifestReply& reply, TimePoint now);
    ManifestReply answer(const ManifestRequest& request) const;
    void forgetPeer(const HostId& peer) { m_peers.erase(peer); }
    /// Whether the peer has this counter or a higher one, so that it need not be told.
    bool peerHas(const HostId& peer, std::uint64_t counter) const;

    /// The value of the root key as read or watched; empty when the service has none.
    void onServiceRoot(const std::optional<Root>& root, TimePoint now);
    /// Whether a delegate may watch or read the root again.
    bool watchDue(TimePoint now) const;
    void onServiceIndex(const Index& index, TimePoint now);
    /// The contents of one fetch, all that were found.
    void onServiceContents(const std::vector<Content>& contents, TimePoint now);

    /// Call every 50 to 100 ms, and after any of the above to go on at once.
    std::optional<ManifestFetch> tick(TimePoint now);
    /// The manifest that came into force since the last call.
    std::optional<ManifestUpdate> takeUpdate();

    /// Whether the host may serve: a manifest is in force, and it is the service's or the service did not
    /// answer within the start window.
    bool ready(TimePoint now) const;
    std::uint64_t counter() const { return m_root.counter; }
    const Root& root() const { return m_root; }
    const SectionMap& sections() const { return m_sections; }
    std::shared_ptr<const Manifest> manifest() const { return m_manifest; }
    /// Highest counter that this process knows to exist; an apply must go above it.
    std::uint64_t highestSeen() const;
    /// Texts of all sections in force.
    std::map<ContentName, std::string> texts() const;

private:
    struct Part {
        std::string text;
        Manifest manifest;
    };
    /// From one manifest in force to the next.
    struct HistoryStep {
        std::uint64_t before = 0; ///< Counter.
        std::vector<SectionName> changed;
        std::vector<ContentName> replaced;
    };
    struct ChangeList {
        std::uint64_t base = 0;
        std::vector<SectionChange> changes;
    };
    struct Target {
        Root root;
        std::optional<SectionMap> sections;
        std::optional<HostId> from; ///< Empty when the service named it.
    };

    struct OpenFetch {
        std::optional<HostId> peer;
        TimePoint sentAt;
    };

    void onServiceReply();
    void offerRoot(const Root& root, const std::optional<HostId>& from);
    void offerSections(const SectionMap& sections);
    void offerContent(const Content& content);
    void advance();
    void enforce();
    void remember(std::uint64_t counter, const SectionMap& before);
    void dropUnusedParts();
    bool isUsed(const ContentName& content) const;
    std::optional<ChangeList> changesSince(std::uint64_t counter) const;
    std::vector<ContentName> missing() const;
    std::vector<HostId> sources(std::uint64_t counter) const;
    bool isBehindPeers(TimePoint now) const;
    ManifestRequest nextRequest() const;
    std::optional<HostId> nextSource();
    ManifestReply pushFor(std::uint64_t have) const;
    ManifestReply pushToAll() const;

    HolderSettings m_settings;
    TimePoint m_startedAt;
    Root m_root; ///< In force. Invariant: its rank never falls.
    SectionMap m_sections; ///< Of the root in force.
    std::shared_ptr<const Manifest> m_manifest;
    std::optional<Target> m_target; ///< Ranks above the root in force.
    std::optional<RootRank>
        m_rejected; ///< A root whose sections cannot be read; only a higher one replaces it.
    std::map<ContentName, Part> m_parts; ///< Sections in force, of the target, and some replaced ones.
    std::vector<ContentName> m_offered; ///< Parts that came since the last change of m_sections.
    std::deque<HistoryStep> m_history; ///< Latest last; each begins where the one before ended.
    std::map<HostId, std::uint64_t> m_peers; ///< Highest counter that each peer has shown.
    std::optional<HostId> m_latestTeller; ///< Peer that last showed the highest counter.
    std::optional<TimePoint> m_higherSince; ///< Since when a peer is known to be ahead.
    std::optional<OpenFetch> m_open;
    std::size_t m_attempt = 0; ///< Fetches since the last progress.
    std::optional<TimePoint> m_rootReadAt;
    bool m_serviceConfirmed = false; ///< The service's root was in force at one time.
    std::optional<RootRank> m_serviceRank; ///< Of the root that the service named last.
    std::optional<ManifestUpdate> m_update;
};

} // namespace jujubereach::manifest
