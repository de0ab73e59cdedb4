// Manifest values to and from their wire form, and the answers about applies.
#pragma once

#include "api.h"
#include "jujubereach/manifest/apply.h"
#include "jujubereach/manifest/holder.h"
#include "jujubereach/platform/kv.h"
#include "jujubereach/wire/generated/messages_generated.h"

namespace jujubereach::daemon {

wire::ManifestFetchT toWire(const manifest::ManifestRequest& request);
manifest::ManifestRequest fromWire(const wire::ManifestFetchT& fetch);
wire::ManifestNewsT toWire(const manifest::ManifestReply& reply);
/// A root that cannot be read is left out.
manifest::ManifestReply fromWire(const wire::ManifestNewsT& news);

manifest::StoreReply toStoreReply(const platform::KvReply& reply);
ApiAnswer answerOf(const manifest::ApplyResult& result);
ApiAnswer faultsAnswer(const std::vector<manifest::Fault>& faults);

} // namespace jujubereach::daemon
