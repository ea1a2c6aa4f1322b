/*
 * Claims protocol of docs/design.md for one shard: exclusive ownership, and
 * takeover within a bounded time after the last fault.
 *
 * Time is a global tick.  Steps between two ticks occur in any order, and any
 * step may be omitted; this covers partitions, a log that is down or slow,
 * delays, message loss, reordering and a frozen node, which takes no step
 * while time advances.  A node acts whenever the protocol allows it to, since
 * a node that does not act cannot violate exclusivity.  Where a delay can only
 * shorten a lease or lengthen a wait, the model uses the smallest delay, which
 * allows the most behaviours:
 *  - a hold or a log read lasts a whole lease from the moment at which the
 *    witness or the log answers, which is never earlier than its request;
 *  - an acknowledgement arrives immediately;
 *  - a release, and the evidence that a node has ended, are known to all nodes
 *    immediately.
 * The witnesses of a claim are all other nodes, or with -DONE_WITNESS the next
 * node only, so that a claimant need not be a witness of the former owner.
 * Renewals and restarts are not modelled: a dead node stays dead.
 *
 * -DN=2 or 3 sets the number of nodes, -DEPOCHS=3 or 4 the number of claims.
 * -DBROKEN_WAIT, -DBROKEN_ACK, -DBROKEN_REFUSAL, -DBROKEN_DRAIN and
 * -DBROKEN_CHAIN each leave out one rule.
 */
#ifndef N
#define N 3
#endif
#define LEASE_TICKS 2
#define DRAIN_TICKS 1
#ifndef EPOCHS
#define EPOCHS 4            /* claims; the last one is left for the takeover */
#endif
#define TAKEOVER_TICKS 12   /* bound on the takeover after the last fault */

#ifdef BROKEN_WAIT
#define WAIT_TICKS 0
#else
#define WAIT_TICKS (LEASE_TICKS + DRAIN_TICKS)
#endif
#ifdef BROKEN_DRAIN
#define DRAIN_WAIT_TICKS 0
#else
#define DRAIN_WAIT_TICKS DRAIN_TICKS
#endif

#ifdef ONE_WITNESS
#define WITNESSES 1
#define witness(x, w) ((w) == ((x) + 1) % N)
#else
#define WITNESSES (N - 1)
#define witness(x, w) ((w) != (x))
#endif

#define PAIR_INDEX(a, b) ((a) * N + (b))

byte tail = 1;              /* newest epoch in the log */
byte claimant[EPOCHS + 1];  /* node that claimed each epoch; node 0 epoch 1 */
byte released;              /* newest released epoch */
byte applied[N];            /* newest epoch that the node has applied */
byte appending[N];          /* epoch of a claim being appended to the log */
byte hold_left[N * N];      /* ticks left of the hold granted by a witness */
byte log_lease_left[N];     /* ticks left of the lease of the last log read */
byte wait_left[N * N];      /* ticks until rule (w) resolves a former owner */
byte drain_left[N];         /* ticks until rule (d) resolves a dead node */
bool resolved[N];           /* no former owner can act any more */
bool stopping[N];           /* no longer acts under its claim */
bool dead[N];
byte work_left[N];          /* ticks for which started work may still run */
byte deaths;
byte i, j, k, epoch, witness_count, ticks;
bool flag;                  /* result of majority or confirmed; scratch */
bool acted;                 /* some node acted in this round */

/* The newest claim that the node has applied is its own. */
#define owns(n) (claimant[applied[n]] == n && applied[n] > released)

inline majority (n, x)
{
	/* Witnesses of x that are dead or have applied the newest claim of n. */
	witness_count = 0;
	for (k : 0 .. N - 1) {
		if
		:: witness (x, k) && (applied[k] >= applied[n] || dead[k]) ->
			witness_count++
		:: else
		fi
	}
#ifdef BROKEN_ACK
	flag = true;
#else
	flag = witness_count * 2 > WITNESSES;
#endif
}

inline confirmed (n)
{
	witness_count = 0;
	for (k : 0 .. N - 1) {
		if
		:: witness (n, k) && hold_left[PAIR_INDEX (n, k)] > 0 -> witness_count++
		:: else
		fi
	}
	flag = log_lease_left[n] > 0 || witness_count * 2 > WITNESSES;
}

/* The claim of n is resolved once rule (r), (d) or (w) holds for each former
   claim since the newest release. */
inline resolve (n)
{
	if
	:: owns (n) && !resolved[n] ->
		resolved[n] = true;
#ifdef BROKEN_CHAIN
		epoch = (applied[n] > released + 1 -> applied[n] - 1 : released + 1);
#else
		epoch = released + 1;
#endif
		do
		:: epoch < applied[n] ->
			j = claimant[epoch];
			majority (n, j);
			if
			:: j == n
			:: j != n && dead[j] && drain_left[j] == 0
			:: j != n && flag && wait_left[PAIR_INDEX (n, j)] == 0
			:: else -> resolved[n] = false
			fi;
			epoch++
		:: else -> break
		od
	:: else
	fi
}

/* Node n acts if it may; no other node may then have work that still runs. */
inline act (n)
{
	confirmed (n);
	if
	:: !dead[n] && owns (n) && resolved[n] && !stopping[n] && flag ->
		work_left[n] = DRAIN_TICKS;
		acted = true;
		for (k : 0 .. N - 1) {
			assert (k == n || work_left[k] == 0)
		}
	:: else
	fi
}

inline reset_claim_state (n)
{
	resolved[n] = false;
	stopping[n] = false;
	log_lease_left[n] = 0;
	for (k : 0 .. N - 1) {
		hold_left[PAIR_INDEX (n, k)] = 0;
		wait_left[PAIR_INDEX (n, k)] = WAIT_TICKS
	}
}

inline apply_entry (n)
{
	applied[n]++;
	reset_claim_state (n)
}

inline append_claim (n)
{
	if
	:: appending[n] == tail + 1 ->
		tail++;
		claimant[tail] = n
	:: else
	fi;
	appending[n] = 0
}

inline decrement (counter)
{
	if
	:: counter > 0 -> counter--
	:: else
	fi
}

inline tick ()
{
	for (i : 0 .. N - 1) {
		decrement (log_lease_left[i]);
		decrement (work_left[i]);
		decrement (drain_left[i]);
		for (j : 0 .. N - 1) {
			decrement (hold_left[PAIR_INDEX (i, j)]);
			majority (i, j);
			if
			:: resolved[i] || i == j -> wait_left[PAIR_INDEX (i, j)] = 0
			:: !resolved[i] && i != j && owns (i) && flag ->
				decrement (wait_left[PAIR_INDEX (i, j)])
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

/* One tick without faults: every message arrives within it. */
inline healthy_round ()
{
	for (i : 0 .. N - 1) {
		if
		:: !dead[i] ->
			do
			:: applied[i] < tail -> apply_entry (i)
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
			:: tail < EPOCHS && (tail <= released || dead[claimant[tail]]) ->
				tail++;
				claimant[tail] = i
			:: else
			fi
		:: else
		fi
	}
	for (i : 0 .. N - 1) {
		if
		:: !dead[i] && stopping[i] && owns (i) && work_left[i] == 0 ->
			released = applied[i]
		:: else
		fi;
		if
		:: !dead[i] && applied[i] == tail -> log_lease_left[i] = LEASE_TICKS
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
			applied[i] = 1;
			for (j : 0 .. N - 1) {
				wait_left[PAIR_INDEX (i, j)] = WAIT_TICKS
			}
		}
		i = 0
	};
	do
	:: d_step { act_all (); tick (); i = 0; j = 0; k = 0; epoch = 0;
		    witness_count = 0; flag = false; acted = false }
	:: atomic {
		select (i : 0 .. N - 1);
		if
		:: !dead[i] && appending[i] == 0 && applied[i] < EPOCHS - 1 && !owns (i) ->
			appending[i] = applied[i] + 1
		:: appending[i] > 0 -> append_claim (i)
		:: !dead[i] && applied[i] < tail -> apply_entry (i)
		:: owns (i) && applied[i] == tail && !dead[i] ->
			log_lease_left[i] = LEASE_TICKS
		:: owns (i) && !dead[i] ->
			select (j : 0 .. N - 1);
			if
#ifdef BROKEN_REFUSAL
			:: witness (i, j) && !dead[j] ->
#else
			:: witness (i, j) && !dead[j] && applied[j] <= applied[i] ->
#endif
				hold_left[PAIR_INDEX (i, j)] = LEASE_TICKS
			:: else
			fi
		:: !dead[i] && deaths < N - 1 ->
			dead[i] = true;
			drain_left[i] = DRAIN_WAIT_TICKS;
			deaths++;
			reset_claim_state (i)
		:: !dead[i] && owns (i) && resolved[i] && !stopping[i] ->
			stopping[i] = true
		:: !dead[i] && owns (i) && stopping[i] && work_left[i] == 0 ->
			released = applied[i]
		:: else
		fi;
		act_all ();
		i = 0; j = 0; k = 0; epoch = 0; witness_count = 0;
		flag = false; acted = false
	   }
	:: break
	od;
	skip;
	/* The faults end: live nodes run, and appends in flight complete. */
	d_step {
		for (i : 0 .. N - 1) {
			if
			:: appending[i] > 0 -> append_claim (i)
			:: else
			fi
		}
		ticks = 0;
		do
		:: ticks < TAKEOVER_TICKS -> healthy_round (); ticks++
		:: else -> break
		od;
		assert (acted)
	}
}
