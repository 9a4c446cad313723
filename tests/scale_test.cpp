// Parts of the scale run without its processes: fits, files, plans, the capacity page and the limits. The
// CTest test `scale` makes a whole run.
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

Figure figureOf(const std::string& name, const std::function<double(double)>& valueAt) {
  Figure figure;
  figure.name = name;
  figure.variant = "off";
  figure.unit = "cores";
  figure.xName = "engines";
  figure.xs = kSizes;
  for (double x : kSizes)
    figure.ys.push_back(valueAt(x));
  figure.target = 44000;
  return figure;
}

struct TemporaryFolder {
  TemporaryFolder() {
    char name[] = "/tmp/elmcleat-scale-test-XXXXXX";
    path = std::string(mkdtemp(name)) + "/";
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  std::string write(const std::string& name, const std::string& text) const {
    std::ofstream(path + name) << text;
    return path + name;
  }
  std::string path;
};

std::vector<std::string> errorsOf(const std::function<void()>& action) {
  try {
    action();
  } catch (const ValidationErrors& errors) {
    return errors.messages;
  }
  return {};
}

Json minimalPlan() {
  return {
      {"name", "test"}, {"mostSeconds", 10}, {"runs", {{{"engines", {16}}, {"steps", {{{"do", "quiet"}}}}}}}};
}

}  // namespace

TEST_CASE("A line and a power law are recovered from exact points, and the better one is chosen") {
  auto line = figureOf("a", [](double x) { return 0.004 + 2e-5 * x; }).fits();
  CHECK(line.best == Growth::line);
  CHECK(line.line->a == doctest::Approx(0.004));
  CHECK(line.line->b == doctest::Approx(2e-5));
  CHECK(line.line->r2 == doctest::Approx(1));
  CHECK(*line.at(100000) == doctest::Approx(2.004));
  CHECK(*line.inverse(0.03) == doctest::Approx(1300));
  auto power = figureOf("b", [](double x) { return 3e-6 * std::pow(x, 1.4); }).fits();
  CHECK(power.best == Growth::power);
  CHECK(power.power->a == doctest::Approx(3e-6));
  CHECK(power.power->b == doctest::Approx(1.4));
  CHECK(*power.inverse(3e-6 * std::pow(9000, 1.4)) == doctest::Approx(9000));
}

TEST_CASE("A figure that neither a line nor a power law fits is marked so, and not extrapolated") {
  Figure figure = figureOf("a", [](double x) { return x == 1376 || x == 22000 ? 5 : 0.2; });
  CHECK(figure.fits().best == Growth::none);
  figure.target = 100000;
  CHECK_FALSE(figure.atTarget());
  figure.ys = {1, 2};
  figure.xs = {344, 1376};
  CHECK_FALSE(figure.fits().line);  // any two points lie on a line
}

TEST_CASE("A limit is exceeded between two measured sizes, or where the fit predicts it, or nowhere") {
  Figure figure = figureOf("a", [](double x) { return 2e-5 * x; });
  CHECK_FALSE(figure.limitExceededAt());
  figure.limit = 0.03;
  CHECK(*figure.limitExceededAt() == doctest::Approx(1500));
  figure.limit = 2;
  CHECK(*figure.limitExceededAt() == doctest::Approx(100000));
  figure.limit = 1e-9;
  CHECK(*figure.limitExceededAt() == doctest::Approx(344));
  CHECK(figure.measuredAtTarget());
  CHECK(*figure.atTarget() == doctest::Approx(0.88));
  figure.target = 88000;
  CHECK_FALSE(figure.measuredAtTarget());
  CHECK(*figure.atTarget() == doctest::Approx(1.76));
  Figure flat = figureOf("b", [](double) { return 5.0; });
  flat.limit = 6;
  CHECK_FALSE(flat.limitExceededAt());
}

TEST_CASE("A figures file is read as it was written; errors in one name their key") {
  TemporaryFolder folder;
  FiguresFile file;
  file.machine = machineHere();
  file.plan = minimalPlan();
  file.figures = {figureOf("control.x0.cores", [](double x) { return 2e-5 * x; })};
  file.figures[0].limit = 0.03;
  file.figures[0].repeats = {{1, 2}};
  file.figures[0].note = "a note";
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
  auto errors = errorsOf([&] { readFigures(folder.write("b.json", document.dump())); });
  REQUIRE_FALSE(errors.empty());
  CHECK(errors[0].find("xs") != std::string::npos);
  document["figures"][0]["xs"] = {344};
  CHECK(errorsOf([&] { readFigures(folder.write("b.json", document.dump())); }).size() == 1);
}

