#include <platform/Platform.h>

#include <gtest/gtest.h>

using namespace wigeonlift;
using namespace std::chrono_literals;

// Guards against durations that are parsed with the wrong unit, and against malformed durations
// that are accepted.
TEST(WireFormat, ParsesDurations) {
  EXPECT_EQ(platform::parseDuration("1500ms"), 1500ms);
  EXPECT_EQ(platform::parseDuration("2.5s"), 2500ms);
  for (const auto *text : {"", "ms", "5", "-1s", "1e99s", "5m", "1 s", "nans"})
    EXPECT_FALSE(platform::parseDuration(text)) << text;
}

// Guards against a load report whose slowness is ignored, and against malformed reports that are
// accepted.
TEST(WireFormat, ParsesLoadReports) {
  const auto load = platform::parseLoadReport("2,1,3,400");
  ASSERT_TRUE(load);
  EXPECT_EQ(load->InFlight, 2);
  EXPECT_EQ(load->Queued, 1);
  EXPECT_EQ(load->Slots, 3);
  EXPECT_EQ(load->SlownessPercent, 400);
  EXPECT_EQ(platform::parseLoadReport("2,1,3")->SlownessPercent, 100);
  for (const auto *text : {"", "1,2", "1,2,x", "1,2,-3", "1,2,3,4,5"})
    EXPECT_FALSE(platform::parseLoadReport(text)) << text;
}

// Guards against a rate limit that is not read, and against a value that can't be read but is taken
// for a limit, or for the end of one.
TEST(WireFormat, ParsesRateLimits) {
  using Content = RateLimitReport::Content;
  const auto parse = [](const std::vector<std::string> &values) {
    HttpResponseHead head;
    for (const std::string &it : values)
      head.insert("server-limit", it);
    return platform::parseUpstreamNotice(head).RateLimit;
  };
  EXPECT_EQ(parse({}).Kind, Content::Unlimited);
  EXPECT_EQ(parse({"2.4"}), (RateLimitReport{.Kind = Content::Limited, .RequestsPerSecond = 2.4}));
  EXPECT_EQ(parse({"100"}).RequestsPerSecond, 100);
  EXPECT_EQ(parse({"0"}), (RateLimitReport{.Kind = Content::Limited, .RequestsPerSecond = 0}));
  for (const auto &text :
       std::vector<std::string>{"", "-1", "-0.5", "inf", "-inf", "nan", "many", "2,4", "2.4/s",
                                "0x10", "1e400", "1" + std::string(400, '0')})
    EXPECT_EQ(parse({text}).Kind, Content::Unusable) << text;
  EXPECT_EQ(parse({"1", "2"}).Kind, Content::Unusable);
}

// Guards against a warm-up that is not read, or is read from a value or an answer that doesn't say
// anything, as when a failing health check leaves it out.
TEST(WireFormat, ParsesTheRemainingWarmupOfHealthAnswers) {
  using Content = WarmupReport::Content;
  const auto parse = [](const std::vector<std::string> &values, unsigned status = 200) {
    HttpResponseHead head;
    head.result(status);
    for (const std::string &it : values)
      head.insert("x-wigeonlift-warmup-remaining", it);
    EXPECT_FALSE(platform::parseUpstreamNotice(head).WarmupRemaining);
    return *platform::parseHealthNotice(head, TimePoint{5s}).WarmupRemaining;
  };
  EXPECT_EQ(parse({}).Kind, Content::Unnamed);
  EXPECT_EQ(parse({}).AskedAt, TimePoint{5s});
  EXPECT_EQ(parse({}, 500).Kind, Content::Unusable);
  EXPECT_EQ(parse({"0"}).Kind, Content::Named);
  EXPECT_EQ(parse({"0"}).Remaining, 0s);
  EXPECT_EQ(parse({"1250"}).Remaining, 1250ms);
  EXPECT_EQ(parse({"1250ms"}).Remaining, 1250ms);
  EXPECT_EQ(parse({"1.5s"}, 503).Remaining, 1500ms);
  EXPECT_EQ(parse({"1e300"}).Remaining, 60s);
  EXPECT_EQ(parse({"7200s"}).Remaining, 60s);
  for (const auto &text :
       std::vector<std::string>{"", "-1", "nan", "inf", "soon", "3m", "1e400", "2 s", "-1s"})
    EXPECT_EQ(parse({text}).Kind, Content::Unusable) << text;
  EXPECT_EQ(parse({"1", "2"}).Kind, Content::Unusable);
}

