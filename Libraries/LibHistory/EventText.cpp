#include <LibHistory/EventText.h>

#include <LibHistory/EventFieldReader.h>
#include <LibHistory/EventFieldWriter.h>

#include <boost/json/parse.hpp>

#include <utility>

namespace wigeonlift {

namespace {

/// Visits the fields that all events share, then those of the event.
void visitAll(HistoryEvent &event, auto &&visit) {
  visit("time_ns", event.Time);
  visit("writer", event.Writer);
  visit("incarnation", event.Incarnation);
  visit("sequence", event.Sequence);
  std::visit([&](auto &data) { data.visitFields(visit); }, event.Data);
}

template <std::size_t Index = 0> std::optional<EventData> emptyData(std::string_view name) {
  if constexpr (Index == std::variant_size_v<EventData>) {
    return std::nullopt;
  } else {
    if (name == std::variant_alternative_t<Index, EventData>::Name)
      return EventData{std::in_place_index<Index>};
    return emptyData<Index + 1>(name);
  }
}

std::optional<boost::json::object> parseObject(std::string_view line) {
  constexpr std::size_t maxDepth = 1;
  boost::json::parse_options options;
  options.max_depth = maxDepth;
  boost::json::error_code ec;
  boost::json::value value =
      boost::json::parse({line.data(), line.size()}, ec, boost::json::storage_ptr{}, options);
  if (ec || !value.is_object())
    return std::nullopt;
  return std::move(value.get_object());
}

} // namespace

std::string toLine(const HistoryEvent &event) {
  // The fields are visited for reading only; one description serves both directions.
  auto &readOnly =
      const_cast<HistoryEvent &>(event); // NOLINT(cppcoreguidelines-pro-type-const-cast)
  EventFieldWriter writer;
  writer("event",
         std::visit([](const auto &data) { return std::string_view{data.Name}; }, event.Data));
  visitAll(readOnly, writer);
  return writer.finish();
}

std::optional<HistoryEvent> eventFromLine(std::string_view line) {
  if (line.size() > MaxEventLineBytes)
    return std::nullopt;
  const std::optional<boost::json::object> object = parseObject(line);
  if (!object)
    return std::nullopt;
  EventFieldReader reader(*object);
  std::string name;
  reader("event", name);
  std::optional<EventData> data = emptyData(name);
  if (!data)
    return std::nullopt;
  HistoryEvent event;
  event.Data = std::move(*data);
  visitAll(event, reader);
  if (!reader.isComplete())
    return std::nullopt;
  return event;
}

} // namespace wigeonlift
