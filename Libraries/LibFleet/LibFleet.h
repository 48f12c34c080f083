#pragma once

#include <LibFleet/Fleet.h>
#include <LibFleet/FleetCodec.h>
#include <LibFleet/FleetMessage.h>