// Guards against an upstream that says that it leaves, or wants nothing for a time, and isn't
// heard, and against values that can't be read and keep requests away for ever.
TEST(WireFormat, ParsesWhatUpstreamsAskFor) {
  const auto parse = [](unsigned status, std::string_view name, const std::string &value) {
    HttpResponseHead head;
    head.result(status);
    head.insert(name, value);
    return platform::parseUpstreamNotice(head);
  };
  EXPECT_TRUE(parse(200, "server-leaving", "1").IsLeaving);
  EXPECT_FALSE(parse(200, "Server-Leaving", "0").IsLeaving);
  EXPECT_FALSE(parse(200, "Other", "1").IsLeaving);
  EXPECT_EQ(parse(503, "Retry-After", "2").RetryAfter, 2s);
  EXPECT_EQ(parse(503, "Retry-After", "0.25").RetryAfter, 250ms);
  EXPECT_EQ(parse(503, "Retry-After", "1e300").RetryAfter, 1h);
  EXPECT_FALSE(parse(200, "Retry-After", "2").RetryAfter);
  for (const auto *text : {"", "-1", "0", "inf-", "nan", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"})
    EXPECT_FALSE(parse(503, "Retry-After", text).RetryAfter) << text;
}

// Guards against calls to an upstream whose record has a missing or invalid field.
TEST(UpstreamCodec, RejectsInvalidRecords) {
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","capacity-slots":3,)"
      R"("state":"ready","warmup-remaining":"300ms","sequence":4,"born":17})";
  const auto record = platform::decodeUpstreamRecord("i-1", good);
  ASSERT_TRUE(record);
  EXPECT_EQ(record->StartedAtMs, 17U);
  EXPECT_EQ(record->WriteCount, 4U);
  EXPECT_EQ(record->Slots, 3);
  EXPECT_EQ(record->Warmup, 300ms);
  EXPECT_FALSE(record->IsDraining);
  for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{
           {R"("ready")", R"("sleepy")"},
           {R"("ready")", "7"},
           {R"("s")", "null"},
           {R"("capacity-slots":3)", R"("capacity-slots":"3")"},
           {R"("capacity-slots":3)", R"("capacity-slots":0)"},
           {R"("10.0.0.1:80")", R"("10.0.0.1")"},
           {R"("born":17)", R"("born":1.5)"},
           {R"("300ms")", R"("300")"},
           {"}", ""}}) {
    std::string bad = good;
    bad.replace(bad.find(from), from.size(), to);
    EXPECT_FALSE(platform::decodeUpstreamRecord("i-1", bad)) << bad;
  }
  EXPECT_FALSE(platform::decodeUpstreamRecord("i-1", "\xff\x00"));
}

// Odd entries of other writers. Guards against one that ends the process, or that is used: with
// values beyond every range, nested without end, or with an id that would add lines to requests.
TEST(UpstreamCodec, RejectsOddRecords) {
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","capacity-slots":3,)"
      R"("state":"ready","warmup-remaining":"300ms","sequence":4,"born":17})";
  const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
  for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{
           {R"("capacity-slots":3)", R"("capacity-slots":1e999)"},
           {R"("capacity-slots":3)", R"("capacity-slots":99999999999999999999999)"},
           {R"("capacity-slots":3)", R"("capacity-slots":-3)"},
           {R"("born":17)", R"("born":99999999999999999999999)"},
           {R"("born":17)", R"("born":1e999)"},
           {R"("300ms")", R"("1e999s")"},
           {R"("10.0.0.1:80")", R"("10.0.0.1:70000")"},
           {R"("10.0.0.1:80")", R"("10.0.0.1:-1")"},
           {R"("10.0.0.1:80")", R"("10.0.0.1:0")"},
           {R"("v1")", deep}}) {
    std::string odd = good;
    odd.replace(odd.find(from), from.size(), to);
    EXPECT_FALSE(platform::decodeUpstreamRecord("i-1", odd)) << odd.substr(0, 200);
  }
  EXPECT_FALSE(platform::decodeUpstreamRecord("i-1", deep));
  EXPECT_FALSE(platform::decodeUpstreamRecord("i-1\r\nX: y", good));
  EXPECT_FALSE(platform::decodeUpstreamRecord("i 1", good));
  EXPECT_TRUE(platform::decodeUpstreamRecord("i-1", good));
}

