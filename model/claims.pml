/*
 * Claims protocol of docs/design.md for one shard: exclusive ownership, and
 * takeover within a bound once faults end.
 *
 * Time is a global tick.  Steps between two ticks come in any order, and any
 * step may fail to happen; that covers cut links, a log that is down or
 * slow, delays, loss, reordering and a frozen node, which takes no step while
 * time goes on.  A node acts whenever it may, for a node that does not act
 * harms no other.  Where a delay can only shorten a lease or lengthen a wait,
 * the model takes the shortest one, which allows the most:
 *  - a hold or a log read lasts a whole lease from the moment at which the
 *    witness or the log answers, which is never earlier than its request;
 *  - an acknowledgement arrives at once;
 *  - a release and evidence of an end are known to all at once.
 * Witnesses of a claim are all other nodes, or with -DONE_WITNESS the next
 * node only, so that a claimant need not be a witness itself.  Renewals and
 * restarts are not modelled: a dead node stays dead.
 *
 * -DN=2 or 3 nodes, -DEPOCHS=3 or 4; -DBROKEN_WAIT, -DBROKEN_ACK, -DBROKEN_REFUSAL,
 * -DBROKEN_DRAIN and -DBROKEN_CHAIN each leave out one rule.
 */
#ifndef N
#define N 3
#endif
#define LEASE 2
#define DRAIN 1
#ifndef EPOCHS
#define EPOCHS 4            /* claims; one is kept for the time after faults */
#endif
#define ROUNDS 12           /* bound of takeover after faults, in ticks */

#ifdef BROKEN_WAIT
#define WAIT 0
#else
#define WAIT (LEASE + DRAIN)
#endif
#ifdef BROKEN_DRAIN
#define DRAIN_WAIT 0
#else
#define DRAIN_WAIT DRAIN
#endif

#ifdef ONE_WITNESS
#define WITNESSES 1
#define witness(x, w) ((w) == ((x) + 1) % N)
#else
#define WITNESSES (N - 1)
#define witness(x, w) ((w) != (x))
#endif

#define AT(a, b) ((a) * N + (b))

byte tail = 1;              /* newest epoch in the log */
byte by[EPOCHS + 1];        /* its claimant; epoch 1 is of node 0 */
byte released;              /* newest released epoch */
byte seen[N];               /* newest epoch applied by the node */
byte pending[N];            /* epoch of a claim on its way to the log */
byte held[N * N];           /* ticks left of the hold of a witness */
byte log_lease[N];          /* ticks left of the newest log read */
byte waited[N * N];         /* ticks left until rule (w) resolves a former */
byte drained[N];            /* ticks left until rule (d) does, if dead */
bool resolved[N];           /* no former owner of its claim can act */
bool quiet[N];              /* will not act again under its claim */
bool dead[N];
byte busy[N];               /* ticks for which its work may still run */
byte deaths;
byte i, j, k, e, count, rounds;
bool flag, acted;

/* The newest claim that the node has applied is its own. */
#define owns(n) (by[seen[n]] == n && seen[n] > released)

inline majority (n, x)
{
	/* Witnesses of x that have applied the newest claim of n or ended. */
	count = 0;
	for (k : 0 .. N - 1) {
		if
		:: witness (x, k) && (seen[k] >= seen[n] || dead[k]) ->
			count++
		:: else
		fi
	}
#ifdef BROKEN_ACK
	flag = true;
#else
	flag = count * 2 > WITNESSES;
#endif
}

inline confirmed (n)
{
	count = 0;
	for (k : 0 .. N - 1) {
		if
		:: witness (n, k) && held[AT (n, k)] > 0 -> count++
		:: else
		fi
	}
	flag = log_lease[n] > 0 || count * 2 > WITNESSES;
}

/* Rule (r), (d) or (w) for every former claim since the newest release. */
inline resolve (n)
{
	if
	:: owns (n) && !resolved[n] ->
		resolved[n] = true;
#ifdef BROKEN_CHAIN
		e = (seen[n] > released + 1 -> seen[n] - 1 : released + 1);
#else
		e = released + 1;
#endif
		do
		:: e < seen[n] ->
			j = by[e];
			majority (n, j);
			if
			:: j == n
			:: j != n && dead[j] && drained[j] == 0
			:: j != n && flag && waited[AT (n, j)] == 0
			:: else -> resolved[n] = false
			fi;
			e++
		:: else -> break
		od
	:: else
	fi
}

/* A node that may act does act; nobody else may then act or have work that
   still runs. */
