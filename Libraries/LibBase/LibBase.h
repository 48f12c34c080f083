#pragma once

#include <LibBase/CallClass.h>
#include <LibBase/Failure.h>
#include <LibBase/Ids.h>
#include <LibBase/LoadReport.h>
#include <LibBase/Random.h>
#include <LibBase/Shortage.h>
#include <LibBase/Text.h>
#include <LibBase/Time.h>
#include <LibBase/UpstreamNotice.h>
