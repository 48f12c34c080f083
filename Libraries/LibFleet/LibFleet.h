#pragma once

#include <LibFleet/Compression.h>
#include <LibFleet/FleetCodec.h>
#include <LibFleet/FleetMembership.h>
#include <LibFleet/FleetMessage.h>
#include <LibFleet/FleetReplica.h>
#include <LibFleet/PeerClocks.h>
#include <LibFleet/PeerReads.h>
#include <LibFleet/ShareHolders.h>
#include <LibFleet/StoreDeltaReader.h>
#include <LibFleet/StoreSync.h>
#include <LibFleet/VmAddress.h>
