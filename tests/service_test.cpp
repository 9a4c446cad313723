// The program as its users meet it: started as a process and spoken to over sockets, with stand-ins for
// engines and the change log.
#include "service.h"

TEST_CASE("a command goes to an engine as it came, and its pages come back as one answer") {
  ServiceFixture stage(1);
  auto client = stage.service.client();
  std::string statement = "SELECT 'x\r\n' FROM sales_17.t";
  for (char c : post(1, "load", 6000, kToken + kKey, statement))
    client->write({c});
  EngineRequestLine send = stage.engines.next();
  CHECK_EQ(send.verb + " " + send.id, "GET " + idOf(1));
  CHECK(send.fields.starts_with("cls=load,limit="));
  CHECK(send.fields.ends_with(",nonce=5c0f6e1a,weight=2"));
  CHECK_EQ(send.body, statement);
  send.answer("INFO", "tell=pct,figure=0.4");
  send.answer("HIT", "fetches=3", "a\t\"\t\\\n");
  EngineRequestLine two = stage.engines.next(), three = stage.engines.next();
  CHECK_EQ(two.verb + two.fields + three.verb + three.fields, "PAGE1PAGE2");
  three.answer("PART", "fetch_no=2", "g\th\ti\n");
  two.answer("PART", "fetch_no=1", "");
  CHECK_EQ(answer(*client), R"(200 {"records":[["a","\"","\\"],["g","h","i"]]})");
  CHECK_EQ(stage.engines.next().verb, "CLOSE");

  client->write(post(2));  // both connections are used again
  EngineRequestLine again = stage.engines.next();
  CHECK_EQ(again.from, send.from);
  again.answer("HIT", "fetches=1", "");
  CHECK_EQ(answer(*client), R"(200 {"records":[]})");
}

TEST_CASE("an engine that is full: another serves; what can't be in time is shed") {
  ServiceFixture stage;
  auto client = stage.service.client();
  client->write(post(1));
  EngineRequestLine full = stage.engines.next();
  full.answer("SHED");
  EngineRequestLine second = stage.engines.next();
  CHECK_NE(second.engine, full.engine);
  second.hit();
  CHECK_EQ(answer(*client), kServed);
  client->write(post(2, "quick", 20));
  CHECK_EQ(answer(*client), kBusy);
}

TEST_CASE("a connection breaks with a send out: a further send only where the profile allows it") {
  ServiceFixture stage;
  auto client = stage.service.client();
  client->write(post(1));
  EngineRequestLine first = stage.engines.next();
  first.from->reset();
  EngineRequestLine second = stage.engines.next();
  CHECK_EQ(second.verb + second.id, "GET" + idOf(1));
  second.from->close();  // an orderly close may have lost the answer as well
  stage.engines.next().hit();
  CHECK_EQ(answer(*client), kServed);
  for (auto& [profile, more] : Pairs{{"load", kToken}, {"once", ""}}) {
    client->write(post(profile == "load" ? 2 : 3, profile, 6000, more));
    EngineRequestLine only = stage.engines.next();
    pause(0.02);  // the engines remember a repeat for 1 ms
    only.from->reset();
    CHECK_EQ(answer(*client), kFailed);
  }
  CHECK_EQ(stage.engines.next(200).verb, "");
}

TEST_CASE("a page is lost with its engine: the whole result is asked for again") {
  ServiceFixture stage;
  auto client = stage.service.client();
  client->write(post(1));
  EngineRequestLine first = stage.engines.next();
  first.answer("HIT", "fetches=2", "x\ty\tz\n");
  CHECK_EQ(stage.engines.next().verb, "PAGE");
  first.from->reset();
  stage.engines.next().hit();
  CHECK_EQ(answer(*client), kServed);
  CHECK_EQ(stage.engines.next(100).verb, "");
}

TEST_CASE("an engine whose port is closed has run nothing: any profile goes to another") {
  EngineStubs engines(2);
  GatewayProcess service(engines, 2);
  {
    Listener gone;
    service.config["known"]["results"][0]["fleet"]["hosts"][0]["dial"] = textOf(gone.address);
  }
  service.start(), service.ready();
  auto client = service.client();
  for (int id = 1; id <= 4; ++id) {  // by their groups of tables, some rank the closed one first
    client->write(post(id, "once", 6000, "", "SELECT 1 FROM sales_" + std::to_string(id) + ".t"));
    EngineRequestLine send = engines.next();
    CHECK_EQ(send.engine, 1);
    send.hit();
    CHECK_EQ(answer(*client), kServed);
  }
  CHECK_NE(service.log().find("connection ended: refused"), std::string::npos);
}

