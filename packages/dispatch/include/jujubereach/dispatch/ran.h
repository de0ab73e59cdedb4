// Whether a request ran: the one thing that every final answer says.
#pragma once

namespace jujubereach::dispatch {

enum class Ran {
    No, ///< Known: nothing was sent, or the upstreams said that they did not run it.
    Yes, ///< An upstream gave its whole answer.
    Unknown, ///< Sent, no whole answer; it may have run.
};

/// Name as it stands in answers: "no", "yes" or "unknown".
const char* nameOf(Ran ran);

} // namespace jujubereach::dispatch