inline act (n)
{
	confirmed (n);
	if
	:: !dead[n] && owns (n) && resolved[n] && !quiet[n] && flag ->
		busy[n] = DRAIN;
		acted = true;
		for (k : 0 .. N - 1) {
			assert (k == n || busy[k] == 0)
		}
	:: else
	fi
}

inline forget (n)
{
	resolved[n] = false;
	quiet[n] = false;
	log_lease[n] = 0;
	for (k : 0 .. N - 1) {
		held[AT (n, k)] = 0;
		waited[AT (n, k)] = WAIT
	}
}

inline apply (n)
{
	seen[n]++;
	forget (n)
}

inline land (n)
{
	if
	:: pending[n] == tail + 1 ->
		tail++;
		by[tail] = n
	:: else
	fi;
	pending[n] = 0
}

inline less (counter)
{
	if
	:: counter > 0 -> counter--
	:: else
	fi
}

inline tick ()
{
	for (i : 0 .. N - 1) {
		less (log_lease[i]);
		less (busy[i]);
		less (drained[i]);
		for (j : 0 .. N - 1) {
			less (held[AT (i, j)]);
			majority (i, j);
			if
			:: resolved[i] || i == j -> waited[AT (i, j)] = 0
			:: !resolved[i] && i != j && owns (i) && flag ->
				less (waited[AT (i, j)])
			:: else
			fi
		}
	}
}

inline act_all ()
{
	for (i : 0 .. N - 1) {
		if
		:: !dead[i] -> resolve (i); act (i)
		:: else
		fi
	}
}

/* A round without faults: everything arrives within the tick. */
inline healthy_round ()
{
	for (i : 0 .. N - 1) {
		if
		:: !dead[i] ->
			do
			:: seen[i] < tail -> apply (i)
			:: else -> break
			od
		:: else
		fi
	}
	acted = false;
	/* The first live node claims a shard without a live owner. */
	flag = false;
	for (i : 0 .. N - 1) {
		if
		:: !dead[i] && !flag ->
			flag = true;
			if
			:: tail < EPOCHS && (tail <= released || dead[by[tail]]) ->
				tail++;
				by[tail] = i
			:: else
			fi
		:: else
		fi
	}
	for (i : 0 .. N - 1) {
		if
		:: !dead[i] && quiet[i] && owns (i) && busy[i] == 0 ->
			released = seen[i]
		:: else
		fi;
		if
		:: !dead[i] && seen[i] == tail -> log_lease[i] = LEASE
		:: else
		fi
	}
	act_all ();
	tick ()
}

active proctype system ()
{
	d_step {
		resolved[0] = true;
		for (i : 0 .. N - 1) {
			seen[i] = 1;
			for (j : 0 .. N - 1) {
				waited[AT (i, j)] = WAIT
			}
		}
		i = 0
	};
	do
	:: d_step { act_all (); tick (); i = 0; j = 0; k = 0; e = 0;
		    count = 0; flag = false; acted = false }
	:: atomic {
		select (i : 0 .. N - 1);
		if
		:: !dead[i] && pending[i] == 0 && seen[i] < EPOCHS - 1 && !owns (i) ->
			pending[i] = seen[i] + 1
		:: pending[i] > 0 -> land (i)
		:: !dead[i] && seen[i] < tail -> apply (i)
		:: owns (i) && seen[i] == tail && !dead[i] ->
			log_lease[i] = LEASE
		:: owns (i) && !dead[i] ->
			select (j : 0 .. N - 1);
			if
#ifdef BROKEN_REFUSAL
			:: witness (i, j) && !dead[j] ->
#else
			:: witness (i, j) && !dead[j] && seen[j] <= seen[i] ->
#endif
				held[AT (i, j)] = LEASE
			:: else
			fi
		:: !dead[i] && deaths < N - 1 ->
			dead[i] = true;
			drained[i] = DRAIN_WAIT;
			deaths++;
			forget (i)
		:: !dead[i] && owns (i) && resolved[i] && !quiet[i] ->
			quiet[i] = true
		:: !dead[i] && owns (i) && quiet[i] && busy[i] == 0 ->
			released = seen[i]
		:: else
		fi;
		act_all ();
		i = 0; j = 0; k = 0; e = 0; count = 0;
		flag = false; acted = false
	   }
	:: break
	od;
	skip;
	/* Faults end: what is alive runs, and appends on their way land. */
	d_step {
		for (i : 0 .. N - 1) {
			if
			:: pending[i] > 0 -> land (i)
			:: else
			fi
		}
		rounds = 0;
		do
		:: rounds < ROUNDS -> healthy_round (); rounds++
		:: else -> break
		od;
		assert (acted)
	}
}
