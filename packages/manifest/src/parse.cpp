// Reads a manifest from JSON and checks it.
#include "order.h"
#include "reader.h"

namespace jujubereach::manifest {

namespace {

    constexpr std::size_t maxDocumentBytes = 16'000'000;

} // namespace

Parsed parse(const std::string& json)
{
    Parsed parsed;
    if (json.size() > maxDocumentBytes) {
        parsed.faults.push_back({ "document",
            "has " + std::to_string(json.size()) + " bytes; it must have at most "
                + std::to_string(maxDocumentBytes) });
        return parsed;
    }
    auto root = readJson(json, parsed.faults);
    if (!root)
        return parsed;
    ManifestReader reader(parsed.faults);
    parsed.manifest = reader.read(*root);
    checkReferences(parsed.manifest, reader.places(), parsed.faults);
    sortParts(parsed.manifest);
    return parsed;
}

} // namespace jujubereach::manifest
