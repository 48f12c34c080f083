#pragma once

#include <LibBalance/BalanceTypes.h>
#include <LibBalance/PriorityAdmission.h>
#include <LibBalance/QueueForecast.h>
#include <LibBalance/ReturnSchedule.h>
#include <LibBalance/ServiceBalancer.h>
#include <LibBalance/UpstreamLimits.h>
#include <LibBalance/UpstreamSubset.h>
