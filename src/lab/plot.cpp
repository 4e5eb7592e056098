#include "lab/plot.hpp"

#include <sys/wait.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>

#include "lab/process.hpp"

namespace mintrock::lab {
namespace {

std::string format_number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", value);
  return text;
}

// Quotes a text for gnuplot: escapes quotes and backslashes, and turns underscores into spaces.
std::string quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += c == '_' ? ' ' : c;
  }
  return out + "\"";
}

std::set<std::string> classes_of(const CheckReport& report) {
  std::set<std::string> out;
  for (const SecondSummary& each : report.seconds) {
    for (const auto& [name, share] : each.served_share) out.insert(name);
  }
  return out;
}

}  // namespace

std::string plot_data(const CheckReport& report) {
  const std::set<std::string> classes = classes_of(report);
  std::string out = "# second tries stood refused failed unanswered p50_ms p99_ms";
  for (const std::string& each : classes) out += " " + quoted(each);
  out += "\n";
  for (const SecondSummary& s : report.seconds) {
    out += format_number(s.start_s);
    for (const std::uint64_t n : {s.tries, s.established, s.refused, s.failed, s.unanswered})
      out += " " + std::to_string(n);
    out += " " + format_number(s.delay_p50_s * 1000) + " " + format_number(s.delay_p99_s * 1000);
    for (const std::string& each : classes) {
      const auto at = s.served_share.find(each);
      out += " " + (at == s.served_share.end() ? std::string("NaN") : format_number(at->second));
    }
    out += "\n";
  }
  return out;
}

std::string plot_script(const CheckReport& report, const std::string& folder) {
  std::string out =
      "set terminal svg size 1100,420 noenhanced background rgb 'white'\n"
      "set grid\nset key outside right top\nset xlabel 's'\nset style data lines\n";
  const double end = report.seconds.empty() ? 1 : report.seconds.back().start_s + 1;
  out += "set xrange [0:" + format_number(end) + "]\n";
  // Stacks the bands, so that faults at the same time can be distinguished.
  constexpr int kRows = 8;
  int row = 0;
  int object = 0;
  for (const InjectedFault& f : report.faults) {
    const double height = 1.0 / kRows;
    const double top = 1 - height * (row++ % kRows);
    const std::string at = std::to_string(++object);
    out += "set object " + at + " rectangle from first " + format_number(f.start_s) + ", graph " +
           format_number(top - height) + " to first " +
           format_number(f.start_s + std::max(f.duration_s, end / 400)) + ", graph " + format_number(top) +
           " fillcolor rgb '#e08040' fillstyle solid 0.25 noborder behind\n";
    out += "set label " + at + " " + quoted(f.description) + " at first " + format_number(f.start_s) +
           ", graph " + format_number(top - height / 2) + " font ',8' textcolor rgb '#804010' front\n";
  }
  const std::string data = "'" + folder + "/run.dat'";
  const auto picture = [&](const char* name, const char* label, const std::string& plot) {
    out += "set output '" + folder + "/" + name + ".svg'\nset ylabel '" + label + "'\nplot " + plot + "\n";
  };
  picture("rate", "tries, by the second in which they began",
          data +
              " using 1:2 title 'tries', '' using 1:3 title 'stood', '' using 1:4 title 'refused', "
              "'' using 1:($5+$6) title 'failed or unanswered'");
  std::string service;
  int column = 9;
  for (const std::string& each : classes_of(report)) {
    service += (service.empty() ? data : std::string(", ''")) + " using 1:" + std::to_string(column++) +
               " title " + quoted(each);
  }
  out += "set yrange [0:1.02]\n";
  if (!service.empty()) picture("service", "share served in time", service);
  out += "set autoscale y\nset logscale y\n";
  picture("delay", "ms from try to answer, established tries",
          data + " using 1:7 title 'p50', '' using 1:8 title 'p99'");
  return out;
}

bool write_plots(const CheckReport& report, const std::string& folder) {
  std::filesystem::create_directories(folder);
  const std::string script = folder + "/run.gnuplot";
  std::ofstream(folder + "/run.dat") << plot_data(report);
  std::ofstream(script) << plot_script(report, folder);
  const pid_t pid = spawn({"/usr/bin/env", "gnuplot", script});
  int status = 0;
  waitpid(pid, &status, 0);
  if (WIFEXITED(status) && WEXITSTATUS(status) == 0) return true;
  std::fprintf(stderr, "mintrock-lab: gnuplot did not draw %s\n", script.c_str());
  return false;
}

}  // namespace mintrock::lab
