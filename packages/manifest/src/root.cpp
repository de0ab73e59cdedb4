// Root and index as JSON values.
#include "jujubereach/manifest/root.h"

#include "json-writer.h"

#include <Poco/JSON/Parser.h>

#include <functional>

namespace jujubereach::manifest {

namespace {

    using Poco::JSON::Array;
    using Poco::JSON::Object;

    Array pairOf(const std::string& first, const std::string& second)
    {
        Array pair;
        pair.add(first);
        pair.add(second);
        return pair;
    }

    // Values are written by this program only: one message for any damage is enough.
    template <typename T>
    Result<T> decode(const std::string& text, const char* what, const std::function<T(const Object&)>& read)
    {
        try {
            Poco::JSON::Parser parser;
            return read(*parser.parse(text).extract<Object::Ptr>());
        } catch (const Poco::Exception& error) {
            return fail({ ErrorCode::InvalidInput, "cannot be read: " + error.displayText(), what, {} });
        }
    }

    template <typename IdType> IdType idOf(const Object& json, const std::string& field)
    {
        return IdType(json.getValue<std::string>(field));
    }

    Array::Ptr arrayOf(const Object& json, const std::string& field)
    {
        auto array = json.getArray(field);
        if (!array)
            throw Poco::DataFormatException("no array", field);
        return array;
    }

    Array::Ptr elementOf(const Array& array, std::size_t index, std::size_t size)
    {
        auto element = array.getArray(static_cast<unsigned>(index));
        if (!element || element->size() != size)
            throw Poco::DataFormatException("bad element");
        return element;
    }

    Root readRoot(const Object& json)
    {
        Root root;
        root.counter = json.getValue<std::uint64_t>("counter");
        root.operation = idOf<OperationId>(json, "operation");
        root.operatorName = idOf<OperatorName>(json, "operator");
        root.index = idOf<ContentName>(json, "index");
        root.sections = idOf<ContentName>(json, "sections");
        root.indexRevision.value = json.getValue<std::uint64_t>("indexRevision");
        root.base = json.getValue<std::uint64_t>("base");
        auto changes = arrayOf(json, "changes");
        for (std::size_t i = 0; i < changes->size(); ++i) {
            auto triple = elementOf(*changes, i, 3);
            root.changes.push_back({ SectionName(triple->getElement<std::string>(0)),
                ContentName(triple->getElement<std::string>(1)), triple->getElement<std::uint64_t>(2) });
        }
        return root;
    }

    Index readIndex(const Object& json)
    {
        Index index;
        auto sections = arrayOf(json, "sections");
        for (std::size_t i = 0; i < sections->size(); ++i) {
            auto pair = elementOf(*sections, i, 2);
            index.sections[SectionName(pair->getElement<std::string>(0))]
                = ContentName(pair->getElement<std::string>(1));
        }
        auto accepted = arrayOf(json, "accepted");
        for (std::size_t i = 0; i < accepted->size(); ++i) {
            auto triple = elementOf(*accepted, i, 3);
            index.accepted.push_back(
                { triple->getElement<std::uint64_t>(0), OperationId(triple->getElement<std::string>(1)),
                    OperatorName(triple->getElement<std::string>(2)) });
        }
        auto retired = arrayOf(json, "retired");
        for (std::size_t i = 0; i < retired->size(); ++i) {
            auto pair = elementOf(*retired, i, 2);
            index.retired.push_back({ ContentName(pair->getElement<std::string>(0)),
                Revision { pair->getElement<std::uint64_t>(1) } });
        }
        return index;
    }

} // namespace

std::string contentKey(const ContentName& name)
{
    return "manifest/content/" + name.str();
}

std::string encode(const Root& root)
{
    Array changes;
    for (const auto& change : root.changes) {
        auto triple = pairOf(change.name.str(), change.content.str());
        triple.add(change.counter);
        changes.add(triple);
    }
    auto json = orderedObject();
    json.set("counter", root.counter);
    json.set("operation", root.operation.str());
    json.set("operator", root.operatorName.str());
    json.set("index", root.index.str());
    json.set("indexRevision", root.indexRevision.value);
    json.set("sections", root.sections.str());
    json.set("base", root.base);
    json.set("changes", changes);
    return textOf(json);
}

Result<Root> decodeRoot(const std::string& text)
{
    return decode<Root>(text, rootKey, readRoot);
}

std::string encode(const Index& index)
{
    Array sections;
    for (const auto& [name, content] : index.sections)
        sections.add(pairOf(name.str(), content.str()));
    Array accepted;
    for (const auto& operation : index.accepted) {
        Array triple;
        triple.add(operation.counter);
        triple.add(operation.operation.str());
        triple.add(operation.operatorName.str());
        accepted.add(triple);
    }
    Array retired;
    for (const auto& content : index.retired) {
        Array pair;
        pair.add(content.name.str());
        pair.add(content.revision.value);
        retired.add(pair);
    }
    auto json = orderedObject();
    json.set("sections", sections);
    json.set("accepted", accepted);
    json.set("retired", retired);
    return textOf(json);
}

Result<Index> decodeIndex(const std::string& text)
{
    return decode<Index>(text, "manifest index", readIndex);
}

} // namespace jujubereach::manifest