TEST_CASE("a client that closes or sends DELETE is owed nothing, and its pages are not fetched") {
  ServiceFixture stage(1);
  auto client = stage.service.client();
  client->write(post(1));
  EngineRequestLine closed = stage.engines.next();
  client->close();
  auto other = stage.service.client(), third = stage.service.client();
  other->write(post(2));
  EngineRequestLine deleted = stage.engines.next();
  third->write("DELETE /do/quick HTTP/1.1\r\nReq-Id: " + idOf(2) + "\r\n\r\n");
  CHECK_EQ(answer(*third), "200 {}");
  CHECK(other->ended());
  for (auto* line : {&closed, &deleted})
    line->answer("HIT", "fetches=2", "a\tb\tc\n");
  CHECK_EQ(stage.engines.next().verb, "CLOSE");
  CHECK_EQ(stage.engines.next().verb, "CLOSE");
  third->write("DELETE /do/" + idOf(2) + " HTTP/1.1\r\n\r\n");
  CHECK_EQ(answer(*third).substr(0, 3), "404");
  third->write(post(3));
  stage.engines.next().hit();
  CHECK_EQ(answer(*third), kServed);
}

TEST_CASE("where cancels are allowed a withdrawn command is given up at its engine") {
  EngineStubs engines(1);
  GatewayProcess service(engines, 1);
  service.config["settings"]["limits"]["cancel"] = true;
  service.start(), service.ready();
  auto client = service.client();
  client->write(post(1));
  EngineRequestLine send = engines.next();
  client->close();
  CHECK(send.from->ended());
}

TEST_CASE("commands of one key run one at a time, in the order in which they came") {
  ServiceFixture stage;
  auto one = stage.service.client(), two = stage.service.client(), three = stage.service.client();
  one->write(post(1, "load", 6000, kToken + kKey));
  EngineRequestLine first = stage.engines.next();
  two->write(post(2, "load", 6000, kToken + kKey));
  pause(0.06);
  three->write(post(3, "load", 6000, kToken + kKey));
  CHECK_EQ(stage.engines.next(200).verb, "");
  two->close();  // withdrawn while it is held
  first.hit();
  EngineRequestLine third = stage.engines.next();
  CHECK_EQ(third.id, idOf(3));
  third.hit();
  CHECK_EQ(answer(*one) + answer(*three), kServed + kServed);
}

TEST_CASE("an engine that drains gets nothing new; one that takes over an old address is another") {
  ServiceFixture stage;
  auto log = stage.service.follower();
  auto client = stage.service.client();
  log->write(change(2, 1, 1, stage.engines.address(0)));
  pause(0.05);
  for (int id = 1; id <= 5; ++id) {
    client->write(post(id, "quick", 6000, "", "SELECT 1 FROM sales_" + std::to_string(id) + ".t"));
    EngineRequestLine send = stage.engines.next();
    CHECK_EQ(send.engine, 1);
    send.hit();
    CHECK_EQ(answer(*client), kServed);
  }
  // Engine 2 goes and engine 3 comes up at its address: a new process, so a new connection.
  log->write(change(3, 2, 2, stage.engines.address(1)) + change(4, 3, 0, stage.engines.address(1)));
  pause(0.05);
  size_t had = stage.engines.connections();
  client->write(post(6));
  EngineRequestLine send = stage.engines.next();
  CHECK_EQ(send.engine, 1);
  CHECK_EQ(stage.engines.connections(), had + 1);
  send.hit();
  CHECK_EQ(answer(*client), kServed);
}

TEST_CASE("the change log: followed on from the last number after any end, and after silence") {
  ServiceFixture stage;
  auto log = stage.service.follower();
  CHECK_EQ(stage.service.resumed, big(1, 8));
  log->write(change(2, 1, 1, stage.engines.address(0)));
  log->write(big(9, 4) + big(2, 8) + big(0, 1) + change(3, 1, 0, stage.engines.address(0)).substr(0, 20));
  log->close();
  log = stage.service.follower();
  CHECK_EQ(stage.service.resumed, big(2, 8));
  log->write(change(3, 1, 2, stage.engines.address(0)) + big(9, 4) + big(3, 8) + big(7, 1));  // an odd kind
  CHECK(log->ended());
  log = stage.service.follower();
  CHECK_EQ(stage.service.resumed, big(3, 8));
  double from = now();
  CHECK(log->ended());  // nothing comes: it is taken for lost
  CHECK_GT(now() - from, 2.0);
  log = stage.service.follower();
  CHECK_EQ(stage.service.resumed, big(3, 8));
}

