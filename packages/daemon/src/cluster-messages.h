// Membership values to and from their wire form.
#pragma once

#include "jujubereach/membership/delegates.h"
#include "jujubereach/membership/message.h"
#include "jujubereach/wire/generated/messages_generated.h"

namespace jujubereach::daemon {

wire::GossipT toWire(const membership::Message& message);
membership::Message fromWire(const wire::GossipT& gossip);

wire::ZoneDigestT toWire(const membership::ZoneDigest& digest);
membership::ZoneDigest fromWire(const wire::ZoneDigestT& digest);

} // namespace jujubereach::daemon
