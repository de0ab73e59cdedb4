// Splits a manifest into sections and puts it together again.
#include "jujubereach/manifest/sections.h"

#include "json-writer.h"
#include "order.h"
#include "reader.h"

#include "jujubereach/base/random.h"

#include <Poco/SHA2Engine.h>

#include <array>
#include <utility>

namespace jujubereach::manifest {

namespace {

    constexpr std::size_t contentNameDigits = 32;
    const SectionName limitsSection("limits");
    const SectionName classesSection("classes");
    const SectionName zonesSection("zones");

    SectionName domainSection(const Zone& zone, const Domain& domain)
    {
        return SectionName("domain/" + zone.id.str() + "/" + domain.id.str());
    }

    SectionName workspaceSection(const Workspace& workspace)
    {
        auto group = stableHash(workspace.id.str()) % workspaceGroups;
        return SectionName("workspaces/" + std::to_string(group));
    }

    Poco::JSON::Object regionsWith(const std::vector<Zone>& zones)
    {
        auto json = orderedObject();
        json.set("regions", regionsToJson(zones));
        return json;
    }

    Zone withoutDomains(const Zone& zone)
    {
        return { zone.id, zone.region, {} };
    }

    void addSection(SplitManifest& split, const SectionName& name, const Poco::JSON::Object& json)
    {
        auto content = makeContent(textOf(json));
        split.sections[name] = content.name;
        split.texts[content.name] = std::move(content.text);
    }

    void addZones(SplitManifest& split, const Manifest& manifest)
    {
        std::vector<Zone> zones;
        for (const auto& zone : manifest.zones) {
            zones.push_back(withoutDomains(zone));
            for (const auto& domain : zone.domains) {
                Zone only { zone.id, zone.region, { domain } };
                addSection(split, domainSection(zone, domain), regionsWith({ only }));
            }
        }
        addSection(split, zonesSection, regionsWith(zones));
    }

    void addWorkspaces(SplitManifest& split, const Manifest& manifest)
    {
        std::map<SectionName, Poco::JSON::Array> groups;
        for (const auto& workspace : manifest.workspaces)
            groups[workspaceSection(workspace)].add(workspaceToJson(workspace));
        for (const auto& [name, workspaces] : groups) {
            auto json = orderedObject();
            json.set("workspaces", workspaces);
            addSection(split, name, json);
        }
    }

    void append(Manifest& whole, const Manifest& part)
    {
        whole.classes.insert(whole.classes.end(), part.classes.begin(), part.classes.end());
        whole.workspaces.insert(whole.workspaces.end(), part.workspaces.begin(), part.workspaces.end());
    }

    void appendDomains(std::map<ZoneId, Zone*>& zones, const Manifest& part)
    {
        for (const auto& zone : part.zones) {
            auto found = zones.find(zone.id);
            if (found == zones.end())
                continue;
            auto& domains = found->second->domains;
            domains.insert(domains.end(), zone.domains.begin(), zone.domains.end());
        }
    }

} // namespace

ContentName contentNameOf(const std::string& text)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(text);
    return ContentName(Poco::DigestEngine::digestToHex(engine.digest()).substr(0, contentNameDigits));
}

Content makeContent(std::string text)
{
    auto name = contentNameOf(text);
    return { std::move(name), std::move(text) };
}

std::vector<SectionChange> changesBetween(const SectionMap& before, const SectionMap& after)
{
    std::vector<SectionChange> changes;
    for (const auto& [name, content] : before) {
        if (!after.contains(name))
            changes.push_back({ name, {} });
    }
    for (const auto& [name, content] : after) {
        auto old = before.find(name);
        if (old == before.end() || old->second != content)
            changes.push_back({ name, content });
    }
    return changes;
}

void applyChanges(SectionMap& sections, const std::vector<SectionChange>& changes)
{
    for (const auto& change : changes) {
        if (change.content.empty())
            sections.erase(change.name);
        else
            sections[change.name] = change.content;
    }
}

ContentName nameOfSections(const SectionMap& sections)
{
    std::string text;
    for (const auto& [name, content] : sections)
        text += name.str() + " " + content.str() + "\n";
    return contentNameOf(text);
}

SplitManifest split(const Manifest& manifest)
{
    auto sorted = manifest;
    sortParts(sorted);
    SplitManifest split;
    addZones(split, sorted);
    addWorkspaces(split, sorted);
    auto classes = orderedObject();
    classes.set("classes", classesToJson(sorted.classes));
    addSection(split, classesSection, classes);
    auto limits = orderedObject();
    limits.set("name", sorted.name);
    limits.set("limits", limitsToJson(sorted.limits));
    addSection(split, limitsSection, limits);
    return split;
}

Result<Manifest> readSection(const std::string& text)
{
    std::vector<Fault> faults;
    auto root = readJson(text, faults);
    if (!root)
        return fail({ ErrorCode::InvalidInput, faults.front().what, faults.front().where, {} });
    ManifestReader reader(faults);
    auto manifest = reader.readSection(*root);
    if (!faults.empty())
        return fail({ ErrorCode::InvalidInput, faults.front().what, faults.front().where, {} });
    return manifest;
}

Manifest assemble(const std::map<SectionName, const Manifest*>& parts)
{
    Manifest whole;
    if (auto limits = parts.find(limitsSection); limits != parts.end()) {
        whole.name = limits->second->name;
        whole.limits = limits->second->limits;
    }
    if (auto zones = parts.find(zonesSection); zones != parts.end())
        whole.zones = zones->second->zones;
    std::map<ZoneId, Zone*> zonesById;
    for (auto& zone : whole.zones)
        zonesById[zone.id] = &zone;
    for (const auto& [name, part] : parts) {
        append(whole, *part);
        if (name != zonesSection)
            appendDomains(zonesById, *part);
    }
    sortParts(whole);
    return whole;
}

std::vector<Fault> check(const Manifest& manifest)
{
    return parse(toJson(manifest)).faults;
}

} // namespace jujubereach::manifest
