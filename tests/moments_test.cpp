// Rare moments: two things that meet at the wrong instant, made to happen every time. The program is stopped, what
// has to meet is laid into the system's buffers, and it goes on; a stand-in completes a handshake only when told.
#include "service.h"

namespace {

// An engine whose machine takes connections only once told: its queue of them is full.
class Unready {
 public:
  Unready() : listener_(0), filler_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    REQUIRE_EQ(connect(filler_, raw(listener_.address), sizeof listener_.address), 0);
  }
  ~Unready() { ::close(filler_); }
  const sockaddr_in& address() const { return listener_.address; }
  // Once somebody has knocked in vain. /proc has its state: 02, the first segment is out.
  void knocked() const {
    char mark[24];
    std::snprintf(mark, sizeof mark, " %08X:%04X 02 ", listener_.address.sin_addr.s_addr,
                  ntohs(listener_.address.sin_port));
    for (double end = now() + kWait / 1e3; now() < end; pause(0.005)) {
      std::stringstream text;
      text << std::ifstream("/proc/net/tcp").rdbuf();
      if (text.str().find(mark) != std::string::npos)
        return;
    }
    FAIL("nobody has knocked");
  }
  // That connection: the system knocks again after a second, and after three.
  std::unique_ptr<StubConnection> ready() {
    listener_.accept();
    return listener_.accept();
  }

 private:
  Listener listener_;
  int filler_;
};

bool silent(StubConnection& peer) {  // nothing comes for a while
  pollfd news{peer.fd(), POLLIN, 0};
  return peer.in.empty() && poll(&news, 1, 300) == 0;
}

}  // namespace

TEST_CASE("a command whose client has gone is not sent when the handshake that it waits for is done") {
  for (bool together :
       {false, true}) {  // the program hears of both in one wake, or of the client's end first
    Unready unready;
    EngineStubs engines(1);
    GatewayProcess service(engines, 1);
    service.config["known"]["results"][0]["fleet"]["hosts"][0]["dial"] = textOf(unready.address());
    service.config["settings"]["limits"]["connectTimeoutUs"] = 6000000;
    service.start(), service.ready();
    auto client = service.client();
    client->write(post(1));
    unready.knocked();
    if (together)
      service.kill(SIGSTOP);
    client->close();
    auto peer = unready.ready();
    if (together)
      service.kill(SIGCONT);
    CHECK(silent(*peer));
  }
}

TEST_CASE("a command whose client has gone is not sent when a place among connections falls free") {
  EngineStubs engines(1);
  GatewayProcess service(engines, 1, 24);  // eight connections to engines; commands with a key want one each
  service.start(), service.ready();
  std::list<std::unique_ptr<StubConnection>> clients;
  std::vector<EngineRequestLine> sends;
  for (int i = 0; i < 8; ++i) {
    clients.push_back(service.client());
    clients.back()->write(post(1 + i, "load", 6000, kToken + "Req-Key: " + idOf(100 + i) + "\r\n"));
    sends.push_back(engines.next());
  }
  auto gone = service.client(), stays = service.client();
  gone->write(post(20, "load", 6000, kToken + "Req-Key: " + idOf(200) + "\r\n"));
  CHECK_EQ(engines.next(100).verb, "");
  service.kill(SIGSTOP);
  gone->close();
  stays->write(post(21, "load", 6000, kToken + "Req-Key: " + idOf(201) + "\r\n"));
  sends.front().hit();
  service.kill(SIGCONT);
  EngineRequestLine next = engines.next();
  CHECK_EQ(next.verb + next.id, "GET" + idOf(21));
  next.hit();
  CHECK_EQ(answer(*stays), kServed);
  CHECK_EQ(engines.next(100).verb, "");
}

