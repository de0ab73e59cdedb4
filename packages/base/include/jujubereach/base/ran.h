// Whether work ran: the one thing that every final answer says.
#pragma once

namespace jujubereach {

enum class Ran {
    No, ///< Known: nothing was sent, or whoever got it said that it did not run.
    Yes,
    Unknown, ///< It may have run.
};

/// Name as it stands in answers and records: "no", "yes" or "unknown".
const char* nameOf(Ran ran);

} // namespace jujubereach
