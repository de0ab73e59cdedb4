// Reads the fields of a YAML map.
#include "fields.h"

#include <Poco/JSON/Array.h>

namespace jujubereach::scenarios {

namespace {

    Poco::Dynamic::Var scalarToJson(const YAML::Node& node)
    {
        const bool isQuoted = node.Tag() == "!";
        bool flag = false;
        Poco::Int64 number = 0;
        double real = 0;
        if (!isQuoted && YAML::convert<Poco::Int64>::decode(node, number))
            return number;
        if (!isQuoted && YAML::convert<double>::decode(node, real))
            return real;
        if (!isQuoted && YAML::convert<bool>::decode(node, flag))
            return flag;
        return node.Scalar();
    }

} // namespace

Fields::Fields(const YAML::Node& node, std::string where)
    : m_where(std::move(where))
{
    if (node.IsMap())
        m_node = node;
    else if (node.IsDefined() && !node.IsNull())
        m_node[""] = node;
}

bool Fields::has(const std::string& name) const
{
    return m_node.IsMap() && m_node[name].IsDefined();
}

template <typename T> T Fields::read(const std::string& name, const T& fallback)
{
    m_read.insert(name);
    if (!has(name))
        return fallback;
    T value {};
    if (YAML::convert<T>::decode(m_node[name], value))
        return value;
    if (m_fault.empty())
        m_fault = name;
    return fallback;
}

std::string Fields::text(const std::string& name, const std::string& fallback)
{
    return read<std::string>(name, fallback);
}

std::int64_t Fields::number(const std::string& name, std::int64_t fallback)
{
    return read<std::int64_t>(name, fallback);
}

Duration Fields::duration(const std::string& name, Duration fallback)
{
    return Duration(number(name, fallback.count()));
}

bool Fields::flag(const std::string& name, bool fallback)
{
    return read<bool>(name, fallback);
}

std::vector<std::string> Fields::texts(const std::string& name)
{
    if (has(name) && m_node[name].IsScalar())
        return { text(name) };
    return read<std::vector<std::string>>(name, {});
}

YAML::Node Fields::node(const std::string& name)
{
    m_read.insert(name);
    return has(name) ? m_node[name] : YAML::Node();
}

Result<void> Fields::finish() const
{
    if (!m_fault.empty())
        return fail({ ErrorCode::InvalidInput, "the field is of another type", m_where + "." + m_fault, {} });
    if (!m_node.IsMap())
        return {};
    for (const auto& entry : m_node) {
        const auto name = entry.first.Scalar();
        if (!m_read.contains(name))
            return fail({ ErrorCode::InvalidInput, "no such field", m_where + "." + name, {} });
    }
    return {};
}

Poco::Dynamic::Var toJson(const YAML::Node& node)
{
    if (node.IsMap()) {
        platform::JsonObject::Ptr object = new platform::JsonObject;
        for (const auto& entry : node)
            object->set(entry.first.Scalar(), toJson(entry.second));
        return object;
    }
    if (node.IsSequence()) {
        Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
        for (const auto& element : node)
            array->add(toJson(element));
        return array;
    }
    return node.IsScalar() ? scalarToJson(node) : Poco::Dynamic::Var();
}

} // namespace jujubereach::scenarios
