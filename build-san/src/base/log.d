build-san/src/base/log.o: src/base/log.c src/base/log.h src/base/types.h \
 src/base/counters.h
src/base/log.h:
src/base/types.h:
src/base/counters.h:
