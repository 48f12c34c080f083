#pragma once

#include <LibPipeline/RequestPipeline.h>