// Guards against a rate for cold upstreams that is ignored, and against a value that can't be read
// and leaves them without a limit.
TEST(ConfigurationCodec, DecodesTheRateOfColdUpstreams) {
  const auto decode = [](const std::string &fields) {
    return platform::decodeConfiguration(R"({"version":7,"routes":[],"services":[{"name":"a")" +
                                         fields + "}]}");
  };
  EXPECT_EQ(decode("")->Services[0].WarmupRequestsPerSecond, 0);
  EXPECT_EQ(decode(R"(,"warmup-per-s":4.3,"warmup":"3s")")->Services[0].WarmupRequestsPerSecond,
            4.3);
  EXPECT_EQ(decode(R"(,"warmup-per-s":4)")->Services[0].WarmupRequestsPerSecond, 4);
  for (const auto *value : {"-1", R"("many")", "null", "{}", "1e999"})
    EXPECT_FALSE(decode(std::string{R"(,"warmup-per-s":)"} + value).ok()) << value;
}

// Guards against configuration fields that are ignored, and against a wrong call class for a route
// kind.
TEST(ConfigurationCodec, DecodesRoutesAndLimits) {
  const auto configuration = platform::decodeConfiguration(
      R"({"version":7,"routes":[{"name":"r1","host":"h.example","prefix":"/p/","route-kind":"safe",)"
      R"("timeout":"800ms","target-latency":"300ms","priority":2,"max-attempts":2,"traffic-split":)"
      R"([{"service":"a","weight":90},{"service":"b","weight":10}]},{"name":"r2","host":"h.example",)"
      R"("prefix":"/q/","route-kind":"download","service":"a","max-attempts":1}],"services":)"
      R"([{"name":"a","health-check-path":"/hc","max-connections":220}],"limits":)"
      R"({"max-header-bytes":1000,"max-body-bytes":2000,"header-timeout":"3s","idle-timeout":"15s"}})");
  ASSERT_TRUE(configuration.ok()) << configuration.status();
  ASSERT_EQ(configuration->Routes.size(), 2U);
  EXPECT_EQ(configuration->Routes[0].Class, CallClass::Idempotent);
  EXPECT_EQ(configuration->Routes[0].Timeout, 800ms);
  ASSERT_EQ(configuration->Routes[0].WeightedServices.size(), 2U);
  EXPECT_EQ(configuration->Routes[0].WeightedServices[1].Weight, 10);
  EXPECT_EQ(configuration->Routes[1].Class, CallClass::Export);
  EXPECT_FALSE(configuration->Routes[1].Timeout);
  EXPECT_EQ(configuration->Services[0].HealthPath, "/hc");
  EXPECT_EQ(configuration->Limits.MaxHeaderBytes, 1000U);
  EXPECT_EQ(configuration->Limits.IdleTimeout, 15s);
}

