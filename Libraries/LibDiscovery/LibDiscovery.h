#pragma once

#include <LibDiscovery/BoundedItems.h>
#include <LibDiscovery/EvacuatedDataCentres.h>
#include <LibDiscovery/LeaseRenewal.h>
#include <LibDiscovery/LeavingUpstreams.h>
#include <LibDiscovery/ReplicaFreshness.h>
#include <LibDiscovery/StoreFormat.h>
#include <LibDiscovery/StoreIntake.h>
#include <LibDiscovery/StoreItem.h>
#include <LibDiscovery/StoreReplica.h>
#include <LibDiscovery/StoreRevision.h>
#include <LibDiscovery/StoreSyncPolicy.h>
#include <LibDiscovery/UpstreamList.h>
