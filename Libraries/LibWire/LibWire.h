#pragma once

#include <LibWire/PeerCodec.h>
#include <LibWire/PeerTransport.h>
