// The scale run's parts without its processes: fits, files, plans, the page, bounds. The run itself: test
// `scale`.
#include "lab/scale.h"

#include <doctest/doctest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmath>
#include <filesystem>
#include <fstream>

#include "lab/capacity_page.h"
#include "lab/hollow.h"
#include "lab/scale_bounds.h"

using namespace elmcleat;
using namespace elmcleat::lab;

namespace {

const std::vector<double> kSizes{344, 1376, 5500, 22000, 44000};

Figure figure(const std::string& name, const std::function<double(double)>& of) {
  Figure one;
  one.name = name, one.variant = "off", one.unit = "cores", one.xName = "engines", one.xs = kSizes;
  for (double x : kSizes)
    one.ys.push_back(of(x));
  one.target = 44000;
  return one;
}

struct Folder {  // of one test
  Folder() {
    char name[] = "/tmp/elmcleat-scale-test-XXXXXX";
    path = std::string(mkdtemp(name)) + "/";
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string write(const std::string& name, const std::string& text) const {
    std::ofstream(path + name) << text;
    return path + name;
  }
  std::string path;
};

std::vector<std::string> faultsOf(const std::function<void()>& act) {
  try {
    act();
  } catch (const ValidationErrors& errors) {
    return errors.messages;
  }
  return {};
}

Json plan() {
  return {
      {"name", "test"}, {"mostSeconds", 10}, {"runs", {{{"engines", {16}}, {"steps", {{{"do", "quiet"}}}}}}}};
}

}  // namespace

TEST_CASE("A line and a power are found again, and the better one is told") {
  auto line = figure("a", [](double x) { return 0.004 + 2e-5 * x; }).fits();
  CHECK(line.best == Growth::line);
  CHECK(line.line->a == doctest::Approx(0.004));
  CHECK(line.line->b == doctest::Approx(2e-5));
  CHECK(line.line->r2 == doctest::Approx(1));
  CHECK(*line.at(100000) == doctest::Approx(2.004));
  CHECK(*line.reaches(0.03) == doctest::Approx(1300));
  auto power = figure("b", [](double x) { return 3e-6 * std::pow(x, 1.4); }).fits();
  CHECK(power.best == Growth::power);
  CHECK(power.power->a == doctest::Approx(3e-6));
  CHECK(power.power->b == doctest::Approx(1.4));
  CHECK(*power.reaches(3e-6 * std::pow(9000, 1.4)) == doctest::Approx(9000));
}

TEST_CASE("What neither a line nor a power fits is told as such, and nothing is reckoned from it") {
  Figure one = figure("a", [](double x) { return x == 1376 || x == 22000 ? 5 : 0.2; });
  CHECK(one.fits().best == Growth::none);
  one.target = 100000;
  CHECK_FALSE(one.atTarget());
  one.ys = {1, 2}, one.xs = {344, 1376};
  CHECK_FALSE(one.fits().line);  // two points lie on any line
}

TEST_CASE("A limit is passed between two sizes measured, or where the fit has it, or nowhere") {
  Figure one = figure("a", [](double x) { return 2e-5 * x; });
  CHECK_FALSE(one.passedAt());
  one.limit = 0.03;
  CHECK(*one.passedAt() == doctest::Approx(1500));
  one.limit = 2;
  CHECK(*one.passedAt() == doctest::Approx(100000));
  one.limit = 1e-9;
  CHECK(*one.passedAt() == doctest::Approx(344));
  CHECK(one.measuredAtTarget());
  CHECK(*one.atTarget() == doctest::Approx(0.88));
  one.target = 88000;
  CHECK_FALSE(one.measuredAtTarget());
  CHECK(*one.atTarget() == doctest::Approx(1.76));
  Figure flat = figure("b", [](double) { return 5.0; });
  flat.limit = 6;
  CHECK_FALSE(flat.passedAt());
}

TEST_CASE("A figures file is read as it was written; a faulty one is refused by its key") {
  Folder folder;
  FiguresFile file;
  file.machine = machineHere(), file.plan = plan();
  file.figures = {figure("control.x0.cores", [](double x) { return 2e-5 * x; })};
  file.figures[0].limit = 0.03, file.figures[0].repeats = {{1, 2}}, file.figures[0].note = "a note";
  file.missing = {{"zone", "view", "because", 5500}};
  writeFigures(folder.path + "a.json", file);
  FiguresFile read = readFigures(folder.path + "a.json");
  REQUIRE(read.figures.size() == 1);
  CHECK(read.figures[0].ys == file.figures[0].ys);
  CHECK(read.figures[0].limit == file.figures[0].limit);
  CHECK(read.figures[0].repeats == file.figures[0].repeats);
  CHECK(read.missing.at(0).reason == "because");
  CHECK(read.machine["cores"] == file.machine["cores"]);
  Json document = readJson(folder.path + "a.json");
  document["figures"][0]["xs"][0] = "many";
  auto errors = faultsOf([&] { readFigures(folder.write("b.json", document.dump())); });
  REQUIRE_FALSE(errors.empty());
  CHECK(errors[0].find("xs") != std::string::npos);
  document["figures"][0]["xs"] = {344};
  CHECK(faultsOf([&] { readFigures(folder.write("b.json", document.dump())); }).size() == 1);
}

TEST_CASE("A plan's faults name their key") {
  Folder folder;
  auto errors = [&](const Json& document) {
    return faultsOf([&] { readScalePlan(folder.write("p.json", document.dump())); });
  };
  CHECK(errors(plan()).empty());
  for (auto& [at, value] : std::vector<std::pair<std::string, Json>>{{"/mostSeconds", 100000},
                                                                     {"/real", 9},
                                                                     {"/runs/0/engines/0", 100000},
                                                                     {"/runs/0/steps/0/do", "dance"},
                                                                     {"/runs/0/variants", {"none"}},
                                                                     {"/surprise", 1}}) {
    Json bad = plan();
    bad[Json::json_pointer(at)] = value;
    auto found = errors(bad);
    CAPTURE(at);
    CHECK_FALSE(found.empty());
  }
}

TEST_CASE("Expectations: values, exponents, and figures that were not taken") {
  ScalePlan wants;
  FiguresFile file;
  file.figures = {figure("lines", [](double) { return 1.0; }), figure("memory", [](double x) { return x; })};
  Expectation one;
  one.figure = "lines", one.most = 1.2, one.mostExponent = 0.1;
  wants.expect = {one};
  CHECK(unmet(wants, file).empty());
  one.figure = "memory", one.most.reset();
  wants.expect = {one};
  CHECK(unmet(wants, file).size() == 1);
  one.mostExponent = 1.01, one.least = 400;
  wants.expect = {one};
  CHECK(unmet(wants, file).size() == 1);
  one.figure = "none";
  wants.expect = {one};
  CHECK(unmet(wants, file).size() == 1);
}

TEST_CASE("The page is filled from the files, and a figure changed by hand is found") {
  FiguresFile file;
  file.figures = {figure("control.x0.cores", [](double x) { return 2e-5 * x; }),
                  figure("memory.engines", [](double x) { return 0.002 * x; })};
  file.missing = {{"control.x16.cores", "view", "not run", 5500}};
  const std::string empty = "# Page\n\n<!-- scale: control. -->\n<!-- /scale -->\n\nText\n";
  CHECK(firstDifference(empty, {file}));
  std::string page = filled(empty, {file});
  CHECK_FALSE(firstDifference(page, {file}));
  CHECK(filled(page, {file}) == page);
  CHECK(page.find("44000: 0.88 |") != std::string::npos);
  CHECK(page.find("not taken: not run") != std::string::npos);
  CHECK(page.find("memory") == std::string::npos);
  std::string changed = page;
  changed.replace(changed.find("44000: 0.88"), 11, "44000: 0.03");
  auto difference = firstDifference(changed, {file});
  REQUIRE(difference);
  CHECK(difference->starts_with("line 6 "));
  CHECK_FALSE(faultsOf([&] { filled("<!-- scale: control. -->\n", {file}); }).empty());
  CHECK_FALSE(faultsOf([&] { filled("<!-- scale: nothing -->\n<!-- /scale -->\n", {file}); }).empty());
}

TEST_CASE("Bounds: time, processes, memory") {
  ScaleBounds bounds;
  bounds.endsAt = secondsNow() + 60, bounds.mostMb = 1e6, bounds.processes = {getpid()};
  CHECK(faultsOf([&] { bounds.check(); }).empty());
  bounds.mostMb = 1;
  CHECK(faultsOf([&] { bounds.check(); }).size() == 1);
  bounds.mostMb = 1e6, bounds.endsAt = secondsNow() - 1;
  CHECK(faultsOf([&] { bounds.check(); }).size() == 1);
  bounds.endsAt += 60;
  for (pid_t pid = 1'000'000; pid < 1'000'199; ++pid)
    bounds.processes.insert(pid);
  CHECK(faultsOf([&] { bounds.check(); }).size() == 1);
}

TEST_CASE("A killed run leaves no process and no folder") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  pid_t tool = fork();
  if (tool == 0) {
    ScaleFolder folder;
    Child child([](int) { alarm(20), pause(); });  // an end also where the guard is gone
    std::string said = std::to_string(child.pid()) + " " + folder.path + "\n";
    (void)!::write(ends[1], said.data(), said.size());
    pause();
  }
  char text[128] = {};
  REQUIRE(::read(ends[0], text, sizeof text - 1) > 0);
  ::close(ends[0]), ::close(ends[1]);
  std::istringstream said(text);
  pid_t child = 0;
  std::string path;
  said >> child >> path;
  CHECK(std::filesystem::exists(path));
  ::kill(tool, SIGKILL);
  waitpid(tool, nullptr, 0);
  auto runs = [&] {  // a zombie, until who inherits it has waited for it, runs no more
    std::ifstream file("/proc/" + std::to_string(child) + "/stat");
    std::string pid, name, state;
    return bool(file >> pid >> name >> state) && state != "Z";
  };
  for (int i = 0; i < 500 && (std::filesystem::exists(path) || runs()); ++i)
    usleep(10'000);
  CHECK_FALSE(std::filesystem::exists(path));
  CHECK_FALSE(runs());
}
