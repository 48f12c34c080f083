#include <LibMembership/CatalogueReaders.h>

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace wigeonlift {

namespace {

constexpr std::size_t ReadersPerDataCentre = 2;
constexpr Duration MinSilence = std::chrono::seconds{2};
/// News of a reader takes about one exchange more each time that the fleet doubles.
constexpr Duration SilencePerDoubling = std::chrono::milliseconds{500};
/// Spreads the reads of VMs that stand in, so that they stay below 50 a second in all.
constexpr Duration StandInPerVm = std::chrono::milliseconds{40};
constexpr Duration MinStandIn = std::chrono::seconds{2};

std::uint64_t weightOf(const std::string &name) { return XXH3_64bits(name.data(), name.size()); }

} // namespace

void CatalogueReaders::update(const MemberTable &table, FleetOutput &output) {
  const MemberUpdate &self = table.self();
  std::vector<std::string> names;
  if (self.State != MemberState::Left)
    names.push_back(self.Id.Name);
  for (const auto &[name, member] : table.members())
    if (member.isUsable() && member.Info.DataCentre == self.DataCentre)
      names.push_back(name);
  std::ranges::sort(names, std::greater{}, weightOf);
  names.resize(std::min(names.size(), ReadersPerDataCentre));
  if (names == Names)
    return;
  Names = std::move(names);
  IsSelf = std::ranges::find(Names, self.Id.Name) != Names.end();
  StandInAt.reset();
  output.Events.push_back(ReadersChanged{Names, IsSelf});
}

void CatalogueReaders::didHearReader(Duration age, TimePoint now) {
  if (!WorkedAt || now - age > *WorkedAt)
    WorkedAt = now - age;
}

std::optional<Duration> CatalogueReaders::age(TimePoint now) const {
  return WorkedAt ? std::optional<Duration>{now - *WorkedAt} : std::nullopt;
}

bool CatalogueReaders::mustStandIn(std::size_t fleetSize, TimePoint now) {
  const Duration silence =
      std::max(MinSilence, SilencePerDoubling * static_cast<int>(std::bit_width(fleetSize)));
  if (IsSelf || (WorkedAt && now - *WorkedAt < silence)) {
    StandInAt.reset();
    return false;
  }
  const Duration spread = std::max(MinStandIn, StandInPerVm * static_cast<int>(fleetSize));
  if (StandInAt && now >= *StandInAt) {
    StandInAt = now + spread + fromSeconds(Chance.unit() * toSeconds(spread));
    return true;
  }
  if (!StandInAt)
    StandInAt = now + fromSeconds(Chance.unit() * toSeconds(spread));
  return false;
}

} // namespace wigeonlift
