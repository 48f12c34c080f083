#pragma once

#include <LibPlatform/ConfigurationClient.h>
#include <LibPlatform/VmList.h>
#include <LibPlatform/VmListClient.h>
