#pragma once

#include <LibBudget/DividedRate.h>
#include <LibBudget/ExtraAttemptBudget.h>
#include <LibBudget/LeasedShare.h>
#include <LibBudget/ProbeShare.h>
#include <LibBudget/RateLimit.h>
#include <LibBudget/RepeatBudget.h>
#include <LibBudget/ServiceProbeBudget.h>
#include <LibBudget/ShareAssignment.h>
#include <LibBudget/TokenBucket.h>