TEST_CASE("Errors in a plan name their key") {
  TemporaryFolder folder;
  auto errors = [&](const Json& document) {
    return errorsOf([&] { readScalePlan(folder.write("p.json", document.dump())); });
  };
  CHECK(errors(minimalPlan()).empty());
  for (auto& [pointer, value] : std::vector<std::pair<std::string, Json>>{{"/mostSeconds", 100000},
                                                                          {"/real", 9},
                                                                          {"/runs/0/engines/0", 100000},
                                                                          {"/runs/0/steps/0/do", "dance"},
                                                                          {"/runs/0/variants", {"none"}},
                                                                          {"/surprise", 1}}) {
    Json bad = minimalPlan();
    bad[Json::json_pointer(pointer)] = value;
    auto found = errors(bad);
    CAPTURE(pointer);
    CHECK_FALSE(found.empty());
  }
}

TEST_CASE("Expectations: values, exponents, and figures that are missing") {
  ScalePlan plan;
  FiguresFile file;
  file.figures = {figureOf("lines", [](double) { return 1.0; }),
                  figureOf("memory", [](double x) { return x; })};
  Expectation expectation;
  expectation.figure = "lines";
  expectation.maximum = 1.2;
  expectation.maxExponent = 0.1;
  plan.expectations = {expectation};
  CHECK(unmet(plan, file).empty());
  expectation.figure = "memory";
  expectation.maximum.reset();
  plan.expectations = {expectation};
  CHECK(unmet(plan, file).size() == 1);
  expectation.maxExponent = 1.01;
  expectation.minimum = 400;
  plan.expectations = {expectation};
  CHECK(unmet(plan, file).size() == 1);
  expectation.figure = "none";
  plan.expectations = {expectation};
  CHECK(unmet(plan, file).size() == 1);
}

TEST_CASE("The capacity page is generated from the files, and a manual change to a figure is detected") {
  FiguresFile file;
  file.figures = {figureOf("control.x0.cores", [](double x) { return 2e-5 * x; }),
                  figureOf("memory.engines", [](double x) { return 0.002 * x; })};
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
  CHECK_FALSE(errorsOf([&] { filled("<!-- scale: control. -->\n", {file}); }).empty());
  CHECK_FALSE(errorsOf([&] { filled("<!-- scale: nothing -->\n<!-- /scale -->\n", {file}); }).empty());
}

TEST_CASE("Limits of a run: time, processes, memory") {
  ScaleBounds bounds;
  bounds.deadline = secondsNow() + 60;
  bounds.maxMemoryMb = 1e6;
  bounds.processes = {getpid()};
  CHECK(errorsOf([&] { bounds.check(); }).empty());
  bounds.maxMemoryMb = 1;
  CHECK(errorsOf([&] { bounds.check(); }).size() == 1);
  bounds.maxMemoryMb = 1e6;
  bounds.deadline = secondsNow() - 1;
  CHECK(errorsOf([&] { bounds.check(); }).size() == 1);
  bounds.deadline += 60;
  for (pid_t pid = 1'000'000; pid < 1'000'199; ++pid)
    bounds.processes.insert(pid);
  CHECK(errorsOf([&] { bounds.check(); }).size() == 1);
}

TEST_CASE("A killed run leaves no process and no folder") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  pid_t tool = fork();
  if (tool == 0) {
    ScaleFolder folder;
    Child child([](int) {
      alarm(20);  // ends it in any case, even if it does not receive its parent's death signal
      pause();
    });
    std::string line = std::to_string(child.pid()) + " " + folder.path + "\n";
    (void)!::write(ends[1], line.data(), line.size());
    pause();
  }
  char text[128] = {};
  REQUIRE(::read(ends[0], text, sizeof text - 1) > 0);
  ::close(ends[0]);
  ::close(ends[1]);
  std::istringstream words(text);
  pid_t child = 0;
  std::string path;
  words >> child >> path;
  CHECK(std::filesystem::exists(path));
  ::kill(tool, SIGKILL);
  waitpid(tool, nullptr, 0);
  // A zombie that its new parent has not waited for yet counts as ended.
  auto isRunning = [&] {
    std::ifstream file("/proc/" + std::to_string(child) + "/stat");
    std::string pid, name, state;
    return bool(file >> pid >> name >> state) && state != "Z";
  };
  for (int i = 0; i < 500 && (std::filesystem::exists(path) || isRunning()); ++i)
    usleep(10'000);
  CHECK_FALSE(std::filesystem::exists(path));
  CHECK_FALSE(isRunning());
}
