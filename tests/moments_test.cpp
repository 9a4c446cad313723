// Race conditions, reproduced in every run: the gateway is stopped (SIGSTOP), the events that have to
// coincide are put into the kernel's buffers, and it is continued; a stub engine completes a TCP handshake
// only when told to.
#include "service.h"

namespace {

// An engine that accepts connections only when told to: its accept queue is full.
class EngineWithFullBacklog {
 public:
  EngineWithFullBacklog() : listener_(0), filler_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    REQUIRE_EQ(connect(filler_, raw(listener_.address), sizeof listener_.address), 0);
  }
  ~EngineWithFullBacklog() { ::close(filler_); }
  const sockaddr_in& address() const { return listener_.address; }
  // Waits until a connect to it is pending: /proc/net/tcp shows a socket in state 02 (SYN sent).
  void waitForConnect() const {
    char pattern[24];
    std::snprintf(pattern, sizeof pattern, " %08X:%04X 02 ", listener_.address.sin_addr.s_addr,
                  ntohs(listener_.address.sin_port));
    for (double end = now() + kWait / 1e3; now() < end; pause(0.005)) {
      std::stringstream text;
      text << std::ifstream("/proc/net/tcp").rdbuf();
      if (text.str().find(pattern) != std::string::npos)
        return;
    }
    FAIL("no connect is pending");
  }
  // Accepts the pending connection. The kernel repeats its SYN after one second, and after three.
  std::unique_ptr<StubConnection> acceptPending() {
    listener_.accept();
    return listener_.accept();
  }

 private:
  Listener listener_;
  int filler_;
};

// Whether nothing arrives for 300 ms.
bool isSilent(StubConnection& peer) {
  pollfd readable{peer.fd(), POLLIN, 0};
  return peer.in.empty() && poll(&readable, 1, 300) == 0;
}

}  // namespace

TEST_CASE("a command whose client has disconnected is not sent when its connection is established") {
  // Together: the gateway sees the disconnect and the completed handshake in one turn; otherwise the
  // disconnect first.
  for (bool together : {false, true}) {
    EngineWithFullBacklog engineWithFullBacklog;
    EngineStubs engines(1);
    GatewayProcess service(engines, 1);
    service.config["known"]["results"][0]["fleet"]["hosts"][0]["dial"] =
        textOf(engineWithFullBacklog.address());
    service.config["settings"]["limits"]["connectTimeoutUs"] = 6000000;
    service.start();
    service.ready();
    auto client = service.client();
    client->write(post(1));
    engineWithFullBacklog.waitForConnect();
    if (together)
      service.kill(SIGSTOP);
    client->close();
    auto peer = engineWithFullBacklog.acceptPending();
    if (together)
      service.kill(SIGCONT);
    CHECK(isSilent(*peer));
  }
}

TEST_CASE("a command whose client has disconnected is not sent when a connection slot becomes free") {
  EngineStubs engines(1);
  GatewayProcess service(
      engines, 1, 24);  // eight connections to engines; a command with an ordering key needs one of its own
  service.start();
  service.ready();
  std::list<std::unique_ptr<StubConnection>> clients;
  std::vector<EngineRequestLine> sends;
  for (int i = 0; i < 8; ++i) {
    clients.push_back(service.client());
    clients.back()->write(post(1 + i, "load", 6000, kToken + "Req-Key: " + idOf(100 + i) + "\r\n"));
    sends.push_back(engines.next());
  }
  auto gone = service.client(), waiting = service.client();
  gone->write(post(20, "load", 6000, kToken + "Req-Key: " + idOf(200) + "\r\n"));
  CHECK_EQ(engines.next(100).verb, "");
  service.kill(SIGSTOP);
  gone->close();
  waiting->write(post(21, "load", 6000, kToken + "Req-Key: " + idOf(201) + "\r\n"));
  sends.front().hit();
  service.kill(SIGCONT);
  EngineRequestLine next = engines.next();
  CHECK_EQ(next.verb + next.id, "GET" + idOf(21));
  next.hit();
  CHECK_EQ(answer(*waiting), kServed);
  CHECK_EQ(engines.next(100).verb, "");
}

