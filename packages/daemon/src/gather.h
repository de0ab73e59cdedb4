// One question to several hosts: their rows, and this host's own, as one answer.
#pragma once

#include "api.h"
#include "context.h"

#include <Poco/JSON/Array.h>

#include <string>
#include <vector>

namespace jujubereach::daemon {

using Rows = Poco::JSON::Array::Ptr;

/// Answers {"<field>": rows} for the wire.
ApiAnswer rowsAnswer(const std::string& field, const Rows& rows);

/// Calls each address, joins the rows under `field` of all replies to `own`, and answers once all have
/// replied or timed out. Hosts that did not reply are named under "notReached".
void gatherRows(Context& ctx, const std::string& field, const Rows& own,
    const std::vector<std::string>& addresses, const wire::ApiCallT& call, const Answer& answer);

} // namespace jujubereach::daemon
