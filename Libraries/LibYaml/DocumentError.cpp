#include <LibYaml/DocumentError.h>

#include <fmt/format.h>

namespace wigeonlift {

std::string_view toString(DocumentRule rule) {
  switch (rule) {
  case DocumentRule::Readable:
    return "the file must be readable";
  case DocumentRule::ValidYaml:
    return "must be well-formed YAML";
  case DocumentRule::WithinSize:
    return "must be at most 1 MiB";
  case DocumentRule::IsMap:
    return "must be a map";
  case DocumentRule::IsList:
    return "must be a list";
  case DocumentRule::IsPresent:
    return "is required";
  case DocumentRule::IsKnown:
    return "is not a key of this format";
  case DocumentRule::IsUnique:
    return "must occur only once";
  case DocumentRule::IsNumber:
    return "must be a number";
  case DocumentRule::IsInRange:
    return "is out of range";
  case DocumentRule::IsText:
    return "must be text of 1 to 256 bytes";
  case DocumentRule::IsOneOf:
    return "is not one of the allowed words";
  case DocumentRule::IsHeaderName:
    return "must be a valid HTTP header name";
  case DocumentRule::IsPath:
    return "must start with a slash";
  case DocumentRule::IsAddress:
    return "must be IP:PORT";
  case DocumentRule::IsKey:
    return "must be a key of 40 Z85 characters";
  case DocumentRule::RefersToService:
    return "must name a service of this catalogue";
  case DocumentRule::ExtraWithinDepth:
    return "times the sum of retry_percent and hedge_percent must be at most 18";
  case DocumentRule::IsPartKey:
    return "must be 1 to 64 of a-z, 0-9, '.', '_' and '-', begin with a letter or digit, and not "
           "be "
           "`catalogue`";
  case DocumentRule::IsDigest:
    return "must be 32 lower-case hexadecimal digits";
  case DocumentRule::IsPartCount:
    return "must name 1 to 256 parts";
  case DocumentRule::IsSingleDocument:
    return "must not have a line that begins with ---";
  case DocumentRule::HasPart:
    return "names a part that is missing";
  case DocumentRule::MatchesDigest:
    return "is not the digest of the part";
  }
  return "";
}

std::string describe(const DocumentError &error, std::string_view fileName) {
  const std::string place = error.Part.empty() ? std::string{fileName}
                                               : fmt::format("part {} of {}", error.Part, fileName);
  return fmt::format("{}:{}: {}: {}", place, error.Line, error.Key.empty() ? "document" : error.Key,
                     toString(error.Rule));
}

} // namespace wigeonlift
