// Plots the course of a run with gnuplot: rate, service by class and delay, with a band for each fault.
#ifndef MINTROCK_SRC_LAB_PLOT_HPP_
#define MINTROCK_SRC_LAB_PLOT_HPP_

#include <string>

#include "lab/checker.hpp"

namespace mintrock::lab {

// Returns the data file for gnuplot: a line of column names after '#', then one line per second.
std::string plot_data(const CheckReport& report);
// Returns the gnuplot script that draws FOLDER/{rate,service,delay}.svg from FOLDER/run.dat.
std::string plot_script(const CheckReport& report, const std::string& folder);

// Writes both into the folder and runs gnuplot. If gnuplot fails, prints a line to standard error and returns
// false; data and script remain in the folder.
bool write_plots(const CheckReport& report, const std::string& folder);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_PLOT_HPP_
