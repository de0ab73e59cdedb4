#include "odd-entries.h"

namespace jujubereach::standins {

namespace {

    constexpr std::size_t nestedLevels = 100'000;

    struct Fields {
        std::string service = R"("service")";
        std::string address = R"("127.0.0.1:9")";
        std::string labels = R"(["a","r0"])";
        std::string state = R"("ready")";
        std::string seq = "1";
        std::string born = "1700000000000";
        std::string capacity = R"({"Cpu":64000,"MemMb":262144,"Gpu":8})";
        std::string more;
    };

    std::string entryOf(const Fields& fields)
    {
        return R"({"Service":)" + fields.service + R"(,"Address":)" + fields.address
            + R"(,"Zone":"z","Version":"v1","Slots":8,"State":)" + fields.state + R"(,"ColdLeftMs":0,"Seq":)"
            + fields.seq + R"(,"born":)" + fields.born + R"(,"Labels":)" + fields.labels + R"(,"Capacity":)"
            + fields.capacity + fields.more + '}';
    }

    std::string withAddress(const std::string& address)
    {
        Fields fields;
        fields.address = address;
        return entryOf(fields);
    }

    std::string withCapacity(const std::string& capacity)
    {
        Fields fields;
        fields.capacity = capacity;
        return entryOf(fields);
    }

    std::string withBorn(const std::string& born)
    {
        Fields fields;
        fields.born = born;
        return entryOf(fields);
    }

    std::string nestedIn(const std::string& opening, const std::string& closing)
    {
        std::string out;
        for (std::size_t i = 0; i < nestedLevels; ++i)
            out += opening;
        out += '1';
        for (std::size_t i = 0; i < nestedLevels; ++i)
            out += closing;
        return out;
    }

    std::string withMore(const std::string& value)
    {
        Fields fields;
        fields.more = R"(,"More":)" + value;
        return entryOf(fields);
    }

    std::vector<OddEntry> build()
    {
        const std::string digits(40, '9');
        Fields state;
        state.state = R"("asleep")";
        Fields service;
        service.service = "17";
        return {
            { "nested arrays", nestedIn("[", "]") },
            { "nested objects", nestedIn(R"({"a":)", "}") },
            { "open arrays", std::string(nestedLevels, '[') },
            { "nested field", withMore(nestedIn("[", "]")) },
            { "nested capacity", withCapacity(nestedIn(R"({"Cpu":)", "}")) },
            { "exponent in capacity", withCapacity(R"({"Cpu":1e999,"MemMb":1e999,"Gpu":1e999})") },
            { "digits in capacity", withCapacity(R"({"Cpu":)" + digits + R"(,"MemMb":1000,"Gpu":8})") },
            { "largest integers",
                withCapacity(R"({"Cpu":9223372036854775807,"MemMb":1,"Gpu":9223372036854775807})") },
            { "negative capacity", withCapacity(R"({"Cpu":-1000,"MemMb":-1,"Gpu":-8})") },
            { "text in capacity", withCapacity(R"({"Cpu":"all","MemMb":[],"Gpu":null})") },
            { "list as capacity", withCapacity("[64000,262144,8]") },
            { "exponent in born", withBorn("1e999") },
            { "digits in born", withBorn(digits) },
            { "text in born", withBorn(R"("now")") },
            { "port 65536", withAddress(R"("127.0.0.1:65536")") },
            { "port 99999", withAddress(R"("127.0.0.1:99999")") },
            { "port 0", withAddress(R"("127.0.0.1:0")") },
            { "negative port", withAddress(R"("127.0.0.1:-1")") },
            { "port of 40 digits", withAddress(R"("127.0.0.1:)" + digits + '"') },
            { "no port", withAddress(R"("127.0.0.1")") },
            { "no host", withAddress(R"(":9")") },
            { "number as address", withAddress("17") },
            { "unknown state", entryOf(state) },
            { "number as service", entryOf(service) },
            { "no fields", "{}" },
            { "null", "null" },
            { "no text", "" },
            { "bytes", std::string("\xff\xfe\x00{", 4) },
        };
    }

} // namespace

const std::vector<OddEntry>& oddEntries()
{
    static const auto entries = build();
    return entries;
}

} // namespace jujubereach::standins
