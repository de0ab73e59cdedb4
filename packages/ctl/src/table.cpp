#include "table.h"

#include <Poco/JSON/Object.h>

#include <algorithm>

namespace jujubereach::ctl {

namespace {

    using Row = std::vector<std::string>;

    std::string cellOf(const Poco::JSON::Object::Ptr& object, const std::string& field)
    {
        if (!object || !object->has(field) || object->isNull(field))
            return "-";
        const auto text = object->get(field).toString();
        return text.empty() ? "-" : text;
    }

    void printRow(std::ostream& out, const Row& row, const std::vector<std::size_t>& widths)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            auto cell = row[i];
            cell.resize(std::max(cell.size(), widths[i]), ' ');
            line += (i ? "  " : "") + cell;
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }

} // namespace

void printTable(std::ostream& out, const std::vector<Column>& columns, const Poco::JSON::Array::Ptr& rows)
{
    std::vector<Row> cells(1);
    for (const auto& column : columns)
        cells[0].push_back(column.title);
    for (unsigned i = 0; rows && i < rows->size(); ++i) {
        Row row;
        for (const auto& column : columns)
            row.push_back(cellOf(rows->getObject(i), column.field));
        cells.push_back(std::move(row));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto& row : cells) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : cells)
        printRow(out, row, widths);
}

} // namespace jujubereach::ctl