TEST_CASE("a change log that tells nothing before it breaks off is asked again, but not without a pause") {
  ServiceFixture stage(1);
  int asked = 0;
  for (double end = now() + 0.5; now() < end; ++asked)
    stage.service.follower()->close();
  CHECK_LT(asked, 10);
  CHECK_GT(asked, 2);
}

TEST_CASE(
    "budgets: users by header, waits told on what is shed, changed by SIGHUP, a bad file changes nothing") {
  EngineStubs engines(1);
  GatewayProcess service(engines, 1);
  service.gateway = R"({"budgets": {"actor": "X-User", "tellWaits": true, "nodes": [
    {"name": "acme", "guarantee": {"cores": 4}}, {"name": "acme/shut", "ceiling": {"cores": 0}}]}})";
  service.start(), service.ready();
  auto client = service.client(), other = service.client();
  client->write(post(1, "quick", 6000, "X-User: ann/desk\r\n"));
  engines.next().hit();
  CHECK_EQ(answer(*client), kServed);
  client->write(post(2, "quick", 6000, "X-User: ann//desk\r\n"));
  CHECK_EQ(answer(*client).substr(0, 3), "400");
  // Nothing of a node whose ceiling is nothing goes out; it is told to come back, in time.
  client->write(post(3, "quick", 800, "X-User: shut\r\n"));
  std::string head = client->until("\r\n\r\n");
  CHECK_EQ(head.substr(9, 3), "503");
  CHECK_NE(head.find("Retry-After: "), std::string::npos);
  CHECK_EQ(engines.next(100).verb, "");

  other->write(post(4, "quick", 6000, "X-User: shut\r\n"));
  service.own("{\"budgets\": {\"nodes\": [{\"name\": \"a\", \"weight\": -1}]}}");
  service.kill(SIGHUP);
  CHECK(service.logs("the old one stays: "));
  CHECK(service.logs("nodes[0].weight: found -1"));
  CHECK_EQ(engines.next(100).verb, "");
  service.own(R"({"budgets": {"actor": "X-User", "nodes": [{"name": "acme"}]}})");
  service.kill(SIGHUP);  // the row goes from under the command that is held
  EngineRequestLine freed = engines.next();
  CHECK_EQ(freed.id, idOf(4));
  freed.hit();
  CHECK_EQ(answer(*other), kServed);
  CHECK(service.logs("\"message\":\"budgets: changed, 1 nodes\""));
  service.own("{}");
  service.kill(SIGHUP);
  CHECK(service.logs("can't be switched on or off without a restart"));
}

TEST_CASE("SIGHUP: a new change log is followed from the last number at once; a bad file changes nothing") {
  ServiceFixture stage;
  auto log = stage.service.follower();
  auto client = stage.service.client(), idle = stage.service.client();
  client->write(post(1));
  EngineRequestLine send = stage.engines.next();
  log->write(change(2, 3, 2, stage.engines.address(0)));
  stage.service.configure("{\"listen\":");
  stage.service.kill(SIGHUP);
  log->write(change(3, 3, 2, stage.engines.address(0)));
  CHECK(stage.service.logs("configuration: the old one stays: PROXY_CONFIG"));
  Listener other;
  stage.service.config["changelog"] = textOf(other.address);
  stage.service.configure(stage.service.config.dump());
  double from = now();
  stage.service.kill(SIGHUP);
  CHECK(log->ended());
  auto moved = other.accept();
  CHECK_EQ(moved->bytes(8), big(3, 8));
  CHECK_LT(now() - from, 1.0);
  moved->write(change(4, 1, 1, stage.engines.address(0)));
  moved->write(change(4, 1, 1, stage.engines.address(0)));  // told twice
  send.hit();
  CHECK_EQ(answer(*client), kServed);
  idle->write(post(2));
  EngineRequestLine second = stage.engines.next();
  CHECK_EQ(second.engine, 1);
  second.hit();
  CHECK_EQ(answer(*idle), kServed);
}

