/* Order protocol: one order, its home, two owners and their leafs.
 *
 * A message between hosts may be delivered any number of times, in any order,
 * or never. This covers loss, delay, duplication and reordering. A request to a
 * leaf uses one TCP connection, so it is delivered at most once, or lost with
 * the connection. The home and each owner may crash once; the next incarnation
 * starts with an empty table.
 *
 * Checked: the order runs at most once, and it does not run at all, neither
 * before nor after, when a caller got the answer not_run. Each MUTATE_ macro
 * breaks one rule; scripts/check_spec.sh expects every mutant to fail.
 */

mtype = { none, issued, pending, ran, not_run, unknown };

#define OWNERS 2
#define INCARNATIONS 2
#define SLOT(owner, incarnation) ((owner) * INCARNATIONS + (incarnation))

byte runs = 0;                    /* times that a leaf ran the order */
bool answered_not_run = false;    /* some caller got the answer not_run */

byte home_incarnation = 0;        /* incarnation 0 issued the identifier */
mtype home_state = issued;        /* table entry of incarnation 0 */
byte attempt = 0;                 /* number of the current attempt, from 1 */
byte attempt_slot = 0;            /* owner and incarnation of the attempt */

byte owner_incarnation[OWNERS];   /* current incarnation of each owner */
mtype owner_state[OWNERS];        /* attempt log of that incarnation */

bool attempt_sent[4];             /* attempt sent, by SLOT */
bool result_ran[4];               /* results sent, by SLOT */
bool result_not_run[4];
bool result_unknown[4];
bool leaf_request[4];             /* request on the connection to a leaf */
byte leaf_requests_sent[4];       /* requests sent to leafs, by SLOT */

#define CHECK assert(runs <= 1); assert(!(answered_not_run && runs > 0))

inline AnswerNotRun() {
  answered_not_run = true;
  CHECK
}

inline SendAttempt(owner, incarnation) {
  attempt++;
  attempt_slot = SLOT(owner, incarnation);
  attempt_sent[attempt_slot] = true;
}

/* A copy of the order reaches its home; copies are unlimited. */
inline CopyArrives() {
  if
  :: home_incarnation == 0 ->
    if
    :: home_state == issued ->
      if
      :: atomic { /* refused by contract or load */
#ifndef MUTATE_REFUSE_WITHOUT_RECORD
           home_state = not_run;
#endif
           AnswerNotRun()
         }
      :: atomic { home_state = pending; SendAttempt(0, owner_incarnation[0]) }
      :: atomic { /* the home may know an old incarnation of the owner */
           home_state = pending; SendAttempt(1, 0)
         }
      fi
    :: home_state == not_run -> AnswerNotRun()
    :: else -> skip /* the home answers pending, ran or unknown */
    fi
  :: else ->
#if defined(MUTATE_NEW_LIFE_RUNS)
    /* a new incarnation accepts identifiers of the previous one */
    if
    :: attempt < 2 -> SendAttempt(1, owner_incarnation[1])
    :: else -> skip
    fi
#elif defined(MUTATE_HOME_GONE_IS_NOT_RUN)
    AnswerNotRun()
#else
    skip /* the new incarnation answers unknown */
#endif
  fi
}

/* The home stops waiting for the owner's result. */
inline HomeTimesOut() {
  home_incarnation == 0 && home_state == pending;
#ifdef MUTATE_RETRY_ON_TIMEOUT
  if
  :: attempt < 2 -> SendAttempt(1, owner_incarnation[1])
  :: else -> home_state = unknown
  fi
#else
  home_state = unknown
#endif
}

inline ResultArrives(slot) {
  if
  :: result_ran[slot] && home_incarnation == 0 -> home_state = ran
  :: result_not_run[slot] && home_incarnation == 0 && slot == attempt_slot &&
       (home_state == pending || home_state == unknown) ->
    if
    :: home_state == pending && attempt < 2 ->
         SendAttempt(1 - slot / INCARNATIONS,
                     owner_incarnation[1 - slot / INCARNATIONS])
    :: atomic { home_state = not_run; AnswerNotRun() }
    fi
  :: result_unknown[slot] && home_incarnation == 0 && home_state == pending ->
       home_state = unknown
  :: else -> skip
  fi
}

