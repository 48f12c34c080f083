#include <LibPlatform/VmList.h>

#include <boost/json.hpp>

namespace wigeonlift {

namespace {

namespace json = boost::json;

std::string stringField(const json::object &object, std::string_view key) {
  const json::value *value = object.if_contains({key.data(), key.size()});
  const json::string *text = value ? value->if_string() : nullptr;
  return text ? std::string{text->data(), text->size()} : std::string{};
}

ListedVm parseVm(const json::object &object) {
  return {.Name = stringField(object, "name"),
          .Address = stringField(object, "address"),
          .PeerAddress = stringField(object, "peer_address"),
          .Role = stringField(object, "role"),
          .DataCentre = stringField(object, "data_centre"),
          .Region = stringField(object, "region"),
          .IsLeaving = stringField(object, "state") == "leaving"};
}

bool hasRequiredFields(const ListedVm &vm) {
  const bool needsPeerAddress = vm.Role == EntryRole;
  return !vm.Name.empty() && !vm.Address.empty() && !vm.Role.empty() &&
         !(needsPeerAddress && vm.PeerAddress.empty());
}

} // namespace

absl::StatusOr<VmList> parseVmList(std::string_view text) {
  json::error_code ec;
  const json::value document = json::parse({text.data(), text.size()}, ec);
  const json::object *root = ec ? nullptr : document.if_object();
  const json::value *vmsField = root ? root->if_contains("vms") : nullptr;
  const json::array *elements = vmsField ? vmsField->if_array() : nullptr;
  if (!elements)
    return absl::InvalidArgumentError("the VM list is not a JSON object with the array vms");
  VmList vms;
  for (const json::value &it : *elements) {
    const json::object *object = it.if_object();
    if (!object)
      continue;
    ListedVm vm = parseVm(*object);
    if (hasRequiredFields(vm))
      vms.push_back(std::move(vm));
  }
  return vms;
}

} // namespace wigeonlift
