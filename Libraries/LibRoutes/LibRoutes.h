#pragma once

#include <LibRoutes/RoutePlan.h>
#include <LibRoutes/RouteTable.h>
