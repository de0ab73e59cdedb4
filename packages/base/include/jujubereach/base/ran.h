// Whether work ran; part of every final answer.
#pragma once

namespace jujubereach {

enum class Ran {
    No, ///< Certain: it was not sent, or its receiver reported that it did not run.
    Yes,
    Unknown, ///< It may have run.
};

/// Name in answers and records: "no", "yes" or "unknown".
const char* nameOf(Ran ran);

} // namespace jujubereach
