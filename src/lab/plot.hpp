// The course of a run as pictures: rate, service by class, delay, each fault as a band; drawn by gnuplot.
#ifndef MINTROCK_SRC_LAB_PLOT_HPP_
#define MINTROCK_SRC_LAB_PLOT_HPP_

#include <string>

#include "lab/checker.hpp"

namespace mintrock::lab {

// Figures, second by second, as gnuplot reads them: a line of names behind '#', then a line each second.
std::string plot_data(const CheckReport& report);
// The script that draws FOLDER/{rate,service,delay}.svg from FOLDER/run.dat.
std::string plot_script(const CheckReport& report, const std::string& folder);

// Writes both into the folder and has gnuplot draw. False, with a line on standard error, where it can't;
// data and script stay there.
bool write_plots(const CheckReport& report, const std::string& folder);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_PLOT_HPP_
