build-san/src/net/clock.o: src/net/clock.c src/net/clock.h \
 src/base/types.h
src/net/clock.h:
src/base/types.h:
