#pragma once

#include <LibFleet/Compression.h>
#include <LibFleet/Fleet.h>
#include <LibFleet/FleetCodec.h>
#include <LibFleet/FleetMessage.h>
#include <LibFleet/VmAddress.h>
