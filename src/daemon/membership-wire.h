// Conversion of members and load reports to and from their wire form.
#pragma once

#include "deckpitch/membership-table.h"
#include "proto/envelope.pb.h"

namespace deckpitch::daemon {

wire::Member toWire(const MemberRecord &Record);
MemberRecord fromWire(const wire::Member &Message);
wire::Load toWire(const LoadReport &Load);
LoadReport fromWire(const wire::Load &Message);

} // namespace deckpitch::daemon
