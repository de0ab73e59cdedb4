// JSON text to values and fields, with faults by place.
#include "json-reader.h"

#include "json-names.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/ParseHandler.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

namespace jujubereach::manifest {

namespace {

    // Follows the parser through the document and reports fields that stand twice in one object.
    class DuplicateFinder : public Poco::JSON::ParseHandler {
    public:
        explicit DuplicateFinder(std::vector<Fault>& faults)
            : ParseHandler(true)
            , m_faults(faults)
        {
        }

        void startObject() override
        {
            enter(false);
            ParseHandler::startObject();
        }
        void endObject() override
        {
            m_frames.pop_back();
            ParseHandler::endObject();
        }
        void startArray() override
        {
            enter(true);
            ParseHandler::startArray();
        }
        void endArray() override
        {
            m_frames.pop_back();
            ParseHandler::endArray();
        }
        void key(const std::string& name) override
        {
            auto& frame = m_frames.back();
            frame.place = fieldPath(frame.path, name);
            if (!frame.keys.insert(name).second)
                m_faults.push_back({ frame.place, "the field stands twice; keep one of them" });
            ParseHandler::key(name);
        }

    private:
        struct Frame {
            bool isArray = false;
            std::string path;
            std::string place; ///< Of the field that is being read.
            std::size_t elements = 0;
            std::set<std::string> keys;
        };

        void enter(bool isArray)
        {
            Frame frame;
            frame.isArray = isArray;
            if (!m_frames.empty()) {
                auto& parent = m_frames.back();
                frame.path = parent.isArray ? elementPath(parent.path, parent.elements++) : parent.place;
            }
            m_frames.push_back(std::move(frame));
        }

        std::vector<Fault>& m_faults;
        std::vector<Frame> m_frames;
    };

    // The parser names no line; it has read the stream up to the fault.
    std::string lineAt(const std::string& text, std::istream& in)
    {
        in.clear();
        auto read = std::min(text.size(), static_cast<std::size_t>(in.tellg()));
        auto lines = std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(read), '\n');
        return "line " + std::to_string(lines + 1);
    }

    std::string kindOf(const Poco::Dynamic::Var& value)
    {
        if (value.isEmpty())
            return "null";
        if (value.isString())
            return "a text";
        if (value.isBoolean())
            return "true or false";
        if (value.isNumeric())
            return "a number";
        return value.type() == typeid(Poco::JSON::Object::Ptr) ? "an object" : "an array";
    }

    std::string range(const WholeBounds& bounds)
    {
        std::string unit = *bounds.unit ? std::string(" ") + bounds.unit : "";
        return "from " + std::to_string(bounds.minimum) + " to " + std::to_string(bounds.maximum) + unit;
    }

} // namespace

std::optional<Node> readJson(const std::string& text, std::vector<Fault>& faults)
{
    auto start = text.find_first_not_of(" \t\r\n");
    if (start == std::string::npos || (text[start] != '{' && text[start] != '[')) {
        faults.push_back({ "document", "must be a JSON object { ... }" });
        return std::nullopt;
    }
    std::istringstream in(text);
    try {
        Poco::JSON::Parser parser(new DuplicateFinder(faults));
        return Node { "", parser.parse(in) };
    } catch (const Poco::Exception& error) {
        faults.push_back({ lineAt(text, in), "not valid JSON: " + error.message() });
        return std::nullopt;
    }
}

std::string fieldPath(const std::string& path, const std::string& field)
{
    return path.empty() ? field : path + "." + field;
}

std::string elementPath(const std::string& path, std::size_t index)
{
    return path + "[" + std::to_string(index) + "]";
}

Fields::Fields(const Node& node, const std::vector<std::string>& known, std::vector<Fault>& faults)
    : m_path(node.path)
    , m_faults(faults)
{
    if (node.value.type() != typeid(Poco::JSON::Object::Ptr)) {
        auto place = m_path.empty() ? "document" : m_path;
        m_faults.push_back({ place, "must be an object { ... }, not " + kindOf(node.value) });
        return;
    }
    m_object = node.value.extract<Poco::JSON::Object::Ptr>();
    refuseUnknown(known);
}

