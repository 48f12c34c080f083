#pragma once

#include <LibYaml/DocumentError.h>
#include <LibYaml/MapReader.h>
