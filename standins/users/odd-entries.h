// Entries that another writer may leave among those of the workers; none names a worker to use.
#pragma once

#include <string>
#include <vector>

namespace jujubereach::standins {

struct OddEntry {
    std::string name; ///< What is odd about it.
    std::string value;
};

const std::vector<OddEntry>& oddEntries();

} // namespace jujubereach::standins