void Fields::refuseUnknown(const std::vector<std::string>& known)
{
    for (const auto& name : m_object->getNames()) {
        if (std::find(known.begin(), known.end(), name) != known.end())
            continue;
        auto closest = closestName(name, known);
        auto advice = closest.empty() ? "remove it; fields here are " + joinNames(known)
                                      : "did you mean \"" + closest + "\"?";
        fault(shortened(name), "unknown field; " + advice);
    }
}

std::string Fields::id(const std::string& field)
{
    if (!m_object)
        return {};
    if (!has(field)) {
        fault(field, "is missing; give an id of [a-z0-9-], 1 to 63 characters");
        return {};
    }
    auto value = m_object->get(field);
    if (!value.isString()) {
        fault(field, "must be a text in quotes, not " + kindOf(value));
        return {};
    }
    auto text = value.extract<std::string>();
    if (!isValidId(text)) {
        fault(field,
            "\"" + shortened(text)
                + "\" is no valid id; use 1 to 63 characters of [a-z0-9-], a letter or digit first and last");
        return {};
    }
    return text;
}

std::uint64_t Fields::whole(const std::string& field, const WholeBounds& bounds)
{
    if (!m_object)
        return bounds.minimum;
    if (!has(field)) {
        if (!bounds.fallback)
            fault(field, "is missing; give a whole number " + range(bounds));
        return bounds.fallback.value_or(bounds.minimum);
    }
    auto value = m_object->get(field);
    if (!value.isInteger() || value.isBoolean()) {
        auto found = value.isNumeric() && !value.isBoolean() ? value.toString() : kindOf(value);
        fault(field, "must be a whole number " + range(bounds) + ", not " + found);
        return bounds.minimum;
    }
    auto isNegative = value.isSigned() && value.convert<std::int64_t>() < 0;
    if (isNegative || value.convert<std::uint64_t>() < bounds.minimum
        || value.convert<std::uint64_t>() > bounds.maximum) {
        fault(field, "is " + value.toString() + "; it must be " + range(bounds));
        return bounds.minimum;
    }
    return value.convert<std::uint64_t>();
}

double Fields::fraction(const std::string& field, double minimum, double maximum, double fallback)
{
    if (!m_object || !has(field))
        return fallback;
    auto value = m_object->get(field);
    auto bounds = "from " + shortNumber(minimum) + " to " + shortNumber(maximum);
    if (!value.isNumeric() || value.isBoolean()) {
        fault(field, "must be a number " + bounds + ", not " + kindOf(value));
        return fallback;
    }
    auto number = value.convert<double>();
    if (!std::isfinite(number) || number < minimum || number > maximum) {
        fault(field, "is " + shortNumber(number) + "; it must be " + bounds);
        return fallback;
    }
    return number;
}

bool Fields::boolean(const std::string& field, bool fallback)
{
    if (!m_object || !has(field))
        return fallback;
    auto value = m_object->get(field);
    if (!value.isBoolean()) {
        fault(field, "must be true or false, not " + kindOf(value));
        return fallback;
    }
    return value.convert<bool>();
}

std::vector<Node> Fields::array(const std::string& field, std::size_t minimum, std::size_t maximum)
{
    if (!m_object)
        return {};
    if (!has(field)) {
        if (minimum > 0)
            fault(field, "is missing; give an array of at least " + std::to_string(minimum));
        return {};
    }
    auto value = m_object->get(field);
    if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
        fault(field, "must be an array [ ... ], not " + kindOf(value));
        return {};
    }
    const auto& elements = *value.extract<Poco::JSON::Array::Ptr>();
    if (elements.size() < minimum || elements.size() > maximum) {
        fault(field,
            "has " + std::to_string(elements.size()) + " elements; it must have from "
                + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    std::vector<Node> nodes;
    for (std::size_t i = 0; i < elements.size(); ++i)
        nodes.push_back({ elementPath(place(field), i), elements.get(static_cast<unsigned>(i)) });
    return nodes;
}

std::optional<Node> Fields::child(const std::string& field) const
{
    if (!m_object || !has(field))
        return std::nullopt;
    return Node { place(field), m_object->get(field) };
}

void Fields::fault(const std::string& field, const std::string& what)
{
    m_faults.push_back({ place(field), what });
}

bool Fields::has(const std::string& field) const
{
    return m_object->has(field);
}

} // namespace jujubereach::manifest
