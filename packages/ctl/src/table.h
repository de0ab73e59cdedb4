// Tables for people.
#pragma once

#include <Poco/JSON/Array.h>

#include <ostream>
#include <string>
#include <vector>

namespace jujubereach::ctl {

struct Column {
    std::string title;
    std::string field; ///< Of each row's JSON object.
};

/// Prints the rows, an array of objects, under the columns' titles.
void printTable(std::ostream& out, const std::vector<Column>& columns, const Poco::JSON::Array::Ptr& rows);

} // namespace jujubereach::ctl