TEST_CASE("a client that closes behind more than we read of it is seen to have gone: no further attempt") {
  ServiceFixture stage;
  auto client = stage.service.client();
  client->write(post(1));
  EngineRequestLine first = stage.engines.next();
  client->write(std::string(200'000, 'x')), client->arrived();
  stage.service.kill(SIGSTOP);
  client->write(std::string(60'000, 'x')),
      client->arrived();  // our end of it must stand in the program's own queue
  client->close();
  first.answer("SHED");
  stage.service.kill(SIGCONT);
  CHECK_EQ(stage.engines.next(500).verb, "");
}

TEST_CASE("a further attempt with an idempotency key begins inside its window or not at all") {
  Unready unready;
  EngineStubs engines(1);
  GatewayProcess service(engines, 1);
  auto& classes = service.config["settings"]["classes"];
  classes[1]["memorySpanUs"] = 500000, classes[1]["group"] = "all";
  service.config["settings"]["limits"]["connectTimeoutUs"] = 6000000;
  service.start(), service.ready();
  auto log = service.follower();
  auto client = service.client();
  client->write(post(1, "load", 8000, kToken));
  EngineRequestLine first = engines.next();
  log->write(change(2, 9, 0, unready.address()));
  CHECK(service.logs("event 2, changes"));
  first.from->reset();  // it may have run; the other engine is asked for a connection
  unready.knocked();
  auto peer = unready.ready();  // a second later
  CHECK(silent(*peer));
  CHECK_EQ(answer(*client), kBusy);  // every engine knows the token: a repeat of it is harmless
}

TEST_CASE("told to end with an engine that hangs: all is answered before the platform may kill it") {
  EngineStubs engines(1);
  GatewayProcess service(engines, 1);
  for (auto& profile : service.config["settings"]["classes"])
    profile["deadlineUs"] = 1000000;
  service.start(), service.ready();
  auto out = service.client(), held = service.client(), once = service.client();
  out->write(post(1, "load", 60000, kToken + kKey));
  engines.next();
  held->write(post(2, "load", 60000, kToken + kKey));  // behind it, for the same key
  once->write(post(3, "once", 60000));
  engines.next();
  double from = now();
  service.kill(SIGTERM);
  CHECK_EQ(answer(*held), kBusy);
  CHECK_EQ(answer(*out) + answer(*once), kFailed + kFailed);
  CHECK_EQ(service.status(), 0);
  CHECK_LT(now() - from, 4.0);  // 1.5 s, and 6 s where each waits for its own time
}

TEST_CASE(
    "told to end: half a request is read to its end, who rests is told, what comes then is not sent on") {
  ServiceFixture stage(1);
  auto running = stage.service.client(), half = stage.service.client(), resting = stage.service.client();
  running->write(post(1, "once"));
  EngineRequestLine first = stage.engines.next();
  resting->write("GET /check HTTP/1.1\r\n\r\n");
  CHECK_EQ(answer(*resting), "200 {}");
  stage.service.kill(SIGTERM);
  pause(0.4);
  std::string request = post(2);
  half->write(request.substr(0, 60));
  CHECK(resting->ended());  // no client comes any more
  half->write(request.substr(60));
  EngineRequestLine second = stage.engines.next();
  CHECK_EQ(second.id, idOf(2));
  resting->write(post(3));
  CHECK_EQ(stage.engines.next(200).verb, "");
  second.hit();
  first.hit();
  std::string head = running->until("\r\n\r\n");
  CHECK_NE(head.find("Connection: close"), std::string::npos);
  CHECK_EQ(answer(*half), kServed);
  CHECK_EQ(stage.service.status(), 0);
}

TEST_CASE("told to end again and again it ends as if told once") {
  ServiceFixture stage(1);
  for (int i = 0; i < 12; ++i, pause(0.25))
    stage.service.kill(i % 3 == 1 ? SIGHUP : SIGTERM);
  CHECK_EQ(StubConnection::to(stage.service.listen), nullptr);
  CHECK_EQ(stage.service.status(), 0);
}

TEST_CASE("a change log that tells something and breaks off, each time, is not asked without a pause") {
  ServiceFixture stage(1);
  int asked = 0;
  for (double end = now() + 0.5; now() < end; ++asked) {
    auto log = stage.service.follower();
    log->write(big(9, 4) + big(1, 8) + big(0, 1));
    log->close();
  }
  CHECK_LT(asked, 10);
  CHECK_GT(asked, 2);
}

TEST_CASE("idle clients hold all descriptors while the change log is away: it is followed when it is back") {
  EngineStubs engines(1);
  GatewayProcess service(engines, 1);
  service.start(48), service.ready();  // fewer than the configuration says
  auto log = service.follower();
  service.changeLog.down();
  log->close();
  std::list<std::unique_ptr<StubConnection>> idle;
  for (int i = 0; i < 100; ++i)
    idle.push_back(service.client());
  auto client = service.client();
  client->write("GET /check HTTP/1.1\r\n\r\n");
  CHECK_EQ(answer(*client), "200 {}");
  service.changeLog.up();
  log = service.follower();
  CHECK_EQ(service.resumed, big(1, 8));
  client->write(post(1));
  engines.next().hit();
  CHECK_EQ(answer(*client), kServed);
}

TEST_CASE("half requests that have to make room for others are told so") {
  ServiceFixture stage(1, 96);  // 48 of them for clients
  std::list<std::unique_ptr<StubConnection>> half;
  for (int i = 0; i < 48; ++i) {
    half.push_back(stage.service.client());
    half.back()->write("POST /do/quick HTTP/1.1\r\nHost: x\r\n");
  }
  auto client = stage.service.client();
  client->write(post(1));
  stage.engines.next().hit();
  CHECK_EQ(answer(*client), kServed);
  CHECK_EQ(answer(*half.front()), kBusy);
  CHECK(half.front()->ended());
}

TEST_CASE("a command whose attempt hangs is given up while its answer can still be in time") {
  ServiceFixture stage(1);
  auto client = stage.service.client();
  client->write(post(1, "once", 1000));
  EngineRequestLine hangs = stage.engines.next();
  int limit = std::stoi(hangs.fields.substr(hangs.fields.find("limit=") + 6));
  CHECK_LE(limit, 940);  // of 1,000 ms, however fast all is
  CHECK_EQ(answer(*client), kFailed);
}
