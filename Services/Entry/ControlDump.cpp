#include "ControlDump.h"

#include <boost/json.hpp>

namespace wigeonlift {

namespace {

namespace json = boost::json;

json::object dumpTransport(const PeerTransport &transport) {
  const TransportCounters &counters = transport.counters();
  return {{"connections", transport.connections()},
          {"sent_messages", counters.SentMessages},
          {"sent_bytes", counters.SentBytes},
          {"received_messages", counters.ReceivedMessages},
          {"received_bytes", counters.ReceivedBytes},
          {"dropped", counters.Dropped},
          {"malformed", counters.Malformed},
          {"reopened", counters.Reopened},
          {"refused_handshakes", counters.RefusedHandshakes}};
}

json::object dumpPlatform(const PlatformState &platform) {
  return {{"configuration_reads", platform.ConfigurationReads},
          {"configuration_failures", platform.ConfigurationFailures},
          {"list_reads", platform.ListReads},
          {"list_failures", platform.ListFailures},
          {"list_bytes", platform.ListBytes},
          {"bytes", platform.ConfigurationBytes + platform.ListBytes},
          {"configuration_bytes", platform.ConfigurationBytes},
          {"upstreams", platform.Upstreams},
          {"missing_catalogue_parts", platform.MissingParts}};
}

json::object dumpList(const ListSpread &list) {
  const ListSpreadCounters &counters = list.counters();
  const std::size_t leaving = list.count(ListRowState::Leaving);
  return {{"rows", list.count(ListRowState::Live) + leaving},
          {"leaving", leaving},
          {"tombstones", list.count(ListRowState::Removed)},
          {"sent_rows", counters.SentRows},
          {"received_rows", counters.ReceivedRows},
          {"applied_rows", counters.AppliedRows},
          {"outdated_rows", counters.OutdatedRows},
          {"unspread_reads", counters.UnspreadReads}};
}

json::array dumpMembers(const MemberTable &table, TimePoint now) {
  json::array members;
  for (const auto &[name, member] : table.members()) {
    json::object it{{"name", name},
                    {"state", toString(member.Info.State)},
                    {"boot", member.Info.Id.Boot.toHex()},
                    {"incarnation", member.Info.Id.Incarnation},
                    {"data_centre", member.Info.DataCentre},
                    {"peer_address", member.Info.PeerAddress},
                    {"load", member.Load}};
    if (member.HasBeenHeard)
      it["heard_ms_ago"] = toMilliseconds(now - member.HeardAt);
    members.push_back(std::move(it));
  }
  return members;
}

json::object dumpCatalogue(const CatalogueSpread &catalogue) {
  return {{"version", catalogue.version().toText()},
          {"number", catalogue.version().Number},
          {"is_behind", catalogue.isBehind()},
          {"conflicts", catalogue.conflicts()},
          {"older_offers", catalogue.olderOffers()}};
}

} // namespace

std::string dumpControl(const FleetNode &node, const PeerTransport &transport,
                        const PlatformState &platform, TimePoint now) {
  json::object result{{"synchronized", node.isSynchronized()},
                      {"incarnation", node.table().self().Id.Incarnation},
                      {"catalogue", dumpCatalogue(node.catalogue())},
                      {"is_reader", node.isReader()},
                      {"readers", json::value_from(node.readers().names())},
                      {"evidence", node.evidenceItems()},
                      {"transport", dumpTransport(transport)},
                      {"platform", dumpPlatform(platform)},
                      {"list", dumpList(node.list())},
                      {"members", dumpMembers(node.table(), now)}};
  return json::serialize(result);
}

} // namespace wigeonlift
