// Manifests and a stand-in of the key-value service for tests.
#pragma once

#include "jujubereach/manifest/apply.h"

#include <map>
#include <string>

namespace jujubereach::manifest {

/// One zone with two racks of 8 x 8 accelerators and `workspaces` workspaces w0.. of weight 1.
inline Manifest smallManifest(int workspaces = 4)
{
    Manifest manifest;
    manifest.name = "small";
    Domain domain { DomainId("d1"), { { RackId("r1"), 8, 8 }, { RackId("r2"), 8, 8 } } };
    manifest.zones = { { ZoneId("z1"), RegionId("region"), { domain } } };
    manifest.classes = { { ClassId("urgent"), 0, true, 0.5 }, { ClassId("bulk"), 1, false, 0.1 } };
    for (int i = 0; i < workspaces; ++i) {
        Shape shape { ShapeId("s"), ZoneId("z1"), 8, 1 };
        manifest.workspaces.push_back({ WorkspaceId("w" + std::to_string(i)), 1, 64, { shape } });
    }
    return manifest;
}

/// Keys, values and revisions, with the calls made one at a time.
class FakeStore {
public:
    StoreReply call(const StoreCall& call)
    {
        auto entry = m_entries.find(call.key);
        bool isThere = entry != m_entries.end();
        if (call.kind == StoreCall::Kind::Get) {
            if (!isThere)
                return { StoreStatus::NotFound, {}, {} };
            return { StoreStatus::Ok, entry->second.value, entry->second.revision };
        }
        if ((isThere ? entry->second.revision : Revision {}) != call.expected)
            return { StoreStatus::Conflict, {}, {} };
        if (call.kind == StoreCall::Kind::Remove) {
            m_entries.erase(entry);
            return { StoreStatus::Ok, {}, {} };
        }
        m_entries[call.key] = { call.value, Revision { ++m_revision } };
        if (call.key == rootKey)
            m_roots.push_back(call.value);
        return { StoreStatus::Ok, {}, Revision { m_revision } };
    }

    const std::string* value(const std::string& key) const
    {
        auto entry = m_entries.find(key);
        return entry == m_entries.end() ? nullptr : &entry->second.value;
    }
    std::size_t size() const { return m_entries.size(); }
    /// Every value that the root key ever had.
    const std::vector<std::string>& roots() const { return m_roots; }

private:
    struct Entry {
        std::string value;
        Revision revision;
    };
    std::map<std::string, Entry> m_entries;
    std::uint64_t m_revision = 0;
    std::vector<std::string> m_roots;
};

inline ApplyRequest requestFor(const Manifest& wanted, const std::string& operation)
{
    ApplyRequest request;
    request.wanted = wanted;
    request.operation = OperationId(operation);
    request.operatorName = OperatorName("operator-" + operation);
    return request;
}

inline ApplyResult applyAll(FakeStore& store, const ApplyRequest& request)
{
    ApplySession session(request, 1);
    while (auto call = session.next())
        session.onReply(store.call(*call));
    return session.result();
}

inline Root rootOf(const FakeStore& store)
{
    const auto* value = store.value(rootKey);
    return value ? *outcomeOf([&] { return decodeRoot(*value); }).value : Root {};
}

inline Index indexOf(const FakeStore& store)
{
    auto root = rootOf(store);
    return *outcomeOf([&] { return decodeIndex(*store.value(contentKey(root.index))); }).value;
}

} // namespace jujubereach::manifest
