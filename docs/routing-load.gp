# Draws docs/routing-load.svg: build/bin/bench_routing -l > build/load.txt
# and then gnuplot docs/routing-load.gp, both in the root of the repository.
set terminal svg size 800,640
set output "docs/routing-load.svg"
set multiplot layout 2,1
set xlabel "load, percent of the slots of all instances"
set key left top
set logscale y
set ylabel "proof p99, ms"
plot "build/load.txt" using 1:2 with linespoints title "limpethinge", \
     "" using 1:4 with linespoints title "least connections", \
     "" using 1:6 with linespoints title "static division", \
     "" using 1:8 with linespoints title "all-knowing reference"
unset logscale y
set key left bottom
set yrange [0:105]
set ylabel "within the deadline, percent"
plot "build/load.txt" using 1:3 with linespoints title "limpethinge", \
     "" using 1:5 with linespoints title "least connections", \
     "" using 1:7 with linespoints title "static division", \
     "" using 1:9 with linespoints title "all-knowing reference"
unset multiplot
