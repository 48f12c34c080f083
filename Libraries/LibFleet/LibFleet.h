#pragma once

#include <LibFleet/Compression.h>
#include <LibFleet/FleetCodec.h>
#include <LibFleet/FleetMembership.h>
#include <LibFleet/FleetMessage.h>
#include <LibFleet/VmAddress.h>
