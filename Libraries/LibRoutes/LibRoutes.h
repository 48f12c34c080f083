#pragma once

#include <LibRoutes/RouteConfiguration.h>
#include <LibRoutes/RouteTable.h>
