#pragma once

#include <LibMembership/CatalogueDelta.h>
#include <LibMembership/EntryRotation.h>
#include <LibMembership/FleetEvents.h>
#include <LibMembership/FleetNode.h>
#include <LibMembership/ListSchedule.h>
#include <LibMembership/ListSpread.h>
#include <LibMembership/PeerMessage.h>