TEST_CASE("a send whose time is up is given up by closing its connection before there is a further one") {
  // DROP alone is never heard by an engine that is cut off: there would be two sends out at once.
  ServiceFixture stage;
  auto client = stage.service.client(), other = stage.service.client();
  client->write(post(1));
  EngineRequestLine silent = stage.engines.next();
  EngineRequestLine further = stage.engines.next();
  CHECK_EQ(further.verb + further.id, "GET" + idOf(1));
  CHECK_NE(further.engine, silent.engine);
  further.hit();
  CHECK_EQ(answer(*client), kServed);
  CHECK(silent.from->ended());
}

TEST_CASE("a send on which the notes that are due do not come is given up; one with notes is not") {
  EngineStubs engines(2);
  GatewayProcess service(engines, 2);
  service.config["settings"]["specifics"]["progressPaceUs"] = 100000;
  service.start(), service.ready();
  auto client = service.client(), other = service.client();
  client->write(post(1, "load", 8000, kToken));  // its own time-out is the client's, but for a few seconds
  EngineRequestLine lost = engines.next();
  double from = now();
  other->write(post(2, "once", 8000));
  EngineRequestLine slow = engines.next();
  for (int i = 0; i < 10; ++i) {
    pause(0.1);
    slow.answer("INFO", "tell=pct,figure=0.4");
  }
  CHECK(lost.from->ended());
  CHECK_EQ(answer(*client), kFailed);  // the engines remember a repeat for 1 ms: no further send
  CHECK_LT(now() - from, 2.0);
  slow.hit();
  CHECK_EQ(answer(*other), kServed);
}

TEST_CASE("the next command of a key waits until the one before is given up for sure") {
  ServiceFixture stage(1, 5);  // descriptors for one connection to the engine, were they to share it
  auto other = stage.service.client(), one = stage.service.client(), two = stage.service.client();
  other->write(post(1, "once"));
  EngineRequestLine shared = stage.engines.next();
  one->write(post(2, "load", 400, kToken + kKey));
  EngineRequestLine first = stage.engines.next();
  CHECK_NE(first.from, shared.from);
  two->write(post(3, "load", 6000, kToken + kKey));
  CHECK_EQ(answer(*one), kFailed);
  EngineRequestLine second = stage.engines.next();
  CHECK_EQ(second.verb + second.id, "GET" + idOf(3));
  CHECK(first.from->ended());
  second.hit();
  shared.hit();
  CHECK_EQ(answer(*two) + answer(*other), kServed + kServed);
}

TEST_CASE(
    "where sends share a connection, a further one waits until the engine has heard of the first's end") {
  ServiceFixture stage(1, 5);  // descriptors for one connection to the engine
  auto client = stage.service.client(), other = stage.service.client();
  client->write(post(1));
  EngineRequestLine first = stage.engines.next();
  other->write(post(2, "once"));
  EngineRequestLine second = stage.engines.next();
  CHECK_EQ(second.from, first.from);
  EngineRequestLine drop = stage.engines.next();
  CHECK_EQ(drop.verb + drop.id, "DROP" + idOf(1));
  CHECK_EQ(stage.engines.next(300).verb, "");
  first.hit();  // it has crossed our word: nobody is told
  EngineRequestLine further = stage.engines.next();
  CHECK_EQ(further.verb + further.id, "GET" + idOf(1));
  CHECK_NE(further.from, first.from);
  further.hit("d\te\tf\n");
  second.hit();
  CHECK_EQ(answer(*client), R"(200 {"records":[["d","e","f"]]})");
  CHECK_EQ(answer(*other), kServed);
}

TEST_CASE("an engine is asked how it is where few sends tell, and its report is understood") {
  EngineStubs engines(3);
  GatewayProcess service(engines, 3);
  service.config["settings"]["limits"]["probing"] = true;
  service.config["settings"]["report"] = {{"how", "on_probe"}, {"fields", {"concurrent", "depth"}}};
  service.start(), service.ready();
  auto client = service.client();
  for (int id = 1; id <= 8; ++id) {
    client->write(post(id));
    engines.next().hit();
    CHECK_EQ(answer(*client), kServed);
  }
  for (int probes = 0; probes < 2; ++probes) {
    EngineRequestLine probe = engines.next();
    CHECK_EQ(probe.verb, "LOAD");
    probe.answer("PONG", "meter=concurrent:2;depth:3");
  }
  client->write(post(9));
  EngineRequestLine send = engines.next();
  while (send.verb == "LOAD")
    send.answer("SICK"), send = engines.next();
  send.hit();
  CHECK_EQ(answer(*client), kServed);
  CHECK_EQ(service.log().find("garbled"), std::string::npos);
  CHECK_NE(service.log().find("pressure shown"), std::string::npos);  // commands wait there, it said
}

