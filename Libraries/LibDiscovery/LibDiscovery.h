#pragma once

#include <LibDiscovery/EvacuatedDataCentres.h>
#include <LibDiscovery/LeaseRenewal.h>
#include <LibDiscovery/LeavingUpstreams.h>
#include <LibDiscovery/ReplicaFreshness.h>
#include <LibDiscovery/StoreReplica.h>
#include <LibDiscovery/StoreRevision.h>
#include <LibDiscovery/StoreSyncPolicy.h>
#include <LibDiscovery/UpstreamList.h>
