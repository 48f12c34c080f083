#pragma once

#include <LibBudget/AttemptBudget.h>
#include <LibBudget/LeasedShare.h>
#include <LibBudget/MeasuringBudget.h>
#include <LibBudget/ProbeShare.h>
#include <LibBudget/RateLimit.h>
#include <LibBudget/RepeatBudget.h>
#include <LibBudget/TokenBucket.h>
