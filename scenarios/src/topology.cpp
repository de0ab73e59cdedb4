// Which machines a scenario starts, and the manifest that describes them.
#include "topology.h"
#include "check.h"

#include "fields.h"

#include <Poco/JSON/Array.h>

#include <algorithm>

namespace jujubereach::scenarios {

namespace {

    using platform::JsonObject;

    template <typename Id> std::vector<Id> idsOf(const std::vector<std::string>& texts)
    {
        std::vector<Id> ids;
        ids.reserve(texts.size());
        for (const auto& text : texts)
            ids.emplace_back(text);
        return ids;
    }

    Result<ZoneSpec> readZone(const YAML::Node& node, const std::string& where)
    {
        Fields fields(node, where);
        ZoneSpec zone;
        zone.id = ZoneId(fields.text("id"));
        zone.region = RegionId(fields.text("region", "region-1"));
        zone.hosts = idsOf<HostId>(fields.texts("hosts"));
        zone.upstreams = idsOf<UpstreamId>(fields.texts("upstreams"));
        for (const auto& rackNode : fields.node("racks")) {
            Fields rack(rackNode, where + ".racks");
            zone.racks.push_back(
                { RackId(rack.text("id")), static_cast<std::uint32_t>(rack.number("workers", 1)) });
            JUJUBEREACH_CHECK(rack.finish());
        }
        JUJUBEREACH_CHECK(fields.finish());
        return zone;
    }

    JsonObject::Ptr domainJson(const ZoneSpec& zone, std::uint32_t acceleratorsPerWorker)
    {
        Poco::JSON::Array::Ptr racks = new Poco::JSON::Array;
        for (const auto& rack : zone.racks) {
            JsonObject::Ptr object = new JsonObject;
            object->set("id", rack.id.str());
            object->set("workers", rack.workers);
            object->set("acceleratorsPerWorker", acceleratorsPerWorker);
            racks->add(object);
        }
        JsonObject::Ptr domain = new JsonObject;
        domain->set("id", "d1");
        domain->set("racks", racks);
        return domain;
    }

    Poco::JSON::Array::Ptr regionsJson(const Topology& topology)
    {
        std::map<RegionId, Poco::JSON::Array::Ptr> zones;
        for (const auto& zone : topology.zones) {
            Poco::JSON::Array::Ptr domains = new Poco::JSON::Array;
            if (!zone.racks.empty())
                domains->add(domainJson(zone, topology.acceleratorsPerWorker));
            JsonObject::Ptr object = new JsonObject;
            object->set("id", zone.id.str());
            object->set("domains", domains);
            auto& list = zones[zone.region];
            if (!list)
                list = new Poco::JSON::Array;
            list->add(object);
        }
        Poco::JSON::Array::Ptr regions = new Poco::JSON::Array;
        for (const auto& [id, list] : zones) {
            JsonObject::Ptr region = new JsonObject;
            region->set("id", id.str());
            region->set("zones", list);
            regions->add(region);
        }
        return regions;
    }

} // namespace

const ZoneSpec* Topology::zoneOf(const HostId& host) const
{
    for (const auto& zone : zones) {
        if (std::find(zone.hosts.begin(), zone.hosts.end(), host) != zone.hosts.end())
            return &zone;
    }
    return nullptr;
}

const ZoneSpec* Topology::zoneOf(const WorkerId& worker) const
{
    const RackId rack(worker.str().substr(0, worker.str().rfind('/')));
    for (const auto& zone : zones) {
        if (std::any_of(
                zone.racks.begin(), zone.racks.end(), [&](const RackSpec& spec) { return spec.id == rack; }))
            return &zone;
    }
    return nullptr;
}

std::map<WorkerId, std::uint32_t> Topology::firstAccelerators() const
{
    std::map<WorkerId, std::uint32_t> first;
    for (const auto& zone : zones) {
        std::uint32_t next = 0;
        for (const auto& rack : zone.racks) {
            for (std::uint32_t i = 0; i < rack.workers; ++i, next += acceleratorsPerWorker)
                first[WorkerId(rack.id.str() + "/" + std::to_string(i))] = next;
        }
    }
    return first;
}

std::string Topology::manifestJson(const std::string& documentName, const YAML::Node& change) const
{
    JsonObject document;
    for (const auto* part : { &manifest, &change }) {
        if (!part->IsMap())
            continue;
        for (const auto& entry : *part)
            document.set(entry.first.Scalar(), toJson(entry.second));
    }
    document.set("name", documentName);
    if (!document.has("regions"))
        document.set("regions", regionsJson(*this));
    return platform::toText(document);
}

Result<Topology> readTopology(const YAML::Node& node, const std::string& where)
{
    Fields fields(node, where);
    Topology topology;
    std::size_t index = 0;
    for (const auto& zoneNode : fields.node("zones")) {
        BOOST_LEAF_AUTO(zone, readZone(zoneNode, where + ".zones[" + std::to_string(index++) + "]"));
        topology.zones.push_back(std::move(zone));
    }
    topology.acceleratorsPerWorker = static_cast<std::uint32_t>(fields.number("acceleratorsPerWorker", 8));
    topology.slots = static_cast<std::uint32_t>(fields.number("slots", topology.slots));
    topology.serviceTime = fields.duration("serviceMs", topology.serviceTime);
    topology.hostListLag = fields.duration("hostListLagMs", topology.hostListLag);
    topology.writesPerSecond
        = static_cast<std::uint32_t>(fields.number("writesPerSecond", topology.writesPerSecond));
    topology.readsPerSecond
        = static_cast<std::uint32_t>(fields.number("readsPerSecond", topology.readsPerSecond));
    topology.hostFlags = fields.texts("hostFlags");
    topology.manifest = fields.node("manifest");
    JUJUBEREACH_CHECK(fields.finish());
    return topology;
}

} // namespace jujubereach::scenarios