TEST_CASE("an engine that talks nonsense loses its connection, and nothing else") {
  ServiceFixture stage;
  auto client = stage.service.client();
  int id = 0;
  for (auto nonsense :
       {"garbled\r\n", "%s HIT effort=-1 0\r\n\r\n", "ffff HIT - 99999\r\n", "%s PART fetch_no=1 0\r\n\r\n",
        "%s HIT fetches=1 2\r\nab\r\n", "%s PONG - 0\r\n\r\n"}) {
    ++id;
    client->write(post(id, "quick", 6000, "", "SELECT 1 FROM sales_" + std::to_string(id) + ".t"));
    EngineRequestLine send = stage.engines.next();
    std::string text = nonsense;
    if (text.starts_with("%s"))
      text.replace(0, 2, send.id);
    send.from->write(text);
    CHECK(send.from->ended());
    stage.engines.next().hit();
    CHECK_MESSAGE(answer(*client) == kServed, nonsense);
  }
  CHECK_NE(stage.service.log().find("connection ended: garbled"), std::string::npos);
}

TEST_CASE("a good answer stays good with a second copy, or one to nothing asked, beside it") {
  ServiceFixture stage(1);
  auto client = stage.service.client();
  client->write(post(1));
  EngineRequestLine send = stage.engines.next();
  std::string stray = "ffff HIT fetches=3 6\r\nx\ty\tz\n\r\n",
              first = send.id + " HIT fetches=2 6\r\na\tb\tc\n\r\n",
              page = send.id + " PART fetch_no=1 6\r\nd\te\tf\n\r\n";
  send.from->write(stray + first + first);
  CHECK_EQ(stage.engines.next().verb, "PAGE");
  send.from->write(stray + page + page + first);
  CHECK_EQ(answer(*client), R"(200 {"records":[["a","b","c"],["d","e","f"]]})");
  CHECK_EQ(stage.engines.next().verb, "CLOSE");
  client->write(post(2));
  EngineRequestLine again = stage.engines.next();
  CHECK_EQ(again.from, send.from);  // the connection is still good
  again.hit();
  CHECK_EQ(answer(*client), kServed);
  std::string endless;
  for (int i = 0; i < 100; ++i)
    endless += stray;
  send.from->write(endless);
  CHECK(send.from->ended());
}

TEST_CASE("an answer that stops short, and a page that never comes, end their connection at once") {
  ServiceFixture stage;
  auto client = stage.service.client();
  int id = 0;
  for (auto part : {"%s HI", "%s HIT fetches=1 600\r\na\tb", "%s HIT fetches=2 6\r\na\tb\tc\n\r\n"}) {
    ++id;
    client->write(post(id, "quick", 6000, "", "SELECT 1 FROM sales_" + std::to_string(id) + ".t"));
    EngineRequestLine send = stage.engines.next();
    double from = now();
    std::string text = part;
    send.from->write(text.replace(0, 2, send.id));
    while (send.from->more())
      send.from->in.clear();  // it may ask for a page
    CHECK(send.from->ended());
    CHECK_MESSAGE(now() - from < 0.6, part);  // far sooner than its time-out
    EngineRequestLine further = stage.engines.next();
    CHECK_EQ(further.id, idOf(id));
    further.hit();
    CHECK_MESSAGE(answer(*client) == kServed, part);
  }
  CHECK(stage.service.logs("connection ended: cut short"));
}

TEST_CASE(
    "who says nothing is closed within 3 s, half a request is answered 408 first; who has asked may idle "
    "longer") {
  ServiceFixture stage(1);
  auto asked = stage.service.client(), silent = stage.service.client(), half = stage.service.client(),
       body = stage.service.client(), noise = stage.service.client();
  asked->write("GET /check HTTP/1.1\r\n\r\n");
  CHECK_EQ(answer(*asked), "200 {}");
  double from = now();
  half->write("POST /do/qu");
  body->write(post(1).substr(0, post(1).size() - 3));
  noise->write("\x16\x03\x01\x02");
  pause(1);
  for (auto* one : {&half, &noise})
    (*one)->write("x");  // drop by drop is not sooner whole
  for (auto* one : {&half, &body, &noise})
    CHECK_EQ(answer(**one).substr(0, 3), "408");
  for (auto* one : {&silent, &half, &body, &noise})
    CHECK((*one)->ended());
  CHECK_LT(now() - from, 3.0);
  pause(1.5);
  asked->write("GET /check HTTP/1.1\r\n\r\n");
  CHECK_EQ(answer(*asked), "200 {}");
}

