// Reads JSON with every fault named by its place: syntax, types, bounds, unknown and doubled fields.
#pragma once

#include "jujubereach/manifest/manifest.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Object.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::manifest {

/// A value with its place in the document.
struct Node {
    std::string path;
    Poco::Dynamic::Var value;
};

/// Parses the text; empty after a syntax error. Fields that stand twice are faults.
std::optional<Node> readJson(const std::string& text, std::vector<Fault>& faults);

/// Place of a field below a path, and of an element of an array.
std::string fieldPath(const std::string& path, const std::string& field);
std::string elementPath(const std::string& path, std::size_t index);

/// Whether a text is 1 to 63 characters of [a-z0-9-] that start and end with a letter or digit.
bool isValidId(const std::string& text);

/// Bounds of a whole number; `fallback` makes the field optional.
struct WholeBounds {
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;
    const char* unit = "";
    std::optional<std::uint64_t> fallback;
};

/// The fields of one object. Each reader adds a fault and answers a harmless value when the field is bad.
class Fields {
public:
    /// Adds a fault for every field that is not in `known`.
    Fields(const Node& node, const std::vector<std::string>& known, std::vector<Fault>& faults);

    std::string id(const std::string& field);
    std::uint64_t whole(const std::string& field, const WholeBounds& bounds);
    double fraction(const std::string& field, double minimum, double maximum, double fallback);
    bool boolean(const std::string& field, bool fallback);
    std::vector<Node> array(const std::string& field, std::size_t minimum, std::size_t maximum);
    std::optional<Node> child(const std::string& field) const;
    std::string place(const std::string& field) const { return fieldPath(m_path, field); }

private:
    void fault(const std::string& field, const std::string& what);
    bool has(const std::string& field) const;
    void refuseUnknown(const std::vector<std::string>& known);

    std::string m_path;
    Poco::JSON::Object::Ptr m_object; ///< Null when the node is no object; then only one fault is added.
    std::vector<Fault>& m_faults;
};

} // namespace jujubereach::manifest