// Guards against a malformed configuration that is accepted.
TEST(ConfigurationCodec, RejectsInvalidConfigurations) {
  for (const auto *text :
       {"", "[]", R"({"routes":[]})", R"({"version":1})", R"({"version":1,"routes":[{}]})",
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"p/","route-kind":"safe",)"
        R"("service":"a","max-attempts":1}]})",
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/p/","route-kind":"odd",)"
        R"("service":"a","max-attempts":1}]})",
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/p/","route-kind":"safe",)"
        R"("traffic-split":[],"max-attempts":1}]})"})
    EXPECT_FALSE(platform::decodeConfiguration(text).ok()) << text;
}

// Guards against watch events that are lost in decoding, and against malformed responses that are
// accepted.
TEST(StoreClient, DecodesWatchResponsesAndPages) {
  const auto delta = platform::decodeWatchResponse(
      R"({"events":[{"key":"op/config","value":"bm9kZS0x","revision":412,"create-revision":412,)"
      R"("lease":7},{"key":"servers/b","revision":413,"deleted":true}],"as-of":413})");
  ASSERT_TRUE(delta.ok());
  ASSERT_EQ(delta->Items.size(), 2U);
  EXPECT_EQ(delta->Items[0].Value, "node-1");
  EXPECT_EQ(delta->Items[0].Revision, 412U);
  EXPECT_TRUE(delta->Items[1].IsRemoved);
  EXPECT_EQ(delta->AsOf, 413U);
  const auto page = platform::decodeStorePage(R"({"items":[],"has-more":true,"as-of":5})");
  ASSERT_TRUE(page.ok());
  EXPECT_TRUE(page->HasMore);
  EXPECT_FALSE(platform::decodeWatchResponse(R"({"events":[]})").ok());
  EXPECT_FALSE(platform::decodeWatchResponse(R"({"events":[{"key":"a"}],"as-of":1})").ok());
  EXPECT_FALSE(platform::decodeStorePage("nothing").ok());
}

TEST(DirectoryCodec, DecodesQueriesAndEncodesResponses) {
  const auto query = platform::decodeDirectoryQuery("/v1/resolve?name=h&region=r&zone=z-1");
  ASSERT_TRUE(query);
  EXPECT_EQ(query->DataCentre, "z-1");
  EXPECT_FALSE(platform::decodeDirectoryQuery("/v1/other?zone=z-1"));
  const std::vector<std::string> addresses{"10.0.0.1:80", "10.0.0.2:80"};
  EXPECT_EQ(platform::encodeDirectoryResponse(addresses, 2s),
            R"({"addresses":["10.0.0.1:80","10.0.0.2:80"],"ttl":"2000ms"})");
}

// Guards against an order to evacuate that isn't understood, and against other keys, or names that
// spoil logs and metrics, that are taken for one.
TEST(WireFormat, ReadsEvacuationKeys) {
  EXPECT_EQ(platform::evacuatedDataCentreOf("op/evacuate/z-1"), "z-1");
  EXPECT_EQ(platform::evacuatedDataCentreOf("op/evacuate/eu/1 b"), "eu/1 b");
  for (const std::string &it :
       {std::string{"op/evacuate/"}, "op/evacuate/a\nb" + std::string{}, std::string{"op/config"},
        "op/evacuate/" + std::string(256, 'a'), std::string{"op/evacuated/a"},
        std::string{"servers/op/evacuate/a"}})
    EXPECT_FALSE(platform::evacuatedDataCentreOf(it)) << it;
  EXPECT_TRUE(platform::isEvacuationKey("op/evacuate/"));
  EXPECT_FALSE(platform::isEvacuationKey("op/evacuate"));
}