TEST_CASE("the close of a client is seen behind more input than the buffer holds: no further send") {
  ServiceFixture fixture;
  auto client = fixture.service.client();
  client->write(post(1));
  EngineRequestLine first = fixture.engines.next();
  client->write(std::string(200'000, 'x'));
  client->waitUntilDelivered();
  fixture.service.kill(SIGSTOP);
  client->write(std::string(60'000, 'x'));
  client->waitUntilDelivered();  // so that the close is in the gateway's receive queue, too
  client->close();
  first.answer("SHED");
  fixture.service.kill(SIGCONT);
  CHECK_EQ(fixture.engines.next(500).verb, "");
}

TEST_CASE("a further send with an idempotency token starts within its deduplication window or not at all") {
  EngineWithFullBacklog engineWithFullBacklog;
  EngineStubs engines(1);
  GatewayProcess service(engines, 1);
  auto& classes = service.config["settings"]["classes"];
  classes[1]["memorySpanUs"] = 500000;
  classes[1]["group"] = "all";
  service.config["settings"]["limits"]["connectTimeoutUs"] = 6000000;
  service.start();
  service.ready();
  auto log = service.follower();
  auto client = service.client();
  client->write(post(1, "load", 8000, kToken));
  EngineRequestLine first = engines.next();
  log->write(change(2, 9, 0, engineWithFullBacklog.address()));
  CHECK(service.logs("event 2, changes"));
  first.from->reset();  // it may have run; the gateway connects to the other engine
  engineWithFullBacklog.waitForConnect();
  auto peer = engineWithFullBacklog.acceptPending();  // one second later
  CHECK(isSilent(*peer));
  CHECK_EQ(answer(*client), kBusy);  // every engine knows the token, so the client may repeat the command
}

TEST_CASE(
    "SIGTERM with an engine that hangs: every command is answered before the platform may send SIGKILL") {
  EngineStubs engines(1);
  GatewayProcess service(engines, 1);
  for (auto& profile : service.config["settings"]["classes"])
    profile["deadlineUs"] = 1000000;
  service.start();
  service.ready();
  auto out = service.client(), held = service.client(), once = service.client();
  out->write(post(1, "load", 60000, kToken + kKey));
  engines.next();
  held->write(post(2, "load", 60000, kToken + kKey));  // queued behind it, with the same ordering key
  once->write(post(3, "once", 60000));
  engines.next();
  double from = now();
  service.kill(SIGTERM);
  CHECK_EQ(answer(*held), kBusy);
  CHECK_EQ(answer(*out) + answer(*once), kFailed + kFailed);
  CHECK_EQ(service.status(), 0);
  CHECK_LT(now() - from, 4.0);  // takes 1.5 s; would be 6 s if each command waited for its own timeout
}

TEST_CASE(
    "SIGTERM: a partial request is still read and served, an idle client gets a half-close, and its later "
    "requests are not sent") {
  ServiceFixture fixture(1);
  auto running = fixture.service.client(), half = fixture.service.client(), idle = fixture.service.client();
  running->write(post(1, "once"));
  EngineRequestLine first = fixture.engines.next();
  idle->write("GET /check HTTP/1.1\r\n\r\n");
  CHECK_EQ(answer(*idle), "200 {}");
  fixture.service.kill(SIGTERM);
  pause(0.4);
  std::string request = post(2);
  half->write(request.substr(0, 60));
  CHECK(idle->ended());  // the listening socket is closed by now
  half->write(request.substr(60));
  EngineRequestLine second = fixture.engines.next();
  CHECK_EQ(second.id, idOf(2));
  idle->write(post(3));
  CHECK_EQ(fixture.engines.next(200).verb, "");
  second.hit();
  first.hit();
  std::string head = running->until("\r\n\r\n");
  CHECK_NE(head.find("Connection: close"), std::string::npos);
  CHECK_EQ(answer(*half), kServed);
  CHECK_EQ(fixture.service.status(), 0);
}

TEST_CASE("repeated SIGTERM has the effect of one") {
  ServiceFixture fixture(1);
  for (int i = 0; i < 12; ++i, pause(0.25))
    fixture.service.kill(i % 3 == 1 ? SIGHUP : SIGTERM);
  CHECK_EQ(StubConnection::to(fixture.service.listen), nullptr);
  CHECK_EQ(fixture.service.status(), 0);
}

TEST_CASE("a change log that closes after a frame, each time, is not reconnected to without a pause") {
  ServiceFixture fixture(1);
  int connects = 0;
  for (double end = now() + 0.5; now() < end; ++connects) {
    auto log = fixture.service.follower();
    log->write(bigEndian(9, 4) + bigEndian(1, 8) + bigEndian(0, 1));
    log->close();
  }
  CHECK_LT(connects, 10);
  CHECK_GT(connects, 2);
}

TEST_CASE("idle clients hold all descriptors while the change log is down: it is followed once it is back") {
  EngineStubs engines(1);
  GatewayProcess service(engines, 1);
  service.start(48);  // a lower limit than the configuration says
  service.ready();
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
  CHECK_EQ(service.resumed, bigEndian(1, 8));
  client->write(post(1));
  engines.next().hit();
  CHECK_EQ(answer(*client), kServed);
}

TEST_CASE("partial requests that are evicted get a response that they are shed") {
  ServiceFixture fixture(1, 96);  // 48 of them for clients
  std::list<std::unique_ptr<StubConnection>> half;
  for (int i = 0; i < 48; ++i) {
    half.push_back(fixture.service.client());
    half.back()->write("POST /do/quick HTTP/1.1\r\nHost: x\r\n");
  }
  auto client = fixture.service.client();
  client->write(post(1));
  fixture.engines.next().hit();
  CHECK_EQ(answer(*client), kServed);
  CHECK_EQ(answer(*half.front()), kBusy);
  CHECK(half.front()->ended());
}

TEST_CASE("a command whose send hangs is answered while the response can still arrive in time") {
  ServiceFixture fixture(1);
  auto client = fixture.service.client();
  client->write(post(1, "once", 1000));
  EngineRequestLine hangs = fixture.engines.next();
  int limit = std::stoi(hangs.fields.substr(hangs.fields.find("limit=") + 6));
  CHECK_LE(limit, 940);  // of 1,000 ms, however fast everything is
  CHECK_EQ(answer(*client), kFailed);
}
