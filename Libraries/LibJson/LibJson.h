#pragma once

#include <boost/json.hpp>