inline SendToLeaf(owner, slot) {
  owner_state[owner] = pending;
  leaf_requests_sent[slot]++;
  leaf_request[slot] = true
}

inline AttemptArrives(owner, incarnation) {
  attempt_sent[SLOT(owner, incarnation)];
  if
#ifdef MUTATE_ANY_LIFE_ACCEPTS
  :: true ->
#else
  :: owner_incarnation[owner] == incarnation ->
#endif
    if
#ifdef MUTATE_NO_ATTEMPT_LOG
    :: leaf_requests_sent[SLOT(owner, incarnation)] < 2 ->
         SendToLeaf(owner, SLOT(owner, incarnation))
#endif
    :: owner_state[owner] == none ->
      if
      :: atomic { /* the deadline passed while the order was queued */
           owner_state[owner] = not_run;
           result_not_run[SLOT(owner, incarnation)] = true
         }
      :: SendToLeaf(owner, SLOT(owner, incarnation))
      fi
    :: owner_state[owner] == not_run ->
         result_not_run[SLOT(owner, incarnation)] = true
    :: owner_state[owner] == ran -> result_ran[SLOT(owner, incarnation)] = true
    :: else -> skip
    fi
  :: else -> skip
  fi
}

/* The leaf handles the request, or the connection breaks before or after. */
inline LeafHandlesRequest(owner, incarnation) {
  leaf_request[SLOT(owner, incarnation)];
  leaf_request[SLOT(owner, incarnation)] = false;
  if
  :: atomic { /* ran; the reply arrives unless the owner has crashed */
       runs++; CHECK;
       if
       :: owner_incarnation[owner] == incarnation ->
            owner_state[owner] = ran;
            result_ran[SLOT(owner, incarnation)] = true
       :: else -> skip
       fi
     }
  :: atomic { /* ran; the connection breaks before the reply */
       runs++; CHECK;
       OwnerDetectsBreak(owner, incarnation)
     }
  :: atomic { /* not run; the connection breaks before the request */
       true;
       OwnerDetectsBreak(owner, incarnation)
     }
  :: atomic { /* the leaf replies not_run */
       true;
       if
       :: owner_incarnation[owner] == incarnation ->
         if
         :: leaf_requests_sent[SLOT(owner, incarnation)] < 2 ->
              SendToLeaf(owner, SLOT(owner, incarnation))
         :: owner_state[owner] = not_run;
              result_not_run[SLOT(owner, incarnation)] = true
         fi
       :: else -> skip
       fi
     }
  fi
}

inline OwnerDetectsBreak(owner, incarnation) {
  if
  :: owner_incarnation[owner] == incarnation ->
#ifdef MUTATE_BREAK_IS_NOT_RUN
    owner_state[owner] = not_run;
    result_not_run[SLOT(owner, incarnation)] = true
#else
    owner_state[owner] = unknown;
    result_unknown[SLOT(owner, incarnation)] = true
#endif
  :: else -> skip
  fi
}

inline OwnerCrashes(owner) {
  owner_incarnation[owner] == 0;
  owner_incarnation[owner] = 1;
  owner_state[owner] = none
}

active proctype World() {
  byte i;
  for (i : 0 .. OWNERS - 1) {
    owner_state[i] = none;
  }
end:
  do
  :: atomic { true; CopyArrives() }
  :: atomic { HomeTimesOut() }
  :: atomic { home_incarnation == 0; home_incarnation = 1 }
  :: atomic { true; ResultArrives(0) }
  :: atomic { true; ResultArrives(1) }
  :: atomic { true; ResultArrives(2) }
  :: atomic { true; ResultArrives(3) }
  :: atomic { AttemptArrives(0, 0) }
  :: atomic { AttemptArrives(0, 1) }
  :: atomic { AttemptArrives(1, 0) }
  :: atomic { AttemptArrives(1, 1) }
  :: atomic { LeafHandlesRequest(0, 0) }
  :: atomic { LeafHandlesRequest(0, 1) }
  :: atomic { LeafHandlesRequest(1, 0) }
  :: atomic { LeafHandlesRequest(1, 1) }
  :: atomic { OwnerCrashes(0) }
  :: atomic { OwnerCrashes(1) }
  od
}
