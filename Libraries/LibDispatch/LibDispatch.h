#pragma once

#include <LibDispatch/DispatchTypes.h>
#include <LibDispatch/Dispatcher.h>
#include <LibDispatch/DispatcherState.h>
