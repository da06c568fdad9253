/* Contract sync: three hosts, a configuration service, four revisions.
 *
 * The service may be stale, so it serves any revision published so far.
 * Revision 3 is published but invalid. Hosts exchange revisions pairwise. Since
 * messages may be delayed, a message carries any revision that its sender has
 * had in its current incarnation. A host that crashes restarts without state.
 *
 * Checked: the revision in force never decreases within an incarnation; an
 * invalid revision is never in force; a host admits nothing before it has
 * compared its revision with a live peer (or found none), nor while it knows of
 * a newer valid revision; and once faults stop, all hosts have the newest valid
 * revision. Each MUTATE_ macro breaks one rule; scripts/check_spec.sh expects
 * every mutant to fail.
 */

#define HOSTS 3
#define NEWEST 4
#define VALID(r) ((r) != 3)
#define NEWEST_VALID(r) ((r) == 3 -> 2 : (r))

byte published = 1;
byte in_force[HOSTS];    /* revision in force, 0 for none */
byte known[HOSTS];       /* highest valid revision since the start */
bool compared[HOSTS];    /* compared with a peer since the start */
byte crashes = 0;

/* Host h applies a revision of which it has all documents. */
inline ApplyRevision(h, r) {
  before = in_force[h];
  if
#ifdef MUTATE_ACCEPT_INVALID
  :: r > in_force[h] ->
#else
  :: r > in_force[h] && VALID(r) ->
#endif
    in_force[h] = r;
    if
    :: r > known[h] -> known[h] = r
    :: else -> skip
    fi
#ifdef MUTATE_ACCEPT_OLDER
  :: r > 0 && r < in_force[h] && VALID(r) -> in_force[h] = r
#endif
  :: else -> skip
  fi;
  assert(in_force[h] == 0 || VALID(in_force[h]));
  assert(in_force[h] >= before)
}

/* The service answers host h with any revision published so far. */
inline ReadService(h) {
  select(r : 1 .. NEWEST);
  if
  :: r <= published -> ApplyRevision(h, r)
  :: else -> skip
  fi
}

/* Host h receives a message in which host p stated a revision that it has had,
 * the current one or an earlier one. */
inline ReceiveRevision(h, p) {
  select(r : 0 .. NEWEST);
  if
  :: r <= in_force[p] && VALID(r) && r > known[h] -> known[h] = r
  :: else -> skip
  fi
}

/* Host h fetches the documents of the current revision of host p. */
inline FetchDocuments(h, p) {
  if
  :: in_force[p] > known[h] -> known[h] = in_force[p]
  :: else -> skip
  fi;
  ApplyRevision(h, in_force[p]);
  compared[h] = true
}

#ifdef MUTATE_ADMIT_BEFORE_COMPARING
#define COMPARED(h) true
#else
#define COMPARED(h) compared[h]
#endif
#ifdef MUTATE_ADMIT_WHILE_BEHIND
#define UP_TO_DATE(h) true
#else
#define UP_TO_DATE(h) (known[h] <= in_force[h])
#endif

inline Admit(h) {
  in_force[h] > 0 && COMPARED(h) && UP_TO_DATE(h);
  assert(compared[h]);
  assert(in_force[h] >= known[h])
}

inline Crash(h) {
  crashes < 2;
  crashes++;
  in_force[h] = 0;
  known[h] = 0;
  compared[h] = false
}

/* Faults stop: one host reads the newest head, then the hosts exchange their
 * revisions. */
inline Converge() {
  ApplyRevision(0, published);
#ifndef MUTATE_REFUSED_HEAD_BLOCKS
  ApplyRevision(0, NEWEST_VALID(published));
#endif
  FetchDocuments(1, 0);
#ifndef MUTATE_NO_FORWARDING
  FetchDocuments(2, 1);
#endif
  FetchDocuments(0, 2);
  FetchDocuments(1, 2);
  assert(in_force[0] == NEWEST_VALID(published));
  assert(in_force[1] == NEWEST_VALID(published));
  assert(in_force[2] == NEWEST_VALID(published))
}

active proctype World() {
  byte r;
  byte before; /* revision in force before ApplyRevision, for its assertion */
  do
  :: atomic { published < NEWEST; published++ }
  :: atomic { true; ReadService(0) }
  :: atomic { true; ReadService(1) }
  :: atomic { true; ReceiveRevision(0, 1) }
  :: atomic { true; ReceiveRevision(1, 0) }
  :: atomic { true; ReceiveRevision(2, 0) }
  :: atomic { true; ReceiveRevision(2, 1) }
  :: atomic { true; FetchDocuments(0, 1) }
  :: atomic { true; FetchDocuments(1, 2) }
  :: atomic { true; FetchDocuments(2, 0) }
  :: atomic { true; FetchDocuments(2, 1) }
  :: atomic { Admit(0) }
  :: atomic { Admit(1) }
  :: atomic { Admit(2) }
  :: atomic { Crash(0) }
  :: atomic { Crash(1) }
  :: atomic { Crash(2) }
  :: atomic { true; Converge() } -> break
  od
}
