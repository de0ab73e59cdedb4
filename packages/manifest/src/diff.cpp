// Differences between manifests, by part and field.
#include "jujubereach/manifest/diff.h"

#include "json-names.h"

namespace jujubereach::manifest {

namespace {

    using FieldMap = std::map<std::string, std::string>;
    using Parts = std::map<std::string, FieldMap>;

    std::string racksText(const Domain& domain)
    {
        std::string text;
        for (const auto& rack : domain.racks) {
            text += text.empty() ? "" : ", ";
            text += rack.id.str() + " (" + std::to_string(rack.workers) + " x "
                + std::to_string(rack.acceleratorsPerWorker) + ")";
        }
        return text;
    }

    void addZones(Parts& parts, const Manifest& manifest)
    {
        for (const auto& zone : manifest.zones) {
            parts["zone " + zone.id.str()]["region"] = zone.region.str();
            for (const auto& domain : zone.domains)
                parts["domain " + zone.id.str() + "/" + domain.id.str()]["racks"] = racksText(domain);
        }
    }

    void addClasses(Parts& parts, const Manifest& manifest)
    {
        for (const auto& workClass : manifest.classes) {
            auto& fields = parts["class " + workClass.id.str()];
            fields["rank"] = std::to_string(workClass.rank);
            fields["urgent"] = workClass.urgent ? "true" : "false";
            fields["minimumShare"] = shortNumber(workClass.minimumShare);
        }
    }

    void addWorkspaces(Parts& parts, const Manifest& manifest)
    {
        for (const auto& workspace : manifest.workspaces) {
            auto& fields = parts["workspace " + workspace.id.str()];
            fields["weight"] = shortNumber(workspace.weight);
            fields["quota"] = std::to_string(workspace.quota);
            for (const auto& shape : workspace.shapes) {
                fields["shape " + shape.id.str()] = std::to_string(shape.count) + " x "
                    + std::to_string(shape.accelerators) + " accelerators in " + shape.zone.str();
            }
        }
    }

    Parts partsOf(const Manifest& manifest)
    {
        Parts parts;
        parts["manifest"]["name"] = manifest.name;
        auto& limits = parts["limits"];
        limits["reclaimBoundMs"] = std::to_string(manifest.limits.reclaimBound.count());
        limits["maxGang"] = std::to_string(manifest.limits.maxGang);
        limits["maxBodyBytes"] = std::to_string(manifest.limits.maxBodyBytes);
        addZones(parts, manifest);
        addClasses(parts, manifest);
        addWorkspaces(parts, manifest);
        return parts;
    }

    std::vector<FieldChange> fieldChanges(const FieldMap& before, const FieldMap& after)
    {
        std::vector<FieldChange> changes;
        for (const auto& [field, value] : before) {
            if (!after.contains(field))
                changes.push_back({ field, value, {} });
        }
        for (const auto& [field, value] : after) {
            auto old = before.find(field);
            if (old == before.end())
                changes.push_back({ field, {}, value });
            else if (old->second != value)
                changes.push_back({ field, old->second, value });
        }
        return changes;
    }

    char signOf(ChangeKind kind)
    {
        if (kind == ChangeKind::Changed)
            return '~';
        return kind == ChangeKind::Added ? '+' : '-';
    }

    std::string lineOf(const FieldChange& change)
    {
        auto line = "    " + change.field + ": ";
        if (change.before.empty())
            return line + change.after;
        if (change.after.empty())
            return line + change.before + " (removed)";
        return line + change.before + " -> " + change.after;
    }

} // namespace

std::vector<PartChange> diff(const Manifest& before, const Manifest& after)
{
    auto oldParts = partsOf(before);
    auto newParts = partsOf(after);
    std::map<std::string, PartChange> changes;
    for (const auto& [part, fields] : oldParts) {
        if (!newParts.contains(part))
            changes[part] = { ChangeKind::Removed, part, {} };
    }
    for (const auto& [part, fields] : newParts) {
        auto old = oldParts.find(part);
        auto kind = old == oldParts.end() ? ChangeKind::Added : ChangeKind::Changed;
        auto fieldsChanged = fieldChanges(old == oldParts.end() ? FieldMap {} : old->second, fields);
        if (!fieldsChanged.empty())
            changes[part] = { kind, part, std::move(fieldsChanged) };
    }
    std::vector<PartChange> ordered;
    ordered.reserve(changes.size());
    for (auto& [part, change] : changes)
        ordered.push_back(std::move(change));
    return ordered;
}

std::string diffText(const std::vector<PartChange>& changes)
{
    std::string text;
    for (const auto& change : changes) {
        text += std::string(1, signOf(change.kind)) + " " + change.part + "\n";
        for (const auto& field : change.fields)
            text += lineOf(field) + "\n";
    }
    return text;
}

} // namespace jujubereach::manifest