// Guards against a bound on evacuations that is ignored, and against settings without it under
// which VMs ask the store at other times than before.
TEST(NodeFile, BoundsEvacuationsIfTheSettingsDo) {
  const auto boundsWith = [](const std::string &bounds) {
    return platform::decodeNodeFile("node-name = \"vm-1\"\nbounds = [" + bounds +
                                    "]\n[platform]\naddress = \"10.200.1.7:8541\"\n");
  };
  const auto without = boundsWith(R"("drain-timeout=2s","config-apply=2500ms")");
  ASSERT_TRUE(without.ok()) << without.status();
  EXPECT_FALSE(without->Bounds.EvacuationDeadline);
  EXPECT_EQ(without->Bounds.changeDeadline(), 2s);
  const auto longer = boundsWith(R"("drain-timeout=2s","evacuation=5000ms")");
  ASSERT_TRUE(longer.ok());
  EXPECT_EQ(longer->Bounds.EvacuationDeadline, 5s);
  EXPECT_EQ(longer->Bounds.changeDeadline(), 2s);
  EXPECT_EQ(boundsWith(R"("drain-timeout=2s","evacuation=1s")")->Bounds.changeDeadline(), 1s);
  EXPECT_FALSE(boundsWith(R"("evacuation=soon")").ok());
}

// Guards against priority admission at deployments that don't ask for it.
TEST(NodeFile, HasPriorityAdmissionIfTheContractsDo) {
  const auto settingsWith = [](const std::string &contracts) {
    return platform::decodeNodeFile("node-name = \"vm-1\"\n" + contracts +
                                    "\n[platform]\naddress = \"10.200.1.7:8541\"\n");
  };
  EXPECT_TRUE(settingsWith(R"(contracts = ["base","pressure"])")->HasPriorityAdmission);
  EXPECT_FALSE(settingsWith(R"(contracts = ["base","pool"])")->HasPriorityAdmission);
  EXPECT_FALSE(settingsWith(R"(contracts = "pressure")")->HasPriorityAdmission);
  EXPECT_FALSE(settingsWith("")->HasPriorityAdmission);
}

// Guards against invalid settings that are accepted, and against unknown fields that make the whole
// file invalid.
TEST(NodeFile, DecodesSettings) {
  const std::string good = R"(node-name = "vm-1"
zone = "a"
region = "r"
ip-address = "10.1.0.34"
internal-port-range = [7540,7555]
seed-nodes = ["10.1.0.34:8544","nonsense"]
bounds = ["retry-budget-ratio=0.2","budget-window=10s","retry-budget-extra=56","grace-period=6s","new=1",
  "warmup-overage=1.5","warmup-tolerance=8"]
new-field = true
[listen-addresses]
frontend = "10.1.0.34:8548"
directory = "10.1.0.34:8546"
[limits]
cpu-share = 0.2
link-mbps = 1000.0
[platform]
address = "10.200.1.7:8541"
)";
  const auto settings = platform::decodeNodeFile(good);
  ASSERT_TRUE(settings.ok()) << settings.status();
  EXPECT_EQ(settings->Name, "vm-1");
  EXPECT_EQ(settings->FirstInternalPort, 7540);
  EXPECT_EQ(settings->SeedPeers, std::vector<std::string>{"10.1.0.34:8544"});
  EXPECT_EQ(settings->Bounds.RepeatExtra, 56);
  EXPECT_EQ(settings->Bounds.WarmupOverage, 1.5);
  EXPECT_EQ(settings->Bounds.WarmupTolerance, 8);
  EXPECT_FALSE(FleetBounds{}.limitsWarmup());
  EXPECT_EQ(settings->Bounds.StopGrace, 6s);
  EXPECT_TRUE(settings->ReadinessAddress.empty());
  for (const auto &[from, to] :
       std::vector<std::pair<std::string, std::string>>{{"vm-1", ""},
                                                        {"10.200.1.7:8541", "somewhere"},
                                                        {"10.1.0.34:8548", "10.1.0.34"},
                                                        {"budget-window=10s", "budget-window=ten"},
                                                        {"[limits]", "[limits"}}) {
    std::string bad = good;
    bad.replace(bad.find(from), from.size(), to);
    EXPECT_FALSE(platform::decodeNodeFile(bad).ok()) << to;
  }
}