TEST_CASE("a flood of clients leaves room for usual ones, and the engines theirs") {
  ServiceFixture stage(1, 96);  // 48 of them for clients
  std::list<std::unique_ptr<StubConnection>> flood;
  for (int i = 0; i < 200; ++i)
    flood.push_back(stage.service.client());
  auto client = stage.service.client();
  client->write(post(1));
  stage.engines.next().hit();
  CHECK_EQ(answer(*client), kServed);
  size_t open = 0;
  for (auto& one : flood) {
    pollfd ended{one->fd(), POLLIN, 0};
    open += poll(&ended, 1, 0) == 0;
  }
  CHECK_LE(open, 56);

  // All of them with a command in hand: who comes then is turned away, and may try again.
  flood.clear();
  std::list<EngineRequestLine> sends;
  for (int i = 0; i < 48; ++i) {
    flood.push_back(stage.service.client());
    flood.back()->write(post(100 + i, "once"));
    pause(0.002);
  }
  client = stage.service.client();
  client->write(post(2));
  CHECK_EQ(answer(*client), kBusy);
  CHECK(client->ended());
}

TEST_CASE("a body beyond all measure is refused from its head, and what comes of it is not kept") {
  ServiceFixture stage(1);
  auto client = stage.service.client(), other = stage.service.client();
  client->write("POST /do/quick HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
  CHECK_EQ(answer(*client).substr(0, 3), "413");
  std::string part(1 << 20, 'x');
  for (int i = 0; i < 20; ++i)
    client->write(part);
  other->write(post(1));
  stage.engines.next().hit();
  CHECK_EQ(answer(*other), kServed);
  CHECK_LT(stage.service.peakMb(), kSanitized ? 1000 : 32);
  // Two lengths may conceal a request: nothing of it goes on.
  auto smuggler = stage.service.client();
  std::string hidden = post(2);
  smuggler->write("POST /do/quick HTTP/1.1\r\nContent-Length: " + std::to_string(hidden.size() + 5) +
                  "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden);
  CHECK_EQ(answer(*smuggler).substr(0, 3), "400");
  CHECK(smuggler->ended());
  CHECK_EQ(stage.engines.next(100).verb, "");
}

TEST_CASE("an id stays taken until nothing of it is out") {
  ServiceFixture stage(1);
  auto client = stage.service.client(), other = stage.service.client();
  client->write(post(1));
  EngineRequestLine send = stage.engines.next();
  client->close();
  pause(0.05);
  other->write(post(1));
  CHECK_EQ(answer(*other).substr(0, 3), "409");
  send.hit();
  pause(0.05);
  other->write(post(1));
  stage.engines.next().hit();
  CHECK_EQ(answer(*other), kServed);
}

TEST_CASE("bad input from a client is answered 4xx and harms nobody else") {
  ServiceFixture stage(1);
  auto good = stage.service.client();
  good->write(post(1));
  EngineRequestLine send = stage.engines.next();
  auto client = stage.service.client();
  for (auto& [text, status] : Pairs{{post(2, "odd"), "404"},
                                    {post(1), "409"},
                                    {"GET /odd HTTP/1.1\r\n\r\n", "404"},
                                    {post(2, "quick", -5), "400"},
                                    {"PUT /do/quick HTTP/1.1\r\n\r\n", "405"}}) {
    client->write(text);
    CHECK_EQ(answer(*client).substr(0, 3), status);  // the framing is whole: the connection stays
  }
  for (auto& [text, status] : Pairs{{"nonsense\r\n\r\n", "400"},
                                    {std::string(40'000, 'x'), "431"},
                                    {"POST /do/quick HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n", "413"}}) {
    auto bad = stage.service.client();
    bad->write(text);
    CHECK_EQ(answer(*bad).substr(0, 3), status);
    CHECK(bad->ended());
  }
  send.hit();
  CHECK_EQ(answer(*good), kServed);
}

TEST_CASE("SIGTERM: what is held, running and still coming is answered; then it ends with 0") {
  ServiceFixture stage(1);
  auto running = stage.service.client(), held = stage.service.client(), open = stage.service.client();
  running->write(post(1, "load", 6000, kToken + kKey));
  EngineRequestLine first = stage.engines.next();
  held->write(post(2, "load", 6000, kToken + kKey));
  pause(0.05);
  stage.service.kill(SIGTERM);
  pause(0.3);
  auto late = stage.service.client();
  late->write(post(3));
  stage.engines.next().hit();
  CHECK_EQ(answer(*late), kServed);
  pause(0.2);
  open->write(post(4));
  stage.engines.next().hit();
  CHECK_EQ(answer(*open), kServed);
  pause(0.5);  // no more can come, but not all is answered
  first.hit();
  CHECK_EQ(answer(*running), kServed);
  stage.engines.next().hit();
  CHECK_EQ(answer(*held), kServed);
  CHECK_EQ(stage.service.status(), 0);
}

TEST_CASE("after a stall, what came in time counts, and commands of one key keep their order") {
  ServiceFixture stage(2);
  auto client = stage.service.client(), open = stage.service.client();
  client->write(post(1));
  EngineRequestLine send = stage.engines.next();
  open->write("GET /check HTTP/1.1\r\n\r\n");
  CHECK_EQ(answer(*open), "200 {}");
  stage.service.kill(SIGSTOP);
  pause(0.05);  // it stops in its own time
  send.hit();
  auto first = stage.service.client();  // wakes the door before the other connection
  pause(0.02);
  open->write(post(2, "load", 6000, kToken + kKey));
  auto fresh = stage.service.client();
  fresh->write(post(3, "load", 6000, kToken + kKey));
  pause(1.5);  // past the time-out of the first command
  stage.service.kill(SIGCONT);
  CHECK_EQ(answer(*client), kServed);
  for (int id : {2, 3}) {
    EngineRequestLine next = stage.engines.next();
    CHECK_EQ(next.verb + next.id, "GET" + idOf(id));
    next.hit();
  }
  CHECK_EQ(answer(*open) + answer(*fresh), kServed + kServed);
}

TEST_CASE("after SIGKILL it starts again under the same address") {
  ServiceFixture stage(1);
  auto client = stage.service.client();
  client->write(post(1));
  stage.engines.next();
  stage.service.kill(SIGKILL);
  CHECK_EQ(stage.service.status(), 1000 + SIGKILL);
  CHECK_EQ(answer(*client), "none");
  stage.service.start(), stage.service.ready();
  client = stage.service.client();
  client->write(post(1));
  stage.engines.next().hit();
  CHECK_EQ(answer(*client), kServed);
}

TEST_CASE("out of descriptors it makes room by closing what is idle, and goes on") {
  EngineStubs engines(1);
  GatewayProcess service(engines, 1);
  service.start(16), service.ready();
  auto busy = service.client();
  busy->write(post(1));
  EngineRequestLine send = engines.next();
  std::list<std::unique_ptr<StubConnection>> idle;
  for (int i = 0; i < 40; ++i)
    idle.push_back(service.client());
  auto client = service.client();
  client->write("GET /check HTTP/1.1\r\n\r\n");
  CHECK_EQ(answer(*client), "200 {}");
  send.hit();
  CHECK_EQ(answer(*busy), kServed);

  // Parts of requests make way as well; a whole one that we have not read yet does not.
  for (int i = 0; i < 40; ++i)
    idle.push_back(service.client()), idle.back()->write("POST /do/qu");
  client = service.client();
  client->write("GET /check HTTP/1.1\r\n\r\n");
  CHECK_EQ(answer(*client), "200 {}");
  service.kill(SIGSTOP);
  pause(0.05);
  client->write("GET /check HTTP/1.1\r\n\r\n");
  for (int i = 0; i < 40; ++i)
    idle.push_back(service.client());
  service.kill(SIGCONT);
  CHECK_EQ(answer(*client), "200 {}");
}

TEST_CASE("a list of 1,100 engines under 256 descriptors: all is served, and it never runs out") {
  EngineStubFarm crowd;
  EngineStubs none(0);
  GatewayProcess service(none, 0, 256);
  Json hosts = Json::array();
  char id[16], at[32];
  for (int i = 0; i < 1100; ++i) {
    std::snprintf(id, sizeof id, "s-%08x", i + 1),
        std::snprintf(at, sizeof at, "127.9.%d.%d:%d", i / 250, i % 250 + 1, crowd.port);
    hosts.push_back({{"host", id},
                     {"dial", at},
                     {"site", "east"},
                     {"class", "std"},
                     {"block", 0},
                     {"health", "in_service"},
                     {"born_ms", 0}});
  }
  service.config["known"]["results"][0]["fleet"]["hosts"] = hosts;
  service.start(256), service.ready();
  int served = 0, number = 0;
  long most = 0;
  for (int round = 0; round < 30; ++round) {  // a third of the descriptors, as clients may hold
    std::list<std::unique_ptr<StubConnection>> clients;
    for (int i = 0; i < 80; ++i) {
      clients.push_back(service.client());
      std::string table = "SELECT 1 FROM sales_" + std::to_string(number) + ".t";  // spreads over the engines
      clients.back()->write(post(++number, "quick", 6000, "", table));
    }
    for (auto& client : clients)
      served += answer(*client) == kServed;
    most = std::max(most, service.descriptors());
  }
  CHECK_EQ(served, 30 * 80);
  CHECK_GT(crowd.reached().size(), 300);  // more than there are descriptors
  CHECK_LT(most, 256);
  CHECK_EQ(service.log().find("no descriptor"), std::string::npos);
  CHECK_EQ(service.log().find("out of descriptors"), std::string::npos);
}

TEST_CASE("settings that name 1,024 gateways: the last of them serves from its first command") {
  EngineStubs engines(2);
  GatewayProcess service(engines, 2);
  service.config["settings"]["balancers"] = 1024, service.config["settings"]["ordinal"] = 1023;
  service.start(), service.ready();
  auto client = service.client();
  for (int id = 1; id <= 20; ++id) {
    client->write(post(id, "quick", 6000, "", "SELECT 1 FROM sales_" + std::to_string(id) + ".t"));
    engines.next().hit();
    CHECK_EQ(answer(*client), kServed);
  }
}

TEST_CASE("members are off unless asked for, and not without the platform's leave") {
  EngineStubs engines(1);
  GatewayProcess service(engines, 1);
  service.start(), service.ready();
  CHECK_EQ(service.threads().size(), 1);
  long open = service.descriptors();
  service.kill(SIGTERM);
  CHECK_EQ(service.status(), 0);

  GatewayProcess forbidden(engines, 1);
  sockaddr_in own = Listener().address;
  forbidden.gateway =
      Json{{"members", {{"fleet", "f"}, {"peers", {{{"name", "n3"}, {"at", textOf(own)}}}}}}}.dump();
  forbidden.start();
  CHECK_EQ(forbidden.status(), 1);
  CHECK(forbidden.logs("elmcleat: members: peers-forbidden: members in "));
  CHECK(forbidden.logs("settings.limits.peers"));

  forbidden.config["settings"]["limits"]["peers"] = true;
  forbidden.config["name"] = "n4";
  forbidden.start();
  CHECK_EQ(forbidden.status(), 1);
  CHECK(forbidden.logs("elmcleat: members: not-listed: 'n4': "));

  forbidden.config["name"] = "n3";
  forbidden.start(), forbidden.ready();
  CHECK_EQ(forbidden.threads("control").size(), 1);
  CHECK_GT(forbidden.descriptors(), open);
  forbidden.kill(SIGTERM);
  CHECK_EQ(forbidden.status(), 0);
}

TEST_CASE("a log that nobody reads does not hold it up") {
  EngineStubs engines(1);
  GatewayProcess service(engines, 1);
  int ends[2];
  REQUIRE_EQ(pipe2(ends, O_CLOEXEC), 0);
  service.start(0, ends[1]), service.ready();
  auto client = service.client();
  for (int i = 0; i < 3000; ++i) {  // a line each, many times what the pipe holds
    client->write("GET /odd HTTP/1.1\r\n\r\n");
    REQUIRE_EQ(answer(*client).substr(0, 3), "404");
  }
  ::close(ends[0]), ::close(ends[1]);
  client->write(post(1));  // and now the reader has gone
  engines.next().hit();
  CHECK_EQ(answer(*client), kServed);
}

TEST_CASE("a configuration that can't be used: one line that names the key, before anything listens") {
  EngineStubs engines(1);
  GatewayProcess service(engines, 1);
  service.config.erase("known");
  service.start();
  CHECK_EQ(service.status(), 1);
  CHECK_EQ(service.log(), "elmcleat: known: is missing\n");
}
