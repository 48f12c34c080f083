#pragma once

#include <LibHttp/CallerConnection.h>
#include <LibHttp/CallerServer.h>
#include <LibHttp/Clock.h>
#include <LibHttp/ConnectionLease.h>
#include <LibHttp/EndToEndFields.h>
#include <LibHttp/Endpoint.h>
#include <LibHttp/HttpFetch.h>
#include <LibHttp/HttpMessage.h>
#include <LibHttp/HttpServer.h>
#include <LibHttp/Listen.h>
#include <LibHttp/UpstreamConnection.h>
#include <LibHttp/UpstreamPool.h>
