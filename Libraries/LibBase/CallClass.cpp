#include <LibBase/CallClass.h>

namespace wigeonlift {

std::string_view toString(CallClass callClass) {
  switch (callClass) {
  case CallClass::Idempotent:
    return "idempotent";
  case CallClass::NonIdempotent:
    return "non_idempotent";
  case CallClass::Export:
    return "export";
  }
  return "";
}

std::optional<CallClass> callClassFromString(std::string_view text) {
  for (auto it : {CallClass::Idempotent, CallClass::NonIdempotent, CallClass::Export})
    if (toString(it) == text)
      return it;
  return std::nullopt;
}

} // namespace wigeonlift
