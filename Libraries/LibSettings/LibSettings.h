#pragma once

#include <LibSettings/EntrySettings.h>
#include <LibSettings/GatewaySettings.h>
